"""What the program's own time costs, and a process of the virtual world that has to take it.

A turn of a real loop polls, then works through what was ready; meanwhile events wait in the kernel.
Here a process is charged, by a few named terms, for what its turn did.  When the turn is over it is
busy for so long: its sockets are not reported, its timers and callbacks wait, and what it sends
leaves as late as the work before it took.  The kernel goes on for everybody.

Terms are seconds on one core of the machine that `benchmarks/calibrate.py` ran on, kept with its
date in `costs.json`; a process with a share of a core takes them over its share.  Not modelled: how
a scheduler slices that share, caches that are cold after a sleep, garbage collection.
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

MIN_SLEEP = 0.0005  # s after the end of the turn before from which the poll must have slept


@dataclass(frozen=True)
class Costs:
    """Seconds each."""

    wake: float  # a turn of the loop
    read: float  # a read from a socket
    write: float
    byte: float  # read or written
    command: float  # parsed and looked at for the own load
    decision: float  # an event told to the module, and what the proxy does round it
    connect: float  # a connection made or accepted, to its end

    def over(self, cores: float) -> Costs:
        """On this share of a core."""
        return Costs(**{f.name: getattr(self, f.name) / cores for f in fields(self)})


def measured() -> Costs:
    """Of the machine and the day that `costs.json` names."""
    return msgspec.json.decode(
        files(__package__).joinpath("costs.json").read_bytes(), type=_Stored
    ).seconds


class _Stored(msgspec.Struct):
    measured: str
    seconds: Costs


class Meter:
    """One process's CPU: told by the kernel's sockets and by what is wrapped, see `Metered`."""

    def __init__(self, kernel: Kernel, loop: VirtualLoop, owner: str, costs: Costs) -> None:
        self._kernel, self._loop, self._owner, self.costs = kernel, loop, owner, costs
        self.used = 0.0  # s of CPU ever
        self.spent = 0.0  # s of this turn
        self.free_at = self.turn_at = self.readable_at = kernel.now
        self.turns = 0
        self._waiting: deque[Handle] = deque()  # to be called in the next turn, in order
        kernel.meters[owner] = self

    @property
    def busy(self) -> bool:
        return self._owner in self._kernel.paused

    def charge(self, seconds: float) -> None:
        if not self.spent:
            self._begin()
        self.spent += seconds
        self.used += seconds

    def connects(self) -> None:
        """A connection was made or accepted."""
        self.charge(self.costs.connect)

    def reads(self, count: int) -> None:
        """So many bytes were read from a socket, in one call."""
        self.charge(self.costs.read + count * self.costs.byte)

    def writes(self, count: int) -> None:
        """So many bytes were written to a socket, in one call."""
        self.charge(self.costs.write + count * self.costs.byte)

    def _begin(self) -> None:
        """The first work of a turn: what its poll would have shown."""
        now = self._kernel.now
        slept = now - self.free_at > MIN_SLEEP
        self.readable_at = now if slept else (self.turn_at + now) / 2.0
        self.turn_at = now
        self.turns += 1
        self._kernel.charged.append(self)
        self.spent = self.costs.wake
        self.used += self.costs.wake

    def settle(self) -> None:
        """The turn is over: busy until it would have been."""
        # What is not of its loop (a drain's own sleep) may have worked while it was busy.
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
            self._kernel.woken = True  # the poll must end for it, as for a socket

    def soon(self, handle: Handle) -> None:
        """In the next turn, behind what waits."""
        self._waiting.append(handle)
        if len(self._waiting) == 1 and not self.busy and not self.spent:
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        if self.busy or not self._waiting:
            return
        self.charge(0.0)
        for _ in range(len(self._waiting)):  # what they add comes in the turn after
            self._waiting.popleft().call()


class Handle:
    """What asyncio's handles are to the daemon."""

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
    """The loop as one metered process sees it: its clock runs on while it works."""

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
    """The module, each event of which is charged: what is told of arrivals as a command."""

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
