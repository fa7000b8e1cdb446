"""A plan of faults: what happens to several processes and to the parts that they share, and when.

A plan is drawn from a seed, written as TOML and read back unchanged.  It gives the same schedule in
every run.  Real processes still differ between runs, because the kernel schedules them; the virtual
world of `memory` repeats a run exactly.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
import tomli_w

from violetroute.config.tables import read_toml, to_struct

FaultKind = Literal[
    # faults of a process
    "kill",  # SIGKILL, and a new start at the end of the fault
    "term",  # SIGTERM, and a new start at the end of the fault
    "stop",  # SIGSTOP, and SIGCONT at the end
    "hup",  # a reload without works, and one with all works at the end
    "core",  # lowest priority on one core
    "no_files",  # it can open no new file or socket
    "no_room",  # it can write no data to files
    "twin",  # a second process is started under its name
    # faults of the path between a process and the endpoint or a Consul
    "cut",  # nothing passes
    "cut_there",  # nothing passes from the process
    "cut_back",  # nothing passes to the process
    "slow",  # delays
    "half",  # connections are reset within an answer
    "drip",  # answers arrive byte by byte
    "reset",  # all open connections are reset, once
    "twice",  # requests are sent again after their connection has ended
    # faults of the endpoint and the store, which all processes share
    "endpoint",  # the endpoint loses or repeats requests, or answers with errors
    "gone",  # the store's folder is moved away
    "older",  # the store's folder is replaced by a copy made at the start of the fault
    "torn",  # a lease file is truncated
    "leader",  # the Consul has no leader
    "lose_answers",  # the Consul applies writes and resets the connection instead of an answer
    "forget",  # the Consul loses its data
]
# Kinds to draw from; one that is listed twice is drawn twice as often.
PROCESS_FAULTS: tuple[FaultKind, ...] = (
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
PATH_FAULTS: tuple[FaultKind, ...] = (
    "cut",
    "cut_there",
    "cut_back",
    "slow",
    "half",
    "drip",
    "reset",
    "twice",
)
FOLDER_FAULTS: tuple[FaultKind, ...] = ("endpoint", "endpoint", "torn", "gone", "older")
CONSUL_FAULTS: tuple[FaultKind, ...] = ("endpoint", "leader", "lose_answers", "forget")
# Kinds after which the store has lost data that was written.
DATA_LOSS_FAULTS: frozenset[FaultKind] = frozenset(("gone", "older", "forget"))
MAX_DAEMONS = 24  # daemons that a plan may start on one machine

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=600.0)]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault: it begins `at` seconds after all daemons are up and lasts `seconds`.

    `who`: the index of the process that it applies to, modulo the number of processes.
    """

    at: Seconds
    kind: FaultKind
    who: Annotated[int, msgspec.Meta(ge=0, lt=MAX_DAEMONS)] = 0
    seconds: Seconds = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parameters and faults of one run; times in s."""

    seed: int = 0
    seconds: Seconds = 6.0  # duration of the part with faults, all healed after it
    daemons: Annotated[int, msgspec.Meta(ge=2, le=MAX_DAEMONS)] = 5
    store: Literal["folder", "consul"] = "folder"
    # Number of example works, in addition to the settlement.
    works: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    settles: bool = False  # the run has ledgers, clients and the settlement work
    term_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 0.8
    fault: list[Fault] = []


def generate(
    seed: int, store: Literal["folder", "consul"] | None = None, settles: bool | None = None
) -> Plan:
    """The plan of a seed.

    `store` and `settles` replace the values drawn from the seed; None keeps them.  A plan with
    settlement always uses the folder store.
    """
    rng = random.Random(f"faults/{seed}")
    drawn: Literal["folder", "consul"] = rng.choice(("folder", "folder", "consul"))
    where = store or drawn
    billed = rng.random() < 0.25 if settles is None else settles
    if billed:
        where = "folder"
    daemons, seconds = rng.randint(5, 8), rng.uniform(3.0, 6.0)
    shared = FOLDER_FAULTS if where == "folder" else CONSUL_FAULTS
    # A plan with settlement has no fault that loses data of a ledger's folder or of the log: after
    # such a loss a batch may be billed again (docs/design/fleet-ownership.md).
    if billed:
        shared = ("endpoint",)
    faults = []
    for _ in range(rng.randint(2, 7)):
        kind = rng.choice((*PROCESS_FAULTS, *PATH_FAULTS, *shared))
        if billed and kind == "twin":
            kind = "stop"
        durations = (0.3, 1.5, 2.5) if kind == "stop" else (0.1, 0.5, 1.0, 2.5)
        faults.append(
            Fault(
                round(rng.uniform(0.0, seconds), 3),
                kind,
                rng.randrange(daemons),
                round(rng.choice(durations) * rng.uniform(0.5, 1.5), 3),
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
    """Draw `count` faults that begin between `since` and `until` s, ordered by their time.

    `make`: takes a fault's time, kind, target index and duration.  `targets`: the number of
    possible targets.  The duration is one of `durations`, in s, times a factor from 0.5 to 1.5.
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
    """Read a plan from a TOML file.  Raises ConfigError, one line that names the invalid key."""
    return read_as(path, Plan)


def read_as(path: Path, plan_type: type[P]) -> P:
    """Read a plan of the given type from a TOML file.  Raises ConfigError if it is invalid."""
    return to_struct(read_toml(str(path)), plan_type, str(path))


def dump(plan: msgspec.Struct) -> str:
    """The plan as TOML."""
    return tomli_w.dumps(msgspec.to_builtins(plan))


def without_fault(plan: Any, index: int) -> Any:
    """A copy of the plan without the fault at this index."""
    return msgspec.structs.replace(plan, fault=plan.fault[:index] + plan.fault[index + 1 :])
