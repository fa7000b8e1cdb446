"""From the sizes in force to those wanted, so slowly that the origin bears the misses.  Pure.

A key that moves is a miss at its new node, and all misses land on one slow customer database.
The way is the straight line between the two.  The solver's constraints are linear, so whatever
both ends keep (a node's capacity, a site's share, the load without a site) each step keeps too.
"""

from __future__ import annotations

from collections.abc import Mapping

CLOSE = 1e-6  # of the way, or of the keys: as good as there


def parts(sizes: Mapping[int, float]) -> dict[int, float]:
    """As shares that add up to 1, nothing where nobody has any."""
    total = sum(sizes.values())
    return {name: size / total for name, size in sizes.items()} if total > 0.0 else {}


def moved(before: Mapping[int, float], after: Mapping[int, float]) -> float:
    """Share of the keys that another node has afterwards, 0 to 1."""
    one, two = parts(before), parts(after)
    return sum(abs(one.get(name, 0.0) - two.get(name, 0.0)) for name in one.keys() | two.keys()) / 2


class Ramp:
    """Sizes by node id, on their way."""

    def __init__(self, rate: float) -> None:
        self.rate = rate  # share of the keys a second
        self.now: dict[int, float] = {}
        self._wanted: dict[int, float] = {}

    @property
    def there(self) -> bool:
        return self.now == self._wanted

    def jump(self, wanted: Mapping[int, float]) -> None:
        """At the start: the other proxies have been there for long, nothing moves for us."""
        self.now = dict(wanted)
        self._wanted = dict(wanted)

    def aim(self, wanted: Mapping[int, float]) -> None:
        """New sizes to go to.

        A node that is new has its size at once, its keys being cold in any case and its own ramp
        being the module's; one that has gone is forgotten.
        """
        self._wanted = dict(wanted)
        self.now = {name: self.now.get(name, size) for name, size in wanted.items()}

    def step(self, seconds: float) -> None:
        """As far as the rate allows in this time."""
        left = moved(self.now, self._wanted)
        share = 1.0 if left <= CLOSE else min(1.0, self.rate * seconds / left)
        if share >= 1.0 - CLOSE:
            self.now = dict(self._wanted)
            return
        self.now = {
            name: size + share * (self._wanted[name] - size) for name, size in self.now.items()
        }
