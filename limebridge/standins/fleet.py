"""Cache nodes as a fleet has them: slots, a queue, a cold start, hits, misses, effects.

Written against asyncio alone, so that it runs on loopback sockets and on the virtual network.
A `witness` is told what happens, for whoever judges.
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

MEAN_WORK_FACTOR = math.exp(-0.1 + 0.4**2 / 2)  # of the factor that a command's work is drawn with


class NodeObserver(Protocol):
    """Who hears what a node saw; times are the loop's."""

    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None: ...
    def accepted(self, at: float, node: str, id_: str) -> None: ...
    def effect(self, at: float, node: str, id_: str) -> None: ...
    def started(self, at: float, node: str, capacity: float) -> None: ...


class IdempotencyKeys:
    """The idempotency keys that a group of nodes knows, each for a window."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._first: dict[bytes, float] = {}

    def new(self, key: bytes, now: float) -> bool:
        """Whether this is no repeat within the window."""
        first = self._first.get(key)
        if first is not None and now - first <= self._window:
            return False
        self._first[key] = now
        return True


class FleetNode(CacheNode):
    """One node; its troubles are plain attributes, to be set while it runs."""

    def __init__(
        self,
        name: str,
        database: CustomerDatabase,
        effects: IdempotencyKeys,
        witness: NodeObserver,
        seed: str,
        slots: int = 2,
        waiting: int = 8,
        service: float = 0.05,
        cold_from: float = 0.13,
        warm: float = 23.0,
        sent_at: Callable[[asyncio.StreamWriter, int], float] | None = None,
        work: Mapping[str, float] | None = None,
        keeps: int = 1_000_000,
    ) -> None:
        super().__init__()
        self.name, self._database, self._effects, self._witness = name, database, effects, witness
        self._random = random.Random(seed)
        self._slots, self._waiting, self._service = slots, waiting, service
        self._cold_from, self._warm = cold_from, warm
        self._sent_at = sent_at
        self._work_of = work  # s by class, in place of `service`
        self._keeps = keeps  # values; the oldest make way
        self.busy_seconds = 0.0  # s of its slots' time
        self._busy = 0
        self._free = asyncio.Semaphore(slots)
        self._kept: dict[bytes, bytes] = {}
        self.cold_since: float | None = None  # of a cold start; None is warm
        self.incarnation = 0  # counts starts: what an earlier process had in hand is gone
        self.slowness = 1.0
        self.no_answer_share = self.malformed_share = self.error_share = (
            0.0  # shares of the commands
        )
        self.reset_after: float | None = None  # s; all work is done, then its connection breaks
        self.draining = False
        self.flowing = asyncio.Event()  # cleared while it stalls
        self.flowing.set()

    @property
    def capacity(self) -> float:
        """Requests a second when warm."""
        return self._slots / self._service

    def start_cold(self) -> None:
        """As after a start: nothing kept, and slow."""
        self.incarnation += 1
        self._kept.clear()
        self.draining = False
        self._busy, self._free = 0, asyncio.Semaphore(self._slots)
        self.cold_since = asyncio.get_running_loop().time()
        self._witness.started(self.cold_since, self.name, self.capacity)

    def _warm_share(self, now: float) -> float:
        if self.cold_since is None or now - self.cold_since >= self._warm:
            return 1.0
        return self._cold_from + (1.0 - self._cold_from) * (now - self.cold_since) / self._warm

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
                await self._one(words, writer, now, sent, incarnation)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    async def _one(
        self,
        words: list[bytes],
        writer: asyncio.StreamWriter,
        now: float,
        sent: float,
        incarnation: int,
    ) -> None:
        id_ = words[2].decode(errors="replace")
        self._witness.arrived(now, self.name, id_, sent)
        draw = self._random.random()
        if self.draining or self._busy >= self._slots + self._waiting:
            writer.write(b"-BUSY\r\n")
            return
        if draw < self.error_share:
            writer.write(b"-ERR broken\r\n")
            return
        self._witness.accepted(now, self.name, id_)
        # The group knows a key from its first arrival on, not from when it was worked on.
        mark = _key(words)
        fresh = not mark or self._effects.new(mark, now)
        self._busy += 1
        try:
            async with self._free:
                answer = await self._work(words, id_, incarnation, fresh)
        finally:
            if incarnation == self.incarnation:
                self._busy -= 1
        if incarnation != self.incarnation or draw > 1.0 - self.no_answer_share:
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

    async def _work(self, words: list[bytes], id_: str, incarnation: int, fresh: bool) -> bytes:
        loop = asyncio.get_running_loop()
        await self.flowing.wait()
        time = (
            self._service
            if self._work_of is None
            else self._work_of.get(_field(words, b"c").decode(), self._service)
        )
        time *= self._random.lognormvariate(-0.1, 0.4) * self.slowness
        time /= self._warm_share(loop.time())
        self.busy_seconds += time
        await asyncio.sleep(time)
        await self.flowing.wait()
        if incarnation != self.incarnation:
            return b""
        key = words[1]
        if words[0].upper() == b"OBJ.SET":
            if fresh:
                self._witness.effect(loop.time(), self.name, id_)
            self._kept.pop(key, None)
            return reply(b"stored", b"miss")
        if key not in self._kept:
            value = await self._database.fetch(key)
            if value is None:
                return b"-ERR origin\r\n"
            self._kept[key] = value
            if len(self._kept) > self._keeps:
                del self._kept[next(iter(self._kept))]
            return reply(value, b"miss")
        return reply(self._kept[key], b"hit")

    def available_capacity(self, now: float) -> float:
        """Its slots' work a second at this moment, 1 being a warm slot's at its own speed."""
        if not self.up or not self.flowing.is_set() or self.draining:
            return 0.0
        return self._slots * self._warm_share(now) / self.slowness / MEAN_WORK_FACTOR

    async def crash(self) -> None:
        """The process ends at once, with all that it had in hand."""
        self.incarnation += 1
        self.up = False
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()
        await asyncio.sleep(0)


def _key(words: list[bytes]) -> bytes:
    """The idempotency key of a command, if it has one."""
    if words[0].upper() != b"OBJ.SET":
        return b""
    return _field(words, b"k")


def _field(words: list[bytes], name: bytes) -> bytes:
    return dict(item.partition(b"=")[::2] for item in words[3].split(b",")).get(name, b"")
