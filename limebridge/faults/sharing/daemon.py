"""One daemon of the rig of budgets: its operator's file, its start and its end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path
from typing import Protocol

from limebridge.child import Child, ChildState
from limebridge.faults.relay import DatagramRelay
from limebridge.ports import free_ports
from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.node_list import NodeEntry
from limebridge.standins.operator_file import operator_file
from violetroute.config.operator import LogTable, Operator
from violetroute.sharing.table import BudgetTable, SharingTable

from . import judge
from .plan import Plan, Way

LOG = LogTable(format="json", per_second=1000.0)


class RigServices(Protocol):
    """What a daemon needs of the rig that it belongs to."""

    plan: Plan
    folder: Path  # of the rig's files
    key: Path  # file of the key that the daemons share
    command: tuple[str, ...]  # that starts a daemon
    relays: dict[Way, DatagramRelay]
    discovery: Discovery
    known: list[NodeEntry]  # the nodes that a configuration names

    def complain(self, rule: str, text: str) -> None:
        """Record a violation."""

    def note(self, text: str) -> None:
        """Record what happens, for the story."""


class Daemon:
    """A daemon: its incarnations, one after another."""

    def __init__(self, rig: RigServices, number: int, port: int) -> None:
        self.rig, self.number, self.name, self.port = rig, number, f"p{number}", port
        self.child: Child | None = None
        self.children: list[Child] = []  # all that were ever started
        self.busy = asyncio.Lock()  # one change of its process at a time
        self.died = False  # a client of it may have lost an answer with it

    def operator(self, port: int, tag: str) -> Path:
        """Write the operator's file of the process `tag`, which listens on `port`; its path."""
        rig = self.rig
        ways = {
            f"p{other}": f"127.0.0.1:{relay.port}"
            for (here, other), relay in rig.relays.items()
            if here == self.number
        }
        sharing = SharingTable(
            listen=f"127.0.0.1:{port}",
            key_file=str(rig.key),
            probe_s=0.2,
            seeds=tuple(ways[name] for name in ("p0", "p1") if name in ways),
            ways=ways,
            proxies=rig.plan.daemons,
            loan_s=rig.plan.loan_s,
            drift=judge.DRIFT,
            burst_s=judge.BURST_S,
            socket=str(rig.folder / f"{tag}.sock"),
            budget=(BudgetTable(name="all", per_s=rig.plan.per_s),),
        )
        path = rig.folder / f"{tag}.toml"
        path.write_text(operator_file(Operator(log=LOG, sharing=sharing)))
        return path

    async def start(self, tag: str = "", port: int = 0) -> Child:
        """Start it, or a second process of its name as `tag`.  Raises DaemonStartError."""
        rig, tag = self.rig, tag or self.name

        def told(line: str) -> None:
            if '"event":"sharing.' in line:
                rig.note(f"  {tag} {line[line.index('event') + 8 :][:120]}")

        child = Child(rig.folder, tag, rig.command, on_log_line=told)
        self.children.append(child)
        raw = configuration(rig.discovery.port, rig.known) | {"name": self.name}
        await child.start(raw, free_ports(1)[0], self.operator(port or self.port, tag))
        if tag == self.name:
            self.child = child
        return child

    @property
    def up(self) -> bool:
        return self.child is not None and self.child.state is ChildState.UP

    async def ends(self, hard: bool) -> None:
        """End it with SIGKILL or with SIGTERM, unless it is down."""
        child = self.child
        if child is None or child.state is not ChildState.UP:
            return
        self.died = True
        with contextlib.suppress(ProcessLookupError):
            os.kill(child.pid, signal.SIGCONT)
        if hard:
            child.state = ChildState.DOWN
            await child.kill()
        elif not await child.term():
            self.rig.complain("ends", f"{self.name} did not drain: {child.last_line}")
