"""Interface by which sockets charge CPU time to their process; `costs.Meter` implements it."""

from __future__ import annotations

from typing import Protocol


class SocketMeter(Protocol):
    """Meter of the process that owns the socket."""

    turn_cpu_s: float  # s of CPU in this iteration of the loop, by which sent data is delayed

    def charge_connect(self) -> None:
        """Charge a connection that the process made or accepted."""

    def charge_read(self, count: int) -> None:
        """Charge one call that read `count` bytes."""

    def charge_write(self, count: int) -> None:
        """Charge one call that wrote `count` bytes."""


class Unmetered:
    """Meter of a process whose CPU time is not simulated."""

    turn_cpu_s = 0.0

    def charge_connect(self) -> None:
        pass

    def charge_read(self, count: int) -> None:
        pass

    def charge_write(self, count: int) -> None:
        pass


UNMETERED = Unmetered()
