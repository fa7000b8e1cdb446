"""A clock of simulated seconds and the events that wait for it; the same order from a seed."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MAX_EVENTS = 2_000_000  # of one run: a loop without delay ends with an error


class EventLimitExceeded(Exception):
    """More events happened than a run may have."""


class Simulation:
    """Events at simulated times; those of one instant happen in the order they were planned."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Plan an event; one in the past happens now."""
        self._number += 1
        heapq.heappush(self._heap, (max(when, self.now), self._number, event))

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        """Plan an event so many seconds from now."""
        self.at(self.now + seconds, event)

    def run_until(self, end: float, done: Callable[[], bool] | None = None) -> None:
        """Let everything happen up to `end`, or until `done` says so after an event."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, event = heapq.heappop(self._heap)
            event()
            self.events += 1
            if self.events > MAX_EVENTS:
                raise EventLimitExceeded(f"more than {MAX_EVENTS} events by {self.now:.3f} s")
            if done is not None and done():
                return
        self.now = max(self.now, end)
