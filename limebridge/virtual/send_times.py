"""Times at which a program handed the bytes of a stream to its kernel."""

from __future__ import annotations


class SendTimes:
    """Send times of one direction of a connection.

    The offsets in calls of `at` must not decrease, since each call drops older entries.
    """

    __slots__ = ("_sends",)

    def __init__(self) -> None:
        self._sends: list[tuple[int, float]] = []  # offset of the first byte, time of the send

    def note(self, offset: int, at: float) -> None:
        """Record a send at time `at` whose first byte has this offset."""
        self._sends.append((offset, at))

    def at(self, offset: int) -> float:
        """Time at which the byte at `offset` was sent."""
        sends = self._sends
        while len(sends) > 1 and sends[1][0] <= offset:
            del sends[0]
        return sends[0][1]
