"""A Unix clock in milliseconds that never steps back."""

from __future__ import annotations

from .transport import Network


class UnixClock:
    """The wall clock at start-up, advanced by the loop's monotonic clock."""

    __slots__ = ("_loop", "_offset", "latest")

    def __init__(self, net: Network) -> None:
        self._loop = net.loop
        self._offset = net.wall() * 1000.0 - net.loop.time() * 1000.0
        self.latest = 0.0  # the last result of `now`, Unix milliseconds

    def now(self) -> float:
        """Unix milliseconds, never less than an earlier result."""
        now = self._offset + self._loop.time() * 1000.0
        if now > self.latest:
            self.latest = now
        return self.latest

    def advance(self, at: float) -> None:
        """Never return a time before `at` (Unix milliseconds) from now on."""
        self.latest = max(self.latest, at)
