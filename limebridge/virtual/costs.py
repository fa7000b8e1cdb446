"""CPU costs of the daemon, and simulated processes that take this time.

An iteration of a real loop polls, then handles the ready events; later events wait in the kernel.
Here a process is charged a few named costs for the work of an iteration.  Afterwards it is busy for
that time: its sockets are not reported and its timers and callbacks wait.  Data that it sends is
delayed by the work before the send.  The simulated kernel continues meanwhile.

Costs are seconds on one core of the machine that ran `benchmarks/calibrate.py`, stored with the
date in `costs.json`; they are divided by a process's fraction of a core.  Not modelled: the
scheduler's time slices, cold CPU caches after a sleep, garbage collection.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, fields
from importlib.resources import files
from typing import Any

import msgspec

from .kernel import Kernel
from .loop import VirtualLoop

# s since the previous iteration from which the poll is taken to have slept.
MIN_SLEEP = 0.0005


@dataclass(frozen=True)
class Costs:
    """CPU costs in s per operation."""

    wake: float  # an iteration of the loop
    read: float  # a read from a socket
    write: float
    byte: float  # read or written
    command: float  # parsing, and the check of the event loop load
    decision: float  # an event of the balancer, and the proxy's handling of it
    connect: float  # a connection made or accepted, including its close

    def over(self, cores: float) -> Costs:
        """The costs on this fraction of a core."""
        return Costs(**{f.name: getattr(self, f.name) / cores for f in fields(self)})


def measured() -> Costs:
    """The costs stored in `costs.json`."""
    return msgspec.json.decode(
        files(__package__).joinpath("costs.json").read_bytes(), type=_Stored
    ).seconds


class _Stored(msgspec.Struct):
    measured: str
    seconds: Costs


class Meter:
    """CPU time of one process, charged by its sockets, its loop and `Metered`."""

    def __init__(self, kernel: Kernel, loop: VirtualLoop, owner: str, costs: Costs) -> None:
        self._kernel, self._loop, self._owner, self.costs = kernel, loop, owner, costs
        self.used = 0.0  # s of CPU in total
        self.spent = 0.0  # s of CPU in this iteration
        self.free_at = self.turn_at = self.readable_at = kernel.now
        self.turns = 0
        self._waiting: deque[Handle] = deque()  # called in order in the next iteration
        kernel.meters[owner] = self

    @property
    def busy(self) -> bool:
        return self._owner in self._kernel.paused

    def charge(self, seconds: float) -> None:
        """Add CPU time; the first charge of an iteration also adds the cost of the wake-up."""
        if not self.spent:
            self._begin()
        self.spent += seconds
        self.used += seconds

    def charge_connect(self) -> None:
        """A connection was made or accepted."""
        self.charge(self.costs.connect)

    def charge_read(self, count: int) -> None:
        """One call read `count` bytes from a socket."""
        self.charge(self.costs.read + count * self.costs.byte)

    def charge_write(self, count: int) -> None:
        """One call wrote `count` bytes to a socket."""
        self.charge(self.costs.write + count * self.costs.byte)

    def _begin(self) -> None:
        """Start an iteration: set the times that its poll would have reported."""
        now = self._kernel.now
        slept = now - self.free_at > MIN_SLEEP
        self.readable_at = now if slept else (self.turn_at + now) / 2.0
        self.turn_at = now
        self.turns += 1
        self._kernel.charged.append(self)
        self.spent = self.costs.wake
        self.used += self.costs.wake

    def settle(self) -> None:
        """End the iteration: the process is busy for the time that it was charged."""
        # Work outside its `ProcessLoop` (the sleep in a drain) may run while it is busy.
        until = self.free_at = max(self._kernel.now, self.free_at) + self.spent
        self.spent = 0.0
        self._kernel.paused[self._owner] = until
        self._kernel.at(until, self._freed)

    def _freed(self) -> None:
        if self._kernel.now < self.free_at:
            return
        self._kernel.paused.pop(self._owner, None)
        if self._waiting:
            self._loop.call_soon(self._run)
            self._kernel.woken = True  # ends the poll, as a ready socket would

    def soon(self, handle: Handle) -> None:
        """Queue the handle for the next iteration."""
        self._waiting.append(handle)
        if len(self._waiting) == 1 and not self.busy and not self.spent:
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        if self.busy or not self._waiting:
            return
        self.charge(0.0)
        for _ in range(
            len(self._waiting)
        ):  # handles added meanwhile run in the following iteration
            self._waiting.popleft().call()


class Handle:
    """Stand-in for asyncio.Handle and asyncio.TimerHandle."""

    __slots__ = ("_args", "_callback", "_cancelled", "_when", "timer")

    def __init__(
        self, callback: Callable[..., object], args: tuple[Any, ...], when: float = 0.0
    ) -> None:
        self._callback, self._args, self._when = callback, args, when
        self._cancelled = False
        self.timer: asyncio.TimerHandle | None = None

    def when(self) -> float:
        return self._when

    def cancelled(self) -> bool:
        return self._cancelled

    def cancel(self) -> None:
        self._cancelled = True
        if self.timer is not None:
            self.timer.cancel()

    def call(self) -> None:
        if not self._cancelled:
            self._callback(*self._args)


class ProcessLoop:
    """The loop as seen by a metered process: its clock includes the time already charged."""

    def __init__(self, loop: VirtualLoop, meter: Meter) -> None:
        self._loop, self._meter = loop, meter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def time(self) -> float:
        return self._loop.time() + self._meter.spent

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Handle:
        handle = Handle(callback, args)
        self._meter.soon(handle)
        return handle

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        return self.call_at(self.time() + delay, callback, *args)

    def call_at(self, when: float, callback: Callable[..., object], *args: Any) -> Handle:
        handle = Handle(callback, args, when)
        handle.timer = self._loop.call_at(when, self._due, handle)
        return handle

    def _due(self, handle: Handle) -> None:
        handle.timer = None
        self._meter.soon(handle)


class Metered:
    """Wraps the balancer and charges each `on_` call: a command for arrivals, else a decision."""

    def __init__(self, module: Any, meter: Meter) -> None:
        self._module, self._meter = module, meter

    def __getattr__(self, name: str) -> Any:
        found = getattr(self._module, name)
        if not name.startswith("on_"):
            return found
        costs, charge = self._meter.costs, self._meter.charge
        cost = costs.command if name == "on_arrival" else costs.decision

        def charged_call(*args: Any) -> Any:
            charge(cost)
            return found(*args)

        self.__dict__[name] = charged_call
        return charged_call
