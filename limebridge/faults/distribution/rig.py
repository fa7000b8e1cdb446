"""Runs a plan of faults on real control processes and real proxies, connected through relays.

All observations come from the processes themselves: replies to publications, the status of control
machines and proxies, and the batches that recording proxies applied.  After the plan all faults are
undone, and the run waits until every proxy has caught up and is fresh.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from limebridge.child import DaemonStartError
from limebridge.control.control_client import Machines, NoAnswerError, send_request
from limebridge.control.process import ControlMachines, UnreadyError
from limebridge.faults.interruption import run, run_cleanup
from limebridge.faults.violation import Violation
from limebridge.ports import free_ports
from violetroute.distribution.messages import StatusReply, StatusRequest
from violetroute.sharing.table import read_keys
from violetroute.transport import parse_address

from .checker import Rule, RuleChecker, format_trace
from .links import Links
from .mixed_builds import Builds, Rollout, assign
from .plan import Plan
from .real_faults import RealFaults, send_signal
from .real_proxy import DaemonProxy, ProxyStartError, RealProxy, RecordingProxy, status_of
from .real_publisher import RealPublisher
from .recording import RecordingFile

DRIFT = 0.01  # `drift` in the control machines' file
REQUEST_TIMEOUT_S = 0.5  # s for the reply of a control machine
OBSERVE_INTERVAL_S = 0.1
HEAL_TIMEOUT_S = 40.0  # long enough for a busy computer
KEY = "a key of sixteen bytes and more"
LEASE_TERM_S = 1.0
TIMINGS = {"batch_s": 0.05, "hold_s": 0.25, "spread_s": 0.05}


class RelayedMachines(ControlMachines):
    """Control machines that reach each other through the relays of `links`."""

    links: Links
    stale_after_s: float

    def table(self, number: int) -> dict[str, Any]:
        """The settings file of a machine, as a TOML table, with relay addresses of the others."""
        table = super().table(number)
        own_name = f"c{number}"
        for machine in table["machine"]:
            if machine["name"] != own_name:
                machine["address"] = self.links.address(own_name, machine["name"])
        table["timings"] = TIMINGS | {"stale_after_s": self.stale_after_s, "drift": DRIFT}
        return table


@dataclass
class RealOutcome:
    """The result of one plan.

    `committed` counts publications, `applied` the batches of all recording proxies.
    `healed_after_s` is the time from the undoing of all faults until everything had caught up.
    """

    plan: Plan
    violations: list[Violation]
    committed: int
    applied: int
    healed_after_s: float
    seconds: float
    replaced: int = 0  # processes that a rollout replaced
    leaders_replaced: int = 0
    notes: list[tuple[float, str]] = field(default_factory=list)

    @property
    def trace(self) -> str:
        """The notes of the run, and the violations, one per line."""
        return format_trace(self.notes, self.violations)


class Rig:
    """Runs one plan on real processes, with all their files in `folder`.

    `drops_every` is a planted fault: the first proxy acknowledges the batches at positions that are
    multiples of it, but does not apply them; 0: it applies all.  `builds` is None if all processes
    run this build.
    """

    def __init__(
        self, plan: Plan, folder: Path, drops_every: int = 0, builds: Builds | None = None
    ) -> None:
        self.plan, self.folder, self.drops_every = plan, folder, drops_every
        self.builds = builds
        self.checker = RuleChecker(plan.stale_after_s, DRIFT)
        self.notes: list[tuple[float, str]] = []
        self._started_at = 0.0
        self._stopping = False
        self.recovering: set[str] = set()  # machines whose status says so, after a lost disk
        self.duplicates: list[RecordingProxy] = []
        self._duplicate_count = 0
        self.leader = ""  # the machine that was last to report itself as leader
        self._last_position = 0

    @property
    def now(self) -> float:
        """Seconds of the event loop's clock, which is the observer's clock here."""
        return asyncio.get_running_loop().time()

    def note(self, message: str) -> None:
        """Appends a line to the trace, with the time since the start."""
        self.notes.append((self.now - self._started_at, message))

    # --- one run ---
    async def run(self) -> RealOutcome:
        """Starts all processes, runs the faults, waits for recovery and ends all processes."""
        rig_started_at = self._started_at = self.now
        healed_after_s = 0.0
        await self._prepare()
        tasks: list[asyncio.Task[None]] = []
        try:
            await self.machines.start()
            await asyncio.gather(*(proxy.start() for proxy in self.proxies))
            self._started_at = self.now
            tasks = [
                asyncio.create_task(self.publisher.run()),
                asyncio.create_task(self._observe_until_stopped()),
            ]
            await self._run_faults_and_rollout()
            healed_after_s = await self._heal()
        except (UnreadyError, DaemonStartError, ProxyStartError) as error:
            self.checker.report_violation(Rule.CRASH, f"a process did not start: {error}")
        finally:
            self._stopping = True
            await run_cleanup(self._close([*tasks, *self.faults.tasks]))
        checker, rollout = self.checker, self.rollout
        return RealOutcome(
            self.plan,
            checker.violations,
            len(checker.publications),
            checker.applied_batches,
            healed_after_s,
            self.now - rig_started_at,
            rollout.replaced if rollout else 0,
            rollout.leaders_replaced if rollout else 0,
            self.notes,
        )

    async def _prepare(self) -> None:
        plan = self.plan
        *ports, self._daemon_port = free_ports(plan.machines + 1)
        self.names = [f"c{number}" for number in range(plan.machines)]
        self.proxy_names = [f"p{number}" for number in range(plan.proxies)]
        self.links = Links(
            [*self.names, *self.proxy_names],
            dict(zip(self.names, ports, strict=True)),
            plan.seed,
        )
        await self.links.start()
        self.machines = RelayedMachines(
            self.folder,
            ports,
            on_log_line=self._on_log_line,
            fleet={"term_s": LEASE_TERM_S, "look_s": 0.1},
        )
        self.machines.links = self.links
        self.machines.stale_after_s = plan.stale_after_s
        self.machines.write()
        self.machines.key_file.write_text(KEY + "\n")
        self.proxies = [self._proxy(name) for name in self.proxy_names]
        self.faults = RealFaults(self)
        self.rollout: Rollout | None = None
        if self.builds is not None:
            assign(self.builds, self)
            self.rollout = Rollout(self, self.builds) if self.builds.rolling else None
        self.query_targets = Machines(
            [parse_address(address) for address in self.machines.addresses],
            read_keys(str(self.machines.key_file)),
            REQUEST_TIMEOUT_S,
        )
        self.publisher = RealPublisher(plan, self.query_targets, self.checker, self.note)

    def _proxy(self, name: str) -> RecordingProxy | DaemonProxy:
        """The proxy of this name: the last one is a complete daemon, the others only record."""
        controls = tuple(self.links.address(name, machine) for machine in self.names)
        file = RecordingFile(
            name, controls, KEY, str(self.folder / f"{name}.sock"), self.plan.stale_after_s
        )
        if name == self.proxy_names[0]:
            file = msgspec.structs.replace(file, drops_every=self.drops_every)
        if name == self.proxy_names[-1]:
            return DaemonProxy(self.folder, file, self.machines.key_file, self._daemon_port)
        return RecordingProxy(self.folder, file, self.checker)

    def make_duplicate(self, name: str) -> RecordingProxy:
        """Creates a second proxy of this name, which reaches the machines without relays."""
        self._duplicate_count += 1
        folder = self.folder / f"twin{self._duplicate_count}"
        folder.mkdir()
        file = RecordingFile(
            name,
            tuple(self.machines.addresses),
            KEY,
            str(folder / f"{name}.sock"),
            self.plan.stale_after_s,
        )
        duplicate = RecordingProxy(folder, file, self.checker)
        self.duplicates.append(duplicate)
        return duplicate

    def _on_log_line(self, line: str) -> None:
        if "control.fault" in line or "control.ends" in line:
            self.checker.report_violation(Rule.CRASH, line[:300])
        if len(self.notes) < 5000:
            self.note(f"  {line[:200]}")

    async def _close(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self.checker.report_violation(
                    Rule.CRASH, f"the rig: {type(result).__name__}: {result}"
                )
        for process in self.machines.processes:
            send_signal(process, signal.SIGCONT)
        await self.machines.stop()
        for proxy in self.proxies:
            await (proxy.close() if isinstance(proxy, DaemonProxy) else proxy.kill())
        await self.links.stop()

    # --- observations ---
    async def _observe_until_stopped(self) -> None:
        while not self._stopping:
            await self._observe()
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    async def _observe(self) -> None:
        """Queries the machines before the proxies.

        Whatever was in force in a machine's status has to be applied in a later one of a proxy.
        """
        numbers = range(len(self.names))
        statuses = await asyncio.gather(*(self.status_of_machine(number) for number in numbers))
        for status in statuses:
            if status is not None:
                self._observe_machine(status)
        await asyncio.gather(
            *(self._observe_proxy(proxy) for proxy in (*self.proxies, *self.duplicates))
        )

    async def status_of_machine(self, number: int) -> StatusReply | None:
        """The status of a control machine; None if it does not reply in time."""
        address = self.query_targets.addresses[number]
        try:
            reply: StatusReply = await send_request(self.query_targets, address, StatusRequest(0))
        except NoAnswerError:
            return None
        return reply

    def _observe_machine(self, status: StatusReply) -> None:
        (self.recovering.add if status.recovering else self.recovering.discard)(status.replica)
        if status.leader != status.replica:
            return
        self.leader = status.leader
        last = status.last
        if status.commit == last.position and last.fence == status.fence:
            self.checker.leader_observed(
                self.now, status.replica, status.fence, status.commit, lambda position: None
            )
        if status.in_force > self.checker.in_force:
            self.checker.in_force_reported(self.now, status.in_force)

    async def _observe_proxy(self, proxy: RealProxy) -> None:
        if not proxy.running:
            return
        sent_at = self.now
        status = await status_of(proxy)
        if status is not None:
            self.checker.proxy_observed(
                sent_at, proxy.name, status.incarnation, status.fresh, status.position
            )

    # --- faults ---
    async def _run_faults_and_rollout(self) -> None:
        """Runs all faults while the rollout runs to its end."""
        rollout = asyncio.create_task(self.rollout.run() if self.rollout else asyncio.sleep(0.0))
        try:
            await self._start_faults()
            await rollout
        finally:
            rollout.cancel()
            await asyncio.gather(rollout, return_exceptions=True)

    async def _start_faults(self) -> None:
        for fault in self.plan.fault:
            await asyncio.sleep(max(0.0, self._started_at + fault.at - self.now))
            self.faults.start(fault)
        await asyncio.sleep(max(0.0, self._started_at + self.plan.seconds - self.now))

    # --- end of the run ---
    async def _heal(self) -> float:
        """Undoes all faults; returns the seconds until everything had caught up."""
        await self.faults.heal()
        self.note("healed")
        healing_started_at = self.now
        await self._wait_until(self._publish_last, "the last publication is not committed")
        for proxy in self.proxies:
            await self._wait_until(lambda proxy=proxy: self._caught_up(proxy), proxy.name)  # type: ignore[misc]
        await self._wait_until(self._in_force, "the last publication is not in force")
        await self._wait_until(self._recovered, "a machine still recovers")
        healed_after_s = self.now - healing_started_at
        self._check_all_running()
        self.checker.finish(self._last_position, await self._fresh_proxies())
        return healed_after_s

    def _check_all_running(self) -> None:
        for name, process in zip(self.names, self.machines.processes, strict=True):
            if not process.running:
                self.checker.report_violation(Rule.CRASH, f"{name} has ended: {process.log[-1:]}")

    async def _fresh_proxies(self) -> list[tuple[str, str]]:
        """Name and incarnation of the recording proxies that consider themselves fresh."""
        fresh_proxies = []
        for proxy in self.proxies:
            status = await status_of(proxy) if isinstance(proxy, RecordingProxy) else None
            if status is not None and status.fresh:
                fresh_proxies.append((proxy.name, status.incarnation))
        return fresh_proxies

    async def _wait_until(self, condition: Callable[[], Awaitable[bool]], message: str) -> None:
        deadline = self.now + HEAL_TIMEOUT_S
        while not await condition():
            if self.now > deadline:
                self.checker.report_violation(
                    Rule.PROGRESS, f"no recovery within {HEAL_TIMEOUT_S:g} s: {message}"
                )
                return
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    async def _publish_last(self) -> bool:
        self._last_position = await self.publisher.publish()
        return self._last_position > 0

    async def _caught_up(self, proxy: RealProxy) -> bool:
        status = await status_of(proxy)
        return status is not None and status.fresh and status.position >= self._last_position

    async def _in_force(self) -> bool:
        return self.checker.in_force >= self._last_position

    async def _recovered(self) -> bool:
        return not self.recovering


def run_plan(plan: Plan, drops_every: int = 0, builds: Builds | None = None) -> RealOutcome:
    """Runs one plan in a temporary folder; `drops_every` and `builds` are those of `Rig`."""
    with tempfile.TemporaryDirectory(prefix="lb-distribution-") as folder:
        return run(Rig(plan, Path(folder), drops_every, builds).run())
