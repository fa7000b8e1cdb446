"""Indirect probes that this member relays for others.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

MAX_RELAYS = 256


@dataclass(frozen=True, slots=True)
class Relay:
    """An indirect probe for another member."""

    requester: str
    number: int  # the requester's probe number
    until: float  # s; when the requester gets a nack
    life: str  # the process of the target that must answer


class Relays:
    """Open relays by the number of this member's own ping."""

    def __init__(self) -> None:
        self._open: dict[int, Relay] = {}

    @property
    def full(self) -> bool:
        """Whether no more relays are accepted."""
        return len(self._open) >= MAX_RELAYS

    def add(self, number: int, relay: Relay) -> None:
        """Add the relay whose ping to the target has this number."""
        self._open[number] = relay

    def answered(self, number: int, life: str) -> Relay | None:
        """Remove and return the relay that an ack with this number and life ends."""
        relay = self._open.get(number)
        if relay is None or relay.life != life:
            return None
        del self._open[number]
        return relay

    def overdue(self, now: float) -> list[Relay]:
        """Remove and return the relays without an ack in time."""
        if not self._open:
            return []
        numbers = [number for number, relay in self._open.items() if now >= relay.until]
        return [self._open.pop(number) for number in numbers]
