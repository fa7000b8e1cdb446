"""Doubly linked lists over the rows of a table, with 8 bytes a row.  Pure.

A row is in one list at a time.  The owner of a list keeps the number of its first row, or NO_ROW
while the list is empty.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

NO_ROW = -1


class RowLists:
    """All lists of one kind over the rows of one table."""

    __slots__ = ("_next", "_previous")

    def __init__(self) -> None:
        self._next = array("i")
        self._previous = array("i")

    def append_row(self) -> None:
        """Note a new row of the table, which is in no list yet."""
        self._next.append(NO_ROW)
        self._previous.append(NO_ROW)

    def insert(self, row: int, first: int) -> int:
        """Prepend a row to a list; returns the list's new first row."""
        self._next[row], self._previous[row] = first, NO_ROW
        if first != NO_ROW:
            self._previous[first] = row
        return row

    def remove(self, row: int, first: int) -> int:
        """Remove a row from its list; returns the list's new first row."""
        previous, following = self._previous[row], self._next[row]
        if previous != NO_ROW:
            self._next[previous] = following
        if following != NO_ROW:
            self._previous[following] = previous
        return following if row == first else first

    def rows(self, first: int) -> Iterator[int]:
        """The rows of a list.  During the iteration only the last yielded row may be removed."""
        row = first
        for _ in range(len(self._next)):
            if row == NO_ROW:
                return
            following = self._next[row]
            yield row
            row = following
