"""Simulated processes: clocks with their own rates, crashes, and events deferred by a pause."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .simulation import Simulation

TIMER_ROUNDING_S = 1e-6  # added so that no timer fires early by the process's clock


@dataclass(frozen=True)
class ProcessClock:
    """A monotonic clock with `offset` s at the start and `rate` s per second of simulated time."""

    offset: float
    rate: float

    def read(self, world_now: float) -> float:
        """The reading of the clock at this simulated time."""
        return self.offset + self.rate * world_now

    def world_time(self, reading: float) -> float:
        """The simulated time at which the clock has this reading."""
        return (reading - self.offset) / self.rate

    def world_duration(self, seconds: float) -> float:
        """The simulated duration of so many seconds of this clock."""
        return seconds / self.rate


class Process:
    """A named process and its restarts, numbered by `incarnation_number`.

    An event that was scheduled for one incarnation never reaches a later one.
    """

    def __init__(self, simulation: Simulation, name: str, clock: ProcessClock) -> None:
        self.simulation, self.name, self.clock = simulation, name, clock
        self.up = False
        self.incarnation_number = 0
        self._pauses = 0
        self._deferred: deque[Callable[[], None]] = deque()
        self._next_wake_at = float("inf")

    @property
    def now(self) -> float:
        """The current reading of the process's own clock."""
        return self.clock.read(self.simulation.now)

    @property
    def paused(self) -> bool:
        """Whether it is stopped, as by SIGSTOP."""
        return self._pauses > 0

    @property
    def running(self) -> bool:
        """Whether it is up and not paused."""
        return self.up and not self.paused

    def start(self) -> None:
        """Starts a new incarnation and schedules its first event."""
        raise NotImplementedError

    def begin_incarnation(self) -> None:
        """Resets the state of the process for a new incarnation."""
        self.up = True
        self.incarnation_number += 1
        self._pauses = 0
        self._deferred.clear()
        self._next_wake_at = float("inf")

    def end_incarnation(self) -> None:
        """Marks the process as ended and drops its deferred events."""
        self.up = False
        self._deferred.clear()

    def deliver(self, event: Callable[[], None]) -> None:
        """Runs an event now, or after the current pause; drops it if the process is down."""
        if not self.up:
            return
        if self.paused:
            self._deferred.append(event)
            return
        event()

    def for_current_process(self, event: Callable[[], None]) -> Callable[[], None]:
        """Wraps an event so that it is delivered to the current incarnation only."""
        incarnation_number = self.incarnation_number

        def run_if_current() -> None:
            if incarnation_number == self.incarnation_number:
                self.deliver(event)

        return run_if_current

    def pause(self) -> None:
        """Defers all events from now on.  Pauses may overlap."""
        self._pauses += 1

    def resume(self) -> None:
        """Undoes one pause; after the last one the deferred events run in order."""
        self._pauses = max(0, self._pauses - 1)
        while self._deferred and self.running:
            self._deferred.popleft()()

    def schedule_wake(self, at: float, event: Callable[[], None]) -> None:
        """Schedules `event` for `at` on the process's clock, unless an earlier one is scheduled."""
        if at == float("inf"):
            return
        when = max(self.clock.world_time(at), self.simulation.now) + TIMER_ROUNDING_S
        if self._next_wake_at <= when and self._next_wake_at > self.simulation.now:
            return
        self._next_wake_at = when
        self.simulation.schedule_at(when, self.for_current_process(event))
