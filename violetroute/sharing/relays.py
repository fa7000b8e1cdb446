"""Probes that this member makes for others, which asked it to after theirs had no answer.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

MAX_RELAYS = 256


@dataclass(frozen=True, slots=True)
class Relay:
    """One probe for another member."""

    requester: str
    number: int  # the requester's own number of its probe
    until: float  # s; when the requester is told that there was no answer
    life: str  # of the target that has to answer


class Relays:
    """All that are open, by the number of this member's own ping."""

    def __init__(self) -> None:
        self._open: dict[int, Relay] = {}

    @property
    def full(self) -> bool:
        """Whether no more are taken."""
        return len(self._open) >= MAX_RELAYS

    def add(self, number: int, relay: Relay) -> None:
        """The target was sent a ping with this number."""
        self._open[number] = relay

    def answered(self, number: int, life: str) -> Relay | None:
        """The relay that an answer of this life ends."""
        relay = self._open.get(number)
        if relay is None or relay.life != life:
            return None
        del self._open[number]
        return relay

    def overdue(self, now: float) -> list[Relay]:
        """End those that had no answer in time."""
        if not self._open:
            return []
        numbers = [number for number, relay in self._open.items() if now >= relay.until]
        return [self._open.pop(number) for number in numbers]
