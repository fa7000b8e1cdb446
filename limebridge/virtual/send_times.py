"""When bytes of a stream were handed to the kernel that sends them."""

from __future__ import annotations


class SendTimes:
    """Of one direction.  Offsets that are asked for never fall: what is behind them is dropped."""

    __slots__ = ("_sends",)

    def __init__(self) -> None:
        self._sends: list[tuple[int, float]] = []  # where a send began, and when it was made

    def note(self, offset: int, at: float) -> None:
        """A send whose first byte is the `offset`th was made at this time."""
        self._sends.append((offset, at))

    def at(self, offset: int) -> float:
        """When the `offset`th byte was sent."""
        sends = self._sends
        while len(sends) > 1 and sends[1][0] <= offset:
            del sends[0]
        return sends[0][1]
