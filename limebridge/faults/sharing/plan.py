"""A plan of faults for proxies that share a budget: generated from a seed, stored as TOML."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from limebridge.faults.plan import (
    MAX_DAEMONS,
    Seconds,
    dump,
    generate_faults,
    read_as,
    without_fault,
)

__all__ = [
    "Fault",
    "Kind",
    "Link",
    "Plan",
    "cut_links",
    "dump",
    "generate",
    "read",
    "without_fault",
]

Kind = Literal[
    # faults of a process: SIGKILL, SIGTERM, SIGSTOP, a duplicate of its name; SIGKILL of all
    "kill",
    "term",
    "stop",
    "twin",
    "all",
    # faults of links: those of one process, both directions ("cut"), to it ("deaf") or from it
    # ("mute"); those between two groups ("split"); loss, or duplicates and reordering ("storm"),
    # on all
    "cut",
    "deaf",
    "mute",
    "split",
    "loss",
    "storm",
    # faults of the load: high at all proxies ("crowd"), or moved to other proxies
    "crowd",
    "moves",
]
# Chosen from with equal probability: a kind that is listed twice is twice as frequent.
WEIGHTED_KINDS: tuple[Kind, ...] = (
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


Link = tuple[int, int]  # the numbers of a sender and a receiver


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault: `at` s after all daemons are up, for `seconds`.

    `who`: number of the daemon, modulo the number of daemons.  A "split" separates the daemons up
    to that number from the others.
    """

    at: Seconds
    kind: Kind
    who: Annotated[int, msgspec.Meta(ge=0, lt=MAX_DAEMONS)] = 0
    seconds: Seconds = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run: `seconds` with faults, with a budget of `per_s` requests a second.

    One proxy gets more requests than the whole fleet may admit, the others get few.
    """

    seed: int = 0
    seconds: Seconds = 6.0
    daemons: Annotated[int, msgspec.Meta(ge=2, le=MAX_DAEMONS)] = 5
    per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e5)] = 120.0
    loan_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 1.0
    fault: list[Fault] = []


def generate(seed: int) -> Plan:
    """The plan of a seed, always the same."""
    rng = random.Random(f"sharing/{seed}")
    daemons, seconds = rng.randint(5, 8), rng.uniform(4.0, 7.0)
    faults = generate_faults(
        rng,
        Fault,
        count=rng.randint(2, 6),
        since=0.3,
        until=seconds,
        kinds=WEIGHTED_KINDS,
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


def cut_links(fault: Fault, daemons: int) -> list[Link]:
    """The links that a "cut", "deaf", "mute" or "split" blocks."""
    who = fault.who % daemons
    if fault.kind == "split":
        return [
            (sender, receiver)
            for sender in range(daemons)
            for receiver in range(daemons)
            if (sender <= who) != (receiver <= who)
        ]
    others = [number for number in range(daemons) if number != who]
    links: list[Link] = []
    if fault.kind != "mute":
        links += [(number, who) for number in others]
    if fault.kind != "deaf":
        links += [(who, number) for number in others]
    return links


def read(path: Path) -> Plan:
    """Read a plan from a TOML file.  Raises ConfigError, one line that names the key."""
    return read_as(path, Plan)
