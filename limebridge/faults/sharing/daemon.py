"""One daemon of the rig: writes its operator's file, starts and terminates its processes."""

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

from . import checker
from .plan import Link, Plan

LOG = LogTable(format="json", per_second=1000.0)


class RigServices(Protocol):
    """What a daemon uses of the rig that it belongs to."""

    plan: Plan
    folder: Path  # folder of the rig's files
    key_file: Path  # the key that the daemons share
    command: tuple[str, ...]  # command that starts a daemon
    relays: dict[Link, DatagramRelay]
    discovery: Discovery
    node_entries: list[NodeEntry]  # the nodes in the configuration

    def report_violation(self, rule: str, text: str) -> None:
        """Record a violation."""

    def note(self, text: str) -> None:
        """Add an event to the trace, at the current time."""


class Daemon:
    """A proxy of the rig under one name; its process may be restarted."""

    def __init__(self, rig: RigServices, number: int, port: int) -> None:
        self.rig, self.number, self.name, self.port = rig, number, f"p{number}", port
        self.child: Child | None = None
        self.children: list[Child] = []  # all processes that were ever started
        self.restart_lock = asyncio.Lock()  # held during a restart or a SIGSTOP
        self.was_terminated = False  # clients may have lost answers with the process

    def write_operator_file(self, port: int, tag: str) -> Path:
        """Write the operator's file of the process `tag`, which gossips on `port`; its path."""
        rig = self.rig
        ways = {
            f"p{other}": f"127.0.0.1:{relay.port}"
            for (here, other), relay in rig.relays.items()
            if here == self.number
        }
        sharing = SharingTable(
            listen=f"127.0.0.1:{port}",
            key_file=str(rig.key_file),
            probe_s=0.2,
            seeds=tuple(ways[name] for name in ("p0", "p1") if name in ways),
            ways=ways,
            proxies=rig.plan.daemons,
            loan_s=rig.plan.loan_s,
            drift=checker.DRIFT,
            burst_s=checker.BURST_S,
            socket=str(rig.folder / f"{tag}.sock"),
            budget=(BudgetTable(name="all", per_s=rig.plan.per_s),),
        )
        path = rig.folder / f"{tag}.toml"
        path.write_text(operator_file(Operator(log=LOG, sharing=sharing)))
        return path

    async def start(self, tag: str = "", port: int = 0) -> Child:
        """Start a process; with `tag`, a duplicate that has the same proxy name.

        `port`: its port for gossip, by default the daemon's.  Raises DaemonStartError.
        """
        rig, tag = self.rig, tag or self.name

        def on_log_line(line: str) -> None:
            if '"event":"sharing.' in line:
                rig.note(f"  {tag} {line[line.index('event') + 8 :][:120]}")

        child = Child(rig.folder, tag, rig.command, on_log_line=on_log_line)
        self.children.append(child)
        raw = configuration(rig.discovery.port, rig.node_entries) | {"name": self.name}
        await child.start(raw, free_ports(1)[0], self.write_operator_file(port or self.port, tag))
        if tag == self.name:
            self.child = child
        return child

    @property
    def up(self) -> bool:
        """Whether the process is listening, by the last action on it."""
        return self.child is not None and self.child.state is ChildState.UP

    async def terminate(self, hard: bool) -> None:
        """Send SIGKILL if `hard`, else SIGTERM, and wait for the exit; no-op if it is down.

        A process that does not drain in time after SIGTERM is a violation.
        """
        child = self.child
        if child is None or child.state is not ChildState.UP:
            return
        self.was_terminated = True
        with contextlib.suppress(ProcessLookupError):
            os.kill(child.pid, signal.SIGCONT)
        if hard:
            child.state = ChildState.DOWN
            await child.kill()
        elif not await child.term():
            self.rig.report_violation("ends", f"{self.name} did not drain: {child.last_line}")
