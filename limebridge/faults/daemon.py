"""One daemon of the rig: how its incarnations are started, and the faults of its process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
from pathlib import Path
from typing import Protocol

from limebridge.child import Child, ChildState, DaemonStartError
from limebridge.ports import free_ports
from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.effects import EffectEndpoint
from limebridge.standins.node_list import NodeEntry
from limebridge.standins.operator_file import operator_file
from violetroute.config.operator import LogTable, Operator
from violetroute.fleet.table import FleetTable
from violetroute.ledger.table import LedgerTable

from .history import History, LoggedEvent, parse
from .plan import Fault, Plan
from .relay import Relay

BEAT = 0.05  # s between two effects of a work
LOG = LogTable(format="json", per_second=1000.0)
NO_FILES = 8  # descriptors, of a process that has more open: nothing new can be opened


class RigServices(Protocol):
    """What a daemon needs of the rig that it belongs to."""

    plan: Plan
    folder: Path  # of the rig's files
    shared: Path  # of the fleet's folder store
    command: tuple[str, ...]  # that starts a daemon
    works: list[str]
    history: History
    effects: EffectEndpoint
    consul_port: int  # 0: the store is a folder
    discovery: Discovery
    known: list[NodeEntry]  # the nodes that a configuration names

    @property
    def now(self) -> float:
        """s of the rig's clock."""

    def complain(self, rule: str, text: str) -> None:
        """Record a violation."""

    def ledger_table(self) -> LedgerTable:
        """[ledger] of each daemon's file."""


class Daemon:
    """A daemon: its incarnations, one after another, and its relays."""

    def __init__(self, rig: RigServices, number: int) -> None:
        self.rig, self.number, self.name = rig, number, f"p{number}"
        self.child: Child | None = None
        self.twins: list[Child] = []
        self.children: list[Child] = []  # all that were ever started
        self.works: list[str] = rig.works
        self.busy = asyncio.Lock()  # one change of its process at a time
        self.limits: dict[int, tuple[int, int]] = {}

    async def open(self) -> None:
        rig, seed = self.rig, f"{self.rig.plan.seed}/{self.number}"
        self.ways = [await Relay(rig.effects.port, f"{seed}/e").start()]
        if rig.consul_port:
            self.ways.append(await Relay(rig.consul_port, f"{seed}/c").start())

    def operator(self) -> Path:
        """Write its operator's file; the file's path."""
        operator = Operator(log=LOG, fleet=self._fleet_table(), ledger=self.rig.ledger_table())
        path = self.rig.folder / f"{self.name}.toml"
        path.write_text(operator_file(operator))
        return path

    def _fleet_table(self) -> FleetTable:
        plan = self.rig.plan
        in_folder = plan.store == "folder"
        return FleetTable(
            store=plan.store,
            folder=str(self.rig.shared) if in_folder else "",
            agents=() if in_folder else (f"127.0.0.1:{self.ways[1].port}",),
            works=tuple(self.works),
            term_s=plan.term_s,
            look_s=0.1,
            call_s=0.4,
            beat_s=BEAT,
            move_s=1.0,
            endpoint=f"127.0.0.1:{self.ways[0].port}",
        )

    async def start(self) -> None:
        self.child = await self._start(self.name)

    async def _start(self, owner: str) -> Child:
        rig = self.rig

        def told(line: str) -> None:
            logged = parse(line)
            if logged is not None:
                rig.history.logged.append(LoggedEvent(rig.now, owner, logged))

        child = Child(rig.folder, owner, rig.command, on_log_line=told)
        self.children.append(child)
        raw = configuration(rig.discovery.port, rig.known) | {"name": self.name}
        for last in (False, False, True):
            try:
                await child.start(raw, free_ports(1)[0], self.operator())
                break
            except (
                DaemonStartError
            ) as error:  # another rig on this machine has taken the port since
                if last or "cannot listen" not in str(error):
                    raise
                child.last_line = ""
        return child

    @property
    def pid(self) -> int:
        return self.child.pid if self.child is not None and self.child.state is ChildState.UP else 0

    def signal(self, number: int) -> bool:
        """Whether there was a process to take it."""
        if not self.pid:
            return False
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)
            return True
        return False

    async def ends(self, hard: bool) -> None:
        child = self.child
        if child is None or child.state is not ChildState.UP:
            return
        self.signal(signal.SIGCONT)
        if hard:
            child.state = ChildState.DOWN
            os.kill(child.pid, signal.SIGKILL)
            await child.kill()
        elif not await child.term():
            self.rig.complain("ends", f"{self.name} did not drain: {child.last_line}")
        self.limits.clear()

    async def close(self) -> None:
        for child in self.children:
            await child.kill()
        for way in self.ways:
            await way.stop()

    # --- faults of a process ---
    async def _kill(self, fault: Fault) -> None:
        await self.ends(hard=True)
        await asyncio.sleep(fault.seconds)
        await self.start()

    async def _term(self, fault: Fault) -> None:
        await self.ends(hard=False)
        await asyncio.sleep(fault.seconds)
        await self.start()

    async def _stop(self, fault: Fault) -> None:
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        self.signal(signal.SIGCONT)

    async def _hup(self, fault: Fault) -> None:
        """The works are turned off, perhaps while owned, and on again."""
        self.works = []
        self.operator()
        self.signal(signal.SIGHUP)
        await asyncio.sleep(fault.seconds)
        self.works = self.rig.works
        self.operator()
        self.signal(signal.SIGHUP)

    async def _core(self, fault: Fault) -> None:
        """All that it has is the lowest share of one core, with the rig's other starved ones."""
        if self.pid:
            core = min(os.sched_getaffinity(0))
            with contextlib.suppress(ProcessLookupError):
                os.sched_setaffinity(self.pid, {core})
                os.setpriority(os.PRIO_PROCESS, self.pid, 19)  # stays: that is not ours to undo
            await asyncio.sleep(fault.seconds)
            with contextlib.suppress(ProcessLookupError):
                os.sched_setaffinity(self.pid or os.getpid(), os.sched_getaffinity(0))

    async def _no_files(self, fault: Fault) -> None:
        await self._limited(resource.RLIMIT_NOFILE, NO_FILES, fault)

    async def _no_room(self, fault: Fault) -> None:
        await self._limited(resource.RLIMIT_FSIZE, 0, fault)

    async def _limited(self, what: int, most: int, fault: Fault) -> None:
        if not self.pid:
            return
        soft, hard = resource.prlimit(self.pid, what)
        self.limits.setdefault(what, (soft, hard))
        resource.prlimit(self.pid, what, (most, hard))
        await asyncio.sleep(fault.seconds)
        self.unlimit()

    def unlimit(self) -> None:
        for what, limits in self.limits.items():
            if self.pid:
                with contextlib.suppress(ProcessLookupError):
                    resource.prlimit(self.pid, what, limits)
        self.limits.clear()

    async def _twin(self, fault: Fault) -> None:
        """Another process under the same name."""
        self.twins.append(await self._start(f"{self.name}-twin{len(self.twins)}"))
