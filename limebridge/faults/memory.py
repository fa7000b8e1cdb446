"""Simulates the fleet components of several processes under a plan, deterministic by seed.

The code under test is the daemon's own (`violetroute/fleet`): election, works, and either the
Consul store over virtual sockets or the folder store over a real folder.  Each call to the folder
store takes virtual time, and each read and put of a log is a separate step (`SteppedStore`), so a
process can be suspended or killed between any two of them.  The clock of each process runs at its
own rate within the configured drift.  Plans and rules are those of the rig (`limebridge/faults`).

Some faults belong to the kernel and cannot be simulated.  They are approximated: resource limits of
a process by errors of the folder store; a connection reset, a truncated answer and slow bytes by a
blocked path; a starved CPU by a short suspension; requests that a middlebox sends again by a slow
path, while the fault of the endpoint applies requests twice.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import shutil
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from limebridge.standins.consul import Consul
from limebridge.standins.effects import EffectEndpoint
from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from limebridge.virtual.session import isolated_run

from . import history as histories
from . import seed_runs
from .endpoint import fail_endpoint
from .history import History
from .plan import DATA_LOSS_FAULTS, Fault, Plan, generate, without_fault
from .process import BEAT_S, EventHandler, Process
from .violation import Violation

# Faults that lose the store's data or may lose its sessions, so that two owners may overlap.
LEASE_LOSS_FAULTS = (*DATA_LOSS_FAULTS, "leader", "torn")
MEAN_STEP_S = (0.002, 0.02, 0.08)  # mean times of a step at the folder store; one per plan
RECOVERY_TIMEOUT_S = 30.0  # s for progress of every work after the healing
MEMORY_FOLDER = Path("/dev/shm")  # if it exists, since files there need no disk access


class World:
    """The simulated world of one run of a plan; `folder` holds its files."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self._root = plan, folder / "fleet", folder
        self.kernel = Kernel(plan.seed, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.rng = random.Random(f"fleet/{plan.seed}")
        self.mean_step_s = self.rng.choice(MEAN_STEP_S)
        self.works = [f"beat-{number}" for number in range(plan.works)]
        self.history = History()
        self.effects, self.consul = EffectEndpoint(), Consul(seed=plan.seed)
        self.history.effects = self.effects.applied
        self.started = 0  # incarnations, for their names
        self.beat_s, self.poll_s = BEAT_S, 0.1
        self.violations: list[Violation] = []

    async def run(self) -> None:
        """Run the plan, the healing, and the wait for progress; then end all processes."""
        plan = self.plan
        self.processes = [Process(self, number) for number in range(plan.daemons)]
        for process in self.processes:
            await self._open_ports(process)
            process.start()
        self.history.started_at = self.kernel.now
        tasks = [asyncio.create_task(self._check_owners())]
        for fault in plan.fault:
            await asyncio.sleep(max(0.0, self.history.started_at + fault.at - self.kernel.now))
            process = self.processes[fault.who % len(self.processes)]
            self.history.add_fault(self.kernel.now, fault, process.name)
            tasks.append(asyncio.create_task(self._inject(fault, process)))
        await asyncio.sleep(max(0.0, self.history.started_at + plan.seconds - self.kernel.now))
        await asyncio.gather(*tasks[1:])
        await self._heal()
        until = self.kernel.now + RECOVERY_TIMEOUT_S
        while (pending := self._pending_works()) and self.kernel.now < until:
            await asyncio.sleep(0.05)
        tasks[0].cancel()
        if pending:
            self.violations.append(
                Violation("goes on", f"no effect since the healing of {', '.join(sorted(pending))}")
            )
        for process in [
            *self.processes,
            *(duplicate for p in self.processes for duplicate in p.duplicates),
        ]:
            await process.term()

    async def _check_owners(self) -> None:
        """Check that no two processes may start effects of a work, each by its own clock.

        This may happen only after the store has lost leases or sessions.
        """
        reported: set[str] = set()
        while True:
            await asyncio.sleep(0.02)
            running = [p for each in self.processes for p in (each, *each.duplicates) if p.fleet]
            for work in self.works:
                may = [p.owner for p in running if p.fleet is not None and work in p.fleet.owned()]
                if len(may) > 1 and not self._leases_lost and work not in reported:
                    reported.add(work)
                    self.violations.append(
                        Violation(
                            "alone",
                            f"{work}: {' and '.join(may)} may start effects at "
                            f"{self.kernel.now - self.history.started_at:.3f}",
                        )
                    )

    @property
    def _leases_lost(self) -> bool:
        """Whether a fault so far has lost the store's data, or may have lost its sessions."""
        return any(fault.kind in LEASE_LOSS_FAULTS for fault in self.history.faults)

    async def _open_ports(self, process: Process) -> None:
        """Give it its own ports to the endpoint and Consul, so that it can be cut off alone."""
        for attribute, part in (("port", self.effects), ("consul_port", self.consul)):
            serve: Any = part._serve
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            setattr(process, attribute, server.sockets[0].getsockname()[1])

    def _pending_works(self) -> set[str]:
        return self.history.works_without_effect(self.works, BEAT_S)

    async def _heal(self) -> None:
        self.effects.fault = lambda: ""
        self.consul.end_fault()
        for path in (self.folder / "lease").glob("beat*"):
            if path.stat().st_size < 10:
                path.unlink()  # as the operators' page on faults says to do by hand
        for process in self.processes:
            for port in (process.port, process.consul_port):
                self._set_link(port, to=False, back=False)
            process.store_fails_until = 0.0
            if process.fleet is None:
                process.start()
            else:
                process.fleet.configure(self.works)
        self.history.healed_at = self.kernel.now

    def _set_link(self, port: int, to: bool, back: bool, latency: float = 0.0) -> None:
        """Set the path to a port: blocked directions, and latency in s beyond the usual 50 us."""
        link = self.kernel.link(port)
        link.latency = 0.000_05 + latency
        if to or back:
            self.kernel.block(port, to, back)
        else:
            self.kernel.heal(port)

    # --- faults ---
    async def _inject(self, fault: Fault, process: Process) -> None:
        match fault.kind:
            case "kill" | "term":
                await self._restart(fault, process)
            case "stop":
                process.stop(fault.seconds)
            case "core":
                process.stop(min(0.3, fault.seconds))
            case "hup":
                await self._reload(fault, process)
            case "no_files" | "no_room":
                process.store_fails_until = self.kernel.now + fault.seconds
            case "twin":
                duplicate = Process(self, process.number)
                duplicate.port, duplicate.consul_port = process.port, process.consul_port
                duplicate.start()
                process.duplicates.append(duplicate)
            case "cut" | "cut_there" | "cut_back" | "half" | "drip" | "reset" | "slow" | "twice":
                await self._impair_path(fault, process)
            case _:
                await self._fault_of_shared(fault)

    async def _restart(self, fault: Fault, process: Process) -> None:
        """End the process, and start it again after a while."""
        if process.busy:
            return
        process.busy = True
        if fault.kind == "kill":
            process.kill()
        else:
            await process.term()
        await asyncio.sleep(fault.seconds)
        process.start()
        process.busy = False

    async def _reload(self, fault: Fault, process: Process) -> None:
        """Reload the process with no works, and later with all works again."""
        if process.fleet is not None and not process.busy:
            process.fleet.configure(())
            await asyncio.sleep(fault.seconds)
            if process.fleet is not None and not process.busy:
                process.fleet.configure(self.works)

    async def _impair_path(self, fault: Fault, process: Process) -> None:
        ports = [process.port, *([process.consul_port] if self.plan.store == "consul" else [])]
        port = self.rng.choice(ports)
        if fault.kind in ("slow", "twice"):
            self._set_link(port, to=False, back=False, latency=0.1)
        else:
            self._set_link(
                port, to=fault.kind in ("cut", "cut_there"), back=fault.kind != "cut_there"
            )
        await asyncio.sleep(fault.seconds)
        self._set_link(port, to=False, back=False)

    async def _fault_of_shared(self, fault: Fault) -> None:
        match fault.kind:
            case "endpoint":
                await fail_endpoint(self.effects, self.rng, fault.seconds)
            case "gone":
                if self.folder.exists():
                    os.rename(self.folder, self._root / f"gone-{self.kernel.now}")
            case "older":
                copy = self._root / f"copy-{self.kernel.now}"
                if self.folder.exists():
                    shutil.copytree(self.folder, copy)
                    await asyncio.sleep(fault.seconds)
                    if self.folder.exists():
                        os.rename(self.folder, self._root / f"gone-{self.kernel.now}")
                    os.rename(copy, self.folder)
            case "torn":
                leases = sorted((self.folder / "lease").glob("beat*"))
                if leases:
                    leases[-1].write_bytes(leases[-1].read_bytes()[:9])
                    await asyncio.sleep(fault.seconds)
                    leases[-1].unlink(missing_ok=True)
            case _:
                if self.plan.store == "consul":
                    await self.consul.inject_fault(fault.kind, fault.seconds)

    def finish(self) -> None:
        """Read the logs from the store and check the rules on the history."""
        history = self.history
        if self.plan.store == "consul":
            history.logs = self.consul.logs()
        else:
            for log in sorted((self.folder / "log").glob("*")):
                history.logs[log.name] = [path.read_bytes() for path in sorted(log.glob("*/0*"))]
        self.violations += histories.check_history(history)


@dataclass(frozen=True)
class Outcome:
    """The result of a run.  `gaps`: s without an owner; `digest`: of all applied effects."""

    plan: Plan
    violations: tuple[Violation, ...]
    effects: int
    gaps: tuple[float, ...]
    digest: str
    trace: str = ""


def run_plan(plan: Plan, with_trace: bool = False) -> Outcome:
    """Run one plan; the outcome is the same in every run and on every machine.

    `with_trace`: with lease events and the trace also if no rule was violated.
    """
    root = MEMORY_FOLDER if MEMORY_FOLDER.is_dir() and os.access(MEMORY_FOLDER, os.W_OK) else None
    with tempfile.TemporaryDirectory(prefix="fleet-", dir=root) as folder:
        world = World(plan, Path(folder))
        try:
            with isolated_run(
                logging.INFO if with_trace else logging.CRITICAL, EventHandler(world)
            ):
                world.loop.run_until_complete(world.run())
        finally:
            for process in getattr(world, "processes", []):
                for each in (process, *process.duplicates):
                    each.kill()
            for task in asyncio.all_tasks(world.loop):
                task.cancel()
            world.loop.call_soon(world.loop.stop)
            world.loop.run_forever()
            world.loop.close()
        world.finish()
    history = world.history
    applied = repr([(round(e.at, 6), e.key, e.fence) for e in history.effects])
    trace = (
        histories.format_trace(history, world.violations) if with_trace or world.violations else ""
    )
    return Outcome(
        plan,
        tuple(world.violations),
        len(history.effects),
        tuple(gap.seconds for gap in histories.owner_gaps(history)),
        blake2b(applied.encode(), digest_size=8).hexdigest(),
        trace,
    )


def run_seed(seed: int, daemons: int) -> Outcome:
    """Run the plan of a seed, without ledgers; `daemons` 0: as many as the plan says."""
    plan = generate(seed, settles=False)
    return run_plan(msgspec.structs.replace(plan, daemons=daemons) if daemons else plan)


def explore(
    first: int, seeds: int, jobs: int, daemons: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Outcome]]:
    """Yield the outcomes in chunks, in seed order; see `seed_runs.explore`."""
    return seed_runs.explore(partial(run_seed, daemons=daemons), first, seeds, jobs, prepare)


def shrink(found: Outcome) -> Outcome:
    """Remove the faults that the violation does not need; the outcome has its trace."""
    return run_plan(seed_runs.shrink(found, run_plan, without_fault).plan, with_trace=True)
