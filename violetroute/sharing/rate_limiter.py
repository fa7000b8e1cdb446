"""A bound on how many a second.  Pure."""

from __future__ import annotations


class RateLimiter:
    """So many a second."""

    __slots__ = ("_at", "_burst", "_level", "_rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst, self._level, self._at = rate, burst, burst, now

    def take(self, now: float) -> bool:
        self._level = min(self._burst, self._level + self._rate * (now - self._at))
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
