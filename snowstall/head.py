"""Finds hot keys with SpaceSaving, and the number of candidate caches that they need."""

import math

from .messages import require

EPSILON = 1e-4  # slack of the load bound, the paper's value
TABLE_SIZE = 256  # counters; more than 1/theta keys matter only above n = 51
COUNT_HALF_LIFE_MS = 30_000.0  # shorter, and a quiet proxy never counts a head key twice
HEAD_DEVIATIONS = 1.5  # one-sided confidence, since a few occurrences prove nothing


class SpaceSaving:
    """Counts keys in a table of fixed size, with an error per count and exponential decay.

    Decay is forward decay: instead of reducing all counts, later occurrences add more.
    """

    def __init__(self, size: int = TABLE_SIZE) -> None:
        require(size >= 1, "table size must be at least 1")
        self._size = size
        self._slots: dict[int, int] = {}
        self._keys: list[int] = []
        self._counts: list[float] = []
        self._errors: list[float] = []
        self.total = 0.0
        self._increment, self._increment_at = 1.0, 0.0

    def add(self, key: int, now: float) -> None:
        """Count one occurrence of the key."""
        self._rescale(now)
        self.total += self._increment
        slot = self._slots.get(key)
        if slot is not None:
            self._counts[slot] += self._increment
        elif len(self._keys) < self._size:
            self._slots[key] = len(self._keys)
            self._keys.append(key)
            self._counts.append(self._increment)
            self._errors.append(0.0)
        else:  # replace the key with the smallest count, which becomes the error
            smallest = min(self._counts)
            slot = self._counts.index(smallest)
            del self._slots[self._keys[slot]]
            self._slots[key] = slot
            self._keys[slot], self._errors[slot] = key, smallest
            self._counts[slot] = smallest + self._increment

    def _rescale(self, now: float) -> None:
        if now - self._increment_at < COUNT_HALF_LIFE_MS / 64:
            return
        growth = (
            2.0 ** ((now - self._increment_at) / COUNT_HALF_LIFE_MS) if self._increment_at else 1.0
        )
        self._increment_at = now
        if growth > 1e6:  # all earlier counts have decayed to nothing
            self._slots.clear()
            self._keys, self._counts, self._errors = [], [], []
            self.total, self._increment = 0.0, 1.0
            return
        self._increment *= growth
        if self._increment > 1e9:  # rescale before the floats lose precision
            scale = 1.0 / self._increment
            self._counts = [c * scale for c in self._counts]
            self._errors = [e * scale for e in self._errors]
            self.total *= scale
            self._increment = 1.0

    def estimate(self, key: int) -> tuple[float, float]:
        """Return a key's decayed count and its error; (0, 0) if it is not in the table."""
        slot = self._slots.get(key)
        if slot is None:
            return 0.0, 0.0
        return self._counts[slot] / self._increment, self._errors[slot] / self._increment

    def decayed_total(self) -> float:
        """Return the decayed number of all occurrences."""
        return self.total / self._increment

    def head(self, threshold: float) -> list[tuple[float, int]]:
        """Return (share, key) of the keys with at least this share, largest first.

        At a quiet proxy a single occurrence exceeds the threshold.  So the count less its error
        must reach it even when reduced by HEAD_DEVIATIONS standard deviations.
        """
        total, increment = self.total, self._increment
        minimum = threshold * total / increment
        found = []
        for key, count, error in zip(self._keys, self._counts, self._errors, strict=True):
            certain = (count - error) / increment
            if certain >= minimum and certain - HEAD_DEVIATIONS * math.sqrt(certain) >= minimum:
                found.append((certain * increment / total, key))
        found.sort(key=lambda item: (-item[0], item[1]))
        return found


def find_optimal_choices(head: list[float], caches: int, epsilon: float = EPSILON) -> int:
    """Return the least d for which every prefix of the head is feasible (FINDOPTIMALCHOICES).

    `head`: shares of the head keys, largest first.  A result of `caches` means W-Choices.
    """
    if not head or caches <= 2:
        return min(2, caches)
    n, head_total = float(caches), sum(head)
    tail = max(0.0, 1.0 - head_total)
    shrink = (n - 1.0) / n
    for d in range(max(2, math.ceil(head[0] * n)), caches):
        prefix = 0.0
        for h, share in enumerate(head, 1):
            prefix += share
            b = n - n * shrink ** (h * d)
            rest = (b / n) ** d * (head_total - prefix) + (b / n) ** 2 * tail
            if prefix + rest > b * (1.0 / n + epsilon):
                break
        else:
            return d
    return caches
