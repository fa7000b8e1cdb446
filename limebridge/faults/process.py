"""One process of the fleet that `memory` simulates: its clock, its store, its incarnations."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from limebridge.virtual.net import network
from violetroute.fleet.folder import FolderStore
from violetroute.fleet.job import BeatDecider, LogWork
from violetroute.fleet.kv import ConsulStore
from violetroute.fleet.lease import IncarnationId
from violetroute.fleet.log import Put, Read, Result, Steps
from violetroute.fleet.runner import Fleet, Work
from violetroute.fleet.store import Callback, Store
from violetroute.fleet.table import FleetTable
from violetroute.transport import parse_address

from .history import History, LeaseEvent, LoggedEvent
from .plan import Plan

START_UNIX_S = 1.7e9  # Unix s
DRIFT = 0.05
BEAT = 0.2  # s between two effects of a work


class World(Protocol):
    """What a process needs of the simulated world that it runs in."""

    plan: Plan
    kernel: Kernel
    loop: VirtualLoop
    rng: random.Random
    history: History
    folder: Path  # of the folder store
    works: list[str]
    started: int  # incarnations so far, for their names
    call: float  # mean s of a step at the folder store
    beat: float  # s between two effects of a work
    look: float  # s between two looks at the leases


class EventHandler(logging.Handler):
    """Records what the processes log of their leases, for the story."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        event = str(getattr(record, "event", ""))
        fields = getattr(record, "fields", {})
        if event.startswith("fleet."):
            more = " ".join(f"{key}={value}" for key, value in fields.items())
            now = self._world.kernel.now
            self._world.history.logged.append(LoggedEvent(now, "", LeaseEvent(event, more)))


class ProcessClock:
    """A process's loop: its clock runs at a rate, and stands while the process does."""

    def __init__(self, loop: VirtualLoop, rate: float) -> None:
        self._loop, self._rate = loop, rate
        self.killed = False
        self.stopped_until = 0.0  # stopped until then, by the world's clock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def time(self) -> float:
        return self._loop.time() * self._rate

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Any:
        return self._loop.call_later(max(0.0, delay) / self._rate, self._run, callback, args)

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Any:
        # Never before it is due by this clock, whatever a division has left of it.
        return self._loop.call_at((when + 1e-9) / self._rate, self._run, callback, args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> Any:
        return self._loop.call_soon(self._run, callback, args)

    def stop(self, kernel: Kernel, owner: str, seconds: float) -> None:
        """Neither its timers nor its sockets go on for so long."""
        until = self.stopped_until = max(self.stopped_until, kernel.now + seconds)
        kernel.paused[owner] = until

        def goes_on() -> None:
            if kernel.paused.get(owner, 0.0) <= kernel.now:
                kernel.paused.pop(owner, None)
                kernel.touch_all(owner)

        kernel.at(until, goes_on)

    def _run(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if self.killed:
            return
        if self._loop.time() < self.stopped_until:
            # A handle that was cancelled meanwhile can't say so any more: what it calls can.
            self._loop.call_at(self.stopped_until, self._run, callback, args)
        else:
            callback(*args)


class SteppedStore:
    """`FolderStore` with each of its steps at an instant of its own."""

    expires_leases = False

    def __init__(
        self,
        store: FolderStore,
        clock: ProcessClock,
        rng: random.Random,
        fails: Callable[[], bool],
        mean: float,
    ) -> None:
        self._mean = mean
        self._store, self._clock, self._rng, self._fails = store, clock, rng, fails
        self._queues: dict[str, list[Callable[[], None]]] = {"leases": [], "logs": []}
        self._busy: set[str] = set()

    def _wait(self) -> float:
        return self._mean * self._rng.expovariate(1.0)

    def _submit(self, job: Callable[[], Any], told: Callback[Any]) -> None:
        self._queues["leases"].append(
            lambda: self._clock.call_later(self._wait(), self._do, job, told)
        )
        self._next("leases")

    def _next(self, writer: str) -> None:
        if writer not in self._busy and self._queues[writer]:
            self._busy.add(writer)
            self._queues[writer].pop(0)()

    def _do(self, job: Callable[[], Any], told: Callback[Any]) -> None:
        result, why = None, ""
        try:
            if self._fails():
                raise OSError(28, "No space left on device")
            result = job()
        except Exception as error:
            why = str(error) or type(error).__name__
        self._clock.call_later(self._wait(), self._done, "leases", told, result, why)

    def _done(self, writer: str, told: Callback[Any], result: Any, why: str) -> None:
        self._busy.discard(writer)
        told(result, why)
        self._next(writer)

    def poll(self, told: Callback[Any]) -> None:
        self._submit(self._store.poll, told)

    def acquire(self, ask: Any, told: Callback[Any]) -> None:
        self._submit(lambda: self._store.acquire(ask), told)

    def renew(self, terms: Sequence[tuple[str, int]], told: Callback[Any]) -> None:
        self._submit(lambda: self._store.renew(terms), told)

    def release(self, work: str, fence: int, told: Callback[Any]) -> None:
        self._submit(lambda: self._store.release(work, fence), told)

    def run(self, steps: Steps, told: Callback[Result]) -> None:
        """Each read and put by itself: what was checked may be old when it is put."""
        self._queues["logs"].append(
            lambda: self._clock.call_later(self._wait(), self._step, steps, None, told)
        )
        self._next("logs")

    def _step(self, steps: Steps, answer: Any, told: Callback[Result]) -> None:
        try:
            step = steps.send(answer)
            if self._fails():
                raise OSError(28, "No space left on device")
        except StopIteration as end:
            self._done("logs", told, end.value, "")
            return
        except Exception as error:
            self._done("logs", told, None, str(error) or type(error).__name__)
            return
        self._clock.call_later(self._wait(), self._steps, steps, step, told)

    def _steps(self, steps: Steps, step: Read | Put, told: Callback[Result]) -> None:
        try:
            answer: Any = (
                self._store.read(step.log, step.position)
                if isinstance(step, Read)
                else self._store.put(step.log, step.position, step.data)
            )
        except OSError as error:
            self._done("logs", told, None, str(error))
            return
        self._clock.call_later(self._wait(), self._step, steps, answer, told)

    def close(self) -> None:
        self._store.close()


class Process:
    """The incarnations of one proxy's fleet part, one after another."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.name = world, number, f"p{number}"
        self.rate = world.rng.uniform(1.0 - DRIFT, 1.0 + DRIFT)
        self.port = self.consul_port = 0
        self.works: Sequence[str] = world.works
        self.fleet: Fleet | None = None
        self.failing_until = 0.0
        self.busy = False  # a start or an end is under way
        self.twins: list[Process] = []

    def start(self) -> None:
        world = self.world
        world.started += 1
        self.clock = ProcessClock(world.loop, self.rate)
        self.owner = f"{self.name}/{world.started}"
        net = network(world.kernel, self.owner, self.clock, lambda: START_UNIX_S + world.kernel.now)
        table = self._table()
        self.folder_store: FolderStore | None = None

        def store(me: IncarnationId) -> Store:
            if table.store == "consul":
                return ConsulStore(table, net, me)
            self.folder_store = FolderStore(world.folder, me, net.wall)
            return self._stepped(self.folder_store)

        def work(name: str) -> Work:
            endpoint = parse_address(table.endpoint) if self.port else None
            return LogWork(name, net, BeatDecider(), world.beat, endpoint, table.path, table.call_s)

        self.fleet = Fleet(table, self.name, net, store, work, nonce=f"n{world.started}")

    def _table(self) -> FleetTable:
        """The [fleet] table of its operator's file."""
        world, plan = self.world, self.world.plan
        return FleetTable(
            store=plan.store,
            folder=str(world.folder),
            agents=(f"127.0.0.1:{self.consul_port}",),
            works=tuple(self.works),
            term_s=plan.term_s,
            drift=DRIFT,
            look_s=world.look,
            call_s=0.4,
            move_s=1.0,
            beat_s=world.beat,
            endpoint=f"127.0.0.1:{self.port}",
        )

    def _stepped(self, folder_store: FolderStore) -> SteppedStore:
        """The store with waits between its steps; it fails while a fault says so."""
        world = self.world
        return SteppedStore(
            folder_store,
            self.clock,
            random.Random(f"{world.plan.seed}/{self.owner}"),
            lambda: world.kernel.now < self.failing_until,
            world.call,
        )

    def kill(self) -> None:
        """Nothing of it runs any more; the kernel resets its connections and frees its lock."""
        if self.fleet is None:
            return
        self.fleet, self.clock.killed = None, True
        kernel, loop = self.world.kernel, self.world.loop
        for sock in [sock for sock in kernel.sockets.values() if sock.owner == self.owner]:
            number = sock.fileno()
            loop.remove_reader(number)
            loop.remove_writer(number)
            sock.abort()
        kernel.paused.pop(self.owner, None)
        if self.folder_store is not None:
            self.folder_store._release_lock()

    def stop(self, seconds: float) -> None:
        if self.fleet is not None:
            self.clock.stop(self.world.kernel, self.owner, seconds)

    async def term(self) -> None:
        if self.fleet is not None:
            fleet = self.fleet
            await fleet.close()
            self.kill()
