"""Outcomes of requests at a node, which count for less the older they are.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

HALF_LIFE_S = 4.0  # s: of 46 proxies that see little three have met a bad node within one
MIN_WEIGHT = 0.2  # outcomes: what has faded further says nothing


@dataclass(slots=True)
class DecayingOutcomes:
    """Outcomes that fade."""

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        if now > self.at:
            left = 0.5 ** ((now - self.at) / HALF_LIFE_S)
            self.good, self.bad, self.at = self.good * left, self.bad * left, now

    @property
    def weight(self) -> float:
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Of trouble; the same however far the tally has faded."""
        return self.bad / max(self.good + self.bad, 1e-9)
