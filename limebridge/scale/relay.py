"""A process that relays TCP connections between regions, with their delay, loss and cuts.

    python -m limebridge.scale.relay FILE

FILE is a `RelayFile` as JSON. The relay listens on a port for each of its routes, prints the ports
as one JSON line, and ends when its standard input does. What a direction delays it delays as a
whole: bytes keep their order, as TCP has it. A cut direction holds what it has until it is mended.
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

SEGMENT = 1448  # bytes of payload of a full TCP segment over Ethernet
CUT_POLL_S = 0.05  # between two looks at whether a cut is mended
MAX_QUEUED_BYTES = 4 * 1024 * 1024  # bytes on their way in one direction; beyond it reading pauses
BACKLOG = 1024


class Route(msgspec.Struct, frozen=True):
    """Connections from a region to one port of another region."""

    source: int
    target: int
    port: int


class RelayFile(msgspec.Struct, frozen=True):
    """What one relay process is told."""

    links: str  # the link table's path
    regions: int
    seed: int
    routes: tuple[Route, ...]


class RelayPorts(msgspec.Struct, frozen=True):
    """What a relay process prints once it listens: a port for each route, in order."""

    ports: tuple[int, ...]


class Direction(asyncio.Protocol):
    """Reads one side of a connection, and writes to the other side later."""

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
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._enqueue(data)

    def eof_received(self) -> bool:
        self._enqueue(None)
        return True  # the other direction may go on

    def connection_lost(self, error: Exception | None) -> None:
        peer = self.peer
        if peer is not None and peer.transport is not None:
            self._loop.call_later(self._delay(0), peer.transport.close)

    def set_peer(self, peer: Direction) -> None:
        """The other side is there."""
        self.peer = peer
        if self._timer is None:
            self._deliver()

    # --- what is on its way ---
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
            return  # `connect` delivers once the other side is there
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

    _delivery_tolerance_s = 0.0005  # s: what is due so soon goes with the rest

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
    """Accepts a route's connections and opens the other side of each."""

    def __init__(self, links: LinkTable, route: Route, seed: int) -> None:
        self._links, self._route = links, route
        self._random = random.Random(f"relay/{seed}/{route.source}/{route.target}/{route.port}")
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen; the port."""
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
        await asyncio.sleep(links.delay(route.source, route.target))  # the SYN
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
    """Relay until the standard input ends."""
    links = LinkTable(Path(file.links), file.regions)
    servers = [RouteServer(links, route, file.seed) for route in file.routes]
    ports = [await server.start() for server in servers]
    print(msgspec.json.encode(RelayPorts(tuple(ports))).decode(), flush=True)
    await until_end_of_input()


def main() -> None:
    """The process."""
    file = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=RelayFile)
    asyncio.run(relay(file))


if __name__ == "__main__":
    main()
