"""The deadlines of all open requests, on one timer of the event loop.

One loop timer for each request costs more than this heap: the loop compares timer handles in
Python, and a cancelled handle stays in the loop's own heap until it is due.  Entries here are
pairs of numbers, which heapq compares in C, and keep no request alive.  Entries of ended requests
are skipped when due, and all of them are removed once they are more than half of the heap, so its
size stays proportional to the number of open requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container, Sized
from heapq import heapify, heappop, heappush
from typing import Protocol

SWEEP_SLACK = 32  # entries of ended requests that are left without a sweep


class OpenIds(Container[int], Sized, Protocol):
    """The ids of the open requests."""


class Deadlines:
    """Calls `expired` with the id of each request that is still open at its deadline."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, expired: Callable[[int], None], open_ids: OpenIds
    ) -> None:
        self._loop, self._expired, self._open_ids = loop, expired, open_ids
        self._heap: list[tuple[float, int]] = []
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_at(self) -> float | None:
        """The earliest deadline of an open request, in seconds of the loop's clock."""
        return min((at for at, number in self._heap if number in self._open_ids), default=None)

    @property
    def time_left(self) -> float:
        """Seconds from now to the latest deadline of an open request."""
        return (
            max((at for at, number in self._heap if number in self._open_ids), default=0.0)
            - self._loop.time()
        )

    def add(self, at: float, number: int) -> None:
        """Add a deadline `at`, in seconds of the loop's clock; ids must not be reused."""
        heap = self._heap
        if len(heap) > SWEEP_SLACK + 2 * len(self._open_ids):
            heap[:] = [entry for entry in heap if entry[1] in self._open_ids]
            heapify(heap)
        heappush(heap, (at, number))
        if self._timer is None or at < self._timer.when():
            self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        heap = self._heap
        while heap and heap[0][1] not in self._open_ids:
            heappop(heap)
        if heap:
            self._timer = self._loop.call_at(heap[0][0], self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now, heap = self._loop.time(), self._heap
        try:
            while heap and heap[0][0] <= now:
                _, number = heappop(heap)
                if number in self._open_ids:
                    self._expired(number)
        finally:  # an exception for one request must not stop the timer of the others
            if self._timer is None:
                self._arm()

    def close(self) -> None:
        """Cancel the timer and drop all deadlines."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._heap.clear()
