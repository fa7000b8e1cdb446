"""UDP sockets in memory.  `Network.datagram_delays` drops, delays, duplicates and reorders."""

from __future__ import annotations

import errno
import socket
from collections import deque

from .network import Network, error
from .sockets import READ, WRITE

MAX_QUEUED = 512  # unread datagrams per socket; more are dropped


class VirtualDatagrams:
    """Non-blocking UDP socket with the methods of socket.socket that the daemon uses."""

    family, type, proto = socket.AF_INET, socket.SOCK_DGRAM, socket.IPPROTO_UDP

    def __init__(self, kernel: Network, owner: str) -> None:
        self._kernel, self.owner = kernel, owner
        self.number = -1
        self._name = ("127.0.0.1", 0)
        self._queue: deque[tuple[bytes, tuple[str, int]]] = deque()
        self._closed = False

    def fileno(self) -> int:
        """The virtual descriptor; -1 until the kernel has assigned one."""
        return self.number

    def setblocking(self, flag: bool) -> None:
        """Ignored: the socket never blocks."""
        pass

    def getsockname(self) -> tuple[str, int]:
        """The bound address; port 0 before `bind`."""
        return self._name

    def bind(self, address: tuple[str, int]) -> None:
        """Bind to the port; 0: an ephemeral one.  Raises OSError EADDRINUSE if it is in use."""
        port = address[1] or self._kernel.port()
        if port in self._kernel.bound:
            raise error(errno.EADDRINUSE)
        self._name = (address[0], port)
        self._kernel.bound[port] = self

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        """Send the copies that `Network.datagram_delays` gives; never blocks."""
        if self._closed:
            raise error(errno.EBADF)
        kernel = self._kernel
        for delay in kernel.datagram_delays(self.owner, address[1]):
            kernel.at(kernel.now + delay, lambda: self._arrived(bytes(data), address[1]))
        return len(data)

    def _arrived(self, data: bytes, port: int) -> None:
        receiver = self._kernel.bound.get(port)
        if receiver is None or len(receiver._queue) >= MAX_QUEUED:
            return
        receiver._queue.append((data, self._name))
        self._kernel.touch(receiver)

    def recvfrom(self, max_bytes: int) -> tuple[bytes, tuple[str, int]]:
        """The oldest queued datagram, cut off at `max_bytes`, and its origin.

        Raises BlockingIOError if none is queued.
        """
        if not self._queue:
            raise BlockingIOError(errno.EAGAIN, "no datagram is queued")
        data, origin = self._queue.popleft()
        return data[:max_bytes], origin

    def ready(self) -> int:
        """READ and WRITE as epoll reports them; sending never blocks."""
        return WRITE | (READ if self._queue else 0)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._kernel.bound.pop(self._name[1], None)
            self._kernel.release_descriptor(self)

    def abort(self) -> None:
        """Close the socket of a killed process."""
        self.close()
