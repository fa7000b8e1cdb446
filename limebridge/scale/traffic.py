"""Sockets that count what passes and shape what is sent between regions.

`SocketNetwork` of the daemon takes the function that makes its sockets. A run passes one that makes
`CountedSocket`s, so the code under measurement stays as it is. Counters stand in a mapped file, so
that another process can read them at any time.
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

COUNTER_BYTES = 8  # bytes of a counter
UDP_HEADERS = 28  # bytes: IPv4 and UDP
TCP_HEADERS = 52  # bytes: IPv4, TCP and its timestamps


class Counter(IntEnum):
    """What is counted, by its place in a block of counters."""

    UDP_BYTES_IN = 0
    UDP_BYTES_OUT = 1
    UDP_IN = 2  # datagrams
    UDP_OUT = 3
    TCP_BYTES_IN = 4
    TCP_BYTES_OUT = 5
    TCP_IN = 6  # reads that brought something
    TCP_OUT = 7  # writes that were taken
    CONNECTIONS = 8  # opened or accepted


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """Counters at one time, or what they grew by.  Bytes are payload without headers."""

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
        """What was added after `before`."""
        return _combine(lambda now, then: now - then, self, before)

    def plus(self, other: Traffic) -> Traffic:
        """Both together."""
        return _combine(lambda one, two: one + two, self, other)

    @property
    def bytes_in(self) -> int:
        """Payload received."""
        return self.udp_bytes_in + self.tcp_bytes_in

    @property
    def bytes_out(self) -> int:
        """Payload sent."""
        return self.udp_bytes_out + self.tcp_bytes_out

    @property
    def messages_in(self) -> int:
        """Datagrams, and reads from streams that brought something."""
        return self.udp_in + self.tcp_in

    @property
    def messages_out(self) -> int:
        """Datagrams, and writes to streams."""
        return self.udp_out + self.tcp_out

    @property
    def wire_bytes(self) -> int:
        """Both ways with headers, estimated.

        A datagram has 28 bytes of headers. A read or write of a stream counts as one segment with
        52 bytes of headers and one acknowledgement of 52 bytes that comes back.
        """
        datagrams = self.udp_in + self.udp_out
        segments = self.tcp_in + self.tcp_out
        headers = UDP_HEADERS * datagrams + 2 * TCP_HEADERS * segments
        return self.bytes_in + self.bytes_out + headers


def _combine(operation: Callable[[int, int], int], one: Traffic, two: Traffic) -> Traffic:
    fields = Traffic.__struct_fields__
    return Traffic(**{name: operation(getattr(one, name), getattr(two, name)) for name in fields})


def total(blocks: Iterable[Traffic]) -> Traffic:
    """The sum of several."""
    result = Traffic()
    for block in blocks:
        result = result.plus(block)
    return result


class Counters:
    """Blocks of counters in a mapped file: one block for each proxy that a process hosts."""

    def __init__(self, path: Path, blocks: int, create: bool = False) -> None:
        """OSError, ValueError where the file can't be mapped."""
        size = blocks * len(Counter) * COUNTER_BYTES
        if create:
            path.write_bytes(bytes(size))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), size)
        self._values = memoryview(self._map).cast("Q")
        self.blocks = blocks

    def block(self, number: int) -> memoryview:
        """The counters of one block, to be added to."""
        first = number * len(Counter)
        return self._values[first : first + len(Counter)]

    def read(self) -> list[Traffic]:
        """All blocks as they are now."""
        names = [counter.name.lower() for counter in Counter]
        blocks = (self.block(number) for number in range(self.blocks))
        return [Traffic(**dict(zip(names, block, strict=True))) for block in blocks]


class DatagramShaper:
    """How datagrams of one region travel.  Draws from its own seed."""

    def __init__(self, links: LinkTable, region: int, seed: str) -> None:
        self._links, self._region = links, region
        self._random = random.Random(f"datagrams/{seed}")

    def delay(self, host: str) -> float | None:
        """Seconds until a datagram arrives at `host`; None when it is lost."""
        target = region_of_host(host)
        if not 0 <= target < self._links.regions:
            return 0.0
        links, source = self._links, self._region
        if links.is_cut(source, target) or self._random.random() < links.loss(source, target):
            return None
        return links.delay(source, target)


class CountedSocket(socket.socket):
    """A socket with counters.  Datagrams are dropped and delayed as its shape says.

    Streams are shaped by relays between the processes, not here.
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
        """The function that `SocketNetwork` makes its sockets with.

        `counted_ports`: connections to other ports are not counted; None counts all.
        """

        def make(family: int, socket_type: int) -> socket.socket:
            sock = cls(family, socket_type)
            sock.counters, sock.shaper, sock.counted_ports = counters, shaper, counted_ports
            sock.is_counted = True
            return sock

        return make

    is_counted = True  # whether this connection is control traffic

    def _add(self, counter: Counter, amount: int, messages: Counter) -> None:
        if self.is_counted and amount > 0:
            self.counters[counter] += amount
            self.counters[messages] += 1

    # --- streams ---
    def accept(self) -> tuple[Self, Any]:
        descriptor, address = self._accept()  # type: ignore[attr-defined]
        sock = type(self)(self.family, self.type, self.proto, fileno=descriptor)
        sock.counters, sock.shaper = self.counters, self.shaper
        sock.counted_ports = self.counted_ports
        sock.counters[Counter.CONNECTIONS] += 1
        return sock, address

    def connect_ex(self, address: Any) -> int:
        ports = self.counted_ports
        self.is_counted = ports is None or address[1] in ports
        if self.is_counted:
            self.counters[Counter.CONNECTIONS] += 1
        return super().connect_ex(address)

    def send(self, data: Any, flags: int = 0) -> int:
        count = super().send(data, flags)
        self._add(Counter.TCP_BYTES_OUT, count, Counter.TCP_OUT)
        return count

    def sendmsg(self, buffers: Any, *more: Any) -> int:
        count = super().sendmsg(buffers, *more)
        self._add(Counter.TCP_BYTES_OUT, count, Counter.TCP_OUT)
        return count

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        count = super().recv_into(buffer, nbytes, flags)
        self._add(Counter.TCP_BYTES_IN, count, Counter.TCP_IN)
        return count

    # --- datagrams ---
    def sendto(self, data: Any, *address: Any) -> int:
        self._add(Counter.UDP_BYTES_OUT, len(data), Counter.UDP_OUT)
        delay = 0.0 if self.shaper is None else self.shaper.delay(address[-1][0])
        if delay is None:
            return len(data)
        if delay <= 0.0:
            return super().sendto(data, *address)
        asyncio.get_running_loop().call_later(delay, self._send_delayed, data, address)
        return len(data)

    def _send_delayed(self, data: bytes, address: tuple[Any, ...]) -> None:
        with contextlib.suppress(OSError):  # closed meanwhile, or nobody is there any more
            super().sendto(data, *address)

    def recvfrom(self, bufsize: int, flags: int = 0) -> tuple[bytes, Any]:
        data, origin = super().recvfrom(bufsize, flags)
        self._add(Counter.UDP_BYTES_IN, len(data), Counter.UDP_IN)
        return data, origin
