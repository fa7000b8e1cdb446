"""One process of the fleet that `memory` simulates: its clock, store access and incarnations."""

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

START_UNIX_S = 1.7e9  # first time of the simulated wall clock
DRIFT = 0.05  # max relative error of a process clock's rate
BEAT_S = 0.2  # s between two effects of a work


class World(Protocol):
    """The part of the simulated world that its processes use."""

    plan: Plan
    kernel: Kernel
    loop: VirtualLoop
    rng: random.Random
    history: History
    folder: Path  # folder of the folder store
    works: list[str]
    started: int  # incarnations so far, for their names
    mean_step_s: float  # mean time of one step at the folder store
    beat_s: float  # s between two effects of a work
    poll_s: float  # s between two polls of the leases


class EventHandler(logging.Handler):
    """Records the lease events that the processes log, for the trace of the run."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        """Add a record to the history if its event is one of the fleet."""
        event = str(getattr(record, "event", ""))
        fields = getattr(record, "fields", {})
        if event.startswith("fleet."):
            details = " ".join(f"{key}={value}" for key, value in fields.items())
            now = self._world.kernel.now
            self._world.history.logged.append(LoggedEvent(now, "", LeaseEvent(event, details)))


class ProcessClock:
    """The event loop of one process: its clock runs at its own rate.

    While the process is suspended, its clock advances and its callbacks wait.
    """

    def __init__(self, loop: VirtualLoop, rate: float) -> None:
        self._loop, self._rate = loop, rate
        self.killed = False
        self.stopped_until = 0.0  # suspended until then, by the world's clock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def time(self) -> float:
        """The process's monotonic clock in s."""
        return self._loop.time() * self._rate

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Any:
        """As `loop.call_later`; `delay` in s of this clock."""
        return self._loop.call_later(max(0.0, delay) / self._rate, self._run, callback, args)

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Any:
        """As `loop.call_at`; `when` in s of this clock."""
        # 1e-9 s later: a rounding error of the division must not make it run before it is due.
        return self._loop.call_at((when + 1e-9) / self._rate, self._run, callback, args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> Any:
        """As `loop.call_soon`."""
        return self._loop.call_soon(self._run, callback, args)

    def stop(self, kernel: Kernel, owner: str, seconds: float) -> None:
        """Suspend the process for `seconds`: neither its timers nor its sockets make progress."""
        until = self.stopped_until = max(self.stopped_until, kernel.now + seconds)
        kernel.paused[owner] = until

        def resume() -> None:
            if kernel.paused.get(owner, 0.0) <= kernel.now:
                kernel.paused.pop(owner, None)
                kernel.touch_all(owner)

        kernel.at(until, resume)

    def _run(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if self.killed:
            return
        if self._loop.time() < self.stopped_until:
            # The original handle has run, so cancelling it no longer cancels this call; a callback
            # that may have been cancelled has to check that itself.
            self._loop.call_at(self.stopped_until, self._run, callback, args)
        else:
            callback(*args)


class SteppedStore:
    """Runs each step of a `FolderStore` at its own time of the process's clock.

    So the process can be suspended or killed between any two steps.  `fails`: whether steps raise
    OSError at the moment.  `mean_step_s`: mean time of a step.
    """

    expires_leases = False

    def __init__(
        self,
        store: FolderStore,
        clock: ProcessClock,
        rng: random.Random,
        fails: Callable[[], bool],
        mean_step_s: float,
    ) -> None:
        self._mean_step_s = mean_step_s
        self._store, self._clock, self._rng, self._fails = store, clock, rng, fails
        self._queues: dict[str, list[Callable[[], None]]] = {"leases": [], "logs": []}
        self._busy: set[str] = set()

    def _step_time(self) -> float:
        return self._mean_step_s * self._rng.expovariate(1.0)

    def _submit(self, job: Callable[[], Any], callback: Callback[Any]) -> None:
        self._queues["leases"].append(
            lambda: self._clock.call_later(self._step_time(), self._do, job, callback)
        )
        self._start_next("leases")

    def _start_next(self, writer: str) -> None:
        if writer not in self._busy and self._queues[writer]:
            self._busy.add(writer)
            self._queues[writer].pop(0)()

    def _do(self, job: Callable[[], Any], callback: Callback[Any]) -> None:
        result, reason = None, ""
        try:
            if self._fails():
                raise OSError(28, "No space left on device")
            result = job()
        except Exception as error:
            reason = str(error) or type(error).__name__
        self._clock.call_later(self._step_time(), self._done, "leases", callback, result, reason)

    def _done(self, writer: str, callback: Callback[Any], result: Any, reason: str) -> None:
        self._busy.discard(writer)
        callback(result, reason)
        self._start_next(writer)

    def poll(self, callback: Callback[Any]) -> None:
        """Read all leases."""
        self._submit(self._store.poll, callback)

    def acquire(self, request: Any, callback: Callback[Any]) -> None:
        """Acquire a lease."""
        self._submit(lambda: self._store.acquire(request), callback)

    def renew(self, terms: Sequence[tuple[str, int]], callback: Callback[Any]) -> None:
        """Renew leases, given as works with their fences."""
        self._submit(lambda: self._store.renew(terms), callback)

    def release(self, work: str, fence: int, callback: Callback[Any]) -> None:
        """Release a lease."""
        self._submit(lambda: self._store.release(work, fence), callback)

    def run(self, steps: Steps, callback: Callback[Result]) -> None:
        """Run an operation on a log, each read and put separately.

        So what was checked may be outdated by the time of the put.
        """
        self._queues["logs"].append(
            lambda: self._clock.call_later(
                self._step_time(), self._next_step, steps, None, callback
            )
        )
        self._start_next("logs")

    def _next_step(self, steps: Steps, answer: Any, callback: Callback[Result]) -> None:
        try:
            step = steps.send(answer)
            if self._fails():
                raise OSError(28, "No space left on device")
        except StopIteration as end:
            self._done("logs", callback, end.value, "")
            return
        except Exception as error:
            self._done("logs", callback, None, str(error) or type(error).__name__)
            return
        self._clock.call_later(self._step_time(), self._run_step, steps, step, callback)

    def _run_step(self, steps: Steps, step: Read | Put, callback: Callback[Result]) -> None:
        try:
            answer: Any = (
                self._store.read(step.log, step.position)
                if isinstance(step, Read)
                else self._store.put(step.log, step.position, step.data)
            )
        except OSError as error:
            self._done("logs", callback, None, str(error))
            return
        self._clock.call_later(self._step_time(), self._next_step, steps, answer, callback)

    def close(self) -> None:
        """Close the store."""
        self._store.close()


class Process:
    """One proxy's fleet component: its incarnations, one after another."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.name = world, number, f"p{number}"
        self.rate = world.rng.uniform(1.0 - DRIFT, 1.0 + DRIFT)
        self.port = self.consul_port = 0
        self.works: Sequence[str] = world.works
        self.fleet: Fleet | None = None
        self.store_fails_until = 0.0  # by the world's clock
        self.busy = False  # it is being ended and started again
        self.duplicates: list[Process] = []

    def start(self) -> None:
        """Start a new incarnation."""
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
            return LogWork(
                name, net, BeatDecider(), world.beat_s, endpoint, table.path, table.call_s
            )

        self.fleet = Fleet(table, self.name, net, store, work, nonce=f"n{world.started}")

    def _table(self) -> FleetTable:
        """The [fleet] table of its operator file."""
        world, plan = self.world, self.world.plan
        return FleetTable(
            store=plan.store,
            folder=str(world.folder),
            agents=(f"127.0.0.1:{self.consul_port}",),
            works=tuple(self.works),
            term_s=plan.term_s,
            drift=DRIFT,
            look_s=world.poll_s,
            call_s=0.4,
            move_s=1.0,
            beat_s=world.beat_s,
            endpoint=f"127.0.0.1:{self.port}",
        )

    def _stepped(self, folder_store: FolderStore) -> SteppedStore:
        """The store with time between its steps; it fails while a fault of this process lasts."""
        world = self.world
        return SteppedStore(
            folder_store,
            self.clock,
            random.Random(f"{world.plan.seed}/{self.owner}"),
            lambda: world.kernel.now < self.store_fails_until,
            world.mean_step_s,
        )

    def kill(self) -> None:
        """End the process as SIGKILL does: its connections are reset and its lock is released."""
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
        """Suspend the process for `seconds`."""
        if self.fleet is not None:
            self.clock.stop(self.world.kernel, self.owner, seconds)

    async def term(self) -> None:
        """End the process as SIGTERM does: it releases its leases first."""
        if self.fleet is not None:
            fleet = self.fleet
            await fleet.close()
            self.kill()
