"""Interface by which sockets charge CPU time; `costs.Meter` implements it."""

from __future__ import annotations

from typing import Protocol


class SocketMeter(Protocol):
    """Meter of the process that owns the socket."""

    spent: float  # s of CPU in this iteration, by which sent data is delayed

    def charge_connect(self) -> None:
        """A connection was made or accepted."""

    def charge_read(self, count: int) -> None:
        """One call read `count` bytes."""

    def charge_write(self, count: int) -> None:
        """One call wrote `count` bytes."""


class Unmetered:
    """Meter of a process whose CPU time is not simulated."""

    spent = 0.0

    def charge_connect(self) -> None:
        pass

    def charge_read(self, count: int) -> None:
        pass

    def charge_write(self, count: int) -> None:
        pass


UNMETERED = Unmetered()
