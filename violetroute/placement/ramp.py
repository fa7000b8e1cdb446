"""Moves node sizes to a target slowly enough for the origin to bear the cache misses.  Pure.

A key that moves is a miss at its new node, and all misses go to one slow customer database.  The
sizes move on the straight line to the target.  The solver's constraints are linear, so a constraint
that both ends satisfy (a node's capacity, a site's share, the load without a site) holds at each
step.
"""

from __future__ import annotations

from collections.abc import Mapping

TOLERANCE = 1e-6  # fractions of the way, or of the keys, below this count as 0


def normalized(sizes: Mapping[int, float]) -> dict[int, float]:
    """The sizes as shares that add up to 1; empty if all are 0."""
    total = sum(sizes.values())
    return {name: size / total for name, size in sizes.items()} if total > 0.0 else {}


def moved_fraction(before: Mapping[int, float], after: Mapping[int, float]) -> float:
    """Fraction of the keys, 0 to 1, that change their node."""
    one, two = normalized(before), normalized(after)
    return sum(abs(one.get(name, 0.0) - two.get(name, 0.0)) for name in one.keys() | two.keys()) / 2


class Ramp:
    """Node sizes by id that move to a target at a limited rate."""

    def __init__(self, rate: float) -> None:
        self.rate = rate  # fraction of the keys per second
        self.current: dict[int, float] = {}
        self._target: dict[int, float] = {}

    @property
    def finished(self) -> bool:
        """Whether the sizes have reached the target."""
        return self.current == self._target

    def jump_to(self, target: Mapping[int, float]) -> None:
        """Set the sizes at once.

        At the start the other proxies already use these sizes, so no keys move.
        """
        self.current = dict(target)
        self._target = dict(target)

    def set_target(self, target: Mapping[int, float]) -> None:
        """Set the target.

        A new node gets its size at once: its keys are cold in any case, and the balancer has a slow
        start of its own for it.  Removed nodes are dropped.
        """
        self._target = dict(target)
        self.current = {name: self.current.get(name, size) for name, size in target.items()}

    def step(self, seconds: float) -> None:
        """Move as far as the rate allows in this time."""
        remaining = moved_fraction(self.current, self._target)
        share = 1.0 if remaining <= TOLERANCE else min(1.0, self.rate * seconds / remaining)
        if share >= 1.0 - TOLERANCE:
            self.current = dict(self._target)
            return
        self.current = {
            name: size + share * (self._target[name] - size) for name, size in self.current.items()
        }
