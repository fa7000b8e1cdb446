"""Relays on loopback: everything between two processes goes through one, and can be broken there.

A relay stands before one port.  What it does to each direction is a `Path`, which may be changed
while connections are open.  Troubles of a path hold for bytes (TCP) or datagrams (UDP) alike, as
far as they mean something there: a stream does not drop, double or reorder, or it would be none.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from typing import Any

CHUNK = 64 * 1024
AGAIN_MOST = 256 * 1024  # bytes that a relay keeps to send them again
AGAIN_WAIT = 1.0  # s that the second answer is read for; nobody gets it
HELD_MOST = 256  # datagrams that wait in a relay; what comes beyond is dropped


@dataclass
class Path:
    """One direction.  Seconds; shares between 0 and 1."""

    cut: bool = False  # what is sent stays unread, as behind a cable that is out
    delay: float = 0.0
    jitter: float = 0.0  # added to it, drawn evenly
    drip: float = 0.0  # between single bytes
    half: int = -1  # bytes after which the connection is reset; -1: none
    twice: bool = False  # TCP: once it is over all is sent again, by a connection of its own
    drop: float = 0.0  # UDP
    double: float = 0.0  # UDP
    reorder: float = 0.0  # UDP: of those held back so long that later ones overtake


class Relay:
    """One port of ours before one of another's.  `there`: to the port; `back`: from it."""

    def __init__(self, port: int, seed: str = "") -> None:
        self._to = port
        self.there, self.back = Path(), Path()
        self._random = random.Random(f"relay/{seed}")
        self._mended = asyncio.Event()  # set anew whenever a path changes
        self.open: dict[asyncio.StreamWriter, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.port = 0

    async def start(self) -> Relay:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, there: Path | None = None, back: Path | None = None) -> None:
        """The paths from now on."""
        self.there, self.back = there or Path(), back or Path()
        mended, self._mended = self._mended, asyncio.Event()
        mended.set()

    def reset(self) -> None:
        """All that is open ends with a reset, on both sides."""
        for writer in list(self.open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        self.open[writer] = None
        other: asyncio.StreamWriter | None = None
        try:
            await self._while_cut(lambda: self.there)
            other_reader, other = await asyncio.open_connection("127.0.0.1", self._to)
            self.open[other] = None
            sent = bytearray()
            try:
                await asyncio.gather(
                    self._pump(reader, other, lambda: self.there, sent),
                    self._pump(other_reader, writer, lambda: self.back),
                )
            finally:
                if self.there.twice and sent and self._server.is_serving():
                    await self._again(bytes(sent))
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:  # by `stop`: nobody waits for this task any more
            pass
        finally:
            self._tasks.discard(task)
            for each in (writer, other):
                if each is not None:
                    self.open.pop(each, None)
                    each.transport.abort()

    async def _again(self, data: bytes) -> None:
        """As something between that tries again on its own: what was asked is asked twice."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._to)
        try:
            writer.write(data)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(), AGAIN_WAIT)
        finally:
            writer.transport.abort()

    async def _while_cut(self, path: Any) -> None:
        while path().cut:
            await self._mended.wait()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: Any,
        kept: bytearray | None = None,
    ) -> None:
        passed = 0
        while True:
            await self._while_cut(path)
            data = await reader.read(CHUNK)
            await self._while_cut(path)  # what came in the meantime waits as well
            way: Path = path()
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if way.delay or way.jitter:
                await asyncio.sleep(way.delay + way.jitter * self._random.random())
            if way.half >= 0 and passed + len(data) > way.half:
                writer.write(data[: max(0, way.half - passed)])
                await writer.drain()
                raise ConnectionResetError("half an answer")
            passed += len(data)
            if kept is not None and len(kept) + len(data) <= AGAIN_MOST:
                kept += data
            await _write(writer, data, way.drip)


async def _write(writer: asyncio.StreamWriter, data: bytes, drip: float) -> None:
    """Write all at once, or a byte every `drip` seconds."""
    if drip:
        for place in range(len(data)):
            writer.write(data[place : place + 1])
            await asyncio.sleep(drip)
    else:
        writer.write(data)
    await writer.drain()


class Datagrams(asyncio.DatagramProtocol):
    """The same for UDP: one socket of ours for each sender, so that answers find their way."""

    def __init__(self, port: int, seed: str = "") -> None:
        self._to = port
        self.there, self.back = Path(), Path()
        self._random = random.Random(f"datagrams/{seed}")
        self._senders: dict[Any, asyncio.DatagramTransport] = {}
        self._held = self.dropped = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> Datagrams:
        self._loop = asyncio.get_running_loop()
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self._transport: asyncio.DatagramTransport = transport
        self.port = transport.get_extra_info("sockname")[1]
        return self

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for transport in (self._transport, *self._senders.values()):
            transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        task = self._loop.create_task(self._on(data, addr))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _on(self, data: bytes, addr: Any) -> None:
        if addr not in self._senders:
            transport, _ = await self._loop.create_datagram_endpoint(
                lambda: _Back(self, addr), remote_addr=("127.0.0.1", self._to)
            )
            self._senders.setdefault(addr, transport)
        self.pass_on(data, self.there, lambda: self._senders[addr].sendto(data))

    def pass_on(self, data: bytes, path: Path, send: Any) -> None:
        """As the path has it: perhaps not, perhaps twice, perhaps late."""
        if path.cut or self._random.random() < path.drop or self._held >= HELD_MOST:
            self.dropped += 1
            return
        for _ in range(2 if self._random.random() < path.double else 1):
            wait = path.delay + path.jitter * self._random.random()
            if self._random.random() < path.reorder:
                wait += 0.05
            self._held += 1
            self._loop.call_later(wait, self._send, send)

    def _send(self, send: Any) -> None:
        self._held -= 1
        if not self._transport.is_closing():
            send()


class _Back(asyncio.DatagramProtocol):
    def __init__(self, relay: Datagrams, addr: Any) -> None:
        self._relay, self._addr = relay, addr

    def datagram_received(self, data: bytes, addr: Any) -> None:
        relay = self._relay
        relay.pass_on(data, relay.back, lambda: relay._transport.sendto(data, self._addr))
