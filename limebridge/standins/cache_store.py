"""Cache node of the demo: caches fetched values and drops repeated writes with the same key."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from .database import CustomerDatabase
from .nodes import CacheNode
from .wire import reply

MAX_KEYS = 4096  # keys cached per node
KEY_TTL_S = 2.0  # s for which a node remembers an idempotency key


class ReadThroughNode(CacheNode):
    """A read-through cache node that runs one command per connection at a time."""

    def __init__(self, database: CustomerDatabase) -> None:
        super().__init__(self._answer)
        self._database = database
        self._values: OrderedDict[bytes, bytes] = OrderedDict()
        self._write_keys: OrderedDict[bytes, float] = OrderedDict()
        self.served = self.hits = 0

    def record(self, words: list[bytes]) -> None:
        """Count a command; its words are not stored."""
        self.served += 1

    async def _answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        name, key, _, field_list = words[:4]
        if name.upper() == b"OBJ.SET":
            fields = dict(item.partition(b"=")[::2] for item in field_list.split(b","))
            if self._is_repeat(fields.get(b"k", b"")):
                writer.write(reply(b"stored", b"hit"))
                return
            self._values.pop(key, None)
            stored = await self._database.fetch(key)
            writer.write(b"-ERR failed\r\n" if stored is None else reply(b"stored", b"miss"))
            return
        value = self._values.get(key)
        if value is not None:
            self.hits += 1
            self._values.move_to_end(key)
            writer.write(reply(value, b"hit"))
            return
        value = await self._database.fetch(key)
        if value is None:
            writer.write(b"-ERR failed\r\n")
            return
        self._values[key] = value
        if len(self._values) > MAX_KEYS:
            self._values.popitem(last=False)
        writer.write(reply(value, b"miss"))

    def _is_repeat(self, key: bytes) -> bool:
        """Whether a write with this idempotency key is still remembered; remembers a new one."""
        now = asyncio.get_running_loop().time()
        while self._write_keys and next(iter(self._write_keys.values())) < now - KEY_TTL_S:
            self._write_keys.popitem(last=False)
        if not key or key in self._write_keys:
            return bool(key)
        self._write_keys[key] = now
        return False
