"""A member as it is believed to stand; which word of it is later, and how often that is sent on."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

from .wire import Rumor

SPREAD = 6.0  # times the fleet's size's logarithm: how often a rumor is sent on
MOST = 512  # that wait
EACH = 8  # that go with one datagram

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
    heard_at: float = -math.inf  # a word of its own came
    suspected_by: frozenset[str] = frozenset()

    @property
    def up(self) -> bool:
        return self.state in ("a", "s")

    def rumor(self, by: str = "") -> Rumor:
        return Rumor(self.name, self.life, self.incarnation, self.state, self.place, self.zone, by)


class Rumors:
    """What is still to be sent on, the least often sent first."""

    def __init__(self) -> None:
        self._waiting: dict[str, tuple[Rumor, int]] = {}  # by name, and how often it was sent

    def add(self, rumor: Rumor) -> None:
        """In place of what was said of the same member before."""
        if rumor.name not in self._waiting and len(self._waiting) >= MOST:
            del self._waiting[max(self._waiting, key=lambda name: self._waiting[name][1])]
        self._waiting[rumor.name] = rumor, 0

    def drop(self, name: str) -> None:
        self._waiting.pop(name, None)

    def next(self, size: int) -> list[Rumor]:
        """What goes with the next datagram, in a fleet of this size."""
        if not self._waiting:
            return []
        times = math.ceil(SPREAD * math.log10(size + 9))
        found = []
        for name in sorted(self._waiting, key=lambda name: self._waiting[name][1])[:EACH]:
            rumor, sent = self._waiting[name]
            found.append(rumor)
            if sent + 1 >= times:
                del self._waiting[name]
            else:
                self._waiting[name] = rumor, sent + 1
        return found


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
