"""Datagrams on real sockets.

A flood must not hold the loop: at most AT_ONCE are read in one turn, the rest in later ones, and
what the kernel's buffer has no room for is lost, as datagrams may be.  Errors that the kernel tells
of earlier sends (ECONNREFUSED from a port where nobody is) say nothing about this one.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from .address import Address
from .interfaces import DatagramHandler

AT_ONCE = 64  # datagrams read in one turn


class UdpSocket:
    """One UDP socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        address: Address,
        ear: DatagramHandler,
        most: int,
    ) -> None:
        self._loop, self._ear, self._most = loop, ear, most
        self._socket: socket.socket | None = sock
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        self.address = Address(address.host, sock.getsockname()[1])
        loop.add_reader(sock.fileno(), self._ready)

    def send(self, data: bytes, address: Address) -> bool:
        if self._socket is None:
            return False
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            return False
        return True

    def _ready(self) -> None:
        for _ in range(AT_ONCE):
            if self._socket is None:
                return
            try:
                data, origin = self._socket.recvfrom(self._most + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # of an earlier send
            if len(data) <= self._most:
                try:
                    self._ear.datagram(data, Address(origin[0], origin[1]))
                except Exception as error:  # one datagram's fault is not the others'
                    self._loop.call_exception_handler(
                        {"message": "in taking a datagram", "exception": error}
                    )

    def close(self) -> None:
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
