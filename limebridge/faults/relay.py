"""Loopback relays that stand between two processes and impair the traffic between them.

A relay listens in front of one port.  Each direction has an `Impairment`, which may be replaced
while connections are open.  Impairments apply to bytes (`Relay`, TCP) and to datagrams
(`DatagramRelay`, UDP).  Dropping, duplicating and reordering exist for datagrams only, because TCP
delivers a stream complete and in order.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from typing import Any

CHUNK = 64 * 1024
MAX_RESEND_BYTES = 256 * 1024  # bytes of a connection that are kept for `Impairment.resend`
RESEND_TIMEOUT_S = 1.0  # s for reading the answer to the resent bytes, which is discarded
MAX_HELD_DATAGRAMS = 256  # datagrams delayed in a relay; further ones are dropped


@dataclass
class Impairment:
    """What a relay does to one direction.  Times are in s; drop, duplicate, reorder are shares
    of the datagrams, 0 to 1."""

    cut: bool = False  # nothing is forwarded; bytes wait unread as with an unplugged cable
    delay: float = 0.0
    jitter: float = 0.0  # added to the delay: uniform between 0 and this
    byte_delay: float = 0.0  # TCP: bytes are sent one at a time, at this interval; 0: off
    truncate_after: int = -1  # TCP: bytes after which the connection is reset; -1: never
    resend: bool = False  # TCP: when a connection ends, its bytes are sent again on a new one
    drop: float = 0.0  # UDP
    duplicate: float = 0.0  # UDP
    reorder: float = 0.0  # UDP: delayed so long that later datagrams overtake them


class Relay:
    """A TCP relay in front of a loopback port.

    `forward` impairs the bytes sent to the port, `backward` those that come from it.  `seed` draws
    the jitter.  After `start`, `port` is the one that clients connect to.
    """

    def __init__(self, port: int, seed: str = "") -> None:
        self._target_port = port
        self.forward, self.backward = Impairment(), Impairment()
        self._rng = random.Random(f"relay/{seed}")
        self._changed = asyncio.Event()  # set and replaced on every call of `impair`
        self._open_writers: dict[asyncio.StreamWriter, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.port = 0

    async def start(self) -> Relay:
        """Listen on a free loopback port; returns the relay itself."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def impair(self, forward: Impairment | None = None, backward: Impairment | None = None) -> None:
        """Replace the impairments of both directions; None clears one."""
        self.forward, self.backward = forward or Impairment(), backward or Impairment()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def reset_connections(self) -> None:
        """Abort all open connections, on both sides."""
        for writer in list(self._open_writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        self._open_writers[writer] = None
        other: asyncio.StreamWriter | None = None
        try:
            await self._wait_while_cut(lambda: self.forward)
            other_reader, other = await asyncio.open_connection("127.0.0.1", self._target_port)
            self._open_writers[other] = None
            sent = bytearray()
            try:
                await asyncio.gather(
                    self._pump(reader, other, lambda: self.forward, sent),
                    self._pump(other_reader, writer, lambda: self.backward),
                )
            finally:
                if self.forward.resend and sent and self._server.is_serving():
                    await self._resend(bytes(sent))
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:  # by `stop`, which gathers the tasks with their exceptions
            pass
        finally:
            self._tasks.discard(task)
            for each in (writer, other):
                if each is not None:
                    self._open_writers.pop(each, None)
                    each.transport.abort()

    async def _resend(self, data: bytes) -> None:
        """Send the same requests once more, as a middlebox that retries on its own does."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        try:
            writer.write(data)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(), RESEND_TIMEOUT_S)
        finally:
            writer.transport.abort()

    async def _wait_while_cut(self, impairment_of: Any) -> None:
        """Wait until `impairment_of()`, the current impairment of a direction, has no cut."""
        while impairment_of().cut:
            await self._changed.wait()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        impairment_of: Any,
        kept: bytearray | None = None,
    ) -> None:
        """Copy one direction until its end of file.

        `impairment_of`: returns the direction's current impairment.  `kept`: takes the bytes to be
        resent.  Raises ConnectionResetError where the impairment truncates the stream.
        """
        passed = 0
        while True:
            await self._wait_while_cut(impairment_of)
            data = await reader.read(CHUNK)
            # Data that arrived while the cut began is held back too.
            await self._wait_while_cut(impairment_of)
            impairment: Impairment = impairment_of()
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if impairment.delay or impairment.jitter:
                await asyncio.sleep(impairment.delay + impairment.jitter * self._rng.random())
            if impairment.truncate_after >= 0 and passed + len(data) > impairment.truncate_after:
                writer.write(data[: max(0, impairment.truncate_after - passed)])
                await writer.drain()
                raise ConnectionResetError("truncated by the relay")
            passed += len(data)
            if kept is not None and len(kept) + len(data) <= MAX_RESEND_BYTES:
                kept += data
            await _write(writer, data, impairment.byte_delay)


async def _write(writer: asyncio.StreamWriter, data: bytes, byte_delay: float) -> None:
    """Write all data at once, or one byte every `byte_delay` seconds if that is not 0."""
    if byte_delay:
        for index in range(len(data)):
            writer.write(data[index : index + 1])
            await asyncio.sleep(byte_delay)
    else:
        writer.write(data)
    await writer.drain()


class DatagramRelay(asyncio.DatagramProtocol):
    """A UDP relay in front of a loopback port, with the attributes of `Relay`.

    It uses one socket for each sender address, so that answers reach the right sender.  `dropped`
    counts the datagrams that were not forwarded.
    """

    def __init__(self, port: int, seed: str = "") -> None:
        self._target_port = port
        self.forward, self.backward = Impairment(), Impairment()
        self._rng = random.Random(f"datagrams/{seed}")
        self._senders: dict[Any, asyncio.DatagramTransport] = {}
        self._held = self.dropped = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> DatagramRelay:
        """Bind a free loopback port; returns the relay itself."""
        self._loop = asyncio.get_running_loop()
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self._transport: asyncio.DatagramTransport = transport
        self.port = transport.get_extra_info("sockname")[1]
        return self

    def stop(self) -> None:
        """Close all sockets; delayed datagrams are discarded."""
        for task in self._tasks:
            task.cancel()
        for transport in (self._transport, *self._senders.values()):
            transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Called by asyncio for each datagram from a sender."""
        task = self._loop.create_task(self._relay(data, addr))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(self, data: bytes, addr: Any) -> None:
        if addr not in self._senders:
            transport, _ = await self._loop.create_datagram_endpoint(
                lambda: _ReturnPath(self, addr), remote_addr=("127.0.0.1", self._target_port)
            )
            self._senders.setdefault(addr, transport)
        self.forward_datagram(data, self.forward, lambda: self._senders[addr].sendto(data))

    def forward_datagram(self, data: bytes, impairment: Impairment, send: Any) -> None:
        """Call `send` as the impairment decides: not at all, once or twice, now or later."""
        if (
            impairment.cut
            or self._rng.random() < impairment.drop
            or self._held >= MAX_HELD_DATAGRAMS
        ):
            self.dropped += 1
            return
        for _ in range(2 if self._rng.random() < impairment.duplicate else 1):
            delay = impairment.delay + impairment.jitter * self._rng.random()
            if self._rng.random() < impairment.reorder:
                delay += 0.05
            self._held += 1
            self._loop.call_later(delay, self._send, send)

    def _send(self, send: Any) -> None:
        self._held -= 1
        if not self._transport.is_closing():
            send()


class _ReturnPath(asyncio.DatagramProtocol):
    """Relays datagrams from the target port back to one sender."""

    def __init__(self, relay: DatagramRelay, addr: Any) -> None:
        self._relay, self._addr = relay, addr

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Called by asyncio for each datagram from the target port."""
        relay = self._relay
        relay.forward_datagram(
            data, relay.backward, lambda: relay._transport.sendto(data, self._addr)
        )
