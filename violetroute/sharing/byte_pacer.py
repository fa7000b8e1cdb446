"""Bytes a second that one part may use, where the size is known only afterwards.  Pure."""

from __future__ import annotations


class BytePacer:
    """A token bucket that may be overdrawn by one use, and allows none until that is paid for."""

    __slots__ = ("_at", "_burst", "_level", "_rate")

    def __init__(self, rate: float, burst_s: float, now: float) -> None:
        """`rate`: bytes a second; `burst_s`: seconds of it that may be used at once."""
        self._rate, self._burst, self._at = rate, rate * burst_s, now
        self._level = self._burst

    def allows(self, now: float) -> bool:
        """Whether something may be used now."""
        self._refill(now)
        return self._level > 0.0

    def spend(self, now: float, size: float) -> None:
        """So many bytes were used."""
        self._refill(now)
        self._level -= size

    def _refill(self, now: float) -> None:
        self._level = min(self._burst, self._level + self._rate * (now - self._at))
        self._at = now
