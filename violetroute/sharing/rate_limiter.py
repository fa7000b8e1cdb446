"""A token bucket that limits events a second.  Pure."""

from __future__ import annotations


class RateLimiter:
    """Allows `rate` events a second, and `burst` at once."""

    __slots__ = ("_at", "_burst", "_level", "_rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst, self._level, self._at = rate, burst, burst, now

    def take(self, now: float) -> bool:
        """Take a token; False if there is none.  `now`: s."""
        self._level = min(self._burst, self._level + self._rate * (now - self._at))
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
