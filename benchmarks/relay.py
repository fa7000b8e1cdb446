"""A TCP relay: the lower bound for the CPU cost of a proxy on the same event loop.

Each client connection is joined to a connection to one node, and bytes are copied between the two
without being parsed.  `python benchmarks/relay.py PORT [PORT ...] [--uvloop]` relays to nodes on
these ports, round robin, and prints the port it listens on.
"""

from __future__ import annotations

import asyncio
import importlib
import itertools
import sys


class RelaySide(asyncio.Protocol):
    """One of the two connections of a relay; data that arrives on it is written to its peer.

    Until `join` is called, received data is buffered.
    """

    def __init__(self) -> None:
        self.peer: RelaySide | None = None
        self.transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, to which the peer writes."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Write the data to the peer, or buffer it until `join`."""
        if self.peer is None or self.peer.transport is None:
            self._buffer += data
        else:
            self.peer.transport.write(data)

    def join(self, peer: RelaySide) -> None:
        """Set the peer and write it the data that arrived before."""
        self.peer = peer
        if self._buffer and peer.transport is not None:
            peer.transport.write(bytes(self._buffer))

    def connection_lost(self, error: Exception | None) -> None:
        """Close the peer after its buffered data is sent."""
        self.transport = None
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def main(ports: list[int]) -> None:
    """Relay to the nodes on these ports until the process is killed; prints the port."""
    loop = asyncio.get_running_loop()
    next_port = itertools.cycle(ports)
    tasks = set()

    class ClientSide(RelaySide):
        """A client's connection; it opens the connection to a node."""

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            task = loop.create_task(self._connect_to_node())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        async def _connect_to_node(self) -> None:
            _, node_side = await loop.create_connection(RelaySide, "127.0.0.1", next(next_port))
            node_side.join(self)
            self.join(node_side)

    server = await loop.create_server(ClientSide, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    ports = [int(word) for word in sys.argv[1:] if word.isdigit()]
    if "--uvloop" in sys.argv:
        importlib.import_module("uvloop").run(main(ports))
    else:
        asyncio.run(main(ports))
