"""CPU costs of the daemon's operations, and simulated processes that take this time.

One iteration (turn) of a real event loop polls and then handles the ready events; events that
occur meanwhile wait in the kernel.  In the simulation the work of an iteration takes no time.
Instead the process is charged a few named costs for this work and is busy for their sum after the
iteration: its sockets are not reported as ready, and its timers and callbacks wait.  Data that it
sends is delayed by the work that precedes the send.  The simulated kernel continues meanwhile.

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

# s from the end of an iteration to the next; after a longer gap the poll is assumed to have slept.
MIN_SLEEP = 0.0005


@dataclass(frozen=True)
class Costs:
    """CPU costs of operations, in s each."""

    wake: float  # an iteration of the loop
    read: float  # a read from a socket, without its bytes
    write: float  # a write to a socket, without its bytes
    byte: float  # a byte read or written
    command: float  # parsing, and the check of the event loop load
    decision: float  # an event of the balancer, and the proxy's handling of it
    connect: float  # a connection made or accepted, including its close

    def for_cores(self, cores: float) -> Costs:
        """The costs of a process that has this fraction of a core."""
        return Costs(**{f.name: getattr(self, f.name) / cores for f in fields(self)})


def load_costs() -> Costs:
    """The measured costs on one core, read from `costs.json`."""
    return msgspec.json.decode(
        files(__package__).joinpath("costs.json").read_bytes(), type=_CostsFile
    ).seconds


class _CostsFile(msgspec.Struct):
    """Contents of `costs.json`."""

    measured: str  # date of the measurement
    seconds: Costs


class Meter:
    """CPU time of one process, charged by its sockets, its loop and `MeteredBalancer`."""

    def __init__(self, kernel: Kernel, loop: VirtualLoop, owner: str, costs: Costs) -> None:
        self._kernel, self._loop, self._owner, self.costs = kernel, loop, owner, costs
        self.total_cpu_s = 0.0
        self.turn_cpu_s = 0.0  # charged in the current iteration
        # End of the last busy time; start of the last iteration; time at which its events may
        # have become ready, on average.
        self.busy_until = self.turn_at = self.readable_at = kernel.now
        self.turns = 0  # number of iterations
        self._waiting: deque[Handle] = deque()  # callbacks of the next iteration, in order
        kernel.meters[owner] = self

    @property
    def busy(self) -> bool:
        """Whether the process is still busy with the work of its last iteration."""
        return self._owner in self._kernel.paused

    def charge(self, seconds: float) -> None:
        """Add CPU time in s; the first charge of an iteration also adds the cost of the wake-up."""
        if not self.turn_cpu_s:
            self._begin_turn()
        self.turn_cpu_s += seconds
        self.total_cpu_s += seconds

    def charge_connect(self) -> None:
        """Charge a connection that the process made or accepted."""
        self.charge(self.costs.connect)

    def charge_read(self, count: int) -> None:
        """Charge one call that read `count` bytes from a socket."""
        self.charge(self.costs.read + count * self.costs.byte)

    def charge_write(self, count: int) -> None:
        """Charge one call that wrote `count` bytes to a socket."""
        self.charge(self.costs.write + count * self.costs.byte)

    def _begin_turn(self) -> None:
        """Begin an iteration: set the times that a real loop would have measured at its poll.

        If the poll did not sleep, the events became ready at an unknown time since the start of the
        previous iteration; `readable_at` is the middle of this time.
        """
        now = self._kernel.now
        slept = now - self.busy_until > MIN_SLEEP
        self.readable_at = now if slept else (self.turn_at + now) / 2.0
        self.turn_at = now
        self.turns += 1
        self._kernel.charged_meters.append(self)
        self.turn_cpu_s = self.costs.wake
        self.total_cpu_s += self.costs.wake

    def end_turn(self) -> None:
        """End the iteration: the process is busy for the time that it was charged."""
        # A callback that bypasses the `ProcessLoop` (the sleep in a drain) may run while the
        # process is busy; its cost is added to the end of the busy time.
        until = self.busy_until = max(self._kernel.now, self.busy_until) + self.turn_cpu_s
        self.turn_cpu_s = 0.0
        self._kernel.paused[self._owner] = until
        self._kernel.at(until, self._end_busy)

    def _end_busy(self) -> None:
        if self._kernel.now < self.busy_until:
            return
        self._kernel.paused.pop(self._owner, None)
        if self._waiting:
            self._loop.call_soon(self._run_waiting)
            self._kernel.woken = True  # ends the poll, as a ready socket would

    def call_soon(self, handle: Handle) -> None:
        """Queue the callback for the next iteration of the process."""
        self._waiting.append(handle)
        if len(self._waiting) == 1 and not self.busy and not self.turn_cpu_s:
            self._loop.call_soon(self._run_waiting)

    def _run_waiting(self) -> None:
        if self.busy or not self._waiting:
            return
        self.charge(0.0)
        # Callbacks that are added meanwhile run in the following iteration.
        for _ in range(len(self._waiting)):
            self._waiting.popleft().call()


class Handle:
    """A queued callback, with the methods of asyncio.Handle and asyncio.TimerHandle.

    `timer` is the handle of the real loop while the callback waits for its time.
    """

    __slots__ = ("_args", "_callback", "_cancelled", "_when", "timer")

    def __init__(
        self, callback: Callable[..., object], args: tuple[Any, ...], when: float = 0.0
    ) -> None:
        self._callback, self._args, self._when = callback, args, when
        self._cancelled = False
        self.timer: asyncio.TimerHandle | None = None

    def when(self) -> float:
        """The time at which the callback is due; 0 if it was queued by `call_soon`."""
        return self._when

    def cancelled(self) -> bool:
        """Whether `cancel` was called, even after the callback ran."""
        return self._cancelled

    def cancel(self) -> None:
        """Keep the callback from running; has no effect after it has run."""
        self._cancelled = True
        if self.timer is not None:
            self.timer.cancel()

    def call(self) -> None:
        """Call the callback unless it was cancelled."""
        if not self._cancelled:
            self._callback(*self._args)


class ProcessLoop:
    """The event loop that a metered process uses; other attributes are those of the real loop.

    Callbacks run only while the process is not busy.  The clock includes the CPU time charged in
    the current iteration.
    """

    def __init__(self, loop: VirtualLoop, meter: Meter) -> None:
        self._loop, self._meter = loop, meter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def time(self) -> float:
        """Seconds, with the CPU time charged in this iteration: it advances within a callback."""
        return self._loop.time() + self._meter.turn_cpu_s

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Handle:
        handle = Handle(callback, args)
        self._meter.call_soon(handle)
        return handle

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        return self.call_at(self.time() + delay, callback, *args)

    def call_at(self, when: float, callback: Callable[..., object], *args: Any) -> Handle:
        handle = Handle(callback, args, when)
        handle.timer = self._loop.call_at(when, self._on_timer, handle)
        return handle

    def _on_timer(self, handle: Handle) -> None:
        handle.timer = None
        self._meter.call_soon(handle)


class MeteredBalancer:
    """Wraps the balancer and charges each call of a method `on_...`.

    `on_arrival` costs `Costs.command`, all others `Costs.decision`.
    """

    def __init__(self, balancer: Any, meter: Meter) -> None:
        self._balancer, self._meter = balancer, meter

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._balancer, name)
        if not name.startswith("on_"):
            return method
        costs, charge = self._meter.costs, self._meter.charge
        cost = costs.command if name == "on_arrival" else costs.decision

        def charged_call(*args: Any) -> Any:
            charge(cost)
            return method(*args)

        self.__dict__[name] = charged_call
        return charged_call
