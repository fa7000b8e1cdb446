"""Exponential backoff with jitter."""

from __future__ import annotations

from typing import Protocol

MAX_DOUBLINGS = 3  # the delay grows up to eight times the first one


class Random(Protocol):
    """The part of `random.Random` that is used."""

    def random(self) -> float:
        """A number in [0, 1)."""


class Backoff:
    """When to try again; the delay doubles with each failure."""

    __slots__ = ("_first_s", "_random", "failures", "next_at")

    def __init__(self, first_s: float, random: Random, now: float) -> None:
        self._first_s = first_s
        self._random = random
        self.failures = 0
        self.next_at = now

    def succeeded(self, now: float) -> None:
        """The next try may be made at once."""
        self.failures = 0
        self.next_at = now

    def failed(self, now: float) -> None:
        """The next try is made after the delay, half of it random."""
        delay = self._first_s * 2 ** min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        self.next_at = now + delay * (0.5 + 0.5 * self._random.random())
