"""Real control processes and real proxies with relays between them; a plan of faults played on it.

Everything that is said of the run comes from the processes themselves: what callers are answered,
what machines and proxies say of their status, and what the recording proxies applied.  After the
plan everything is healed, and it is waited until all proxies are caught up and fresh.
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

from .judge import Judge, Rule, story
from .links import Links
from .mixed_builds import Builds, Rollout, assign
from .plan import Plan
from .real_faults import RealFaults, send
from .real_proxy import DaemonProxy, NotReady, RealProxy, RecordingProxy, status_of
from .real_publisher import RealPublisher
from .recording import RecordingFile

DRIFT = 0.01  # of the control machines' file
ASK_S = 0.5  # for an answer of a machine
LOOK_S = 0.1  # between two looks at everything
HEAL_WITHIN_S = 40.0  # a bound on waiting, on a busy machine
KEY = "a key of sixteen bytes and more"
TERM_S = 1.0
TIMINGS = {"batch_s": 0.05, "hold_s": 0.25, "spread_s": 0.05}


class RelayedMachines(ControlMachines):
    """Machines that reach each other through relays."""

    links: Links
    stale_after_s: float

    def table(self, number: int) -> dict[str, Any]:
        """The machine's file."""
        table = super().table(number)
        own = f"c{number}"
        for machine in table["machine"]:
            if machine["name"] != own:
                machine["address"] = self.links.address(own, machine["name"])
        table["timings"] = TIMINGS | {"stale_after_s": self.stale_after_s, "drift": DRIFT}
        return table


@dataclass
class RealOutcome:
    """What came of a plan."""

    plan: Plan
    violations: list[Violation]
    committed: int
    applied: int
    healed_after_s: float
    seconds: float
    replaced: int = 0  # processes, by a rollout
    leaders_replaced: int = 0
    notes: list[tuple[float, str]] = field(default_factory=list)

    @property
    def trace(self) -> str:
        """What happened, and what was broken."""
        return story(self.notes, self.violations)


class Rig:
    """One plan on real processes.

    `drops_every`: the first proxy does not apply the batches at every such position, which it
    acknowledges all the same; 0: it applies all.  `builds`: None: all processes run this one.
    """

    def __init__(
        self, plan: Plan, folder: Path, drops_every: int = 0, builds: Builds | None = None
    ) -> None:
        self.plan, self.folder, self.drops_every = plan, folder, drops_every
        self.builds = builds
        self.judge = Judge(plan.stale_after_s, DRIFT)
        self.notes: list[tuple[float, str]] = []
        self._began = 0.0
        self._ended = False
        self.recovering: set[str] = set()  # machines that lost their disk and are not whole yet
        self.twins: list[RecordingProxy] = []
        self._twin_count = 0
        self.leader = ""  # by the latest status of a machine that says that it leads
        self._last_position = 0

    @property
    def now(self) -> float:
        """Seconds of the rig's clock."""
        return asyncio.get_running_loop().time()

    def note(self, what: str) -> None:
        """A line of the story."""
        self.notes.append((self.now - self._began, what))

    # --- one run ---
    async def play(self) -> RealOutcome:
        """Start, faults, healing, the end of all processes."""
        began = self._began = self.now
        healed_after_s = 0.0
        await self._prepare()
        tasks: list[asyncio.Task[None]] = []
        try:
            await self.machines.start()
            await asyncio.gather(*(proxy.start() for proxy in self.proxies))
            self._began = self.now
            tasks = [
                asyncio.create_task(self.publisher.run()),
                asyncio.create_task(self._looks()),
            ]
            await self._schedule()
            healed_after_s = await self._heal()
        except (UnreadyError, DaemonStartError, NotReady) as error:
            self.judge.complain(Rule.CRASH, f"a process did not start: {error}")
        finally:
            self._ended = True
            await run_cleanup(self._close([*tasks, *self.faults.tasks]))
        judge, rollout = self.judge, self.rollout
        return RealOutcome(
            self.plan,
            judge.violations,
            len(judge.publications),
            judge.applied_batches,
            healed_after_s,
            self.now - began,
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
            self.folder, ports, on_log_line=self._told, fleet={"term_s": TERM_S, "look_s": 0.1}
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
        self.asked = Machines(
            [parse_address(address) for address in self.machines.addresses],
            read_keys(str(self.machines.key_file)),
            ASK_S,
        )
        self.publisher = RealPublisher(plan, self.asked, self.judge, self.note)

    def _proxy(self, name: str) -> RecordingProxy | DaemonProxy:
        """The last one is a whole daemon."""
        controls = tuple(self.links.address(name, machine) for machine in self.names)
        file = RecordingFile(
            name, controls, KEY, str(self.folder / f"{name}.sock"), self.plan.stale_after_s
        )
        if name == self.proxy_names[0]:
            file = msgspec.structs.replace(file, drops_every=self.drops_every)
        if name == self.proxy_names[-1]:
            return DaemonProxy(self.folder, file, self.machines.key_file, self._daemon_port)
        return RecordingProxy(self.folder, file, self.judge)

    def make_twin(self, name: str) -> RecordingProxy:
        """A second proxy of this name.  It reaches the machines without relays."""
        self._twin_count += 1
        folder = self.folder / f"twin{self._twin_count}"
        folder.mkdir()
        file = RecordingFile(
            name,
            tuple(self.machines.addresses),
            KEY,
            str(folder / f"{name}.sock"),
            self.plan.stale_after_s,
        )
        twin = RecordingProxy(folder, file, self.judge)
        self.twins.append(twin)
        return twin

    def _told(self, line: str) -> None:
        if "control.fault" in line or "control.ends" in line:
            self.judge.complain(Rule.CRASH, line[:300])
        if len(self.notes) < 5000:
            self.note(f"  {line[:200]}")

    async def _close(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        for done in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(done, Exception):
                self.judge.complain(Rule.CRASH, f"the rig: {type(done).__name__}: {done}")
        for process in self.machines.processes:
            send(process, signal.SIGCONT)
        await self.machines.stop()
        for proxy in self.proxies:
            await (proxy.close() if isinstance(proxy, DaemonProxy) else proxy.kill())
        await self.links.stop()

    # --- looking ---
    async def _looks(self) -> None:
        while not self._ended:
            await self._look()
            await asyncio.sleep(LOOK_S)

    async def _look(self) -> None:
        """Machines first: what is in force by then has to be applied when proxies are asked."""
        numbers = range(len(self.names))
        statuses = await asyncio.gather(*(self.status_of_machine(number) for number in numbers))
        for status in statuses:
            if status is not None:
                self._machine_seen(status)
        await asyncio.gather(*(self._look_at(proxy) for proxy in (*self.proxies, *self.twins)))

    async def status_of_machine(self, number: int) -> StatusReply | None:
        """What a control machine says of itself; None where it does not answer in time."""
        address = self.asked.addresses[number]
        try:
            reply: StatusReply = await send_request(self.asked, address, StatusRequest(0))
        except NoAnswerError:
            return None
        return reply

    def _machine_seen(self, status: StatusReply) -> None:
        (self.recovering.add if status.recovering else self.recovering.discard)(status.replica)
        if status.leader != status.replica:
            return
        self.leader = status.leader
        last = status.last
        if status.commit == last.position and last.fence == status.fence:
            self.judge.leader_seen(
                self.now, status.replica, status.fence, status.commit, lambda position: None
            )
        if status.in_force > self.judge.in_force:
            self.judge.in_force_reported(self.now, status.in_force)

    async def _look_at(self, proxy: RealProxy) -> None:
        if not proxy.running:
            return
        asked_at = self.now
        status = await status_of(proxy)
        if status is not None:
            self.judge.proxy_seen(
                asked_at, proxy.name, status.incarnation, status.fresh, status.position
            )

    # --- faults ---
    async def _schedule(self) -> None:
        """All faults, and beside them the rollout to its end."""
        rollout = asyncio.create_task(self.rollout.play() if self.rollout else asyncio.sleep(0.0))
        try:
            await self._begin_faults()
            await rollout
        finally:
            rollout.cancel()
            await asyncio.gather(rollout, return_exceptions=True)

    async def _begin_faults(self) -> None:
        for fault in self.plan.fault:
            await asyncio.sleep(max(0.0, self._began + fault.at - self.now))
            self.faults.begin(fault)
        await asyncio.sleep(max(0.0, self._began + self.plan.seconds - self.now))

    # --- the end ---
    async def _heal(self) -> float:
        """Undo all faults; seconds until everything has gone on."""
        await self.faults.heal()
        self.note("healed")
        began = self.now
        await self._until(self._publishes_last, "the last publication is not committed")
        for proxy in self.proxies:
            await self._until(lambda proxy=proxy: self._caught_up(proxy), proxy.name)  # type: ignore[misc]
        await self._until(self._in_force, "the last publication is not in force")
        await self._until(self._recovered, "a machine still recovers")
        healed_after_s = self.now - began
        self._all_run()
        self.judge.finish(self._last_position, await self._fresh())
        return healed_after_s

    def _all_run(self) -> None:
        for name, process in zip(self.names, self.machines.processes, strict=True):
            if not process.running:
                self.judge.complain(Rule.CRASH, f"{name} has ended: {process.log[-1:]}")

    async def _fresh(self) -> list[tuple[str, str]]:
        """Name and incarnation of the recording proxies that believe themselves fresh."""
        found = []
        for proxy in self.proxies:
            status = await status_of(proxy) if isinstance(proxy, RecordingProxy) else None
            if status is not None and status.fresh:
                found.append((proxy.name, status.incarnation))
        return found

    async def _until(self, done: Callable[[], Awaitable[bool]], what: str) -> None:
        end = self.now + HEAL_WITHIN_S
        while not await done():
            if self.now > end:
                self.judge.complain(Rule.PROGRESS, f"{HEAL_WITHIN_S:g} s after: {what}")
                return
            await asyncio.sleep(LOOK_S)

    async def _publishes_last(self) -> bool:
        self._last_position = await self.publisher.publish()
        return self._last_position > 0

    async def _caught_up(self, proxy: RealProxy) -> bool:
        status = await status_of(proxy)
        return status is not None and status.fresh and status.position >= self._last_position

    async def _in_force(self) -> bool:
        return self.judge.in_force >= self._last_position

    async def _recovered(self) -> bool:
        return not self.recovering


def play(plan: Plan, drops_every: int = 0, builds: Builds | None = None) -> RealOutcome:
    """One plan, in a folder of its own that is gone afterwards."""
    with tempfile.TemporaryDirectory(prefix="lb-distribution-") as folder:
        return run(Rig(plan, Path(folder), drops_every, builds).play())
