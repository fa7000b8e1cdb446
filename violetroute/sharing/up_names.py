"""Names of the members that are there, kept between changes.  Pure.

A change of one member must not cost work for each other one: at 2,600 members building the list
anew takes 0.4 ms, and sorting it for one page of 12 members 0.85 ms.  So both lists are kept, and
a change takes O(log n) comparisons and a move of memory of at most a few thousand references.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort

from .rumors import Member


class UpNames:
    """Of members that are added, go, and come back.

    They stand in the order in which they were added: each gets a number then (`Member.number`),
    which it keeps while it is away.
    """

    __slots__ = ("_last_number", "_names", "_numbers", "_sorted")

    def __init__(self) -> None:
        self._last_number = 0
        self._numbers: list[int] = []  # of those that are there, rising
        self._names: list[str] = []  # of the same, in the same order
        self._sorted: list[str] = []

    @property
    def count(self) -> int:
        """Members that are there."""
        return len(self._names)

    def names(self) -> list[str]:
        """All of them, in the order in which they were added.  Not to be changed or kept."""
        return self._names

    def added(self, member: Member) -> None:
        """A member that was not known, and is there."""
        self._last_number += 1
        member.number = self._last_number
        self._came(member)

    def changed(self, member: Member) -> None:
        """A member that was added before came back, or is away now."""
        if member.up:
            self._came(member)
        else:
            self._left(member)

    def after(self, name: str, most: int) -> list[str]:
        """The first names that follow `name` in their sorted order."""
        first = bisect_right(self._sorted, name)
        return self._sorted[first : first + most]

    def _came(self, member: Member) -> None:
        index = bisect_left(self._numbers, member.number)
        self._numbers.insert(index, member.number)
        self._names.insert(index, member.name)
        insort(self._sorted, member.name)

    def _left(self, member: Member) -> None:
        index = bisect_left(self._numbers, member.number)
        del self._numbers[index]
        del self._names[index]
        del self._sorted[bisect_left(self._sorted, member.name)]
