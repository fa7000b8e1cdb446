"""A list that stays sorted while entries come and go, so that nobody sorts or walks all of it.

Adding and removing take O(log n) comparisons and one move of memory, of at most a few thousand
references here.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import Any, Generic, TypeVar

Entry = TypeVar("Entry", bound=tuple[Any, ...])


class OrderedEntries(Generic[Entry]):
    """Different tuples, the smallest first."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: list[Entry] = []  # to be read only

    def add(self, entry: Entry) -> None:
        """One more, which is not there yet."""
        insort(self.entries, entry)

    def remove(self, entry: Entry) -> None:
        """Take out one that is there.  KeyError if it is not."""
        place = bisect_left(self.entries, entry)
        if place == len(self.entries) or self.entries[place] != entry:
            raise KeyError(entry)
        del self.entries[place]

    def first_from(self, least: tuple[Any, ...]) -> Entry:
        """The smallest one that is not below `least`.  IndexError if there is none."""
        return self.entries[bisect_left(self.entries, least)]

    def take(self, count: int) -> list[Entry]:
        """Take out the smallest ones."""
        taken = self.entries[:count]
        del self.entries[:count]
        return taken
