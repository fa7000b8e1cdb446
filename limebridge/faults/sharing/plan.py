"""A plan of faults between proxies that share budgets: drawn from a seed, TOML, read back."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from limebridge.faults.plan import AT_MOST, Seconds, dump, read_as, without

__all__ = ["Fault", "Kind", "Plan", "draw", "dump", "read", "without"]

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


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`at` s after all are up; "split" parts the first `who` + 1 from the rest."""

    at: Seconds
    kind: Kind
    who: Annotated[int, msgspec.Meta(ge=0, lt=AT_MOST)] = 0
    seconds: Seconds = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run.  One proxy is asked for more than all may let in, the others for little."""

    seed: int = 0
    seconds: Seconds = 6.0
    daemons: Annotated[int, msgspec.Meta(ge=2, le=AT_MOST)] = 5
    per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e5)] = 120.0
    loan_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 1.0
    fault: list[Fault] = []


def draw(seed: int) -> Plan:
    """The plan of a seed."""
    rng = random.Random(f"sharing/{seed}")
    daemons, seconds = rng.randint(5, 8), rng.uniform(4.0, 7.0)
    faults = [
        Fault(
            round(rng.uniform(0.3, seconds), 3),
            rng.choice(KINDS),
            rng.randrange(daemons),
            round(rng.choice((0.2, 0.6, 1.2, 2.5)) * rng.uniform(0.5, 1.5), 3),
        )
        for _ in range(rng.randint(2, 6))
    ]
    faults.sort(key=lambda fault: fault.at)
    return Plan(
        seed,
        round(seconds, 3),
        daemons,
        rng.choice((60.0, 120.0, 240.0)),
        rng.choice((0.6, 1.0, 2.0)),
        faults,
    )


def read(path: Path) -> Plan:
    """ConfigError, one line with the key, for anything else than a plan."""
    return read_as(path, Plan)
