"""Chooses the keys of a rehearsal's requests and tracks which of them a node can have cached."""

from __future__ import annotations

import bisect
import itertools
from random import Random

from .scenario import Keys


class KeyChooser:
    """Draws keys by Zipf's law, besides hot keys and keys that are requested only once."""

    def __init__(self, table: Keys) -> None:
        self.hot_keys: list[tuple[bytes, float]] = []  # key and its share of requests
        self.once_share = table.once  # share of requests with a key never used before
        self._cumulative_weights = list(
            itertools.accumulate(1.0 / (rank + 1) ** table.zipf for rank in range(table.count))
        )
        self._possibly_cached: dict[bytes, None] = {}

    def choose(self, rng: Random) -> bytes:
        """The key of the next request."""
        drawn = rng.random()
        for key, share in self.hot_keys:
            if drawn < share:
                return key
            drawn -= share
        if rng.random() < self.once_share:
            return b"once-%d" % rng.getrandbits(48)
        rank = bisect.bisect_left(
            self._cumulative_weights, rng.random() * self._cumulative_weights[-1]
        )
        return b"key-%d" % rank

    def record_access(self, key: bytes, is_read: bool, database_running: bool) -> bool:
        """Record a read or write; return True for a read of a key that no node can have cached.

        That is a key never read before, or written since the last read.
        """
        if not is_read:
            self._possibly_cached.pop(key, None)
            return False
        must_fetch = key not in self._possibly_cached
        if database_running:  # otherwise no node can have fetched it
            self._possibly_cached[key] = None
        return must_fetch
