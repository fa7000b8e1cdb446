"""What a cache node of the demo does: keeps what it fetched, drops repeats of keyed writes."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from .database import CustomerDatabase
from .nodes import CacheNode
from .wire import reply

KEPT = 4096  # keys of a node
REMEMBERED = 2.0  # s for which a node knows an idempotency key again


class ReadThroughNode(CacheNode):
    """A read-through cache node; one command of a connection at a time."""

    def __init__(self, database: CustomerDatabase) -> None:
        super().__init__(self._serve_one)
        self._database = database
        self._kept: OrderedDict[bytes, bytes] = OrderedDict()
        self._written: OrderedDict[bytes, float] = OrderedDict()
        self.served = self.hits = 0

    def record(self, words: list[bytes]) -> None:
        """Count one command."""
        self.served += 1

    async def _serve_one(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        name, key, _, listed = words[:4]
        if name.upper() == b"OBJ.SET":
            fields = dict(item.partition(b"=")[::2] for item in listed.split(b","))
            if self._repeated(fields.get(b"k", b"")):
                writer.write(reply(b"stored", b"hit"))
                return
            self._kept.pop(key, None)
            stored = await self._database.fetch(key)
            writer.write(b"-ERR failed\r\n" if stored is None else reply(b"stored", b"miss"))
            return
        value = self._kept.get(key)
        if value is not None:
            self.hits += 1
            self._kept.move_to_end(key)
            writer.write(reply(value, b"hit"))
            return
        value = await self._database.fetch(key)
        if value is None:
            writer.write(b"-ERR failed\r\n")
            return
        self._kept[key] = value
        if len(self._kept) > KEPT:
            self._kept.popitem(last=False)
        writer.write(reply(value, b"miss"))

    def _repeated(self, key: bytes) -> bool:
        """Whether this write came a moment ago; notes it."""
        now = asyncio.get_running_loop().time()
        while self._written and next(iter(self._written.values())) < now - REMEMBERED:
            self._written.popitem(last=False)
        if not key or key in self._written:
            return bool(key)
        self._written[key] = now
        return False
