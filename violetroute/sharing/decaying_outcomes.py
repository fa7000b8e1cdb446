"""Exponentially decaying counts of good and bad request outcomes at a node.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

HALF_LIFE_S = 4.0  # of 46 proxies with few requests, three meet an unhealthy node in this time
MIN_WEIGHT = 0.2  # outcomes; decayed further, they are no evidence


@dataclass(slots=True)
class DecayingOutcomes:
    """Good and bad outcomes, decayed to the time `at` (s)."""

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the counts to now."""
        if now > self.at:
            left = 0.5 ** ((now - self.at) / HALF_LIFE_S)
            self.good, self.bad, self.at = self.good * left, self.bad * left, now

    @property
    def weight(self) -> float:
        """Good and bad outcomes together."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad outcomes; independent of decay."""
        return self.bad / max(self.good + self.bad, 1e-9)
