"""A limit of bytes a second for sends whose size is known only afterwards.  Pure."""

from __future__ import annotations


class BytePacer:
    """A token bucket that one use may overdraw; it allows no further use until refilled."""

    __slots__ = ("_at", "_burst", "_level", "_rate")

    def __init__(self, rate: float, burst_s: float, now: float) -> None:
        """`rate`: bytes a second; `burst_s`: seconds of that rate that may be used at once."""
        self._rate, self._burst, self._at = rate, rate * burst_s, now
        self._level = self._burst

    def allows(self, now: float) -> bool:
        """Whether bytes may be used now."""
        self._refill(now)
        return self._level > 0.0

    def spend(self, now: float, size: float) -> None:
        """Charge `size` bytes that were used."""
        self._refill(now)
        self._level -= size

    def _refill(self, now: float) -> None:
        self._level = min(self._burst, self._level + self._rate * (now - self._at))
        self._at = now
