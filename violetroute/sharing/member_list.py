"""All other members in one member's view, and the indexes over them.  Pure.

A change of one member costs O(log n) comparisons, whatever the size of the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable

from .digest import MemberDigests
from .not_alive import NotAliveMembers
from .rumors import Member
from .seeds import Seeds
from .up_names import UpNames
from .wire import Rumor


class MemberList:
    """Members by name, with indexes of those that are up and not alive, of seeds and digests."""

    def __init__(self, seeds: Iterable[str], own_place: str) -> None:
        self.members: dict[str, Member] = {}
        self.up = UpNames()
        self.not_alive = NotAliveMembers()
        self.seeds = Seeds(seeds, own_place)
        self.digests = MemberDigests()  # includes the process that holds the own name

    def add(self, rumor: Rumor, now: float) -> Member:
        """Add an unknown member as alive."""
        added = self.members[rumor.name] = Member(
            rumor.name, rumor.life, rumor.incarnation, "a", rumor.place, rumor.zone, now
        )
        self.up.added(added)
        self.seeds.joined(rumor.place)
        self.digests.update(added)
        return added

    def take(self, known: Member, rumor: Rumor, now: float) -> None:
        """Apply a rumor that overrides the known state of a member."""
        was_up, place = known.up, known.place
        known.take(rumor, now)
        if was_up:
            self.seeds.left(place)
        if known.up:
            self.seeds.joined(known.place)
        if known.up != was_up:
            self.up.changed(known)
        self.not_alive.update(known)
        self.digests.update(known)

    def forget(self, name: str) -> Member:
        """Remove a member that is not up.  KeyError if it is not known."""
        self.not_alive.forget(name)
        return self.members.pop(name)
