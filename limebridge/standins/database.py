"""The customer database behind the cache nodes: slow, shared and easily overloaded."""

from __future__ import annotations

import asyncio
import random


class CustomerDatabase:
    """Runs `concurrency` fetches at once, each in about `latency` seconds; others queue.

    A fetch that finds `queue_limit` others waiting is rejected.  Each rejection costs
    `rejection_cost` seconds of one slot's time, so the database's throughput collapses under heavy
    overload and recovers when the load falls.
    """

    def __init__(
        self,
        concurrency: int = 16,
        latency: float = 0.05,
        queue_limit: int = 256,
        seed: int = 1,
        rejection_cost: float = 0.0,
    ) -> None:
        self._slots = asyncio.Semaphore(concurrency)
        self._latency, self._limit = latency, concurrency + queue_limit
        self._random = random.Random(seed)
        # s of slot time per rejection, and the sum that the next fetch has to spend
        self._rejection_cost, self._unpaid_cost = rejection_cost, 0.0
        self.fetches = self.rejected = 0
        self.slowness = 1.0  # factor on the latency
        self.running = asyncio.Event()  # cleared during a stall
        self.running.set()
        self.fetches_by_second: dict[int, int] = {}  # fetches started, by second of the loop's time
        self.pending = 0

    async def fetch(self, key: bytes) -> bytes | None:
        """The value of a key, or None when the queue is full."""
        if self.pending >= self._limit:
            self.rejected += 1
            self._unpaid_cost += self._rejection_cost
            return None
        self.pending += 1
        try:
            async with self._slots:
                self.fetches += 1
                second = int(asyncio.get_running_loop().time())
                self.fetches_by_second[second] = self.fetches_by_second.get(second, 0) + 1
                await self.running.wait()
                spread = self._random.lognormvariate(0.0, 0.3)
                cost, self._unpaid_cost = self._unpaid_cost, 0.0
                await asyncio.sleep(self._latency * self.slowness * spread + cost)
                return b"template of " + key
        finally:
            self.pending -= 1
