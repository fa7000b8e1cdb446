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
CUT_LOOK_S = 0.05  # between two looks at whether a cut is mended
HELD_MOST = 4 * 1024 * 1024  # bytes on their way in one direction; beyond it reading pauses
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

    def __init__(
        self, links: LinkTable, source: int, target: int, generator: random.Random
    ) -> None:
        self._links, self._source, self._target = links, source, target
        self._random = generator
        self._loop = asyncio.get_running_loop()
        self._held = deque[tuple[float, bytes | None]]()  # due time and data; None: end of stream
        self._held_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None
        self.other: Direction | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._hold(data)

    def eof_received(self) -> bool:
        self._hold(None)
        return True  # the other direction may go on

    def connection_lost(self, error: Exception | None) -> None:
        other = self.other
        if other is not None and other.transport is not None:
            self._loop.call_later(self._delay(0), other.transport.close)

    def connect(self, other: Direction) -> None:
        """The other side is there."""
        self.other = other
        if self._timer is None:
            self._deliver()

    # --- what is on its way ---
    def _hold(self, data: bytes | None) -> None:
        due = self._loop.time() + self._delay(len(data or b""))
        if self._held:
            due = max(due, self._held[-1][0])
        self._held.append((due, data))
        self._held_bytes += len(data or b"")
        if self._held_bytes > HELD_MOST and self.transport is not None:
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
        if self.other is None:
            return  # `connect` delivers once the other side is there
        if self._links.is_cut(self._source, self._target):
            self._timer = self._loop.call_later(CUT_LOOK_S, self._deliver)
            return
        now = self._loop.time()
        while self._held and self._held[0][0] <= now + self._resolution:
            self._write(self._held.popleft()[1])
        if self._held_bytes <= HELD_MOST and self.transport is not None:
            self.transport.resume_reading()
        if self._held:
            self._timer = self._loop.call_at(self._held[0][0], self._deliver)

    _resolution = 0.0005  # s: what is due so soon goes with the rest

    def _write(self, data: bytes | None) -> None:
        self._held_bytes -= len(data or b"")
        other = None if self.other is None else self.other.transport
        if other is None or other.is_closing():
            return
        if data is not None:
            other.write(data)
        elif other.can_write_eof():
            other.write_eof()


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
        there = Direction(self._links, route.source, route.target, self._random)
        task = asyncio.get_running_loop().create_task(self._connect(there))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return there

    async def _connect(self, there: Direction) -> None:
        route, links = self._route, self._links
        while links.is_cut(route.source, route.target):
            await asyncio.sleep(CUT_LOOK_S)
        await asyncio.sleep(links.delay(route.source, route.target))  # the SYN
        back = Direction(links, route.target, route.source, self._random)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: back, "127.0.0.1", route.port)
        except OSError:
            if there.transport is not None:
                there.transport.abort()
            return
        back.connect(there)
        there.connect(back)
        if there.transport is None or there.transport.is_closing():
            back.connection_lost(None)
            if back.transport is not None:
                back.transport.abort()


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
