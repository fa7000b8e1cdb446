"""A plan of faults: what happens to several processes and to what lies between them, and when.

Drawn from a seed, written as TOML, read back to the same plan.  A plan gives the same schedule each
time it is played; what real processes make of it differs by their scheduling, and a virtual world
plays it exactly (`memory`).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
import tomli_w

from violetroute.config.tables import read_toml, to_struct

Kind = Literal[
    # to a process
    "kill",
    "term",
    "stop",
    "hup",
    "core",
    "no_files",
    "no_room",
    "twin",
    # to the way between a process and the endpoint, or a Consul
    "cut",
    "cut_there",
    "cut_back",
    "slow",
    "half",
    "drip",
    "reset",
    "twice",
    # to what is shared
    "endpoint",
    "gone",
    "older",
    "torn",
    "leader",
    "lose_answers",
    "forget",
]
PROCESS: tuple[Kind, ...] = (
    "kill",
    "term",
    "stop",
    "stop",
    "hup",
    "core",
    "no_files",
    "no_room",
    "twin",
)
WAYS: tuple[Kind, ...] = ("cut", "cut_there", "cut_back", "slow", "half", "drip", "reset", "twice")
FOLDER: tuple[Kind, ...] = ("endpoint", "endpoint", "torn", "gone", "older")
CONSUL: tuple[Kind, ...] = ("endpoint", "leader", "lose_answers", "forget")
FORGETS: frozenset[Kind] = frozenset(("gone", "older", "forget"))  # what was written is lost
MAX_DAEMONS = 24  # daemons of one machine

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=600.0)]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One: `at` s after all daemons are up, to the `who`th, for `seconds`."""

    at: Seconds
    kind: Kind
    who: Annotated[int, msgspec.Meta(ge=0, lt=MAX_DAEMONS)] = 0
    seconds: Seconds = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run."""

    seed: int = 0
    seconds: Seconds = 6.0  # with faults; what comes after is the healing
    daemons: Annotated[int, msgspec.Meta(ge=2, le=MAX_DAEMONS)] = 5
    store: Literal["folder", "consul"] = "folder"
    works: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2  # examples, beside the settlement
    settles: bool = False  # ledgers, clients and the settlement too
    term_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 0.8
    fault: list[Fault] = []


def draw(
    seed: int, store: Literal["folder", "consul"] | None = None, settles: bool | None = None
) -> Plan:
    """The plan of a seed.  Faults of each kind come from a stream of their own."""
    rng = random.Random(f"faults/{seed}")
    drawn: Literal["folder", "consul"] = rng.choice(("folder", "folder", "consul"))
    where = store or drawn
    billed = rng.random() < 0.25 if settles is None else settles
    if billed:
        where = "folder"
    daemons, seconds = rng.randint(5, 8), rng.uniform(3.0, 6.0)
    shared = FOLDER if where == "folder" else CONSUL
    if billed:  # what a ledger's folder and the log have lost is no plan's: see the note
        shared = ("endpoint",)
    faults = []
    for _ in range(rng.randint(2, 7)):
        kind = rng.choice((*PROCESS, *WAYS, *shared))
        if billed and kind == "twin":
            kind = "stop"
        lasts = (0.3, 1.5, 2.5) if kind == "stop" else (0.1, 0.5, 1.0, 2.5)
        faults.append(
            Fault(
                round(rng.uniform(0.0, seconds), 3),
                kind,
                rng.randrange(daemons),
                round(rng.choice(lasts) * rng.uniform(0.5, 1.5), 3),
            )
        )
    faults.sort(key=lambda fault: fault.at)
    return Plan(seed, round(seconds, 3), daemons, where, rng.randint(1, 3), billed, 0.8, faults)


DrawnKind = TypeVar("DrawnKind", bound=str)
DrawnFault = TypeVar("DrawnFault")


def generate_faults(
    rng: random.Random,
    make: Callable[[float, DrawnKind, int, float], DrawnFault],
    *,
    count: int,
    until: float,
    kinds: Sequence[DrawnKind],
    targets: int,
    durations: Sequence[float],
    since: float = 0.0,
) -> list[DrawnFault]:
    """Faults between `since` and `until` s, in the order of their time.

    `targets`: how many there are to choose from.  A fault lasts half to one and a half times one of
    `durations`, in s.
    """
    drawn = [
        (
            round(rng.uniform(since, until), 3),
            rng.choice(kinds),
            rng.randrange(targets),
            round(rng.choice(durations) * rng.uniform(0.5, 1.5), 3),
        )
        for _ in range(count)
    ]
    drawn.sort(key=lambda each: each[0])
    return [make(*each) for each in drawn]


P = TypeVar("P", bound=msgspec.Struct)


def read(path: Path) -> Plan:
    """ConfigError, one line with the key, for anything else than a plan."""
    return read_as(path, Plan)


def read_as(path: Path, kind: type[P]) -> P:
    return to_struct(read_toml(str(path)), kind, str(path))


def dump(plan: msgspec.Struct) -> str:
    return tomli_w.dumps(msgspec.to_builtins(plan))


def without_fault(plan: Any, place: int) -> Any:
    """The plan but for one fault."""
    return msgspec.structs.replace(plan, fault=plan.fault[:place] + plan.fault[place + 1 :])
