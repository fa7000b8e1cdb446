"""A process that relays TCP connections between regions and simulates delay, loss and cuts.

    python -m limebridge.scale.relay FILE

FILE is a `RelayFile` as JSON.  The relay listens on one port per route, prints the ports as one
JSON line, and exits when its standard input ends.  Each direction of a connection delivers its
bytes in order, as TCP does: later bytes are never due before earlier ones.  While a direction is
cut, its bytes stay queued; they are delivered once the link is restored.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import deque
from pathlib import Path
from typing import cast

import msgspec

from .links import LinkTable, retransmission_delay
from .standard_input import until_end_of_input

SEGMENT = 1448  # payload bytes of a full TCP segment over Ethernet
CUT_POLL_S = 0.05  # interval at which a cut link is checked for its restoration
MAX_QUEUED_BYTES = 4 * 1024 * 1024  # bytes in one direction; reading pauses above it
BACKLOG = 1024


class Route(msgspec.Struct, frozen=True):
    """A relayed way from the region `source` to a TCP port in the region `target`."""

    source: int
    target: int
    port: int


class RelayFile(msgspec.Struct, frozen=True):
    """The configuration of one relay process."""

    links: str  # path of the link table
    regions: int
    seed: int
    routes: tuple[Route, ...]


class RelayPorts(msgspec.Struct, frozen=True):
    """Printed by a relay process once it listens: one port per route, in order."""

    ports: tuple[int, ...]


class Direction(asyncio.Protocol):
    """One direction of a relayed connection.

    It reads from one side, queues the data for the delay of the link, and writes it to the
    transport of `peer`, the direction that reads the other side.
    """

    def __init__(self, links: LinkTable, source: int, target: int, rng: random.Random) -> None:
        self._links, self._source, self._target = links, source, target
        self._random = rng
        self._loop = asyncio.get_running_loop()
        self._queue = deque[tuple[float, bytes | None]]()  # due time and data; None: end of stream
        self._queued_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None
        self.peer: Direction | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, from which this direction reads."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Queue the data until the delay of the link has passed."""
        self._enqueue(data)

    def eof_received(self) -> bool:
        """Queue the end of the stream behind the data, and keep the connection open."""
        self._enqueue(None)
        return True  # keeps the transport open, because the other direction may still send

    def connection_lost(self, error: Exception | None) -> None:
        """Close the other side after the delay of the link."""
        peer = self.peer
        if peer is not None and peer.transport is not None:
            self._loop.call_later(self._delay(0), peer.transport.close)

    def set_peer(self, peer: Direction) -> None:
        """Set the direction of the other side once it is connected, and deliver what is due."""
        self.peer = peer
        if self._timer is None:
            self._deliver()

    # --- queued data ---
    def _enqueue(self, data: bytes | None) -> None:
        due = self._loop.time() + self._delay(len(data or b""))
        if self._queue:
            due = max(due, self._queue[-1][0])
        self._queue.append((due, data))
        self._queued_bytes += len(data or b"")
        if self._queued_bytes > MAX_QUEUED_BYTES and self.transport is not None:
            self.transport.pause_reading()
        if self._timer is None:
            self._timer = self._loop.call_at(due, self._deliver)

    def _delay(self, size: int) -> float:
        links, source, target = self._links, self._source, self._target
        delay = links.delay(source, target)
        round_trip = delay + links.delay(target, source)
        segments = max(1, -(-size // SEGMENT))
        loss = links.loss(source, target)
        return delay + retransmission_delay(self._random, segments, loss, round_trip)

    def _deliver(self) -> None:
        self._timer = None
        if self.peer is None:
            return  # `set_peer` delivers once the other side is connected
        if self._links.is_cut(self._source, self._target):
            self._timer = self._loop.call_later(CUT_POLL_S, self._deliver)
            return
        now = self._loop.time()
        while self._queue and self._queue[0][0] <= now + self._delivery_tolerance_s:
            self._write(self._queue.popleft()[1])
        if self._queued_bytes <= MAX_QUEUED_BYTES and self.transport is not None:
            self.transport.resume_reading()
        if self._queue:
            self._timer = self._loop.call_at(self._queue[0][0], self._deliver)

    _delivery_tolerance_s = 0.0005  # data due within this time is delivered early, in one batch

    def _write(self, data: bytes | None) -> None:
        self._queued_bytes -= len(data or b"")
        peer = None if self.peer is None else self.peer.transport
        if peer is None or peer.is_closing():
            return
        if data is not None:
            peer.write(data)
        elif peer.can_write_eof():
            peer.write_eof()


class RouteServer:
    """Accepts the connections of a route and connects each to the route's port."""

    def __init__(self, links: LinkTable, route: Route, seed: int) -> None:
        self._links, self._route = links, route
        self._random = random.Random(f"relay/{seed}/{route.source}/{route.target}/{route.port}")
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen on a free loopback port, and return it.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, "127.0.0.1", 0, backlog=BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    def _accept(self) -> Direction:
        route = self._route
        forward = Direction(self._links, route.source, route.target, self._random)
        task = asyncio.get_running_loop().create_task(self._connect(forward))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return forward

    async def _connect(self, forward: Direction) -> None:
        route, links = self._route, self._links
        while links.is_cut(route.source, route.target):
            await asyncio.sleep(CUT_POLL_S)
        await asyncio.sleep(links.delay(route.source, route.target))  # delay of the SYN
        backward = Direction(links, route.target, route.source, self._random)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: backward, "127.0.0.1", route.port)
        except OSError:
            if forward.transport is not None:
                forward.transport.abort()
            return
        backward.set_peer(forward)
        forward.set_peer(backward)
        if forward.transport is None or forward.transport.is_closing():
            backward.connection_lost(None)
            if backward.transport is not None:
                backward.transport.abort()


async def relay(file: RelayFile) -> None:
    """Relay all routes of `file` until the standard input ends."""
    links = LinkTable(Path(file.links), file.regions)
    servers = [RouteServer(links, route, file.seed) for route in file.routes]
    ports = [await server.start() for server in servers]
    print(msgspec.json.encode(RelayPorts(tuple(ports))).decode(), flush=True)
    await until_end_of_input()


def main() -> None:
    """Run the relay process with the `RelayFile` named by the first argument."""
    file = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=RelayFile)
    asyncio.run(relay(file))


if __name__ == "__main__":
    main()
