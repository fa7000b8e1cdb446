"""A scale run: starts all processes, warms up, measures, and reports what each role used."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import os
import subprocess
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path

import msgspec

from violetroute.sharing.table import read_keys

from .control_client import ControlClient
from .hollow_host import HostObservations
from .in_force_check import PublicationDelays
from .membership_samples import summarize_membership
from .process_facts import describe_machine
from .run_fleet import Fleet
from .run_load import PublicationLoad
from .run_plan import RunPlan
from .run_report import (
    Percentiles,
    RunReport,
    calibrate,
    delay_percentiles,
    percentiles,
    target_bounds,
)
from .run_sample import HOLLOW, REAL, Roles, UsageSample, take_usage_sample
from .target import load_target
from .time_dilation import REAL_TIME

MAX_LOOP_LAG_S = 0.25  # above it the run's delays are those of an overloaded machine
PROGRESS_INTERVAL_S = 0.5  # s between two updates of the progress bar
SESSIONS_TIMEOUT_S = 40.0  # s for all proxies to open a session with a control machine
IN_FORCE_TIMEOUT_S = 15.0  # s for the last record to be in force after the measurement
FAULT_TIME_SHARE = 1.0 / 3.0  # share of the measured time that passes before faults are injected
PUBLISHER_REGION = 0  # region from which records are published
LOOP_LAG = "event loop of a host, lateness"

Progress = Callable[[str, float], None]  # receives the current activity and the share done


class Measurements(msgspec.Struct, frozen=True, kw_only=True):
    """The raw results of one run.

    `before` and `after` enclose the measured time; `seen` has one entry per host.  The last three
    fields are only set with distribution: the leader at `before`, the delays of publications, and
    the number of publications by outcome.
    """

    before: UsageSample
    after: UsageSample
    seen: list[HostObservations]
    leader: str = ""
    publications: PublicationDelays | None = None
    answers: dict[str, int] = {}


class ScaleRun:
    """One scale run.  `run` leaves no process and no file behind."""

    def __init__(self, plan: RunPlan, progress: Progress) -> None:
        self.plan, self._progress = plan, progress
        self.notes: list[str] = []
        self._killed: set[str] = set()

    async def run(self) -> RunReport:
        """Start, measure and stop the fleet.  Raises ProcessError if a process fails."""
        load_average = os.getloadavg()[0]
        with tempfile.TemporaryDirectory(prefix="scale-") as name:
            fleet = Fleet(
                self.plan, Path(name), lambda activity: self._progress(f"start {activity}", 0.0)
            )
            try:
                await fleet.start()
                measured = await self._measure(fleet)
                return self._report(fleet, measured, load_average)
            finally:
                self._progress("stopping all processes", 1.0)
                await fleet.close()

    async def _measure(self, fleet: Fleet) -> Measurements:
        if not self.plan.distribution:
            return await self._measure_gossip(fleet)
        async with self._client(fleet) as client:
            load = PublicationLoad(self.plan, client)
            try:
                return await self._measure_load(fleet, client, load)
            finally:
                await load.close()

    async def _measure_gossip(self, fleet: Fleet) -> Measurements:
        await self._wait("warming up", self.plan.warm_seconds, fleet)
        await fleet.collect_observations("warm")
        before = take_usage_sample(fleet)
        await self._wait("measuring", self.plan.seconds, fleet)
        after = take_usage_sample(fleet)
        return Measurements(
            before=before, after=after, seen=await fleet.collect_observations("measured")
        )

    async def _measure_load(
        self, fleet: Fleet, client: ControlClient, load: PublicationLoad
    ) -> Measurements:
        self._progress("waiting for all sessions", 0.0)
        if not await load.wait_for_sessions(self.plan.members, SESSIONS_TIMEOUT_S):
            seen = load.status_samples[-1].sessions if load.status_samples else 0
            self.notes.append(
                f"after {SESSIONS_TIMEOUT_S:g} s {seen} of {self.plan.members} sessions"
            )
        await self._wait("warming up", self.plan.warm_seconds, fleet)
        await fleet.collect_observations("warm")
        before, leader = take_usage_sample(fleet), client.leader
        faults = asyncio.create_task(self._inject_faults(fleet, client))
        try:
            await asyncio.gather(load.publish(), self._wait("measuring", self.plan.seconds, fleet))
        finally:
            await self._stop_faults(faults)
        after = take_usage_sample(fleet)
        self._progress("waiting until all records are in force", 1.0)
        await load.wait_until_in_force(IN_FORCE_TIMEOUT_S)
        seen_at_end = await fleet.collect_observations("measured")
        applied = [each for host in seen_at_end for each in host.applied]
        applied += fleet.real_applied()
        return Measurements(
            before=before,
            after=after,
            seen=seen_at_end,
            leader=leader,
            publications=PublicationDelays(load.publications, load.status_samples, applied),
            answers=load.count_answers(),
        )

    @contextlib.asynccontextmanager
    async def _client(self, fleet: Fleet) -> AsyncIterator[ControlClient]:
        addresses = fleet.control_machines.addresses_from(PUBLISHER_REGION)
        client = ControlClient(addresses, read_keys(str(fleet.key_file)))
        try:
            yield client
        finally:
            client.close()

    async def _inject_faults(self, fleet: Fleet, client: ControlClient) -> None:
        await asyncio.sleep(FAULT_TIME_SHARE * self.plan.seconds)
        if self.plan.kill_control:
            self._killed.add(client.leader)
            fleet.control(client.leader).process.kill()
            self.notes.append(
                f"the leader {client.leader} was killed {FAULT_TIME_SHARE:.0%} into the measurement"
            )
        if self.plan.restart_within_s > 0.0:
            killed = self.plan.restart_killed
            await fleet.restart_hollow(self.plan.restart_within_s, killed)
            self.notes.append(
                f"all hollow proxies restarted over {self.plan.restart_within_s:g} s,"
                f" {FAULT_TIME_SHARE:.0%} into the measurement, "
                + ("killed" if killed else "each ending its session first")
            )

    async def _stop_faults(self, faults: asyncio.Task[None]) -> None:
        """Cancel the injection of faults; raise the exception of one that could not be injected.

        If the run itself is cancelled while this waits, that CancelledError is raised here: it is
        not mistaken for the one of the `faults` task.
        """
        faults.cancel()
        await asyncio.wait({faults})
        if not faults.cancelled():
            faults.result()

    async def _wait(self, activity: str, seconds: float, fleet: Fleet) -> None:
        """Wait `seconds`; raise ProcessError if a process exits that was not killed on purpose."""
        began = time.monotonic()
        while (elapsed := time.monotonic() - began) < seconds:
            self._progress(activity, elapsed / seconds)
            await asyncio.sleep(min(PROGRESS_INTERVAL_S, seconds - elapsed))
            for process in fleet.group.processes:
                if process.has_exited and process.name not in self._killed:
                    raise process.error(f"exited during the run ({process.exit_code})")

    # --- the report ---
    def _report(self, fleet: Fleet, measured: Measurements, load_average: float) -> RunReport:
        before, after = measured.before, measured.after
        seconds = after.at - before.at
        roles = Roles(fleet, before, after, measured.leader).all()
        by_name = {role.role: role for role in roles}
        hollow, real = by_name.get(HOLLOW), by_name.get(REAL)
        delays = {LOOP_LAG: loop_lag(measured.seen)}
        publications = measured.publications
        if publications is not None:
            delays |= publications.delays()
        busy_s = after.machine_cpu_s - before.machine_cpu_s
        return RunReport(
            commit=checked_out_commit(),
            taken_at=datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
            machine=describe_machine(load_average),
            plan=self.plan,
            measured_s=seconds,
            roles=tuple(roles),
            delays=delays,
            bounds=target_bounds(load_target(), hollow, delays),
            calibration=None if hollow is None or real is None else calibrate(hollow, real),
            in_force=None if publications is None else publications.check(),
            purges=measured.answers,
            machine_cpu_share=busy_s / (seconds * self.plan.slowdown) / (os.cpu_count() or 1),
            membership=summarize_membership(
                (sample for host in measured.seen for sample in host.membership), before.at
            ),
            notes=(
                *self.notes,
                *slowdown_notes(self.plan),
                *overload_notes(delays[LOOP_LAG]),
                *membership_notes(measured.seen, self.plan),
            ),
        )


def loop_lag(seen: Sequence[HostObservations]) -> Percentiles:
    """The distribution of the timer delays in the event loops of the hosts."""
    return delay_percentiles(lag for host in seen for lag in host.loop_lag)


def slowdown_notes(plan: RunPlan) -> list[str]:
    """A note on the time dilation, if there was any."""
    if plan.slowdown == REAL_TIME:
        return []
    return [
        f"the clocks of all processes ran {plan.slowdown:g} times more slowly: a second in this"
        " report, of a rate, a share or a delay, is a second of these clocks"
    ]


def overload_notes(lateness: Percentiles) -> list[str]:
    """A note if the hosts had too little CPU time for the delays to be meaningful."""
    if lateness.p99 <= MAX_LOOP_LAG_S:
        return []
    return [
        f"the hosts of hollow proxies had too little CPU time (event loops late by"
        f" {lateness.p99:.2f} s at p99): delays and rates show the limits of this machine"
    ]


def membership_notes(seen: Sequence[HostObservations], plan: RunPlan) -> list[str]:
    """Notes on the number of members that the hollow proxies know, or that there is no gossip."""
    sizes = percentiles([float(size) for host in seen for size in host.members_up])
    if not sizes.count:
        return ["no gossip in this run"]
    fewest = min(size for host in seen for size in host.members_up)
    notes = [
        f"members that a hollow proxy knows at the end: mean {sizes.mean:.1f}, fewest {fewest},"
        f" most {sizes.largest:.0f}, of {plan.members}"
    ]
    if current := [size for host in seen for size in host.members_current]:
        notes.append(
            "hollow proxies that one knows as their present process: mean"
            f" {sum(current) / len(current):.1f}, fewest {min(current)}, of {plan.proxies}"
        )
    return notes


def checked_out_commit() -> str:
    """The checked-out commit, with "+" for uncommitted changes; "" without a repository."""
    folder = Path(__file__).parent
    try:
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"],
            cwd=folder,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return described.stdout.strip()
