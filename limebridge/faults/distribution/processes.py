"""Simulated processes: a clock of its own rate, an end, a pause, and what waits meanwhile."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .simulation import Simulation

CLOCK_ERROR_S = 1e-6  # a timer never fires before its time by the process's clock


@dataclass(frozen=True)
class ProcessClock:
    """A monotonic clock: `offset` at the start, `rate` seconds a second of the world."""

    offset: float
    rate: float

    def read(self, world_now: float) -> float:
        """What the process reads at this instant of the world."""
        return self.offset + self.rate * world_now

    def world_time(self, reading: float) -> float:
        """When the clock shows this."""
        return (reading - self.offset) / self.rate

    def world_span(self, seconds: float) -> float:
        """How long a wait of so many seconds of this clock takes."""
        return seconds / self.rate


class Process:
    """One process after another of one name.  Events reach only the one they were meant for."""

    def __init__(self, simulation: Simulation, name: str, clock: ProcessClock) -> None:
        self.simulation, self.name, self.clock = simulation, name, clock
        self.up = False
        self.incarnation_number = 0
        self._pauses = 0
        self._held: deque[Callable[[], None]] = deque()
        self._wake_at = float("inf")

    @property
    def now(self) -> float:
        """The process's own clock."""
        return self.clock.read(self.simulation.now)

    @property
    def paused(self) -> bool:
        """Whether it is stopped (SIGSTOP)."""
        return self._pauses > 0

    @property
    def running(self) -> bool:
        """Up and not paused."""
        return self.up and not self.paused

    def start(self) -> None:
        """Run a new process of this name."""
        raise NotImplementedError

    def begin(self) -> None:
        """A new process of this name."""
        self.up = True
        self.incarnation_number += 1
        self._pauses = 0
        self._held.clear()
        self._wake_at = float("inf")

    def end(self) -> None:
        """The process is killed; whatever was meant for it is void."""
        self.up = False
        self._held.clear()

    def deliver(self, event: Callable[[], None]) -> None:
        """Let the process handle an event: now, or once its pause is over."""
        if not self.up:
            return
        if self.paused:
            self._held.append(event)
            return
        event()

    def for_current_process(self, event: Callable[[], None]) -> Callable[[], None]:
        """The event for the process that runs now; nothing for a later one."""
        incarnation_number = self.incarnation_number

        def guarded() -> None:
            if incarnation_number == self.incarnation_number:
                self.deliver(event)

        return guarded

    def pause(self) -> None:
        """Nothing is handled from now on.  Pauses may overlap."""
        self._pauses += 1

    def resume(self) -> None:
        """Undo one pause; after the last one everything that waited is handled in order."""
        self._pauses = max(0, self._pauses - 1)
        while self._held and self.running:
            self._held.popleft()()

    def wake(self, at: float, event: Callable[[], None]) -> None:
        """Call `event` when the process's clock has passed `at`, unless one is planned earlier."""
        if at == float("inf"):
            return
        when = max(self.clock.world_time(at), self.simulation.now) + CLOCK_ERROR_S
        if self._wake_at <= when and self._wake_at > self.simulation.now:
            return
        self._wake_at = when
        self.simulation.at(when, self.for_current_process(event))
