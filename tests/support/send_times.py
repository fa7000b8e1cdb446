"""When a proxy in this process sent each command to a node, and each final answer.

What a node reads and what a client reads are told by two tasks; a busy loop may run the later of
them first.  Whether a proxy sent something after its final answer is told by its own order alone:
both times are taken here in the proxy's own calls, on one clock.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable, Container, Sequence
from typing import Any

from violetroute.proxy import Proxy
from violetroute.transport import Address


class _Sends:
    """The bytes that went over one connection: where each write began, and when."""

    def __init__(self) -> None:
        self.offsets: list[int] = []
        self.times: list[float | None] = []  # None: the kernel did not take the first byte then
        self.length = 0

    def add(self, size: int, at: float | None) -> None:
        self.offsets.append(self.length)
        self.times.append(at)
        self.length += size

    def at(self, offset: int) -> float | None:
        """When the byte at this offset was sent; None: not known."""
        place = bisect_right(self.offsets, offset) - 1
        return self.times[place] if place >= 0 and offset < self.length else None


class _TimedStream:
    """A stream that notes when its writes happen, and is else the one below."""

    def __init__(self, below: Any, loop: asyncio.AbstractEventLoop, times: SendTimes) -> None:
        self._below, self._loop, self._times = below, loop, times
        self._sends: _Sends | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._below, name)

    def write(self, data: bytes) -> bool:
        return self._write(len(data), lambda: self._below.write(data))

    def write_all(self, parts: Sequence[bytes]) -> bool:
        return self._write(sum(map(len, parts)), lambda: self._below.write_all(parts))

    def _write(self, size: int, write: Callable[[], bool]) -> bool:
        sends = self._sends = self._sends or self._times.begin(self._below._socket)
        waiting, at = self._below.unsent, self._loop.time()
        all_taken = write()
        begun = not waiting and self._below.unsent < size
        sends.add(size, at if begun else None)
        return all_taken


class SendTimes:
    """The sends and answers of a proxy, from `watch` on; times are the loop's, in seconds."""

    def __init__(self) -> None:
        self._all: list[_Sends] = []
        self._by_ports: dict[tuple[int, int], _Sends] = {}
        self.answered: dict[str, float] = {}  # by the request's id

    def watch(self, proxy: Proxy, ports: Container[int]) -> None:
        """Note the proxy's sends to nodes at these ports, and its final answers.

        To be called before the first request.
        """
        net, connect, answer = proxy._pool._net, proxy._pool._net.connect, proxy._answer

        def timed_connect(address: Address, *arguments: Any, **more: Any) -> Any:
            stream = connect(address, *arguments, **more)
            return _TimedStream(stream, net.loop, self) if address.port in ports else stream

        def timed_answer(request: Any, *parts: bytes | bytearray) -> None:
            self.answered.setdefault(request.command.id.decode(), net.loop.time())
            answer(request, *parts)

        net.connect = timed_connect  # type: ignore[method-assign]
        proxy._answer = timed_answer  # type: ignore[method-assign]

    @property
    def sends(self) -> int:
        """Writes to nodes of which the kernel took the first byte."""
        return sum(at is not None for sends in self._all for at in sends.times)

    def begin(self, sock: Any) -> _Sends:
        """A new connection's sends, by the proxy's and the node's port."""
        sends = _Sends()
        self._all.append(sends)
        if sock is not None:
            self._by_ports[sock.getsockname()[1], sock.getpeername()[1]] = sends
        return sends

    def sent_at(self, writer: asyncio.StreamWriter, offset: int) -> float:
        """When the proxy sent this byte of a node's connection; where not known, now.

        Now, at which the node has read it, is the latest that it can be.
        """
        ports = writer.get_extra_info("peername")[1], writer.get_extra_info("sockname")[1]
        sends = self._by_ports.get(ports)
        at = None if sends is None else sends.at(offset)
        return asyncio.get_running_loop().time() if at is None else at
