"""Cache nodes that each own some slots, and say so as the cluster dialect has it."""

from __future__ import annotations

import asyncio

from violetroute.cluster import key_slot

from .nodes import CacheNode
from .wire import reply


class ClusterNode(CacheNode):
    """Serves the slots that its cluster gives it; redirects the others."""

    def __init__(self, cluster: SlotCluster) -> None:
        super().__init__(self._answer)
        self.cluster = cluster
        self.redirected = 0
        self.ran: list[bytes] = []  # ids of what it served
        self._asked: set[asyncio.StreamWriter] = set()  # that have said ASKING just now

    async def _answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        if words[0] == b"ASKING":
            self._asked.add(writer)
            writer.write(b"+OK\r\n")
            return
        asked = writer in self._asked
        self._asked.discard(writer)
        slot = key_slot(words[1])
        owner, importing = self.cluster.owner(slot), self.cluster.importing.get(slot)
        if owner is self and importing is not None:
            self._redirect(writer, b"ASK", slot, importing)
        elif owner is self or (asked and importing is self):
            self.ran.append(words[2])
            writer.write(reply(b"value of " + words[2]))
        else:
            self._redirect(writer, b"MOVED", slot, owner)

    def _redirect(
        self, writer: asyncio.StreamWriter, word: bytes, slot: int, to: ClusterNode
    ) -> None:
        self.redirected += 1
        writer.write(b"-%b %d 127.0.0.1:%d\r\n" % (word, slot, to.port))


class SlotCluster:
    """Which node owns each slot; slots may be moved at any time."""

    def __init__(self, count: int) -> None:
        self.nodes = [ClusterNode(self) for _ in range(count)]
        self._moved: dict[int, ClusterNode] = {}
        self.importing: dict[int, ClusterNode] = {}  # half-moved slots, and where they go

    def owner(self, slot: int) -> ClusterNode:
        return self._moved.get(slot, self.nodes[slot % len(self.nodes)])

    def move(self, slot: int, to: ClusterNode) -> None:
        self._moved[slot] = to
        self.importing.pop(slot, None)

    @property
    def redirected(self) -> int:
        return sum(node.redirected for node in self.nodes)
