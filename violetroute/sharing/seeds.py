"""Seeds: addresses from the operator's file at which no member is known yet.  Pure."""

from __future__ import annotations

from collections.abc import Iterable


class Seeds:
    """How many members are there at each seed's address, kept as members change."""

    def __init__(self, places: Iterable[str], own: str) -> None:
        self._members = dict.fromkeys((place for place in places if place != own), 0)

    def joined(self, place: str) -> None:
        """A member is there at this address."""
        if place in self._members:
            self._members[place] += 1

    def left(self, place: str) -> None:
        """A member that was there at this address is gone, or at another one."""
        if place in self._members:
            self._members[place] -= 1

    def unknown(self) -> list[str]:
        """Those at which nobody is."""
        return [place for place, members in self._members.items() if not members]
