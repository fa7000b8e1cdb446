"""The plan of a soak as it is drawn from a seed, and the result of its run."""

from __future__ import annotations

import random
from typing import Literal

import msgspec

from .violation import Violation

KILL_AFTER = 0.7  # s beyond the longest deadline, from SIGTERM to the earliest SIGKILL
LONGEST_DEADLINE = 3.0  # s that count of a deadline for the kill
CHANGED_SHARE = 5  # one of so many nodes changes at once

ListKind = Literal["drain", "gone", "whole", "back", "restart", "one_by_one", "watch_ends"]
SignalName = Literal["SIGHUP", "SIGTERM", "SIGINT"]


class ListEvent(msgspec.Struct, frozen=True):
    """What discovery tells."""

    at: float  # s
    kind: ListKind
    first: int  # of each CHANGED_SHARE nodes, the one that changes


class SignalEvent(msgspec.Struct, frozen=True):
    """One signal to the daemon."""

    at: float  # s
    name: SignalName


class SoakPlan(msgspec.Struct, frozen=True):
    """One run; times are seconds from when clients begin."""

    seed: int
    nodes: int
    clients: int
    idle_clients: int  # a crowd that only holds descriptors
    sockets: int  # the daemon's limit of descriptors
    deadline: float  # s, of the class with the longest
    rate: float  # requests a second
    lists: tuple[ListEvent, ...]
    signals: tuple[SignalEvent, ...]

    @property
    def ends_at(self) -> float:
        """When SIGTERM or SIGINT comes first."""
        return min(event.at for event in self.signals if event.name != "SIGHUP")

    @property
    def killed_at(self) -> float:
        """The earliest SIGKILL."""
        return self.ends_at + min(LONGEST_DEADLINE, self.deadline) + KILL_AFTER


def draw(seed: int) -> SoakPlan:
    """The plan of a seed."""
    chance = random.Random(f"soak/{seed}")
    crowd = chance.random() < 0.3
    ends_at = chance.uniform(1.5, 3.5)
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
        ListEvent(chance.uniform(0.2, ends_at + 0.5), chance.choice(kinds), chance.randrange(4))
        for _ in range(chance.randrange(1, 7))
    ]
    signals = [SignalEvent(ends_at, chance.choice(("SIGTERM", "SIGTERM", "SIGINT")))]
    hangups = chance.choice((0, 0, 1, 3, 6))
    begins = chance.uniform(0.2, ends_at)
    signals += [SignalEvent(begins + chance.uniform(0.0, 0.4), "SIGHUP") for _ in range(hangups)]
    if chance.random() < 0.4:  # in a series, with the one that ends it
        names: tuple[SignalName, ...] = ("SIGHUP", "SIGTERM", "SIGINT")
        signals += [
            SignalEvent(ends_at + chance.uniform(0.0, 0.5), chance.choice(names))
            for _ in range(chance.randrange(1, 5))
        ]
    return SoakPlan(
        seed=seed,
        nodes=chance.choice((8, 46, 200, 1200, 3200)),
        clients=chance.choice((4, 20, 40)),
        idle_clients=chance.randrange(100, 180) if crowd else 0,
        sockets=256,
        deadline=chance.choice((0.6, 1.0, 3.0)),
        rate=chance.choice((30.0, 80.0, 150.0)),
        lists=tuple(sorted(lists, key=lambda event: event.at)),
        signals=tuple(sorted(signals, key=lambda event: event.at)),
    )


class SoakResult(msgspec.Struct):
    """What a run was like, and what it broke."""

    plan: SoakPlan
    asked: int = 0
    served: int = 0
    refused: int = 0
    crossed: int = 0  # written as the daemon closed, and never read
    broken: list[Violation] = []
