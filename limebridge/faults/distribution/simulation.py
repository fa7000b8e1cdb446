"""A discrete-event simulation: a simulated clock and a queue of events in a reproducible order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MAX_EVENTS = 2_000_000  # per run, so that a loop without delay ends with an error


class EventLimitExceeded(Exception):
    """A run processed more than MAX_EVENTS events."""


class Simulation:
    """A queue of events; events of the same simulated time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self.processed_events = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0

    def schedule_at(self, when: float, event: Callable[[], None]) -> None:
        """Schedules an event for simulated time `when`, or for now if that has passed."""
        self._last_number += 1
        heapq.heappush(self._heap, (max(when, self.now), self._last_number, event))

    def schedule_after(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedules an event so many simulated seconds from now."""
        self.schedule_at(self.now + seconds, event)

    def run_until(self, end: float, is_done: Callable[[], bool] | None = None) -> None:
        """Processes events up to simulated time `end`, or until `is_done` returns True after one.

        Raises EventLimitExceeded.
        """
        while self._heap and self._heap[0][0] <= end:
            self.now, _, event = heapq.heappop(self._heap)
            event()
            self.processed_events += 1
            if self.processed_events > MAX_EVENTS:
                raise EventLimitExceeded(f"more than {MAX_EVENTS} events by {self.now:.3f} s")
            if is_done is not None and is_done():
                return
        self.now = max(self.now, end)
