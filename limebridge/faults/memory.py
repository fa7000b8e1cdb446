"""Several processes' fleet parts in one virtual world: a plan of faults, exact from its seed.

What runs is the daemon's own part (`violetroute/fleet`): keeper, owners, works, the Consul store
over virtual sockets, or the folder store over a real folder of files, whose calls are done at
instants of the virtual clock, a log's reads and puts each at one of its own.  So a process can be
stopped or killed between any two of them.  Each process has a clock of its own rate within the
stated drift.  Plans and properties are those of the rig (`limebridge/faults`).

Not played, since they are the kernel's and not ours: limits of a process (an error of the folder
stands for them), a reset's and half an answer's bytes (a blocked path stands for them), starved
cores (a short stop stands for one), what a middleman asks again (a slow way; the endpoint takes
posts twice).
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
from limebridge.virtual.session import quiet

from . import history as histories
from . import many
from .endpoint import endpoint_fails
from .history import History
from .plan import FORGETS, Fault, Plan, draw, without_fault
from .process import BEAT, EventHandler, Process
from .violation import Violation

SESSIONS_LOST = (*FORGETS, "leader", "torn")  # faults after which two owners may overlap
CALLS = (0.002, 0.02, 0.08)  # s that a step at the folder takes, about, by plan
PATIENCE = 30.0  # s until a work goes on after the healing
MEMORY = Path("/dev/shm")  # where files cost no disk, if there is such a place


class World:
    """One plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self._root = plan, folder / "fleet", folder
        self.kernel = Kernel(plan.seed, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.rng = random.Random(f"fleet/{plan.seed}")
        self.call = self.rng.choice(CALLS)
        self.works = [f"beat-{number}" for number in range(plan.works)]
        self.history = History()
        self.effects, self.consul = EffectEndpoint(), Consul(seed=plan.seed)
        self.history.effects = self.effects.applied
        self.started = 0  # incarnations, for their names
        self.beat, self.look = BEAT, 0.1
        self.violations: list[Violation] = []

    async def play(self) -> None:
        plan = self.plan
        self.processes = [Process(self, number) for number in range(plan.daemons)]
        for process in self.processes:
            await self._doors(process)
            process.start()
        self.history.began = self.kernel.now
        tasks = [asyncio.create_task(self._watch())]
        for fault in plan.fault:
            await asyncio.sleep(max(0.0, self.history.began + fault.at - self.kernel.now))
            process = self.processes[fault.who % len(self.processes)]
            self.history.add_fault(self.kernel.now, fault, process.name)
            tasks.append(asyncio.create_task(self._fault(fault, process)))
        await asyncio.sleep(max(0.0, self.history.began + plan.seconds - self.kernel.now))
        await asyncio.gather(*tasks[1:])
        await self._heal()
        until = self.kernel.now + PATIENCE
        while (waits := self._waits()) and self.kernel.now < until:
            await asyncio.sleep(0.05)
        tasks[0].cancel()
        if waits:
            self.violations.append(Violation("goes on", f"nobody does {', '.join(sorted(waits))}"))
        for process in [*self.processes, *(t for p in self.processes for t in p.twins)]:
            await process.term()

    async def _watch(self) -> None:
        """Two that may begin effects of one work, by their own clocks: never, but after a loss."""
        told: set[str] = set()
        while True:
            await asyncio.sleep(0.02)
            running = [p for each in self.processes for p in (each, *each.twins) if p.fleet]
            for work in self.works:
                may = [p.owner for p in running if p.fleet is not None and work in p.fleet.owned()]
                if len(may) > 1 and not self._lost and work not in told:
                    told.add(work)
                    self.violations.append(
                        Violation(
                            "alone",
                            f"{work}: {' and '.join(may)} may at "
                            f"{self.kernel.now - self.history.began:.3f}",
                        )
                    )

    @property
    def _lost(self) -> bool:
        """What the store had was lost, or its sessions may have been."""
        return any(fault.kind in SESSIONS_LOST for fault in self.history.faults)

    async def _doors(self, process: Process) -> None:
        """Of its own to what is shared, so that it alone can be cut off."""
        for attribute, part in (("port", self.effects), ("consul_port", self.consul)):
            serve: Any = part._serve
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            setattr(process, attribute, server.sockets[0].getsockname()[1])

    def _waits(self) -> set[str]:
        return self.history.undone(self.works, BEAT)

    async def _heal(self) -> None:
        self.effects.fault = lambda: ""
        self.consul.end_fault()
        for path in (self.folder / "lease").glob("beat*"):
            if path.stat().st_size < 10:
                path.unlink()  # by hand, as the operators' page says
        for process in self.processes:
            for port in (process.port, process.consul_port):
                self._link(port, to=False, back=False)
            process.failing_until = 0.0
            if process.fleet is None:
                process.start()
            else:
                process.fleet.configure(self.works)
        self.history.healed_at = self.kernel.now

    def _link(self, port: int, to: bool, back: bool, latency: float = 0.0) -> None:
        link = self.kernel.link(port)
        link.latency = 0.000_05 + latency
        if to or back:
            self.kernel.block(port, to, back)
        else:
            self.kernel.heal(port)

    # --- faults ---
    async def _fault(self, fault: Fault, process: Process) -> None:
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
                process.failing_until = self.kernel.now + fault.seconds
            case "twin":
                twin = Process(self, process.number)
                twin.port, twin.consul_port = process.port, process.consul_port
                twin.start()
                process.twins.append(twin)
            case "cut" | "cut_there" | "cut_back" | "half" | "drip" | "reset" | "slow" | "twice":
                await self._way(fault, process)
            case _:
                await self._shared(fault)

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
        """Take all jobs from the process's file, and put them back after a while."""
        if process.fleet is not None and not process.busy:
            process.fleet.configure(())
            await asyncio.sleep(fault.seconds)
            if process.fleet is not None and not process.busy:
                process.fleet.configure(self.works)

    async def _way(self, fault: Fault, process: Process) -> None:
        ports = [process.port, *([process.consul_port] if self.plan.store == "consul" else [])]
        port = self.rng.choice(ports)
        if fault.kind in ("slow", "twice"):
            self._link(port, to=False, back=False, latency=0.1)
        else:
            self._link(port, to=fault.kind in ("cut", "cut_there"), back=fault.kind != "cut_there")
        await asyncio.sleep(fault.seconds)
        self._link(port, to=False, back=False)

    async def _shared(self, fault: Fault) -> None:
        match fault.kind:
            case "endpoint":
                await endpoint_fails(self.effects, self.rng, fault.seconds)
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
        history = self.history
        if self.plan.store == "consul":
            history.logs = self.consul.logs()
        else:
            for log in sorted((self.folder / "log").glob("*")):
                history.logs[log.name] = [path.read_bytes() for path in sorted(log.glob("*/0*"))]
        self.violations += histories.check_history(history)


@dataclass(frozen=True)
class Outcome:
    """What is kept of a run."""

    plan: Plan
    violations: tuple[Violation, ...]
    effects: int
    gaps: tuple[float, ...]
    digest: str
    trace: str = ""


def play(plan: Plan, tells: bool = False) -> Outcome:
    """One plan; the same outcome each time and everywhere."""
    root = MEMORY if MEMORY.is_dir() and os.access(MEMORY, os.W_OK) else None
    with tempfile.TemporaryDirectory(prefix="fleet-", dir=root) as folder:
        world = World(plan, Path(folder))
        try:
            with quiet(logging.INFO if tells else logging.CRITICAL, EventHandler(world)):
                world.loop.run_until_complete(world.play())
        finally:
            for process in getattr(world, "processes", []):
                for each in (process, *process.twins):
                    each.kill()
            for task in asyncio.all_tasks(world.loop):
                task.cancel()
            world.loop.call_soon(world.loop.stop)
            world.loop.run_forever()
            world.loop.close()
        world.finish()
    history = world.history
    told = repr([(round(e.at, 6), e.key, e.fence) for e in history.effects])
    story = histories.format_trace(history, world.violations) if tells or world.violations else ""
    return Outcome(
        plan,
        tuple(world.violations),
        len(history.effects),
        tuple(gap.seconds for gap in histories.without_owner(history)),
        blake2b(told.encode(), digest_size=8).hexdigest(),
        story,
    )


def played(seed: int, daemons: int) -> Outcome:
    """The plan of a seed, without ledgers; `daemons` 0: as many as it says."""
    plan = draw(seed, settles=False)
    return play(msgspec.structs.replace(plan, daemons=daemons) if daemons else plan)


def explore(
    first: int, seeds: int, jobs: int, daemons: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Outcome]]:
    """Outcomes by chunks, in the seeds' order."""
    return many.explore(partial(played, daemons=daemons), first, seeds, jobs, prepare)


def shrink(found: Outcome) -> Outcome:
    """The fewest faults with which the same property breaks, and its story."""
    return play(many.shrink(found, play, without_fault).plan, tells=True)
