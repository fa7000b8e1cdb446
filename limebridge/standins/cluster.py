"""Cache nodes that each own some hash slots and answer as Redis Cluster nodes do."""

from __future__ import annotations

import asyncio

from violetroute.cluster import key_slot

from .nodes import CacheNode
from .wire import reply


class ClusterNode(CacheNode):
    """Serves the slots that it owns and redirects commands for others with MOVED or ASK."""

    def __init__(self, cluster: SlotCluster) -> None:
        super().__init__(self._answer)
        self.cluster = cluster
        self.redirected = 0
        self.executed: list[bytes] = []  # ids of the requests it served
        self._asking: set[asyncio.StreamWriter] = set()  # last command was ASKING

    async def _answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        if words[0] == b"ASKING":
            self._asking.add(writer)
            writer.write(b"+OK\r\n")
            return
        asking = writer in self._asking
        self._asking.discard(writer)
        slot = key_slot(words[1])
        owner, importing = self.cluster.owner(slot), self.cluster.importing.get(slot)
        if owner is self and importing is not None:
            self._redirect(writer, b"ASK", slot, importing)
        elif owner is self or (asking and importing is self):
            self.executed.append(words[2])
            writer.write(reply(b"value of " + words[2]))
        else:
            self._redirect(writer, b"MOVED", slot, owner)

    def _redirect(
        self, writer: asyncio.StreamWriter, word: bytes, slot: int, target: ClusterNode
    ) -> None:
        self.redirected += 1
        writer.write(b"-%b %d 127.0.0.1:%d\r\n" % (word, slot, target.port))


class SlotCluster:
    """Assigns slots to nodes; slots may be moved at any time."""

    def __init__(self, count: int) -> None:
        self.nodes = [ClusterNode(self) for _ in range(count)]
        self._moved: dict[int, ClusterNode] = {}
        self.importing: dict[int, ClusterNode] = {}  # target node of each slot under migration

    def owner(self, slot: int) -> ClusterNode:
        """The node that owns the slot; the source node during its migration."""
        return self._moved.get(slot, self.nodes[slot % len(self.nodes)])

    def move(self, slot: int, target: ClusterNode) -> None:
        """Finish the migration of a slot to `target`."""
        self._moved[slot] = target
        self.importing.pop(slot, None)

    @property
    def redirected(self) -> int:
        """Number of redirects sent by all nodes."""
        return sum(node.redirected for node in self.nodes)
