"""Records when a proxy in this process sent each command to a node, and each final answer.

The test's node and client read in two tasks, and a busy loop may run the one whose data arrived
later first.  So their order does not show whether a proxy sent a command after its final answer.
Both times are therefore taken in the calls of the proxy itself, on one clock.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable, Container, Sequence
from typing import Any

from violetroute.proxy import Proxy
from violetroute.transport import Address


class _Sends:
    """The writes on one connection: the offset of the first byte of each, and its time in s."""

    def __init__(self) -> None:
        self.offsets: list[int] = []
        self.times: list[
            float | None
        ] = []  # None: the kernel did not accept its first byte in that call
        self.length = 0

    def add(self, size: int, at: float | None) -> None:
        """Record a write of `size` bytes."""
        self.offsets.append(self.length)
        self.times.append(at)
        self.length += size

    def at(self, offset: int) -> float | None:
        """The time at which the byte at this offset was sent, or None if it is unknown."""
        index = bisect_right(self.offsets, offset) - 1
        return self.times[index] if index >= 0 and offset < self.length else None


class _TimedStream:
    """Wraps a stream and records the times of its writes."""

    def __init__(self, stream: Any, loop: asyncio.AbstractEventLoop, times: SendTimes) -> None:
        self._stream, self._loop, self._times = stream, loop, times
        self._sends: _Sends | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    def write(self, data: bytes) -> bool:
        return self._write(len(data), lambda: self._stream.write(data))

    def write_all(self, parts: Sequence[bytes]) -> bool:
        return self._write(sum(map(len, parts)), lambda: self._stream.write_all(parts))

    def _write(self, size: int, write: Callable[[], bool]) -> bool:
        sends = self._sends = self._sends or self._times.begin(self._stream._socket)
        unsent_before, at = self._stream.unsent, self._loop.time()
        all_accepted = write()
        first_byte_sent = not unsent_before and self._stream.unsent < size
        sends.add(size, at if first_byte_sent else None)
        return all_accepted


class SendTimes:
    """The sends and answers of a proxy after `watch`, with times in s of the event loop."""

    def __init__(self) -> None:
        self._all: list[_Sends] = []
        self._by_ports: dict[tuple[int, int], _Sends] = {}
        self.answer_times: dict[str, float] = {}  # by request ID

    def watch(self, proxy: Proxy, ports: Container[int]) -> None:
        """Record the proxy's sends to nodes on these ports, and its final answers.

        Must be called before the first request.
        """
        net, connect, answer = proxy._pool._net, proxy._pool._net.connect, proxy._answer

        def connect_timed(address: Address, *arguments: Any, **options: Any) -> Any:
            stream = connect(address, *arguments, **options)
            return _TimedStream(stream, net.loop, self) if address.port in ports else stream

        def answer_timed(request: Any, *parts: bytes | bytearray) -> None:
            self.answer_times.setdefault(request.command.id.decode(), net.loop.time())
            answer(request, *parts)

        net.connect = connect_timed  # type: ignore[method-assign]
        proxy._answer = answer_timed  # type: ignore[method-assign]

    @property
    def sends(self) -> int:
        """The number of writes to nodes of which the kernel accepted the first byte."""
        return sum(at is not None for sends in self._all for at in sends.times)

    def begin(self, sock: Any) -> _Sends:
        """Register a new connection, which is identified by the ports of the proxy and the node."""
        sends = _Sends()
        self._all.append(sends)
        if sock is not None:
            self._by_ports[sock.getsockname()[1], sock.getpeername()[1]] = sends
        return sends

    def sent_at(self, writer: asyncio.StreamWriter, offset: int) -> float:
        """The time at which the proxy sent the byte at `offset` on a node's connection.

        If that time is unknown, the current time is returned: the node has read the byte, so it was
        not sent later.
        """
        ports = writer.get_extra_info("peername")[1], writer.get_extra_info("sockname")[1]
        sends = self._by_ports.get(ports)
        at = None if sends is None else sends.at(offset)
        return asyncio.get_running_loop().time() if at is None else at
