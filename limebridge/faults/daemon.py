"""One daemon of the rig: starts its incarnations and injects the faults of its process."""

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

from .history import History, LoggedEvent, parse_lease_event
from .plan import Fault, Plan
from .relay import Relay

BEAT_S = 0.05  # s between two effects of a work
LOG_TABLE = LogTable(format="json", per_second=1000.0)
FILE_LIMIT = 8  # a daemon has more descriptors open, so it can open no new one


class RigServices(Protocol):
    """The part of a rig that its daemons use."""

    plan: Plan
    folder: Path  # folder for the rig's files
    shared: Path  # the folder of the fleet's folder store
    command: tuple[str, ...]  # command line that starts a daemon
    works: list[str]
    history: History
    effects: EffectEndpoint
    consul_port: int  # 0 if the store is a folder
    discovery: Discovery
    cache_nodes: list[NodeEntry]  # the nodes in each daemon's configuration

    @property
    def now(self) -> float:
        """The event loop's time in s."""

    def report_violation(self, rule: str, text: str) -> None:
        """Record a violation."""

    def ledger_table(self) -> LedgerTable:
        """The [ledger] table of every daemon's operator file."""


class Daemon:
    """A daemon of the rig: its incarnations, one after another, and its relays.

    A method `_KIND` injects the fault of that kind in `plan.PROCESS_FAULTS`.
    """

    def __init__(self, rig: RigServices, number: int) -> None:
        self.rig, self.number, self.name = rig, number, f"p{number}"
        self.child: Child | None = None
        self.duplicates: list[Child] = []
        self.children: list[Child] = []  # all processes ever started for it
        self.works: list[str] = rig.works
        self.busy = asyncio.Lock()  # held by each fault of its process
        self.original_limits: dict[int, tuple[int, int]] = {}  # by resource

    async def open(self) -> None:
        """Start its relays: to the endpoint and, if the store is a Consul, to that."""
        rig, seed = self.rig, f"{self.rig.plan.seed}/{self.number}"
        self.relays = [await Relay(rig.effects.port, f"{seed}/e").start()]
        if rig.consul_port:
            self.relays.append(await Relay(rig.consul_port, f"{seed}/c").start())

    def write_operator_file(self) -> Path:
        """Write its operator file; returns the file's path."""
        operator = Operator(
            log=LOG_TABLE, fleet=self._fleet_table(), ledger=self.rig.ledger_table()
        )
        path = self.rig.folder / f"{self.name}.toml"
        path.write_text(operator_file(operator))
        return path

    def _fleet_table(self) -> FleetTable:
        plan = self.rig.plan
        in_folder = plan.store == "folder"
        return FleetTable(
            store=plan.store,
            folder=str(self.rig.shared) if in_folder else "",
            agents=() if in_folder else (f"127.0.0.1:{self.relays[1].port}",),
            works=tuple(self.works),
            term_s=plan.term_s,
            look_s=0.1,
            call_s=0.4,
            beat_s=BEAT_S,
            move_s=1.0,
            endpoint=f"127.0.0.1:{self.relays[0].port}",
        )

    async def start(self) -> None:
        """Start a new incarnation; raises DaemonStartError."""
        self.child = await self._start(self.name)

    async def _start(self, name: str) -> Child:
        rig = self.rig

        def on_log_line(line: str) -> None:
            logged = parse_lease_event(line)
            if logged is not None:
                rig.history.logged.append(LoggedEvent(rig.now, name, logged))

        child = Child(rig.folder, name, rig.command, on_log_line=on_log_line)
        self.children.append(child)
        raw = configuration(rig.discovery.port, rig.cache_nodes) | {"name": self.name}
        for last in (False, False, True):
            try:
                await child.start(raw, free_ports(1)[0], self.write_operator_file())
                break
            except DaemonStartError as error:
                # Another rig on this machine may have taken the port since it was chosen.
                if last or "cannot listen" not in str(error):
                    raise
                child.last_line = ""
        return child

    @property
    def pid(self) -> int:
        """The process id; 0 if it does not run."""
        return self.child.pid if self.child is not None and self.child.state is ChildState.UP else 0

    def signal(self, number: int) -> bool:
        """Send a signal; returns whether there was a process to receive it."""
        if not self.pid:
            return False
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)
            return True
        return False

    async def end_process(self, kill: bool) -> None:
        """End the process by SIGKILL, or by SIGTERM, after which it must drain in time."""
        child = self.child
        if child is None or child.state is not ChildState.UP:
            return
        self.signal(signal.SIGCONT)
        if kill:
            child.state = ChildState.DOWN
            os.kill(child.pid, signal.SIGKILL)
            await child.kill()
        elif not await child.term():
            self.rig.report_violation("ends", f"{self.name} did not drain: {child.last_line}")
        self.original_limits.clear()

    async def close(self) -> None:
        """Kill all its processes and stop its relays."""
        for child in self.children:
            await child.kill()
        for relay in self.relays:
            await relay.stop()

    # --- faults of a process ---
    async def _kill(self, fault: Fault) -> None:
        await self.end_process(kill=True)
        await asyncio.sleep(fault.seconds)
        await self.start()

    async def _term(self, fault: Fault) -> None:
        await self.end_process(kill=False)
        await asyncio.sleep(fault.seconds)
        await self.start()

    async def _stop(self, fault: Fault) -> None:
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        self.signal(signal.SIGCONT)

    async def _hup(self, fault: Fault) -> None:
        """Reload with no works, some of which it may own, and later with all works again."""
        self.works = []
        self.write_operator_file()
        self.signal(signal.SIGHUP)
        await asyncio.sleep(fault.seconds)
        self.works = self.rig.works
        self.write_operator_file()
        self.signal(signal.SIGHUP)

    async def _core(self, fault: Fault) -> None:
        """Starve it: lowest priority on one core, shared with other daemons under this fault."""
        if self.pid:
            core = min(os.sched_getaffinity(0))
            with contextlib.suppress(ProcessLookupError):
                os.sched_setaffinity(self.pid, {core})
                os.setpriority(os.PRIO_PROCESS, self.pid, 19)  # raising it again needs privileges
            await asyncio.sleep(fault.seconds)
            with contextlib.suppress(ProcessLookupError):
                os.sched_setaffinity(self.pid or os.getpid(), os.sched_getaffinity(0))

    async def _no_files(self, fault: Fault) -> None:
        await self._limit_resource(resource.RLIMIT_NOFILE, FILE_LIMIT, fault)

    async def _no_room(self, fault: Fault) -> None:
        await self._limit_resource(resource.RLIMIT_FSIZE, 0, fault)

    async def _limit_resource(self, resource_id: int, limit: int, fault: Fault) -> None:
        if not self.pid:
            return
        soft, hard = resource.prlimit(self.pid, resource_id)
        self.original_limits.setdefault(resource_id, (soft, hard))
        resource.prlimit(self.pid, resource_id, (limit, hard))
        await asyncio.sleep(fault.seconds)
        self.restore_limits()

    def restore_limits(self) -> None:
        """Set all resource limits back to their original values."""
        for resource_id, limits in self.original_limits.items():
            if self.pid:
                with contextlib.suppress(ProcessLookupError):
                    resource.prlimit(self.pid, resource_id, limits)
        self.original_limits.clear()

    async def _twin(self, fault: Fault) -> None:
        """Start another process with the same name."""
        self.duplicates.append(await self._start(f"{self.name}-twin{len(self.duplicates)}"))
