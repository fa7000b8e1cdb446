"""Cache nodes with limited slots, a queue, a cold start, hits, misses and effects.

Uses asyncio alone, so that it runs on loopback sockets and on the virtual network.  Each node
reports what happens to an observer, such as `limebridge.rules.RuleChecker`.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from .database import CustomerDatabase
from .nodes import CacheNode
from .wire import command, read_words, reply

# mean of the lognormal factor that each command's service time is multiplied by
MEAN_WORK_FACTOR = math.exp(-0.1 + 0.4**2 / 2)


class NodeObserver(Protocol):
    """Receives the events of a node; times are those of the event loop."""

    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        """A command arrived, which its proxy sent at `sent_at`.  The node may still refuse it."""
        ...

    def accepted(self, at: float, node: str, id_: str) -> None:
        """The node accepted the command, which runs now or waits for a slot."""
        ...

    def effect(self, at: float, node: str, id_: str) -> None:
        """A write took effect.  A repeat that its idempotency key identifies has none."""
        ...

    def started(self, at: float, node: str, capacity: float) -> None:
        """The node restarted with an empty cache; `capacity`: requests per second when warm."""
        ...


class IdempotencyKeys:
    """Idempotency keys shared by a group of nodes; each is remembered for `window` seconds."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._first: dict[bytes, float] = {}

    def register(self, key: bytes, now: float) -> bool:
        """Record the key; return False for a repeat within the window."""
        first = self._first.get(key)
        if first is not None and now - first <= self._window:
            return False
        self._first[key] = now
        return True


class FleetNode(CacheNode):
    """One node; its faults are plain attributes that can be set while it runs.

    `slots` commands run at once, `queue_limit` more may wait; `service_time`, `warm_up` and the
    values of `work_by_class` are in seconds.  `sent_at` gives the time at which the byte at an
    offset of a connection was sent.
    """

    def __init__(
        self,
        name: str,
        database: CustomerDatabase,
        keys: IdempotencyKeys,
        observer: NodeObserver,
        seed: str,
        slots: int = 2,
        queue_limit: int = 8,
        service_time: float = 0.05,
        cold_share: float = 0.13,
        warm_up: float = 23.0,
        sent_at: Callable[[asyncio.StreamWriter, int], float] | None = None,
        work_by_class: Mapping[str, float] | None = None,
        max_values: int = 1_000_000,
    ) -> None:
        super().__init__()
        self.name, self._database, self._keys, self._observer = name, database, keys, observer
        self._random = random.Random(seed)
        self._slots, self._queue_limit, self._service_time = slots, queue_limit, service_time
        self._cold_share, self._warm_up = cold_share, warm_up
        self._sent_at = sent_at
        self._work_by_class = work_by_class  # s by class, instead of `service_time`
        self._max_values = max_values  # the oldest value is evicted beyond that
        self.busy_seconds = 0.0  # s of slot time spent on commands
        self._busy = 0
        self._free = asyncio.Semaphore(slots)
        self._values: dict[bytes, bytes] = {}
        self.cold_since: float | None = None  # time of the last cold start; None: warm
        self.incarnation = 0  # counts starts; commands of an earlier incarnation are dropped
        self.slowness = 1.0  # factor on the service time
        # fractions of the commands: executed without an answer, answered malformed, failed
        self.no_answer_share = self.malformed_share = self.error_share = 0.0
        self.reset_after: float | None = None  # s after the work until its connection is reset
        self.draining = False
        self.running = asyncio.Event()  # cleared during a stall
        self.running.set()

    @property
    def capacity(self) -> float:
        """Requests per second when warm."""
        return self._slots / self._service_time

    def start_cold(self) -> None:
        """Restart with an empty cache and at reduced speed."""
        self.incarnation += 1
        self._values.clear()
        self.draining = False
        self._busy, self._free = 0, asyncio.Semaphore(self._slots)
        self.cold_since = asyncio.get_running_loop().time()
        self._observer.started(self.cold_since, self.name, self.capacity)

    def _speed(self, now: float) -> float:
        if self.cold_since is None or now - self.cold_since >= self._warm_up:
            return 1.0
        return self._cold_share + (1.0 - self._cold_share) * (now - self.cold_since) / self._warm_up

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open[writer] = None
        offset, loop, incarnation = 0, asyncio.get_running_loop(), self.incarnation
        try:
            while incarnation == self.incarnation:
                words = await read_words(reader)
                now = loop.time()
                sent = self._sent_at(writer, offset) if self._sent_at is not None else now
                offset += len(command(*words))
                if incarnation != self.incarnation:
                    break
                await self._handle(words, writer, now, sent, incarnation)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    async def _handle(
        self,
        words: list[bytes],
        writer: asyncio.StreamWriter,
        now: float,
        sent: float,
        incarnation: int,
    ) -> None:
        id_ = words[2].decode(errors="replace")
        self._observer.arrived(now, self.name, id_, sent)
        random_value = self._random.random()
        if self.draining or self._busy >= self._slots + self._queue_limit:
            writer.write(b"-BUSY\r\n")
            return
        if random_value < self.error_share:
            writer.write(b"-ERR broken\r\n")
            return
        self._observer.accepted(now, self.name, id_)
        # A key counts as known to the group from its first arrival, not only from its execution.
        idempotency_key = _idempotency_key(words)
        is_new = not idempotency_key or self._keys.register(idempotency_key, now)
        self._busy += 1
        try:
            async with self._free:
                answer = await self._work(words, id_, incarnation, is_new)
        finally:
            if incarnation == self.incarnation:
                self._busy -= 1
        if incarnation != self.incarnation or random_value > 1.0 - self.no_answer_share:
            return
        if self.reset_after is not None:
            await asyncio.sleep(self.reset_after)
            writer.transport.abort()
            return
        if self._random.random() < self.malformed_share:
            answer = self._random.choice(
                (
                    b"\x81\x02\xff",
                    answer[: len(answer) // 2],
                    b"*3\r\n$2\r\nvalue\r\n",
                    answer + answer,
                )
            )
        writer.write(answer)

    async def _work(self, words: list[bytes], id_: str, incarnation: int, is_new: bool) -> bytes:
        loop = asyncio.get_running_loop()
        await self.running.wait()
        time = (
            self._service_time
            if self._work_by_class is None
            else self._work_by_class.get(_field(words, b"c").decode(), self._service_time)
        )
        time *= self._random.lognormvariate(-0.1, 0.4) * self.slowness
        time /= self._speed(loop.time())
        self.busy_seconds += time
        await asyncio.sleep(time)
        await self.running.wait()
        if incarnation != self.incarnation:
            return b""
        key = words[1]
        if words[0].upper() == b"OBJ.SET":
            if is_new:
                self._observer.effect(loop.time(), self.name, id_)
            self._values.pop(key, None)
            return reply(b"stored", b"miss")
        if key not in self._values:
            value = await self._database.fetch(key)
            if value is None:
                return b"-ERR origin\r\n"
            self._values[key] = value
            if len(self._values) > self._max_values:
                del self._values[next(iter(self._values))]
            return reply(value, b"miss")
        return reply(self._values[key], b"hit")

    def available_capacity(self, now: float) -> float:
        """Current throughput in warm slots at normal speed; 0 if the node takes no commands."""
        if not self.up or not self.running.is_set() or self.draining:
            return 0.0
        return self._slots * self._speed(now) / self.slowness / MEAN_WORK_FACTOR

    async def crash(self) -> None:
        """End the process at once; commands in progress are lost."""
        self.incarnation += 1
        self.up = False
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()
        await asyncio.sleep(0)


def _idempotency_key(words: list[bytes]) -> bytes:
    """The idempotency key of a command, or b"" if it has none."""
    if words[0].upper() != b"OBJ.SET":
        return b""
    return _field(words, b"k")


def _field(words: list[bytes], name: bytes) -> bytes:
    return dict(item.partition(b"=")[::2] for item in words[3].split(b",")).get(name, b"")
