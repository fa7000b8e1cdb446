"""Thousands of cache nodes in one process, each at its own loopback address.

All listen on the same port and answer at once, as `serves` does.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from .node_list import Lifecycle, NodeEntry
from .nodes import CacheNode

ZONES = ("a", "b", "c", "d", "e")
KINDS = ("fast", "standard", "small")
FIRST_HOST = (127 << 24) + (64 << 16) + 1  # 127.64.0.1
HOSTS_PER_BLOCK = 250  # less than 256, so that no address ends with 0 or 255


def host_of(number: int) -> str:
    """The loopback address of the node with this number."""
    block, place = divmod(number, HOSTS_PER_BLOCK)
    address = FIRST_HOST + block * 256 + place
    return ".".join(str(address >> shift & 255) for shift in (24, 16, 8, 0))


class LargeList(CacheNode):
    """`count` nodes in one process that share a port and a behaviour."""

    def __init__(self, count: int) -> None:
        super().__init__()
        self.count = count
        self._servers: list[asyncio.Server] = []

    async def listen(self, port: int) -> LargeList:
        """Listen on `port` at the address of each node.  OSError if one is in use."""
        for number in range(self.count):
            host = host_of(number)
            self._servers.append(await asyncio.start_server(self._serve, host, port))
        self.port, self.up = port, True
        return self

    def record(self, words: list[bytes]) -> None:
        """Discard the command; storing all of them would cost memory."""

    def node(
        self, number: int, lifecycle: Lifecycle = "in_service", started_at_ms: float = 0.0
    ) -> NodeEntry:
        """The list entry of the node with this number."""
        return {
            "instanceId": f"s-{number * 2654435761 % 2**32:08x}",
            "hostPort": f"{host_of(number)}:{self.port}",
            "zone": ZONES[number % len(ZONES)],
            "machineType": KINDS[number % len(KINDS)],
            "cell": number % 13,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_at_ms,
        }

    def nodes(
        self, numbers: Iterable[int] | None = None, lifecycle: Lifecycle = "in_service"
    ) -> list[NodeEntry]:
        """The list entries of the nodes with these numbers, by default of all nodes."""
        chosen = range(self.count) if numbers is None else numbers
        return [self.node(number, lifecycle) for number in chosen]

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.up = False
        for server in self._servers:
            server.close()
        self._servers.clear()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)
