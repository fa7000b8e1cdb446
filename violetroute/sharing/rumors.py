"""State of a member, the order in which rumors override it, and how often rumors are sent on."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

from .ordered import OrderedEntries
from .wire import MemberEntry, Rumor

RETRANSMIT_FACTOR = 6.0  # times log10 of the fleet size: how often a rumor is sent on
MAX_WAITING = 512  # queued rumors
RUMORS_PER_DATAGRAM = 8
MAX_CONFIRMATIONS = 3  # further members whose suspicion gives the shortest suspicion time

State = Literal["a", "s", "d", "l"]


@dataclass(slots=True)
class Member:
    """State of a member in this view; `since`: s, when it changed."""

    name: str
    life: str
    incarnation: int
    state: State
    place: str
    zone: str
    since: float
    last_contact_at: float = -math.inf  # s; when its last datagram arrived
    suspected_by: frozenset[str] = frozenset()
    not_before: float = -math.inf  # s; a late tick postponed the end of the suspicion until then
    number: int = 0  # order in which members were added

    @property
    def up(self) -> bool:
        """Whether it is alive or suspected."""
        return self.state in ("a", "s")

    @property
    def confirmations(self) -> int:
        """Further members that suspect it, at most MAX_CONFIRMATIONS."""
        return max(0, len(self.suspected_by) - 1)

    def rumor(self, by: str = "") -> Rumor:
        """A rumor of the current state; `by`: the member that reports it."""
        return self.rumor_in_state(self.state, by)

    def rumor_in_state(self, state: State, by: str) -> Rumor:
        """A rumor that it is in `state`, reported by member `by`."""
        return Rumor(self.name, self.life, self.incarnation, state, self.place, self.zone, by)

    def has_ended(self, entry: MemberEntry) -> bool:
        """Whether the process of this entry is known to be dead or to have left."""
        return not self.up and self.incarnation >= entry.incarnation

    def correction(self, by: str) -> Rumor:
        """The rumor for a member that still lists this one, which is not up any more.

        A dead member is reported as suspected, so that it is probed there too and can refute.
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
        """Add a member that suspects it; False if it is known already or enough do."""
        if not by or by in self.suspected_by or len(self.suspected_by) > MAX_CONFIRMATIONS:
            return False
        self.suspected_by |= {by}
        return True

    def take(self, rumor: Rumor, now: float) -> None:
        """Apply a rumor that overrides the current state."""
        self.life, self.incarnation = rumor.life, rumor.incarnation
        self.state, self.since = rumor.state, now  # type: ignore[assignment]
        self.not_before = -math.inf
        if rumor.state == "a":
            self.place, self.zone = rumor.place or self.place, rumor.zone or self.zone
        self.suspected_by = frozenset((rumor.by,) if rumor.state == "s" else ())


Order = tuple[int, int, str]  # times sent, number in the order of arrival, the member's name


class Rumors:
    """Rumors to send on: those sent least often first, then those waiting longest.

    They are kept in that order, so neither a datagram nor a new rumor scans the whole queue.
    """

    def __init__(self) -> None:
        self._queued: dict[str, tuple[Rumor, Order]] = {}  # queued rumors by the member's name
        self._ordered = OrderedEntries[Order]()
        self._number = 0

    def add(self, rumor: Rumor) -> None:
        """Queue a rumor; it replaces one of the same member."""
        name = rumor.name
        waiting = self._queued.get(name)
        if waiting is not None:
            self._ordered.remove(waiting[1])
            number = waiting[1][1]
        else:
            if len(self._queued) >= MAX_WAITING:
                most_often = self._ordered.entries[-1][0]
                self.drop(self._ordered.first_from((most_often,))[2])
            number = self._number = self._number + 1
        self._enqueue(rumor, (0, number, name))

    def drop(self, name: str) -> None:
        """Remove the queued rumor of a member, if any."""
        waiting = self._queued.pop(name, None)
        if waiting is not None:
            self._ordered.remove(waiting[1])

    def next(self, size: int) -> list[Rumor]:
        """Rumors for the next datagram, in a fleet of this size."""
        if not self._queued:
            return []
        times = math.ceil(RETRANSMIT_FACTOR * math.log10(size + 9))
        found = []
        for sent, number, name in self._ordered.take(RUMORS_PER_DATAGRAM):
            rumor = self._queued[name][0]
            found.append(rumor)
            if sent + 1 >= times:
                del self._queued[name]
            else:
                self._enqueue(rumor, (sent + 1, number, name))
        return found

    def _enqueue(self, rumor: Rumor, order: Order) -> None:
        self._queued[rumor.name] = rumor, order
        self._ordered.add(order)


def overrides(rumor: Rumor, state: State, life: str, incarnation: int) -> bool:
    """Whether a rumor overrides the known state, by SWIM's order."""
    if rumor.state == "a":
        return rumor.incarnation > incarnation
    if rumor.life != life and rumor.incarnation <= incarnation:
        return False  # the rumor is about a previous process
    if rumor.state == "s":
        return rumor.incarnation > incarnation or (
            rumor.incarnation == incarnation and state == "a"
        )
    return rumor.incarnation >= incarnation and state in ("a", "s")


def entry_of(member: Member | Rumor) -> MemberEntry:
    """The anti-entropy entry of a member that is up."""
    return MemberEntry(member.name, member.life, member.incarnation, member.place, member.zone)


def rumor_of(entry: MemberEntry) -> Rumor:
    """The rumor equivalent to an entry."""
    return Rumor(entry.name, entry.life, entry.incarnation, "a", entry.place, entry.zone)
