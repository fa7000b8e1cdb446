"""A member as it is believed to stand; which word of it is later, and how often that is sent on."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

from .ordered import OrderedEntries
from .wire import MemberEntry, Rumor

RETRANSMIT_FACTOR = 6.0  # times the fleet's size's logarithm: how often a rumor is sent on
MAX_WAITING = 512  # that wait
RUMORS_PER_DATAGRAM = 8  # that go with one datagram
MAX_CONFIRMATIONS = 3  # others whose suspicion makes its time as short as it gets

State = Literal["a", "s", "d", "l"]


@dataclass(slots=True)
class Member:
    """As it is believed to stand."""

    name: str
    life: str
    incarnation: int
    state: State
    place: str
    zone: str
    since: float
    last_contact_at: float = -math.inf  # a word of its own came
    suspected_by: frozenset[str] = frozenset()
    not_before: float = -math.inf  # s; a late tick postponed the end of its suspicion until then
    number: int = 0  # in the order in which members were added

    @property
    def up(self) -> bool:
        return self.state in ("a", "s")

    @property
    def confirmations(self) -> int:
        """Others that suspect it too, CONFIRMED at most."""
        return max(0, len(self.suspected_by) - 1)

    def rumor(self, by: str = "") -> Rumor:
        return self.rumor_in_state(self.state, by)

    def rumor_in_state(self, state: State, by: str) -> Rumor:
        """A rumor that it is in this state, by who says so."""
        return Rumor(self.name, self.life, self.incarnation, state, self.place, self.zone, by)

    def has_ended(self, entry: MemberEntry) -> bool:
        """Whether the process that an entry tells of has ended, as far as is known."""
        return not self.up and self.incarnation >= entry.incarnation

    def correction(self, by: str) -> Rumor:
        """What one is told who still lists this member, which is not up any more.

        One that is dead is told of as suspected: so it is asked there too, and can deny it.
        """
        return self.rumor_in_state("l" if self.state == "l" else "s", by)

    def same_suspicion(self, rumor: Rumor) -> bool:
        """Whether the rumor is of the suspicion that is known already."""
        return (
            rumor.state == "s"
            and self.state == "s"
            and rumor.incarnation == self.incarnation
            and rumor.life == self.life
        )

    def confirm(self, by: str) -> bool:
        """One more suspects it; False if it is known to, or enough do."""
        if not by or by in self.suspected_by or len(self.suspected_by) > MAX_CONFIRMATIONS:
            return False
        self.suspected_by |= {by}
        return True

    def take(self, rumor: Rumor, now: float) -> None:
        """Stand as a rumor says that overrides what is known."""
        self.life, self.incarnation = rumor.life, rumor.incarnation
        self.state, self.since = rumor.state, now  # type: ignore[assignment]
        self.not_before = -math.inf
        if rumor.state == "a":
            self.place, self.zone = rumor.place or self.place, rumor.zone or self.zone
        self.suspected_by = frozenset((rumor.by,) if rumor.state == "s" else ())


Order = tuple[int, int, str]  # how often it was sent, since when it waits, and the member's name


class Rumors:
    """What is still to be sent on, the least often sent first, of these the longest waiting.

    They are kept in that order, so neither a datagram nor a new rumor looks at all that wait.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, tuple[Rumor, Order]] = {}  # by name
        self._ordered = OrderedEntries[Order]()
        self._number = 0

    def add(self, rumor: Rumor) -> None:
        """In place of what was said of the same member before."""
        name = rumor.name
        waiting = self._waiting.get(name)
        if waiting is not None:
            self._ordered.remove(waiting[1])
            number = waiting[1][1]
        else:
            if len(self._waiting) >= MAX_WAITING:
                most_often = self._ordered.entries[-1][0]
                self.drop(self._ordered.first_from((most_often,))[2])
            number = self._number = self._number + 1
        self._wait(rumor, (0, number, name))

    def drop(self, name: str) -> None:
        """Nothing of this member is sent on."""
        waiting = self._waiting.pop(name, None)
        if waiting is not None:
            self._ordered.remove(waiting[1])

    def next(self, size: int) -> list[Rumor]:
        """What goes with the next datagram, in a fleet of this size."""
        if not self._waiting:
            return []
        times = math.ceil(RETRANSMIT_FACTOR * math.log10(size + 9))
        found = []
        for sent, number, name in self._ordered.take(RUMORS_PER_DATAGRAM):
            rumor = self._waiting[name][0]
            found.append(rumor)
            if sent + 1 >= times:
                del self._waiting[name]
            else:
                self._wait(rumor, (sent + 1, number, name))
        return found

    def _wait(self, rumor: Rumor, order: Order) -> None:
        self._waiting[rumor.name] = rumor, order
        self._ordered.add(order)


def overrides(rumor: Rumor, state: State, life: str, incarnation: int) -> bool:
    """Whether it is later word than what is known, by SWIM's order."""
    if rumor.state == "a":
        return rumor.incarnation > incarnation
    if rumor.life != life and rumor.incarnation <= incarnation:
        return False  # of a life that is over here already
    if rumor.state == "s":
        return rumor.incarnation > incarnation or (
            rumor.incarnation == incarnation and state == "a"
        )
    return rumor.incarnation >= incarnation and state in ("a", "s")


def entry_of(member: Member | Rumor) -> MemberEntry:
    """How another is told that a member is up."""
    return MemberEntry(member.name, member.life, member.incarnation, member.place, member.zone)


def rumor_of(entry: MemberEntry) -> Rumor:
    """The rumor that says the same."""
    return Rumor(entry.name, entry.life, entry.incarnation, "a", entry.place, entry.zone)
