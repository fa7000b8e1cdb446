"""Runs a plan on installed daemons that share a budget, with a UDP relay on each link.

Clients send one proxy more requests than the whole fleet may admit, and few to the others; a cache
node counts the requests that arrive.  The faults of the plan are signals to processes, and links
that are cut or lose, duplicate, delay and reorder datagrams.  Then all faults are healed, and the
fleet must spend the budget again.
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

from . import checker
from .checker import Admission, Note, Observed
from .client import Client
from .daemon import Daemon
from .plan import Fault, Link, Plan, cut_links

LOAD_FACTOR = 1.6  # load of the loaded proxy, in budgets
IDLE_RATE = 1.0  # requests a second at each other proxy
HEAL_S = 4.0  # run time after healing, in addition to three loan times
# Share of the budget that must be spent in the last two seconds.  Below 1, since other programs use
# the machine as well.
MIN_FINAL_SHARE = 0.7
LAG_INTERVAL_S = 0.02  # interval of the timer that measures the rig's own lag


@dataclass
class Outcome:
    """The result of a plan."""

    plan: Plan
    observed: Observed
    violations: list[Violation] = field(default_factory=list)
    final_share: float = 0.0  # share of the budget spent in the last two seconds
    sent: int = 0  # requests
    refused: int = 0  # requests


class Rig:
    """The daemons, relays, clients and stand-ins of one run.

    `patch`: path of a file whose plant() every daemon calls first, "" for none.
    """

    def __init__(self, plan: Plan, folder: FilePath, patch: str = "") -> None:
        self.plan, self.folder = plan, folder
        self.command = daemon_command(patch)
        self.observed, self.violations = Observed(), list[Violation]()
        self.rates = [IDLE_RATE] * plan.daemons
        self.rates[-1] = LOAD_FACTOR * plan.per_s
        self.set_counts: Counter[bytes] = Counter()  # arrivals of each OBJ.SET at the node, by ID
        self.refused = 0
        self.ending = False  # clients stop sending
        self.fault_tasks: list[asyncio.Task[None]] = []
        self.daemons: list[Daemon] = []
        self.clients: list[Client] = []
        self.duplicates: list[Child] = []
        self.cut_counts: Counter[Link] = Counter()  # active faults that cut a link
        self.rng = random.Random(f"rig/{plan.seed}")

    @property
    def now(self) -> float:
        """Current time in s of the event loop."""
        return asyncio.get_running_loop().time()

    def report_violation(self, rule: str, text: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, text))

    def note(self, text: str) -> None:
        """Add an event to the trace, at the current time."""
        self.observed.notes.append(Note(self.now, text))

    async def run(self) -> Outcome:
        """Start everything, apply the faults, heal them, wait, end everything and check."""
        await self._start_stand_ins()
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._start_daemons()
            tasks += [asyncio.create_task(client.run()) for client in self.clients]
            tasks.append(asyncio.create_task(self._measure_lag()))
            await self._apply_faults()
            await self._heal()
            await asyncio.sleep(HEAL_S + 3.0 * self.plan.loan_s)
            end = self.now
            self.ending = True
            await asyncio.gather(*tasks)
            await asyncio.gather(*(daemon.terminate(hard=False) for daemon in self.daemons))
        except DaemonStartError as error:
            self.report_violation("starts", str(error))
            end = self.now
        finally:
            await run_cleanup(self._end_all(tasks))
        return self._check(end)

    async def _start_stand_ins(self) -> None:
        """Start the relays, the discovery and the cache node that the daemons need."""
        plan = self.plan
        self.key_file = self.folder / "key"
        self.key_file.write_text(f"a key of the rig {plan.seed}\n")
        ports = free_ports(2 * plan.daemons)
        self.daemons = [Daemon(self, number, ports[number]) for number in range(plan.daemons)]
        self.clients = [Client(self, daemon) for daemon in self.daemons]
        self.spare_ports = ports[plan.daemons :]
        self.relays = {
            (here, there): await DatagramRelay(ports[there], f"{plan.seed}/{here}/{there}").start()
            for here in range(plan.daemons)
            for there in range(plan.daemons)
            if here != there
        }
        self.discovery = await Discovery().start()
        self.node = await CacheNode(self._serve).start()
        self.node_entries = [self.node.entry("s-0")]

    async def _start_daemons(self) -> None:
        self.observed.started_at = self.now
        # Raise a failure only after all starts have finished: none may start a process afterwards.
        for result in await asyncio.gather(
            *(daemon.start() for daemon in self.daemons), return_exceptions=True
        ):
            if isinstance(result, BaseException):
                raise result
        self.observed.started_at = self.now

    async def _end_all(self, tasks: list[asyncio.Task[None]]) -> None:
        """End all daemons and stand-ins.

        The faults are cancelled first, since one of them may start a daemon.
        """
        self.ending = True
        for task in (*tasks, *self.fault_tasks):
            task.cancel()
        await asyncio.gather(*tasks, *self.fault_tasks, return_exceptions=True)
        for child in (*self.duplicates, *(c for d in self.daemons for c in d.children)):
            await child.kill()
        for relay in self.relays.values():
            relay.stop()
        await self.discovery.stop()
        await self.node.stop()

    def _check(self, end: float) -> Outcome:
        plan, observed = self.plan, self.observed
        self.violations += checker.find_violations(plan, observed, real=True)
        final_share = checker.budget_share(plan, observed, end - 2.0, end)
        if final_share < MIN_FINAL_SHARE:
            self.report_violation(
                "goes on", f"only {final_share:.3f} of the budget is spent at the end"
            )
        repeated = [id_ for id_, times in self.set_counts.items() if times > 1]
        if repeated:
            self.report_violation(
                "no effect twice",
                f"{repeated[0].decode()} arrived {self.set_counts[repeated[0]]} times",
            )
        for daemon, client in zip(self.daemons, self.clients, strict=True):
            if client.answered != client.sent:
                self.report_violation(
                    "no request lost",
                    f"{daemon.name}: {client.sent} requests, {client.answered} answers",
                )
        return Outcome(
            plan,
            observed,
            self.violations,
            final_share,
            sum(client.sent for client in self.clients),
            self.refused,
        )

    async def _serve(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        id_ = words[2]
        if words[0] == b"OBJ.SET":
            self.set_counts[id_] += 1
        self.observed.admissions.append(Admission(self.now, id_.partition(b"-")[0].decode()))
        writer.write(reply(b"value"))

    async def _measure_lag(self) -> None:
        while not self.ending:
            due = self.now + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.observed.max_lag_s = max(self.observed.max_lag_s, self.now - due)

    # --- faults ---
    async def _apply_faults(self) -> None:
        tasks = self.fault_tasks
        for fault in self.plan.fault:
            await asyncio.sleep(max(0.0, self.observed.started_at + fault.at - self.now))
            self.note(f"{fault.kind} p{fault.who % self.plan.daemons} for {fault.seconds}")
            tasks.append(asyncio.create_task(self._apply_fault(fault)))
        await asyncio.sleep(max(0.0, self.observed.started_at + self.plan.seconds - self.now))
        await asyncio.gather(*tasks)

    async def _apply_fault(self, fault: Fault) -> None:
        daemon = self.daemons[fault.who % self.plan.daemons]
        match fault.kind:
            case "kill" | "term":
                await self._restart(daemon, fault.kind == "kill", fault.seconds)
            case "all":
                await asyncio.gather(*(self._restart(each, True, 0.1) for each in self.daemons))
            case "stop":
                async with daemon.restart_lock:
                    await self._stop(daemon, fault.seconds)
            case "twin":
                port = self.spare_ports.pop()
                self.duplicates.append(await daemon.start(f"{daemon.name}-twin{port}", port))
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
        """Cut links for a while; a link that two faults cut stays cut until both are over."""
        links = cut_links(fault, self.plan.daemons)
        self.cut_counts.update(links)
        self._set_paths()
        await asyncio.sleep(fault.seconds)
        self.cut_counts.subtract(links)
        self._set_paths()

    async def _disturb(self, impairment: Impairment, seconds: float) -> None:
        """Lose, delay, duplicate or reorder datagrams on all links for a while."""
        for relay in self.relays.values():
            relay.forward = relay.backward = impairment
        await asyncio.sleep(seconds)
        self._set_paths()

    def _set_paths(self) -> None:
        """Reset the relays of all links to no fault, except for links that are cut."""
        for link, relay in self.relays.items():
            relay.forward = relay.backward = Impairment(cut=self.cut_counts[link] > 0)

    async def _restart(self, daemon: Daemon, hard: bool, seconds: float) -> None:
        if daemon.restart_lock.locked():
            return
        async with daemon.restart_lock:
            await daemon.terminate(hard)
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
        self.cut_counts.clear()
        self._set_paths()
        for duplicate in self.duplicates:
            if not await duplicate.term():
                self.report_violation(
                    "ends", f"a duplicate process did not drain: {duplicate.last_line}"
                )
        for daemon in self.daemons:
            if daemon.child is None or daemon.child.ended:
                last = daemon.child.last_line if daemon.child else ""
                self.report_violation("ends", f"{daemon.name} crashed: {last}")
        self.observed.healed_at = self.now


def run_plan(plan: Plan, patch: str = "") -> Outcome:
    """Run one plan, with files in a temporary folder that is removed afterwards."""
    with tempfile.TemporaryDirectory(prefix="sharing-") as folder:
        return run(Rig(plan, FilePath(folder), patch).run())
