"""Unix time in milliseconds that never steps back."""

from __future__ import annotations

from .transport import Network


class UnixClock:
    """The wall clock at the start, carried on by the loop's monotonic clock."""

    __slots__ = ("_loop", "_offset", "latest")

    def __init__(self, net: Network) -> None:
        self._loop = net.loop
        self._offset = net.wall() * 1000.0 - net.loop.time() * 1000.0
        self.latest = 0.0  # as `now` told it last, Unix milliseconds

    def now(self) -> float:
        """Unix milliseconds, at least what was told before."""
        now = self._offset + self._loop.time() * 1000.0
        if now > self.latest:
            self.latest = now
        return self.latest

    def advance(self, at: float) -> None:
        """Tell no time before `at` from here on."""
        self.latest = max(self.latest, at)
