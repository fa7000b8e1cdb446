"""Several installed daemons that share a budget, with a relay on each way between two of them.

Clients ask one proxy for more than all may let in and the others for little; a cache node counts
what comes.  Faults are those of the plan: signals to processes, and ways that are cut, lose, copy,
delay and reorder datagrams.  Afterwards all is healed, and the budget has to be spent again.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path as FilePath

from limebridge.child import Child, DaemonStartError
from limebridge.faults.interruption import run, run_cleanup
from limebridge.faults.launch import daemon_command
from limebridge.faults.relay import DatagramRelay, Impairment
from limebridge.faults.violation import Violation
from limebridge.ports import free_ports
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import reply

from . import judge
from .client import Client
from .daemon import Daemon
from .judge import Admission, Note, Seen
from .plan import Fault, Plan, Way, cut_ways

LOADED = 1.6  # times the budget that the loaded proxy is asked for
IDLE = 1.0  # requests a second of each other
HEAL = 4.0  # s after the faults, and three loans
ENOUGH = 0.7  # of the budget that is spent in the last two seconds, on a machine as busy as it is
STEP = 0.02  # s between looks whether the rig itself is late


@dataclass
class Outcome:
    """What came of a plan."""

    plan: Plan
    seen: Seen
    violations: list[Violation] = field(default_factory=list)
    again: float = 0.0
    asked: int = 0
    refused: int = 0


class Rig:
    """`patch`: a file whose plant() every daemon runs first."""

    def __init__(self, plan: Plan, folder: FilePath, patch: str = "") -> None:
        self.plan, self.folder = plan, folder
        self.command = daemon_command(patch)
        self.seen, self.violations = Seen(), list[Violation]()
        self.rates = [IDLE] * plan.daemons
        self.rates[-1] = LOADED * plan.per_s
        self.ids: Counter[bytes] = Counter()
        self.refused = 0
        self.ends = False
        self.faults: list[asyncio.Task[None]] = []
        self.daemons: list[Daemon] = []
        self.clients: list[Client] = []
        self.twins: list[Child] = []
        self.cut: Counter[Way] = Counter()  # how many faults cut it
        self.rng = random.Random(f"rig/{plan.seed}")

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def complain(self, rule: str, text: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, text))

    def note(self, text: str) -> None:
        """Record what happens, for the story."""
        self.seen.notes.append(Note(self.now, text))

    async def play(self) -> Outcome:
        await self._open()
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._start_daemons()
            tasks += [asyncio.create_task(client.run()) for client in self.clients]
            tasks.append(asyncio.create_task(self._lateness()))
            await self._schedule()
            await self._heal()
            await asyncio.sleep(HEAL + 3.0 * self.plan.loan_s)
            end = self.now
            self.ends = True
            await asyncio.gather(*tasks)
            await asyncio.gather(*(daemon.ends(hard=False) for daemon in self.daemons))
        except DaemonStartError as error:
            self.complain("starts", str(error))
            end = self.now
        finally:
            await run_cleanup(self._end_all(tasks))
        return self._judge(end)

    async def _open(self) -> None:
        """Start the relays and stand-ins that the daemons need."""
        plan = self.plan
        self.key = self.folder / "key"
        self.key.write_text(f"a key of the rig {plan.seed}\n")
        ports = free_ports(2 * plan.daemons)
        self.daemons = [Daemon(self, number, ports[number]) for number in range(plan.daemons)]
        self.clients = [Client(self, daemon) for daemon in self.daemons]
        self.spare = ports[plan.daemons :]
        self.relays = {
            (here, there): await DatagramRelay(ports[there], f"{plan.seed}/{here}/{there}").start()
            for here in range(plan.daemons)
            for there in range(plan.daemons)
            if here != there
        }
        self.discovery = await Discovery().start()
        self.node = await CacheNode(self._serves).start()
        self.known = [self.node.entry("s-0")]

    async def _start_daemons(self) -> None:
        self.seen.began = self.now
        # All of them come to an end before one's failure is told: none may start afterwards.
        for failed in await asyncio.gather(
            *(daemon.start() for daemon in self.daemons), return_exceptions=True
        ):
            if isinstance(failed, BaseException):
                raise failed
        self.seen.began = self.now

    async def _end_all(self, tasks: list[asyncio.Task[None]]) -> None:
        """No fault goes on, so that none starts a daemon; all daemons and stand-ins end."""
        self.ends = True
        for task in (*tasks, *self.faults):
            task.cancel()
        await asyncio.gather(*tasks, *self.faults, return_exceptions=True)
        for child in (*self.twins, *(c for d in self.daemons for c in d.children)):
            await child.kill()
        for relay in self.relays.values():
            relay.stop()
        await self.discovery.stop()
        await self.node.stop()

    def _judge(self, end: float) -> Outcome:
        plan, seen = self.plan, self.seen
        self.violations += judge.broken(plan, seen, real=True)
        again = judge.share(plan, seen, end - 2.0, end)
        if again < ENOUGH:
            self.complain("goes on", f"{again:.3f} of the budget is spent in the end")
        twice = [id_ for id_, times in self.ids.items() if times > 1]
        if twice:
            self.complain("no effect twice", f"{twice[0].decode()} came {self.ids[twice[0]]} times")
        for daemon, client in zip(self.daemons, self.clients, strict=True):
            if client.answered != client.sent:
                self.complain(
                    "no request lost",
                    f"{daemon.name}: {client.sent} asked, {client.answered} answered",
                )
        return Outcome(
            plan,
            seen,
            self.violations,
            again,
            sum(client.sent for client in self.clients),
            self.refused,
        )

    async def _serves(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        id_ = words[2]
        if words[0] == b"OBJ.SET":
            self.ids[id_] += 1
        self.seen.spent.append(Admission(self.now, id_.partition(b"-")[0].decode()))
        writer.write(reply(b"value"))

    async def _lateness(self) -> None:
        while not self.ends:
            due = self.now + STEP
            await asyncio.sleep(STEP)
            self.seen.late = max(self.seen.late, self.now - due)

    # --- faults ---
    async def _schedule(self) -> None:
        tasks = self.faults
        for fault in self.plan.fault:
            await asyncio.sleep(max(0.0, self.seen.began + fault.at - self.now))
            self.note(f"{fault.kind} p{fault.who % self.plan.daemons} for {fault.seconds}")
            tasks.append(asyncio.create_task(self._fault(fault)))
        await asyncio.sleep(max(0.0, self.seen.began + self.plan.seconds - self.now))
        await asyncio.gather(*tasks)

    async def _fault(self, fault: Fault) -> None:
        daemon = self.daemons[fault.who % self.plan.daemons]
        match fault.kind:
            case "kill" | "term":
                await self._restart(daemon, fault.kind == "kill", fault.seconds)
            case "all":
                await asyncio.gather(*(self._restart(each, True, 0.1) for each in self.daemons))
            case "stop":
                async with daemon.busy:
                    await self._stop(daemon, fault.seconds)
            case "twin":
                port = self.spare.pop()
                self.twins.append(await daemon.start(f"{daemon.name}-twin{port}", port))
            case "cut" | "deaf" | "mute" | "split":
                await self._cut(fault)
            case "loss":
                await self._disturb(Impairment(drop=0.3), fault.seconds)
            case "storm":
                await self._disturb(
                    Impairment(duplicate=0.3, jitter=0.3, reorder=0.3), fault.seconds
                )
            case "crowd":
                before, self.rates = self.rates, [self.plan.per_s / 2.0] * self.plan.daemons
                await asyncio.sleep(fault.seconds)
                self.rates = before
            case "moves":
                self.rates = self.rates[1:] + self.rates[:1]

    async def _cut(self, fault: Fault) -> None:
        """Cut ways for a while; one that two faults cut is cut until both are over."""
        ways = cut_ways(fault, self.plan.daemons)
        self.cut.update(ways)
        self._set_paths()
        await asyncio.sleep(fault.seconds)
        self.cut.subtract(ways)
        self._set_paths()

    async def _disturb(self, path: Impairment, seconds: float) -> None:
        """Lose, delay or copy datagrams on all ways for a while."""
        for relay in self.relays.values():
            relay.forward = relay.backward = path
        await asyncio.sleep(seconds)
        self._set_paths()

    def _set_paths(self) -> None:
        """All ways are sound but those that are cut."""
        for way, relay in self.relays.items():
            relay.forward = relay.backward = Impairment(cut=self.cut[way] > 0)

    async def _restart(self, daemon: Daemon, hard: bool, seconds: float) -> None:
        if daemon.busy.locked():
            return
        async with daemon.busy:
            await daemon.ends(hard)
            await asyncio.sleep(seconds)
            await daemon.start()

    async def _stop(self, daemon: Daemon, seconds: float) -> None:
        if daemon.child is None or not daemon.up:
            return
        with contextlib.suppress(ProcessLookupError):
            os.kill(daemon.child.pid, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            os.kill(daemon.child.pid, signal.SIGCONT)

    async def _heal(self) -> None:
        self.cut.clear()
        self._set_paths()
        for twin in self.twins:
            if not await twin.term():
                self.complain("ends", f"a twin did not drain: {twin.last_line}")
        for daemon in self.daemons:
            if daemon.child is None or daemon.child.ended:
                last = daemon.child.last_line if daemon.child else ""
                self.complain("ends", f"{daemon.name} crashed: {last}")
        self.seen.healed_at = self.now


def play(plan: Plan, patch: str = "") -> Outcome:
    """One plan, in a folder of its own that is gone afterwards."""
    with tempfile.TemporaryDirectory(prefix="sharing-") as folder:
        return run(Rig(plan, FilePath(folder), patch).play())
