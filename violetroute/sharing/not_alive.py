"""Members that are suspected, dead or have left, by when something is due for them.  Pure.

A tick looks at those that are due, not at all of them. How long a suspect has to deny it depends
on how many suspect it, on the fleet's size and on one's own health. The last two change for all
suspects at once, so suspects are kept by the number of confirmations, and within it by the start of
the suspicion: in that order they are always due.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from .ordered import OrderedEntries
from .rumors import MAX_CONFIRMATIONS, Member

StateSince = tuple[float, str]  # s since when, and the member's name


class NotAliveMembers:
    """All members of one view that are not plainly alive."""

    def __init__(self) -> None:
        self._suspects = tuple(OrderedEntries[StateSince]() for _ in range(MAX_CONFIRMATIONS + 1))
        self._dead = OrderedEntries[StateSince]()
        self._left = OrderedEntries[StateSince]()
        self._entries: dict[
            str, tuple[OrderedEntries[StateSince], StateSince]
        ] = {}  # where each one is

    def file(self, member: Member) -> None:
        """Its state, or who suspects it, has changed."""
        self.forget(member.name)
        if member.state == "s":
            entries = self._suspects[member.confirmations]
        elif member.state == "d":
            entries = self._dead
        elif member.state == "l":
            entries = self._left
        else:
            return
        entry = member.since, member.name
        entries.add(entry)
        self._entries[member.name] = entries, entry

    def forget(self, name: str) -> None:
        """It is not doubted, or not known, any more."""
        filed = self._entries.pop(name, None)
        if filed is not None:
            entries, entry = filed
            entries.remove(entry)

    def __bool__(self) -> bool:
        """Whether there are any."""
        return bool(self._entries)

    def overdue(self, now: float, times: Sequence[float]) -> list[str]:
        """Suspects whose time to deny it is over.

        `times`: seconds that a suspect has, by the number of confirmations.
        """
        due = [
            entry
            for entries, time in zip(self._suspects, times, strict=True)
            for entry in _older(entries, now, time)
        ]
        return [name for _, name in sorted(due)]

    def expired(self, now: float, after: float) -> list[str]:
        """Those that have been dead, or have left, for so many seconds."""
        return [
            name for entries in (self._dead, self._left) for _, name in _older(entries, now, after)
        ]

    @property
    def dead(self) -> Sequence[StateSince]:
        """Those thought dead; the longest ago first."""
        return self._dead.entries


def _older(entries: OrderedEntries[StateSince], now: float, age: float) -> Iterator[StateSince]:
    for entry in entries.entries:
        if now - entry[0] < age:
            return
        yield entry
