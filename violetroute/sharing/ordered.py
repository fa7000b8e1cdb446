"""A list that stays sorted while entries come and go, so that nothing sorts or scans all of it.

Adding and removing take O(log n) comparisons and one move of memory, of at most a few thousand
references here.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import Any, Generic, TypeVar

Entry = TypeVar("Entry", bound=tuple[Any, ...])


class OrderedEntries(Generic[Entry]):
    """Distinct tuples in ascending order."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: list[Entry] = []  # read only for callers

    def add(self, entry: Entry) -> None:
        """Add an entry that is not in the list."""
        insort(self.entries, entry)

    def remove(self, entry: Entry) -> None:
        """Remove an entry.  KeyError if it is not in the list."""
        place = bisect_left(self.entries, entry)
        if place == len(self.entries) or self.entries[place] != entry:
            raise KeyError(entry)
        del self.entries[place]

    def first_from(self, least: tuple[Any, ...]) -> Entry:
        """The smallest entry that is not below `least`.  IndexError if there is none."""
        return self.entries[bisect_left(self.entries, least)]

    def take(self, count: int) -> list[Entry]:
        """Remove and return the `count` smallest entries."""
        taken = self.entries[:count]
        del self.entries[:count]
        return taken
