"""Rows of a table in the order in which they fade: a calendar queue, 16 bytes a row.  Pure.

A bucket holds the rows that fade within BUCKET_S. Adding and removing a row take the same time
however many rows there are, and a removed row leaves nothing behind.
"""

from __future__ import annotations

import heapq
from array import array
from collections.abc import Iterator

from .row_lists import NO_ROW, RowLists

BUCKET_S = 0.5  # as often as node health looks


class ExpiryQueue:
    """Rows by number. Times: s."""

    __slots__ = ("_bucket", "_first", "_lists", "_order")

    def __init__(self) -> None:
        self._lists = RowLists()
        self._bucket = array("q")  # by row
        self._first: dict[int, int] = {}  # row, by bucket
        self._order: list[int] = []  # a heap of the buckets

    def append_row(self) -> None:
        """The table has one more row, which is not in the queue yet."""
        self._lists.append_row()
        self._bucket.append(0)

    def add(self, row: int, until: float) -> None:
        """It fades then."""
        bucket = self._bucket[row] = _bucket_of(until)
        first = self._first.get(bucket)
        if first is None:
            heapq.heappush(self._order, bucket)
            first = NO_ROW
        self._first[bucket] = self._lists.insert(row, first)

    def remove(self, row: int) -> None:
        """It is not waited for any more."""
        bucket = self._bucket[row]
        self._first[bucket] = self._lists.remove(row, self._first[bucket])

    def due(self, now: float) -> Iterator[int]:
        """Rows that have faded by now, and those that fade within the same BUCKET_S.

        The one that was given last may be removed meanwhile, and no other.
        """
        last = _bucket_of(now)
        while self._order and self._order[0] <= last:
            bucket = self._order[0]
            yield from self._lists.rows(self._first[bucket])
            if self._first[bucket] != NO_ROW:
                return  # not all were removed: they are given again
            heapq.heappop(self._order)
            del self._first[bucket]


def _bucket_of(at: float) -> int:
    return int(at // BUCKET_S)
