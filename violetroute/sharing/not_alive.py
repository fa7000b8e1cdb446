"""Members that are suspected, dead or have left, ordered by when an action is due.  Pure.

A tick visits only members that are due.  The time that a suspect has to refute depends on the
number of confirmations, the fleet's size and the local health score.  The last two change for all
suspects at once.  So suspects are grouped by confirmations and sorted by the start of their
suspicion, and are always due in that order.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from .ordered import OrderedEntries
from .rumors import MAX_CONFIRMATIONS, Member

StateSince = tuple[float, str]  # time of the last change (s) and the member's name


class NotAliveMembers:
    """All members in one view that are not alive."""

    def __init__(self) -> None:
        self._suspects = tuple(OrderedEntries[StateSince]() for _ in range(MAX_CONFIRMATIONS + 1))
        self._dead = OrderedEntries[StateSince]()
        self._left = OrderedEntries[StateSince]()
        # The group of each member and its entry there, by name.
        self._entries: dict[str, tuple[OrderedEntries[StateSince], StateSince]] = {}

    def update(self, member: Member) -> None:
        """Apply a change of a member's state or of its confirmations."""
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
        """Remove a member that is alive again or was forgotten."""
        filed = self._entries.pop(name, None)
        if filed is not None:
            entries, entry = filed
            entries.remove(entry)

    def __bool__(self) -> bool:
        """Whether there are any such members."""
        return bool(self._entries)

    def overdue(self, now: float, times: Sequence[float]) -> list[str]:
        """Suspects whose time to refute is over.

        `times`: seconds that a suspect has, by the number of confirmations.
        """
        due = [
            entry
            for entries, time in zip(self._suspects, times, strict=True)
            for entry in _older(entries, now, time)
        ]
        return [name for _, name in sorted(due)]

    def expired(self, now: float, after: float) -> list[str]:
        """Members that have been dead, or have left, for at least `after` seconds."""
        return [
            name for entries in (self._dead, self._left) for _, name in _older(entries, now, after)
        ]

    @property
    def dead(self) -> Sequence[StateSince]:
        """Dead members, the earliest first."""
        return self._dead.entries


def _older(entries: OrderedEntries[StateSince], now: float, age: float) -> Iterator[StateSince]:
    for entry in entries.entries:
        if now - entry[0] < age:
            return
        yield entry
