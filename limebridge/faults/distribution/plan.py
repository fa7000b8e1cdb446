"""Fault plans for control machines and proxies: generated from a seed, written and read as TOML."""

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
    # faults of a control machine
    "kill",  # the process is killed; its disk is kept
    "pause",  # the process is stopped and continued; its connections are kept
    "pause_reset",  # as "pause", but its connections are reset
    "lose_disk",  # the disk is lost, and the operator replaces the machine
    # faults of a proxy
    "kill_proxy",
    "end_proxy",  # it ends its session, stays up for a while and is replaced by a new process
    "pause_proxy",
    "twin_proxy",  # a second process with the same name
    # faults of links: of one machine or one proxy with all others, between two groups, or all
    "cut",
    "cut_out",  # only messages from the machine
    "cut_in",  # only messages to the machine
    "cut_proxy",
    "split",
    "split_out",  # only messages from the first group
    "split_in",  # only messages to the first group
    "loss",
    "storm",  # long delays and duplicate requests
    # faults of the lease
    "second_leader",  # another machine is granted the lease; the first is notified after `seconds`
    "no_leader",  # no machine is granted the lease
    "forget_fences",  # the store restarts from fence 0
    # publications
    "burst",
]
# The kinds from which faults are drawn; a kind that occurs more often is more likely.
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


# Rates of the simulated clocks.  "any": each within the drift, half of them at a limit of it.
# "apart": those of control machines at the fastest rate, those of proxies at the slowest.
Clocks = Literal["any", "apart"]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault `at` s after the start, of machine or proxy number `who`, that lasts `seconds`.

    "split" separates the first `who` + 1 machines and every second proxy from the rest; "split_out"
    and "split_in" do so in one direction.  The rig of real processes separates only machine `who`
    and every second proxy.
    """

    at: Seconds
    kind: Kind
    who: Annotated[int, msgspec.Meta(ge=0, lt=MAX_PROXIES)] = 0
    seconds: Seconds = 1.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parameters of one run.  `seconds` is the time with faults, which are undone after it."""

    seed: int = 0
    seconds: Seconds = 8.0
    machines: Annotated[int, msgspec.Meta(ge=1, le=MAX_MACHINES)] = 3
    proxies: Annotated[int, msgspec.Meta(ge=1, le=MAX_PROXIES)] = 4
    stale_after_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 1.0
    publications_per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)] = 6.0
    keep_s: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 3600.0  # retention of batches
    clocks: Clocks = "any"
    fault: list[Fault] = []


@dataclass(frozen=True)
class FaultProfile:
    """Ranges of plan parameters that together lead to one type of situation.

    `faults` is the range of their number, `durations` their approximate lengths in s, and `keep_s`
    the retention of batches in s.
    """

    kinds: tuple[Kind, ...]
    keep_s: float = 3600.0
    faults: tuple[int, int] = (2, 8)
    durations: tuple[float, ...] = (0.2, 0.6, 1.5, 3.0)
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
    # A proxy is fresh for at most stale_after_s of its clock, counted from a reply whose data is
    # some tenths of a second old.  Clock drift extends this by at most 10% of stale_after_s.  A
    # missing correction is detected only if that is longer than the age of the data, so
    # stale_after_s is long here and the cuts last longer than it.
    FaultProfile(
        ("cut_proxy", "cut_proxy", "cut_proxy", "split", "cut_in", "cut_out"),
        faults=(3, 6),
        durations=(10.0,),
        stale_after_s=(6.0,),
        clocks="apart",
    ),
)


def generate(seed: int) -> Plan:
    """Returns the plan of a seed."""
    rng = random.Random(f"distribution/{seed}")
    profile = rng.choice(FAULT_PROFILES)
    machines, proxies = rng.choice((3, 3, 5)), rng.randint(4, 8)
    seconds = rng.uniform(5.0, 10.0)
    faults = generate_faults(
        rng,
        Fault,
        count=rng.randint(*profile.faults),
        since=1.0,
        until=seconds,
        kinds=profile.kinds,
        targets=MAX_PROXIES,
        durations=profile.durations,
    )
    return Plan(
        seed,
        round(seconds, 3),
        machines,
        proxies,
        rng.choice(profile.stale_after_s),
        rng.choice((3.0, 6.0, 12.0)),
        profile.keep_s,
        profile.clocks,
        faults,
    )


def read(path: Path) -> Plan:
    """Reads a plan from a TOML file.

    Raises ConfigError with a one-line message that names the key.
    """
    return read_as(path, Plan)
