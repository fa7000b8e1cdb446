"""Which keys are hot: SpaceSaving, and the paper's bound on how many caches these need."""

import math

from .messages import require

EPSILON = 1e-4  # slack of the load bound, the paper's value
TABLE_SIZE = 256  # counters; more than 1/theta keys matter only above n = 51
COUNT_HALF_LIFE_MS = 30_000.0  # counts age; less, and a quiet proxy never sees a head key twice
HEAD_DEVIATIONS = 1.5  # one-sided confidence: a few sightings prove nothing


class SpaceSaving:
    """Bounded key counts with their errors; new sightings weigh more (forward decay)."""

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
        """Count one sighting at time now."""
        self._rescale(now)
        self.total += self._increment
        place = self._slots.get(key)
        if place is not None:
            self._counts[place] += self._increment
        elif len(self._keys) < self._size:
            self._slots[key] = len(self._keys)
            self._keys.append(key)
            self._counts.append(self._increment)
            self._errors.append(0.0)
        else:  # the newcomer takes over the least count, all of which may be error
            smallest = min(self._counts)
            place = self._counts.index(smallest)
            del self._slots[self._keys[place]]
            self._slots[key] = place
            self._keys[place], self._errors[place] = key, smallest
            self._counts[place] = smallest + self._increment

    def _rescale(self, now: float) -> None:
        if now - self._increment_at < COUNT_HALF_LIFE_MS / 64:
            return
        grow = (
            2.0 ** ((now - self._increment_at) / COUNT_HALF_LIFE_MS) if self._increment_at else 1.0
        )
        self._increment_at = now
        if grow > 1e6:  # everything counted so far has faded away
            self._slots.clear()
            self._keys, self._counts, self._errors = [], [], []
            self.total, self._increment = 0.0, 1.0
            return
        self._increment *= grow
        if self._increment > 1e9:  # rescale before the floats lose precision
            scale = 1.0 / self._increment
            self._counts = [c * scale for c in self._counts]
            self._errors = [e * scale for e in self._errors]
            self.total *= scale
            self._increment = 1.0

    def estimate(self, key: int) -> tuple[float, float]:
        """Count and error of a key in today's sightings; (0, 0) when not in the table."""
        place = self._slots.get(key)
        if place is None:
            return 0.0, 0.0
        return self._counts[place] / self._increment, self._errors[place] / self._increment

    def decayed_total(self) -> float:
        """All sightings, aged."""
        return self.total / self._increment

    def head(self, threshold: float) -> list[tuple[float, int]]:
        """Keys whose share reaches the threshold beyond doubt: (share, key), largest first.

        A quiet proxy has seen so little that one sighting exceeds the threshold: the
        count less its error must reach it by HEAD_DEVIATIONS standard deviations.
        """
        total, unit = self.total, self._increment
        floor = threshold * total / unit
        found = []
        for key, count, error in zip(self._keys, self._counts, self._errors, strict=True):
            sure = (count - error) / unit
            if sure >= floor and sure - HEAD_DEVIATIONS * math.sqrt(sure) >= floor:
                found.append((sure * unit / total, key))
        found.sort(key=lambda item: (-item[0], item[1]))
        return found


def find_optimal_choices(head: list[float], caches: int, epsilon: float = EPSILON) -> int:
    """The paper's FINDOPTIMALCHOICES: least d for which every head prefix is feasible.

    head holds the head's shares, largest first.  A result of `caches` means W-Choices.
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
