"""Rows of a table ordered by their expiry: a calendar queue with 16 bytes a row.  Pure.

A bucket holds the rows that expire within BUCKET_S.  Adding and removing a row take constant time,
whatever the number of rows, and a removed row leaves nothing behind.
"""

from __future__ import annotations

import heapq
from array import array
from collections.abc import Iterator

from .row_lists import NO_ROW, RowLists

BUCKET_S = 0.5  # the interval of gossip rounds, in which node health drops expired rows


class ExpiryQueue:
    """Row numbers by expiry time (s)."""

    __slots__ = ("_bucket", "_first", "_lists", "_order")

    def __init__(self) -> None:
        self._lists = RowLists()
        self._bucket = array("q")  # the bucket of each row
        self._first: dict[int, int] = {}  # row, by bucket
        self._order: list[int] = []  # a heap of the buckets

    def append_row(self) -> None:
        """Note a new row of the table, which is not queued yet."""
        self._lists.append_row()
        self._bucket.append(0)

    def add(self, row: int, until: float) -> None:
        """Queue a row that expires at `until`."""
        bucket = self._bucket[row] = _bucket_of(until)
        first = self._first.get(bucket)
        if first is None:
            heapq.heappush(self._order, bucket)
            first = NO_ROW
        self._first[bucket] = self._lists.insert(row, first)

    def remove(self, row: int) -> None:
        """Remove a queued row."""
        bucket = self._bucket[row]
        self._first[bucket] = self._lists.remove(row, self._first[bucket])

    def due(self, now: float) -> Iterator[int]:
        """Rows that have expired by now, and those that expire within the same bucket.

        During the iteration only the row yielded last may be removed.
        """
        last = _bucket_of(now)
        while self._order and self._order[0] <= last:
            bucket = self._order[0]
            yield from self._lists.rows(self._first[bucket])
            if self._first[bucket] != NO_ROW:
                return  # rows remain: the next call yields them again
            heapq.heappop(self._order)
            del self._first[bucket]


def _bucket_of(at: float) -> int:
    return int(at // BUCKET_S)
