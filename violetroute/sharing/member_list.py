"""All other members that one member knows, and what is kept in order about them.  Pure.

One change of one member costs O(log n) comparisons, however many there are.
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
    """Members by name, with those that are up, those that are doubted, seeds and digests."""

    def __init__(self, seeds: Iterable[str], own_place: str) -> None:
        self.members: dict[str, Member] = {}
        self.up = UpNames()
        self.not_alive = NotAliveMembers()
        self.seeds = Seeds(seeds, own_place)
        self.digests = MemberDigests()  # with the process that is listed under one's own name

    def add(self, rumor: Rumor, now: float) -> Member:
        """Take one that is not known yet for alive."""
        added = self.members[rumor.name] = Member(
            rumor.name, rumor.life, rumor.incarnation, "a", rumor.place, rumor.zone, now
        )
        self.up.added(added)
        self.seeds.joined(rumor.place)
        self.digests.file(added)
        return added

    def take(self, known: Member, rumor: Rumor, now: float) -> None:
        """A member stands as a rumor says that overrides what is known."""
        was_up, place = known.up, known.place
        known.take(rumor, now)
        if was_up:
            self.seeds.left(place)
        if known.up:
            self.seeds.joined(known.place)
        if known.up != was_up:
            self.up.changed(known)
        self.not_alive.file(known)
        self.digests.file(known)

    def forget(self, name: str) -> Member:
        """One that is not up any more.  KeyError if it is not known."""
        self.not_alive.forget(name)
        return self.members.pop(name)
