"""Several daemons as processes, stand-ins, and relays between them; a plan of faults played on it.

Every daemon has relays of its own to what it shares with the others, so that one can be cut off and
the rest not.  Faults of a process need no privilege: signals, limits and affinity of one's own
children.  Once the plan is over all is healed, and it is waited until each work goes on; then the
daemons are asked to end, and what was seen is judged (`history`).
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from limebridge.child import ChildState, DaemonStartError
from limebridge.standins.discovery import Discovery
from limebridge.standins.effects import EffectEndpoint
from limebridge.standins.nodes import CacheNode
from violetroute.ledger.table import LedgerTable

from . import history as histories
from .daemon import BEAT, Daemon
from .endpoint import endpoint_fails
from .history import History, OwnerGap
from .interruption import run_cleanup
from .launch import daemon_command
from .plan import Fault, Plan
from .relay import Impairment
from .violation import Violation

PATIENCE = 30.0  # s until a work goes on after the healing: many terms, on a busy machine
LOOK = 0.05  # s between looks at what is waited for


@dataclass
class Outcome:
    """What came of a plan."""

    plan: Plan
    history: History
    violations: list[Violation] = field(default_factory=list)
    seconds: float = 0.0
    effects: int = 0
    gaps: list[OwnerGap] = field(default_factory=list)


class Rig:
    """`patch`: a file whose plant() every daemon runs first."""

    def __init__(self, plan: Plan, folder: Path, patch: str = "") -> None:
        self.plan, self.folder = plan, folder
        self.shared = folder / "fleet"
        self.command = daemon_command(patch)
        self.works = [f"beat-{number}" for number in range(plan.works)]
        self.history = History()
        self.effects, self.discovery = EffectEndpoint(), Discovery()
        self.history.effects = self.effects.applied
        self.consul: Any = None
        self.consul_port = 0
        self.rng = random.Random(f"rig/{plan.seed}")
        self.violations: list[Violation] = []
        self.faults: list[asyncio.Task[None]] = []

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def complain(self, rule: str, text: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, text))

    def ledger_table(self) -> LedgerTable:
        """[ledger] of each daemon's file."""
        return LedgerTable()

    # --- one run ---
    async def play(self) -> Outcome:
        began = self.now
        self.daemons = [Daemon(self, number) for number in range(self.plan.daemons)]
        try:
            await self.open()
            for daemon in self.daemons:
                await daemon.open()
            await asyncio.gather(*(daemon.start() for daemon in self.daemons))
            self.history.began = self.now
            await self.schedule()
            await self.heal()
            await self.goes_on()
            await self.settle()
            await self.end()
        except DaemonStartError as error:
            self.complain("starts", str(error))
        finally:
            await run_cleanup(self._end_all())
        self.read_logs()
        return self._judge(self.now - began)

    def _judge(self, seconds: float) -> Outcome:
        """What came of the plan, which took so many seconds."""
        history = self.history
        if self.effects.conflicts:
            self.complain("once", f"{self.effects.conflicts} keys came with another body")
        self.violations += histories.check_history(history)
        return Outcome(
            self.plan,
            history,
            self.violations,
            seconds,
            len(history.effects),
            histories.without_owner(history),
        )

    async def _end_all(self) -> None:
        """No fault goes on, so that none starts a daemon; all daemons and stand-ins end."""
        for task in self.faults:
            task.cancel()
        await asyncio.gather(*self.faults, return_exceptions=True)
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))
        await self.close()

    async def open(self) -> None:
        await self.effects.start()
        await self.discovery.start()
        self.node = await CacheNode().start()
        self.known = [self.node.entry("s-0")]
        if self.plan.store == "consul":
            from limebridge.standins.consul import Consul

            self.consul = await Consul(seed=self.plan.seed).start()
            self.consul_port = self.consul.port

    async def close(self) -> None:
        for part in (self.effects, self.discovery, self.node, self.consul):
            if part is not None:
                await part.stop()

    async def schedule(self) -> None:
        tasks = self.faults
        for fault in self.plan.fault:
            await asyncio.sleep(max(0.0, self.history.began + fault.at - self.now))
            daemon = self.daemons[fault.who % len(self.daemons)]
            self.history.add_fault(self.now, fault, daemon.name)
            tasks.append(asyncio.create_task(self._fault(fault, daemon)))
        await asyncio.sleep(max(0.0, self.history.began + self.plan.seconds - self.now))
        for task in tasks:
            task.cancel()
        for done in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(done, Exception):
                raise done

    async def _fault(self, fault: Fault, daemon: Daemon) -> None:
        name = fault.kind
        if name in ("cut", "cut_there", "cut_back", "slow", "half", "drip", "reset", "twice"):
            await self._way(fault, daemon)
        elif name in ("endpoint", "gone", "older", "torn", "leader", "lose_answers", "forget"):
            await self._shared(fault)
        else:
            async with daemon.busy:
                await getattr(daemon, f"_{name}")(fault)

    # --- faults of a way ---
    async def _way(self, fault: Fault, daemon: Daemon) -> None:
        way = self.rng.choice(daemon.ways)
        match fault.kind:
            case "cut":
                way.impair(Impairment(cut=True), Impairment(cut=True))
            case "cut_there":
                way.impair(forward=Impairment(cut=True))
            case "cut_back":
                way.impair(backward=Impairment(cut=True))
            case "slow":
                way.impair(Impairment(delay=0.05, jitter=0.2), Impairment(delay=0.05, jitter=0.2))
            case "half":
                way.impair(backward=Impairment(truncate_after=20))
            case "drip":
                way.impair(backward=Impairment(byte_delay=0.005))
            case "twice":
                way.impair(forward=Impairment(resend=True))
            case _:
                way.reset_connections()
        await asyncio.sleep(fault.seconds)
        way.impair()

    # --- faults of what is shared ---
    async def _shared(self, fault: Fault) -> None:
        match fault.kind:
            case "endpoint":
                await endpoint_fails(self.effects, self.rng, fault.seconds)
            case "gone":
                with contextlib.suppress(FileNotFoundError):
                    os.rename(self.shared, self.folder / f"gone-{self.rng.random()}")
            case "older":
                copy = self.folder / f"copy-{self.rng.random()}"
                with contextlib.suppress(OSError, shutil.Error):
                    shutil.copytree(self.shared, copy)
                await asyncio.sleep(fault.seconds)
                while copy.exists():  # daemons make theirs anew in between
                    with contextlib.suppress(OSError):
                        os.rename(self.shared, self.folder / f"gone-{self.rng.random()}")
                        os.rename(copy, self.shared)
                    await asyncio.sleep(0)
            case "torn":
                leases = sorted((self.shared / "lease").glob("beat*"))
                for path in leases[-1:]:
                    with contextlib.suppress(FileNotFoundError):
                        path.write_bytes(path.read_bytes()[:9])
                        await asyncio.sleep(fault.seconds)
                        path.unlink()  # by hand, as the operators' page says
            case _:
                await self.consul.inject_fault(fault.kind, fault.seconds)

    # --- afterwards ---
    async def heal(self) -> None:
        """All that can be mended is, and every daemon runs."""
        self.effects.fault = lambda: ""
        if self.consul is not None:
            self.consul.end_fault()
        for path in (self.shared / "lease").glob("beat*"):
            with contextlib.suppress(FileNotFoundError):
                if path.stat().st_size < 10:
                    path.unlink()
        for daemon in self.daemons:
            for way in daemon.ways:
                way.impair()
            daemon.signal(signal.SIGCONT)
            daemon.unlimit()
            daemon.works = self.works
            daemon.operator()
            daemon.signal(signal.SIGHUP)
        for daemon in self.daemons:
            child = daemon.child
            if child is None or child.state is not ChildState.UP or child.ended:
                if child is not None and child.state is ChildState.UP:
                    self.complain("ends", f"{daemon.name} crashed: {child.last_line}")
                for started in daemon.children:  # one that was cut short in its draining
                    await started.kill()
                await daemon.start()
        self.history.healed_at = self.now

    async def until(self, what: Callable[[], bool], name: str, why: Callable[[], str]) -> None:
        end = self.now + PATIENCE
        while not what():
            if self.now > end:
                self.complain(name, why())
                return
            await asyncio.sleep(LOOK)

    async def goes_on(self) -> None:
        """Each work has an effect that was begun after the healing."""

        def waits() -> set[str]:
            return self.history.undone(self.works, BEAT)

        await self.until(
            lambda: not waits(), "goes on", lambda: f"nobody does {', '.join(sorted(waits()))}"
        )

    async def settle(self) -> None:
        """What has to be waited for before the end."""

    async def end(self) -> None:
        """SIGTERM to all: each drains, and hands back what it owns."""
        for daemon in self.daemons:
            for twin in daemon.twins:
                await twin.term()
        await asyncio.gather(*(daemon.ends(hard=False) for daemon in self.daemons))

    def read_logs(self) -> None:
        if self.consul is not None:
            self.history.logs = self.consul.logs()
            return
        for log in sorted((self.shared / "log").glob("*")):
            self.history.logs[log.name] = [path.read_bytes() for path in sorted(log.glob("*/0*"))]
