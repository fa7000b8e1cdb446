"""UDP sockets.

A flood must not block the event loop, so at most MAX_DATAGRAMS_PER_TURN are read in one loop
iteration; datagrams that overflow the kernel's buffer are lost.  Errors that the kernel reports for
earlier sends, such as ECONNREFUSED from an unused port, are ignored.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from .address import Address
from .interfaces import DatagramHandler

MAX_DATAGRAMS_PER_TURN = 64  # read in one loop iteration


class UdpSocket:
    """A bound UDP socket; passes datagrams of up to `max_size` bytes to its handler."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        address: Address,
        handler: DatagramHandler,
        max_size: int,
    ) -> None:
        self._loop, self._handler, self._max_size = loop, handler, max_size
        self._socket: socket.socket | None = sock
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        self.address = Address(address.host, sock.getsockname()[1])
        loop.add_reader(sock.fileno(), self._ready)

    def send(self, data: bytes, address: Address) -> bool:
        """Send at once; False if the kernel did not take it or the socket is closed."""
        if self._socket is None:
            return False
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            return False
        return True

    def _ready(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, origin = self._socket.recvfrom(self._max_size + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # reported for an earlier send
            if len(data) <= self._max_size:
                try:
                    self._handler.datagram(data, Address(origin[0], origin[1]))
                except Exception as error:  # must not lose the other datagrams
                    self._loop.call_exception_handler(
                        {"message": "exception in a datagram handler", "exception": error}
                    )

    def close(self) -> None:
        """Stop receiving and free the port; further calls have no effect."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
