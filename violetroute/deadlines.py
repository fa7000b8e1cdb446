"""The deadlines of all open requests behind one timer of the loop.

A timer handle a request costs more than the heap does: it is made, filed by comparing
handles in Python, called off, and stays in the loop's own heap until it is due.  Entries
here are pairs of numbers, which a heap compares in C, and hold no request alive: one that
ended meanwhile is passed over when its time comes, and all of them are swept out when they
are more than half of the heap, so that it stays in proportion to what is open.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container, Sized
from heapq import heapify, heappop, heappush
from typing import Protocol

SLACK = 32  # entries of ended requests that are not worth a sweep


class Open(Container[int], Sized, Protocol):
    """The numbers of the open requests."""


class Deadlines:
    """Calls `expired` with each number whose time has come and that is still open."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, expired: Callable[[int], None], alive: Open
    ) -> None:
        self._loop, self._expired, self._alive = loop, expired, alive
        self._heap: list[tuple[float, int]] = []
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_at(self) -> float | None:
        """The earliest time of one that is still open."""
        return min((at for at, number in self._heap if number in self._alive), default=None)

    @property
    def time_left(self) -> float:
        """Seconds by which all that are open now are over."""
        return (
            max((at for at, number in self._heap if number in self._alive), default=0.0)
            - self._loop.time()
        )

    def add(self, at: float, number: int) -> None:
        """`at` in seconds of the loop's clock; numbers are not used twice."""
        heap = self._heap
        if len(heap) > SLACK + 2 * len(self._alive):
            heap[:] = [entry for entry in heap if entry[1] in self._alive]
            heapify(heap)
        heappush(heap, (at, number))
        if self._timer is None or at < self._timer.when():
            self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        heap = self._heap
        while heap and heap[0][1] not in self._alive:
            heappop(heap)
        if heap:
            self._timer = self._loop.call_at(heap[0][0], self._due)

    def _due(self) -> None:
        self._timer = None
        now, heap = self._loop.time(), self._heap
        try:
            while heap and heap[0][0] <= now:
                _, number = heappop(heap)
                if number in self._alive:
                    self._expired(number)
        finally:  # a fault over one must not leave the others without their time
            if self._timer is None:
                self._arm()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._heap.clear()
