"""Samples traffic, CPU time and memory of all processes, and compares two samples by role."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from .process_usage import TICKS_PER_S, Usage
from .run_fleet import CountedProcess, Fleet
from .run_process import RunProcess
from .run_report import RoleUse, role_use
from .traffic import Traffic

HOLLOW = "proxy, hollow"
REAL = "proxy, real"
REAL_WITHOUT_CONTROL = "proxy, real, without control"
LEADER = "control leader"
FOLLOWER = "control follower"
RELAYS = "relays of the run (no role)"
IDLE_FIELDS = (4, 5)  # numbers, from 1, of the fields idle and iowait in /proc/stat


class UsageSample(msgspec.Struct, frozen=True):
    """The traffic, CPU time and memory of all processes at one time."""

    at: float  # CLOCK_MONOTONIC
    hollow: list[Traffic]  # traffic of each hollow proxy
    counted: dict[str, Traffic]  # by process name: real daemons, control machines
    use: dict[str, Usage]  # by process name
    machine_cpu_s: float  # CPU time of the whole machine


def take_usage_sample(fleet: Fleet) -> UsageSample:
    """Sample all processes now.  A process that has exited has counters, but no entry in `use`."""
    processes = fleet.group.processes
    use = {process.name: process.usage() for process in processes}
    return UsageSample(
        time.monotonic(),
        fleet.hollow_traffic(),
        {counted.process.name: counted.traffic() for counted in fleet.counted_processes()},
        {name: usage for name, usage in use.items() if usage is not None},
        machine_cpu_s(),
    )


def machine_cpu_s() -> float:
    """CPU seconds that all cores together have spent since boot, without idle and iowait."""
    fields = [int(field) for field in Path("/proc/stat").read_text().split("\n")[0].split()[1:9]]
    idle = sum(fields[number - 1] for number in IDLE_FIELDS)
    return (sum(fields) - idle) / TICKS_PER_S


class Roles:
    """Computes what each role used between two samples.

    `leader` is the name of the control machine that led at the first sample.
    """

    def __init__(
        self, fleet: Fleet, before: UsageSample, after: UsageSample, leader: str = ""
    ) -> None:
        self._fleet, self._before, self._after, self._leader = fleet, before, after, leader
        self._seconds = after.at - before.at

    def all(self) -> list[RoleUse]:
        """The use of each role that has processes in this run."""
        fleet = self._fleet
        controls = fleet.controls
        leader = [each for each in controls if each.process.name == self._leader]
        followers = [each for each in controls if each not in leader]
        roles = [
            self._hollow(),
            self._counted(REAL, fleet.real),
            self._counted(
                REAL_WITHOUT_CONTROL,
                [] if fleet.baseline is None else [fleet.baseline],
            ),
            self._counted(LEADER, leader),
            self._counted(FOLLOWER, followers),
            self._relays(),
        ]
        return [role for role in roles if role.processes]

    def _hollow(self) -> RoleUse:
        pairs = zip(self._after.hollow, self._before.hollow, strict=True)
        empty = sum(self._fleet.empty_bytes)
        return role_use(
            HOLLOW,
            [after.since(before) for after, before in pairs],
            self._seconds,
            len(self._fleet.hosts),
            self._cpu_s(self._fleet.hosts),
            max(0.0, self._memory(self._fleet.hosts) - empty),
            note="CPU and memory of the hosts, with datagram delays and synthetic requests",
        )

    def _counted(self, role: str, members: Sequence[CountedProcess]) -> RoleUse:
        names = [each.process.name for each in members]
        after, before = self._after.counted, self._before.counted
        processes = [each.process for each in members]
        ended = [name for name in names if name not in self._after.use]
        return role_use(
            role,
            [after[name].since(before[name]) for name in names],
            self._seconds,
            len(processes),
            self._cpu_s(processes),
            self._memory(processes),
            note=f"without CPU and memory of exited processes: {', '.join(ended)}" if ended else "",
        )

    def _relays(self) -> RoleUse:
        relays = self._fleet.relays
        cpu_s, memory = self._cpu_s(relays), self._memory(relays)
        blocks = [Traffic()] * len(relays)
        return role_use(RELAYS, blocks, self._seconds, len(relays), cpu_s, memory, "not counted")

    def _cpu_s(self, processes: Iterable[RunProcess]) -> float:
        before, after = self._before.use, self._after.use
        names = [process.name for process in processes]
        return sum(
            after[name].cpu_s - before[name].cpu_s
            for name in names
            if name in before and name in after
        )

    def _memory(self, processes: Iterable[RunProcess]) -> float:
        names = [process.name for process in processes]
        return float(
            sum(self._after.use[name].resident_bytes for name in names if name in self._after.use)
        )
