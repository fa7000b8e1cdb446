"""The customer database behind the cache nodes: slow, shared, and overrun by too many."""

from __future__ import annotations

import asyncio
import random


class CustomerDatabase:
    """Serves `at_once` fetches side by side, each in about `latency` seconds; others wait.

    Beyond `waiting` that wait a fetch is turned away, which costs it `refusal` seconds of the
    time of one of those slots: asked far too much it falls over, and recovers when asked less.
    """

    def __init__(
        self,
        at_once: int = 16,
        latency: float = 0.05,
        waiting: int = 256,
        seed: int = 1,
        refusal: float = 0.0,
    ) -> None:
        self._slots = asyncio.Semaphore(at_once)
        self._latency, self._limit = latency, at_once + waiting
        self._random = random.Random(seed)
        self._refusal, self._owed = refusal, 0.0
        self.fetches = self.turned_away = 0
        self.slowness = 1.0
        self.flowing = asyncio.Event()  # cleared while it stands still
        self.flowing.set()
        self.seconds: dict[int, int] = {}  # fetches begun, by the loop's second
        self.open = 0

    async def fetch(self, key: bytes) -> bytes | None:
        """The value of a key; None when too many wait."""
        if self.open >= self._limit:
            self.turned_away += 1
            self._owed += self._refusal
            return None
        self.open += 1
        try:
            async with self._slots:
                self.fetches += 1
                second = int(asyncio.get_running_loop().time())
                self.seconds[second] = self.seconds.get(second, 0) + 1
                await self.flowing.wait()
                spread = self._random.lognormvariate(0.0, 0.3)
                owed, self._owed = self._owed, 0.0
                await asyncio.sleep(self._latency * self.slowness * spread + owed)
                return b"template of " + key
        finally:
            self.open -= 1
