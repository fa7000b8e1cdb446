"""What a socket tells of the CPU time that its use takes; `costs` has the meter of a process."""

from __future__ import annotations

from typing import Protocol


class SocketMeter(Protocol):
    """Of the process that owns the socket."""

    spent: float  # s that the process has worked in this turn: what it sends leaves so late

    def connects(self) -> None:
        """A connection was made or accepted."""

    def reads(self, count: int) -> None:
        """So many bytes were read, in one call."""

    def writes(self, count: int) -> None:
        """So many bytes were written, in one call."""


class Unmetered:
    """Of a process whose own time is not played: all that it does takes none."""

    spent = 0.0

    def connects(self) -> None:
        pass

    def reads(self, count: int) -> None:
        pass

    def writes(self, count: int) -> None:
        pass


UNMETERED = Unmetered()
