"""Exponential backoff with jitter."""

from __future__ import annotations

from typing import Protocol

MAX_DOUBLINGS = 3  # the delay grows to at most eight times the first one


class Random(Protocol):
    """The part of `random.Random` that `Backoff` uses."""

    def random(self) -> float:
        """A number in [0, 1)."""


class Backoff:
    """Computes the time of the next attempt; the delay doubles with each failure."""

    __slots__ = ("_first_s", "_random", "failures", "next_at")

    def __init__(self, first_s: float, random: Random, now: float) -> None:
        self._first_s = first_s
        self._random = random
        self.failures = 0
        self.next_at = now

    def succeeded(self, now: float) -> None:
        """Reset the delay: the next attempt may be made at once."""
        self.failures = 0
        self.next_at = now

    def failed(self, now: float) -> None:
        """Schedule the next attempt after the delay, half of which is random."""
        delay = self._first_s * 2 ** min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        self.next_at = now + delay * (0.5 + 0.5 * self._random.random())
