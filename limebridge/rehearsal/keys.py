"""Which keys the clients of a rehearsal ask for, and which of them a node can have kept."""

from __future__ import annotations

import bisect
import itertools
from random import Random

from .scenario import Keys


class KeyChooser:
    """Popular by Zipf's law, but for those that are hot or asked for once."""

    def __init__(self, table: Keys) -> None:
        self.hot: list[tuple[bytes, float]] = []  # with its share of all that is asked
        self.once = table.once  # share of keys that nobody has asked for before
        self._popular = list(
            itertools.accumulate(1.0 / (rank + 1) ** table.zipf for rank in range(table.count))
        )
        self._kept: dict[bytes, None] = {}  # that a node can have kept

    def draw(self, rng: Random) -> bytes:
        """The next one that is asked for."""
        draw = rng.random()
        for key, share in self.hot:
            if draw < share:
                return key
            draw -= share
        if rng.random() < self.once:
            return b"once-%d" % rng.getrandbits(48)
        place = bisect.bisect_left(self._popular, rng.random() * self._popular[-1])
        return b"key-%d" % place

    def meet(self, key: bytes, read: bool, database_flows: bool) -> bool:
        """Whether no node can have kept the key: never asked for, or written since."""
        if not read:
            self._kept.pop(key, None)
            return False
        fresh = key not in self._kept
        if database_flows:  # else nobody can have fetched it meanwhile
            self._kept[key] = None
        return fresh
