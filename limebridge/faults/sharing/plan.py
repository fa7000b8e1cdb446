"""A plan of faults between proxies that share budgets: drawn from a seed, TOML, read back."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from limebridge.faults.plan import MAX_DAEMONS, Seconds, draw_faults, dump, read_as, without_fault

__all__ = ["Fault", "Kind", "Plan", "Way", "cut_ways", "draw", "dump", "read", "without_fault"]

Kind = Literal[
    # to a process
    "kill",
    "term",
    "stop",
    "twin",
    "all",
    # to ways: of one with all others, one way or both; between two parts; of all
    "cut",
    "deaf",
    "mute",
    "split",
    "loss",
    "storm",
    # to what is asked
    "crowd",
    "moves",
]
KINDS: tuple[Kind, ...] = (
    "kill",
    "kill",
    "term",
    "stop",
    "stop",
    "twin",
    "all",
    "cut",
    "deaf",
    "mute",
    "split",
    "split",
    "loss",
    "storm",
    "crowd",
    "moves",
)


Way = tuple[int, int]  # the numbers of a sender and a receiver


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`at` s after all are up; "split" parts the first `who` + 1 from the rest."""

    at: Seconds
    kind: Kind
    who: Annotated[int, msgspec.Meta(ge=0, lt=MAX_DAEMONS)] = 0
    seconds: Seconds = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run.  One proxy is asked for more than all may let in, the others for little."""

    seed: int = 0
    seconds: Seconds = 6.0
    daemons: Annotated[int, msgspec.Meta(ge=2, le=MAX_DAEMONS)] = 5
    per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e5)] = 120.0
    loan_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 1.0
    fault: list[Fault] = []


def draw(seed: int) -> Plan:
    """The plan of a seed."""
    rng = random.Random(f"sharing/{seed}")
    daemons, seconds = rng.randint(5, 8), rng.uniform(4.0, 7.0)
    faults = draw_faults(
        rng,
        Fault,
        count=rng.randint(2, 6),
        since=0.3,
        until=seconds,
        kinds=KINDS,
        targets=daemons,
        durations=(0.2, 0.6, 1.2, 2.5),
    )
    return Plan(
        seed,
        round(seconds, 3),
        daemons,
        rng.choice((60.0, 120.0, 240.0)),
        rng.choice((0.6, 1.0, 2.0)),
        faults,
    )


def cut_ways(fault: Fault, daemons: int) -> list[Way]:
    """The ways that a "cut", "deaf", "mute" or "split" cuts."""
    who = fault.who % daemons
    if fault.kind == "split":
        return [
            (sender, receiver)
            for sender in range(daemons)
            for receiver in range(daemons)
            if (sender <= who) != (receiver <= who)
        ]
    others = [number for number in range(daemons) if number != who]
    ways: list[Way] = []
    if fault.kind != "mute":
        ways += [(number, who) for number in others]
    if fault.kind != "deaf":
        ways += [(who, number) for number in others]
    return ways


def read(path: Path) -> Plan:
    """ConfigError, one line with the key, for anything else than a plan."""
    return read_as(path, Plan)
