"""A plan of faults for control machines and proxies: drawn from a seed, TOML, read back."""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from limebridge.faults.plan import Seconds, dump, generate_faults, read_as, without_fault

__all__ = ["Fault", "Kind", "Plan", "dump", "generate", "read", "without_fault"]

MAX_MACHINES = 5
MAX_PROXIES = 12

Kind = Literal[
    # to a control machine
    "kill",  # the process ends; what is on its disk stays
    "pause",  # the process stops and goes on; its connections stay
    "pause_reset",  # the same, and its connections are reset
    "lose_disk",  # the disk is lost; the operator replaces the machine
    # to a proxy
    "kill_proxy",
    "end_proxy",  # it ends its session, lingers, and is followed by a new process
    "pause_proxy",
    "twin_proxy",  # a second process of the same name
    # to links: of one machine with all others, of one proxy, between two parts, of all
    "cut",
    "cut_out",  # only what the machine sends
    "cut_in",  # only what is sent to it
    "cut_proxy",
    "split",
    "split_out",  # only what the first part sends
    "split_in",  # only what is sent to it
    "loss",
    "storm",  # long delays and copies
    # to the lease
    "second_leader",  # another machine is given the lease; the first is not told
    "no_leader",
    "forget_fences",  # the store starts again with low fences
    # to what is published
    "burst",
]
KINDS: tuple[Kind, ...] = (
    "kill",
    "kill",
    "pause",
    "pause",
    "pause_reset",
    "lose_disk",
    "lose_disk",
    "kill_proxy",
    "end_proxy",
    "pause_proxy",
    "pause_proxy",
    "twin_proxy",
    "cut",
    "cut_out",
    "cut_in",
    "cut_proxy",
    "split",
    "split",
    "loss",
    "storm",
    "storm",
    "second_leader",
    "second_leader",
    "second_leader",
    "no_leader",
    "forget_fences",
    "burst",
)


# Rates of the simulated clocks.  "any": each within the drift, half of them at its ends.  "apart":
# those of the control machines as fast as they may be, those of the proxies as slow.
Clocks = Literal["any", "apart"]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`at` s after the start, to the `who`th machine or proxy, for `seconds`.

    "split" parts the first `who` + 1 machines, and every second proxy, from the rest; "split_out"
    and "split_in" do so one way.
    """

    at: Seconds
    kind: Kind
    who: Annotated[int, msgspec.Meta(ge=0, lt=MAX_PROXIES)] = 0
    seconds: Seconds = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run.  `seconds` with faults; what comes after is the healing."""

    seed: int = 0
    seconds: Seconds = 8.0
    machines: Annotated[int, msgspec.Meta(ge=1, le=MAX_MACHINES)] = 3
    proxies: Annotated[int, msgspec.Meta(ge=1, le=MAX_PROXIES)] = 4
    stale_after_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 1.0
    publications_per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)] = 6.0
    keep_s: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 3600.0  # for which batches are kept
    clocks: Clocks = "any"
    fault: list[Fault] = []


@dataclass(frozen=True)
class FaultProfile:
    """Faults that lead to one kind of situation.

    `keep_s`: for which batches are kept.  A fault lasts about one of `lasts`, in s.
    """

    kinds: tuple[Kind, ...]
    keep_s: float = 3600.0
    faults: tuple[int, int] = (2, 8)
    lasts: tuple[float, ...] = (0.2, 0.6, 1.5, 3.0)
    stale_after_s: tuple[float, ...] = (0.8, 1.0, 2.0)
    clocks: Clocks = "any"


FAULT_PROFILES = (
    FaultProfile(KINDS),
    FaultProfile(KINDS),
    FaultProfile(KINDS, keep_s=2.0),
    FaultProfile(
        (
            "second_leader",
            "second_leader",
            "second_leader",
            "pause",
            "pause_reset",
            "cut_out",
            "cut_in",
            "storm",
            "storm",
            "kill",
            "forget_fences",
        ),
        faults=(4, 10),
    ),
    FaultProfile(
        ("lose_disk", "lose_disk", "lose_disk", "kill", "second_leader", "pause", "cut", "loss"),
        faults=(3, 8),
    ),
    FaultProfile(
        (
            "kill_proxy",
            "kill_proxy",
            "end_proxy",
            "end_proxy",
            "cut_proxy",
            "pause_proxy",
            "kill",
            "cut",
            "lose_disk",
        ),
        keep_s=0.3,
        faults=(3, 6),
    ),
    # A proxy is fresh for at most stale_after_s of its clock since an answer that is some tenths of
    # a second old.  Clocks alone delay that by 10% of stale_after_s at most, which shows only where
    # it is longer than the age of the answer: stale_after_s is that long here, a cut even longer.
    FaultProfile(
        ("cut_proxy", "cut_proxy", "cut_proxy", "split", "cut_in", "cut_out"),
        faults=(3, 6),
        lasts=(10.0,),
        stale_after_s=(6.0,),
        clocks="apart",
    ),
)


def generate(seed: int) -> Plan:
    """The plan of a seed."""
    rng = random.Random(f"distribution/{seed}")
    theme = rng.choice(FAULT_PROFILES)
    machines, proxies = rng.choice((3, 3, 5)), rng.randint(4, 8)
    seconds = rng.uniform(5.0, 10.0)
    faults = generate_faults(
        rng,
        Fault,
        count=rng.randint(*theme.faults),
        since=1.0,
        until=seconds,
        kinds=theme.kinds,
        targets=MAX_PROXIES,
        durations=theme.lasts,
    )
    return Plan(
        seed,
        round(seconds, 3),
        machines,
        proxies,
        rng.choice(theme.stale_after_s),
        rng.choice((3.0, 6.0, 12.0)),
        theme.keep_s,
        theme.clocks,
        faults,
    )


def read(path: Path) -> Plan:
    """The plan of a TOML file.  Raises ConfigError, one line with the key, for anything else."""
    return read_as(path, Plan)
