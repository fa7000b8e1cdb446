"""Runs a plan of faults on several daemon processes, stand-ins, and relays between them.

Every daemon has its own relays to the parts that it shares with the others, so that one daemon can
be cut off alone.  The faults of a process need no privileges: signals, limits and CPU affinity of
one's own child processes.  When the plan is over, all faults are healed and the rig waits until
every work makes progress again.  Then it terminates the daemons and checks the recorded history
(`history`).
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
from .daemon import BEAT_S, Daemon
from .endpoint import fail_endpoint
from .history import History, OwnerGap
from .interruption import run_cleanup
from .launch import daemon_command
from .plan import Fault, Plan
from .relay import Impairment
from .violation import Violation

WAIT_TIMEOUT_S = 30.0  # s for progress after the healing: many lease terms, even on a busy machine
POLL_INTERVAL_S = 0.05  # s between checks of an awaited condition


@dataclass
class Outcome:
    """The result of a run; `effects` counts the applied ones, `seconds` is the time it took."""

    plan: Plan
    history: History
    violations: list[Violation] = field(default_factory=list)
    seconds: float = 0.0
    effects: int = 0
    gaps: list[OwnerGap] = field(default_factory=list)


class Rig:
    """One run of a plan; files are kept in `folder`.

    `patch`: a Python file whose plant() every daemon calls first, "" for none.
    """

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
        self.fault_tasks: list[asyncio.Task[None]] = []

    @property
    def now(self) -> float:
        """The event loop's time in s."""
        return asyncio.get_running_loop().time()

    def report_violation(self, rule: str, text: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, text))

    def ledger_table(self) -> LedgerTable:
        """The [ledger] table of every daemon's operator file."""
        return LedgerTable()

    # --- one run ---
    async def run(self) -> Outcome:
        """Run the plan to its end, or until a daemon does not start; returns what was found."""
        started_at = self.now
        self.daemons = [Daemon(self, number) for number in range(self.plan.daemons)]
        try:
            await self.open()
            for daemon in self.daemons:
                await daemon.open()
            await asyncio.gather(*(daemon.start() for daemon in self.daemons))
            self.history.started_at = self.now
            await self.inject_faults()
            await self.heal()
            await self.wait_for_progress()
            await self.settle()
            await self.terminate()
        except DaemonStartError as error:
            self.report_violation("starts", str(error))
        finally:
            await run_cleanup(self._clean_up())
        self.read_logs()
        return self._outcome(self.now - started_at)

    def _outcome(self, seconds: float) -> Outcome:
        """Check the history of a run that took `seconds`."""
        history = self.history
        if self.effects.conflicts:
            self.report_violation(
                "once", f"{self.effects.conflicts} keys were sent again with another body"
            )
        self.violations += histories.check_history(history)
        return Outcome(
            self.plan,
            history,
            self.violations,
            seconds,
            len(history.effects),
            histories.owner_gaps(history),
        )

    async def _clean_up(self) -> None:
        """End all daemons and stand-ins.  Faults are cancelled first, as some start a daemon."""
        for task in self.fault_tasks:
            task.cancel()
        await asyncio.gather(*self.fault_tasks, return_exceptions=True)
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))
        await self.close()

    async def open(self) -> None:
        """Start the stand-ins: endpoint, discovery, one cache node and perhaps a Consul."""
        await self.effects.start()
        await self.discovery.start()
        self.node = await CacheNode().start()
        self.cache_nodes = [self.node.entry("s-0")]
        if self.plan.store == "consul":
            from limebridge.standins.consul import Consul

            self.consul = await Consul(seed=self.plan.seed).start()
            self.consul_port = self.consul.port

    async def close(self) -> None:
        """Stop the stand-ins."""
        for part in (self.effects, self.discovery, self.node, self.consul):
            if part is not None:
                await part.stop()

    async def inject_faults(self) -> None:
        """Begin each fault of the plan at its time, and return when the plan's time is over.

        Faults that are still in progress then are cancelled.
        """
        tasks = self.fault_tasks
        for fault in self.plan.fault:
            await asyncio.sleep(max(0.0, self.history.started_at + fault.at - self.now))
            daemon = self.daemons[fault.who % len(self.daemons)]
            self.history.add_fault(self.now, fault, daemon.name)
            tasks.append(asyncio.create_task(self._inject(fault, daemon)))
        await asyncio.sleep(max(0.0, self.history.started_at + self.plan.seconds - self.now))
        for task in tasks:
            task.cancel()
        for done in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(done, Exception):
                raise done

    async def _inject(self, fault: Fault, daemon: Daemon) -> None:
        name = fault.kind
        if name in ("cut", "cut_there", "cut_back", "slow", "half", "drip", "reset", "twice"):
            await self._impair_path(fault, daemon)
        elif name in ("endpoint", "gone", "older", "torn", "leader", "lose_answers", "forget"):
            await self._fault_of_shared(fault)
        else:
            async with daemon.busy:
                await getattr(daemon, f"_{name}")(fault)

    # --- faults of a path ---
    async def _impair_path(self, fault: Fault, daemon: Daemon) -> None:
        relay = self.rng.choice(daemon.relays)
        match fault.kind:
            case "cut":
                relay.impair(Impairment(cut=True), Impairment(cut=True))
            case "cut_there":
                relay.impair(forward=Impairment(cut=True))
            case "cut_back":
                relay.impair(backward=Impairment(cut=True))
            case "slow":
                relay.impair(Impairment(delay=0.05, jitter=0.2), Impairment(delay=0.05, jitter=0.2))
            case "half":
                relay.impair(backward=Impairment(truncate_after=20))
            case "drip":
                relay.impair(backward=Impairment(byte_delay=0.005))
            case "twice":
                relay.impair(forward=Impairment(resend=True))
            case _:
                relay.reset_connections()
        await asyncio.sleep(fault.seconds)
        relay.impair()

    # --- faults of the endpoint and the store ---
    async def _fault_of_shared(self, fault: Fault) -> None:
        match fault.kind:
            case "endpoint":
                await fail_endpoint(self.effects, self.rng, fault.seconds)
            case "gone":
                with contextlib.suppress(FileNotFoundError):
                    os.rename(self.shared, self.folder / f"gone-{self.rng.random()}")
            case "older":
                copy = self.folder / f"copy-{self.rng.random()}"
                with contextlib.suppress(OSError, shutil.Error):
                    shutil.copytree(self.shared, copy)
                await asyncio.sleep(fault.seconds)
                # Retried, since daemons may create the folder again in between.
                while copy.exists():
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
                        path.unlink()  # as the operators' page on faults says to do by hand
            case _:
                await self.consul.inject_fault(fault.kind, fault.seconds)

    # --- after the faults ---
    async def heal(self) -> None:
        """End all faults, remove torn lease files, and start every daemon that does not run."""
        self.effects.fault = lambda: ""
        if self.consul is not None:
            self.consul.end_fault()
        for path in (self.shared / "lease").glob("beat*"):
            with contextlib.suppress(FileNotFoundError):
                if path.stat().st_size < 10:
                    path.unlink()
        for daemon in self.daemons:
            for relay in daemon.relays:
                relay.impair()
            daemon.signal(signal.SIGCONT)
            daemon.restore_limits()
            daemon.works = self.works
            daemon.write_operator_file()
            daemon.signal(signal.SIGHUP)
        for daemon in self.daemons:
            child = daemon.child
            if child is None or child.state is not ChildState.UP or child.ended:
                if child is not None and child.state is ChildState.UP:
                    self.report_violation("ends", f"{daemon.name} crashed: {child.last_line}")
                for started in daemon.children:  # also one whose drain was interrupted
                    await started.kill()
                await daemon.start()
        self.history.healed_at = self.now

    async def wait_until(
        self, condition: Callable[[], bool], rule: str, reason: Callable[[], str]
    ) -> None:
        """Wait for a condition; after WAIT_TIMEOUT_S report a violation of `rule` instead."""
        end = self.now + WAIT_TIMEOUT_S
        while not condition():
            if self.now > end:
                self.report_violation(rule, reason())
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_progress(self) -> None:
        """Wait until each work has an effect that was started after the healing."""

        def pending() -> set[str]:
            return self.history.works_without_effect(self.works, BEAT_S)

        await self.wait_until(
            lambda: not pending(),
            "goes on",
            lambda: f"no effect since the healing of {', '.join(sorted(pending()))}",
        )

    async def settle(self) -> None:
        """Hook for subclasses: called before the daemons are terminated."""

    async def terminate(self) -> None:
        """Send SIGTERM to all daemons: each drains and releases its leases."""
        for daemon in self.daemons:
            for duplicate in daemon.duplicates:
                await duplicate.term()
        await asyncio.gather(*(daemon.end_process(kill=False) for daemon in self.daemons))

    def read_logs(self) -> None:
        """Read the logs of all works from the store into the history."""
        if self.consul is not None:
            self.history.logs = self.consul.logs()
            return
        for log in sorted((self.shared / "log").glob("*")):
            self.history.logs[log.name] = [path.read_bytes() for path in sorted(log.glob("*/0*"))]
