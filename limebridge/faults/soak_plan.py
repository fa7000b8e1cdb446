"""The plan of a soak, generated from a seed, and the result of its run."""

from __future__ import annotations

import random
from typing import Literal

import msgspec

from .violation import Violation

KILL_DELAY_S = 0.7  # s from SIGTERM to the earliest SIGKILL, in addition to the longest deadline
MAX_DEADLINE_S = 3.0  # the part of a longer deadline that counts for the time of the SIGKILL
CHANGE_STRIDE = 5  # a list change applies to one in this many nodes

ListKind = Literal["drain", "gone", "whole", "back", "restart", "one_by_one", "watch_ends"]
SignalName = Literal["SIGHUP", "SIGTERM", "SIGINT"]


class ListEvent(msgspec.Struct, frozen=True):
    """A change of the node list that discovery publishes."""

    at: float  # s
    kind: ListKind
    first: int  # index of the first node that changes; then every CHANGE_STRIDE-th one


class SignalEvent(msgspec.Struct, frozen=True):
    """A signal to the daemon."""

    at: float  # s
    name: SignalName


class SoakPlan(msgspec.Struct, frozen=True):
    """The parameters of one run; times are in s from the start of the clients."""

    seed: int
    nodes: int
    clients: int
    idle_clients: int  # clients that only hold connections open, and so descriptors
    sockets: int  # the daemon's limit of file descriptors
    deadline: float  # s; the longest one of any class
    rate: float  # requests per second, of all clients
    lists: tuple[ListEvent, ...]
    signals: tuple[SignalEvent, ...]

    @property
    def ends_at(self) -> float:
        """Time of the first SIGTERM or SIGINT."""
        return min(event.at for event in self.signals if event.name != "SIGHUP")

    @property
    def killed_at(self) -> float:
        """Time of the earliest SIGKILL that the platform allows."""
        return self.ends_at + min(MAX_DEADLINE_S, self.deadline) + KILL_DELAY_S


def generate(seed: int) -> SoakPlan:
    """The plan of a seed."""
    rng = random.Random(f"soak/{seed}")
    has_idle_clients = rng.random() < 0.3
    ends_at = rng.uniform(1.5, 3.5)
    kinds: tuple[ListKind, ...] = (
        "drain",
        "gone",
        "whole",
        "back",
        "restart",
        "one_by_one",
        "watch_ends",
    )
    lists = [
        ListEvent(rng.uniform(0.2, ends_at + 0.5), rng.choice(kinds), rng.randrange(4))
        for _ in range(rng.randrange(1, 7))
    ]
    signals = [SignalEvent(ends_at, rng.choice(("SIGTERM", "SIGTERM", "SIGINT")))]
    hangups = rng.choice((0, 0, 1, 3, 6))
    hangups_start = rng.uniform(0.2, ends_at)
    signals += [
        SignalEvent(hangups_start + rng.uniform(0.0, 0.4), "SIGHUP") for _ in range(hangups)
    ]
    if rng.random() < 0.4:  # a series of signals after the one that ends the daemon
        names: tuple[SignalName, ...] = ("SIGHUP", "SIGTERM", "SIGINT")
        signals += [
            SignalEvent(ends_at + rng.uniform(0.0, 0.5), rng.choice(names))
            for _ in range(rng.randrange(1, 5))
        ]
    return SoakPlan(
        seed=seed,
        nodes=rng.choice((8, 46, 200, 1200, 3200)),
        clients=rng.choice((4, 20, 40)),
        idle_clients=rng.randrange(100, 180) if has_idle_clients else 0,
        sockets=256,
        deadline=rng.choice((0.6, 1.0, 3.0)),
        rate=rng.choice((30.0, 80.0, 150.0)),
        lists=tuple(sorted(lists, key=lambda event: event.at)),
        signals=tuple(sorted(signals, key=lambda event: event.at)),
    )


class SoakResult(msgspec.Struct):
    """Counts of requests, and the violations of a run."""

    plan: SoakPlan
    asked: int = 0
    served: int = 0
    refused: int = 0
    crossed: int = 0  # sent while the daemon closed the connection, and never read
    broken: list[Violation] = []
