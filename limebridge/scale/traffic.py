"""Sockets that count their traffic and simulate the links between regions for datagrams.

The daemon's `SocketNetwork` accepts a socket factory.  A run passes one that creates
`CountedSocket`s, so the measured code itself is unchanged.  The counters are in a memory-mapped
file, which the process that controls the run can read at any time.
"""

from __future__ import annotations

import asyncio
import contextlib
import mmap
import random
import socket
from collections.abc import Callable, Container, Iterable
from enum import IntEnum
from pathlib import Path
from typing import Any, Self

import msgspec

from .links import LinkTable, region_of_host

COUNTER_BYTES = 8  # size of one counter in the file
UDP_HEADERS = 28  # bytes: IPv4 and UDP
TCP_HEADERS = 52  # bytes: IPv4, TCP and the TCP timestamp option


class Counter(IntEnum):
    """The counters of a block; the values are their indexes in it."""

    UDP_BYTES_IN = 0
    UDP_BYTES_OUT = 1
    UDP_IN = 2  # datagrams
    UDP_OUT = 3
    TCP_BYTES_IN = 4
    TCP_BYTES_OUT = 5
    TCP_IN = 6  # reads that returned data
    TCP_OUT = 7  # writes that sent data
    CONNECTIONS = 8  # opened or accepted


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """The values of a block of counters, or their increase.  Bytes are payload without headers."""

    udp_bytes_in: int = 0
    udp_bytes_out: int = 0
    udp_in: int = 0
    udp_out: int = 0
    tcp_bytes_in: int = 0
    tcp_bytes_out: int = 0
    tcp_in: int = 0
    tcp_out: int = 0
    connections: int = 0

    def since(self, before: Traffic) -> Traffic:
        """The increase of each counter from `before` to this."""
        return _combine(lambda now, then: now - then, self, before)

    def plus(self, other: Traffic) -> Traffic:
        """The sum of both, counter by counter."""
        return _combine(lambda one, two: one + two, self, other)

    @property
    def bytes_in(self) -> int:
        """Payload bytes received over UDP and TCP."""
        return self.udp_bytes_in + self.tcp_bytes_in

    @property
    def bytes_out(self) -> int:
        """Payload bytes sent over UDP and TCP."""
        return self.udp_bytes_out + self.tcp_bytes_out

    @property
    def messages_in(self) -> int:
        """Received datagrams, and TCP reads that returned data."""
        return self.udp_in + self.tcp_in

    @property
    def messages_out(self) -> int:
        """Sent datagrams, and TCP writes that sent data."""
        return self.udp_out + self.tcp_out

    @property
    def wire_bytes(self) -> int:
        """Estimate of the bytes in both directions, with headers.

        A datagram has 28 bytes of headers.  A TCP read or write counts as one segment with 52 bytes
        of headers, plus one acknowledgement of 52 bytes in the other direction.
        """
        datagrams = self.udp_in + self.udp_out
        segments = self.tcp_in + self.tcp_out
        headers = UDP_HEADERS * datagrams + 2 * TCP_HEADERS * segments
        return self.bytes_in + self.bytes_out + headers


def _combine(operation: Callable[[int, int], int], one: Traffic, two: Traffic) -> Traffic:
    fields = Traffic.__struct_fields__
    return Traffic(**{name: operation(getattr(one, name), getattr(two, name)) for name in fields})


def total(blocks: Iterable[Traffic]) -> Traffic:
    """The sum of several blocks, counter by counter."""
    result = Traffic()
    for block in blocks:
        result = result.plus(block)
    return result


class Counters:
    """Blocks of counters in a memory-mapped file: one block for each proxy of a process."""

    def __init__(self, path: Path, blocks: int, create: bool = False) -> None:
        """Map the file at `path`; `create` first fills it with zeros.

        Raises OSError if the file cannot be opened, ValueError if it is too small for `blocks`.
        """
        size = blocks * len(Counter) * COUNTER_BYTES
        if create:
            path.write_bytes(bytes(size))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), size)
        self._values = memoryview(self._map).cast("Q")
        self.blocks = blocks

    def block(self, number: int) -> memoryview:
        """A writable view of one block, indexed by `Counter`."""
        first = number * len(Counter)
        return self._values[first : first + len(Counter)]

    def read(self) -> list[Traffic]:
        """The present values of all blocks."""
        names = [counter.name.lower() for counter in Counter]
        blocks = (self.block(number) for number in range(self.blocks))
        return [Traffic(**dict(zip(names, block, strict=True))) for block in blocks]


class DatagramShaper:
    """Decides loss and delay of each datagram sent from one region.

    `seed` seeds its own random generator.
    """

    def __init__(self, links: LinkTable, region: int, seed: str) -> None:
        self._links, self._region = links, region
        self._random = random.Random(f"datagrams/{seed}")

    def delay(self, host: str) -> float | None:
        """Seconds until a datagram arrives at `host`, or None if it is lost.

        0.0 for an address that belongs to no region of the run.
        """
        target = region_of_host(host)
        if not 0 <= target < self._links.regions:
            return 0.0
        links, source = self._links, self._region
        if links.is_cut(source, target) or self._random.random() < links.loss(source, target):
            return None
        return links.delay(source, target)


class CountedSocket(socket.socket):
    """A socket that counts its traffic, and drops and delays datagrams as its shaper decides.

    TCP connections are not delayed here but by the relay processes (`relay.py`).
    """

    counters: memoryview
    shaper: DatagramShaper | None
    counted_ports: Container[int] | None

    @classmethod
    def socket_factory(
        cls,
        counters: memoryview,
        shaper: DatagramShaper | None = None,
        counted_ports: Container[int] | None = None,
    ) -> Callable[[int, int], socket.socket]:
        """A function of (family, type) that creates sockets for `SocketNetwork`.

        Outgoing connections to a port that is not in `counted_ports` are not counted; None counts
        all.
        """

        def make(family: int, socket_type: int) -> socket.socket:
            sock = cls(family, socket_type)
            sock.counters, sock.shaper, sock.counted_ports = counters, shaper, counted_ports
            sock.is_counted = True
            return sock

        return make

    is_counted = True  # False for a connection to a port that is not in `counted_ports`

    def _add(self, counter: Counter, amount: int, messages: Counter) -> None:
        if self.is_counted and amount > 0:
            self.counters[counter] += amount
            self.counters[messages] += 1

    # --- TCP ---
    def accept(self) -> tuple[Self, Any]:
        """Accept a connection and count it.  Accepted connections are always counted."""
        descriptor, address = self._accept()  # type: ignore[attr-defined]
        sock = type(self)(self.family, self.type, self.proto, fileno=descriptor)
        sock.counters, sock.shaper = self.counters, self.shaper
        sock.counted_ports = self.counted_ports
        sock.counters[Counter.CONNECTIONS] += 1
        return sock, address

    def connect_ex(self, address: Any) -> int:
        """Start to connect; the port decides whether this connection is counted."""
        ports = self.counted_ports
        self.is_counted = ports is None or address[1] in ports
        if self.is_counted:
            self.counters[Counter.CONNECTIONS] += 1
        return super().connect_ex(address)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send data and count the bytes that the kernel takes, as one message."""
        count = super().send(data, flags)
        self._add(Counter.TCP_BYTES_OUT, count, Counter.TCP_OUT)
        return count

    def sendmsg(self, buffers: Any, *more: Any) -> int:
        """Send several parts and count the bytes that the kernel takes, as one message."""
        count = super().sendmsg(buffers, *more)
        self._add(Counter.TCP_BYTES_OUT, count, Counter.TCP_OUT)
        return count

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into the buffer and count the bytes as one message."""
        count = super().recv_into(buffer, nbytes, flags)
        self._add(Counter.TCP_BYTES_IN, count, Counter.TCP_IN)
        return count

    # --- UDP ---
    def sendto(self, data: Any, *address: Any) -> int:
        """Send a datagram after the shaper's delay.  One that the shaper drops counts as sent."""
        self._add(Counter.UDP_BYTES_OUT, len(data), Counter.UDP_OUT)
        delay = 0.0 if self.shaper is None else self.shaper.delay(address[-1][0])
        if delay is None:
            return len(data)
        if delay <= 0.0:
            return super().sendto(data, *address)
        asyncio.get_running_loop().call_later(delay, self._send_delayed, data, address)
        return len(data)

    def _send_delayed(self, data: bytes, address: tuple[Any, ...]) -> None:
        with contextlib.suppress(OSError):  # the socket or its receiver was closed during the delay
            super().sendto(data, *address)

    def recvfrom(self, bufsize: int, flags: int = 0) -> tuple[bytes, Any]:
        """Receive a datagram and count it."""
        data, origin = super().recvfrom(bufsize, flags)
        self._add(Counter.UDP_BYTES_IN, len(data), Counter.UDP_IN)
        return data, origin
