"""Seeds: addresses from the operator's file, to find members there.  Pure."""

from __future__ import annotations

from collections.abc import Iterable


class Seeds:
    """Counts the known members at each seed's address."""

    def __init__(self, places: Iterable[str], own: str) -> None:
        self._members = dict.fromkeys((place for place in places if place != own), 0)

    def joined(self, place: str) -> None:
        """Count a member that is up at this address."""
        if place in self._members:
            self._members[place] += 1

    def left(self, place: str) -> None:
        """Remove a member that is gone or has moved from the count of this address."""
        if place in self._members:
            self._members[place] -= 1

    def unknown(self) -> list[str]:
        """Seeds at whose address no member is known."""
        return [place for place, members in self._members.items() if not members]
