"""The transport interface on real sockets: listening, connecting, clocks."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import select
import socket
import struct
import termios
import time
from collections.abc import Callable

from .address import Address
from .datagrams import UdpSocket
from .interfaces import DatagramHandler, Handler
from .loop_lag import Turns
from .stream import SocketStream
from .tcp_info import ReceiveWindow, receive_window

monotonic, wall = time.monotonic, time.time  # clocks for code that runs before the event loop
ACCEPT_RETRY_ERRNOS = frozenset({errno.EAGAIN, errno.EINTR, errno.ECONNABORTED, errno.EPROTO})


class TcpListeningSocket:
    """A listening TCP socket."""

    def __init__(
        self, net: SocketNetwork, sock: socket.socket, host: str, ready: Callable[[], None]
    ) -> None:
        self._net, self._ready = net, ready
        self._socket: socket.socket | None = sock
        self._watched = False
        self.address = Address(host, sock.getsockname()[1])

    def watch(self, on: bool) -> None:
        """Start or stop calling `ready` for waiting connections; no effect after `close`."""
        if self._socket is None or on == self._watched:
            return
        self._watched = on
        if on:
            self._net.loop.add_reader(self._socket.fileno(), self._ready)
        else:
            self._net.loop.remove_reader(self._socket.fileno())

    def has_waiting(self) -> bool:
        return self._socket is not None and self._net.connection_waits(self._socket)

    def accept(self, handler: Handler) -> SocketStream | None:
        """Accept one connection and read it; None if there is none or its client reset it.

        Raises OSError if descriptors or memory run out.
        """
        if self._socket is None:
            return None
        try:
            sock, _ = self._socket.accept()
        except OSError as error:
            if error.errno in ACCEPT_RETRY_ERRNOS:
                return None
            raise
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # reset by the peer after accept
            sock.close()
            return None
        stream = SocketStream(self._net, handler, sock, False)
        stream.read()
        return stream

    def close(self) -> None:
        if self._socket is not None:
            self.watch(False)
            self._socket.close()
            self._socket = None


class SocketNetwork:
    """The kernel's network and clocks; the arguments replace parts of them, as in a simulation.

    `make` takes a family and a type, as socket.socket does, and may raise OSError.  `undelivered`
    returns the bytes of a socket that the peer has not acknowledged.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        turns: Turns | None = None,
        make: Callable[[int, int], socket.socket] | None = None,
        clock: Callable[[], float] = wall,
        undelivered: Callable[[socket.socket], int] | None = None,
    ) -> None:
        self.loop = loop
        self.turns = turns or Turns()
        self._make, self._clock = make or socket.socket, clock
        self.undelivered = undelivered or _undelivered
        # Replaceable by tests, as `make` is.
        self.hung_up: Callable[[socket.socket], bool] = _hung_up
        self.unread: Callable[[socket.socket], int] = _unread
        self.receive_window: Callable[[socket.socket], ReceiveWindow | None] = receive_window
        self.connection_waits: Callable[[socket.socket], bool] = _connection_waits

    def wall(self) -> float:
        return self._clock()

    def listen(
        self, address: Address, backlog: int, ready: Callable[[], None]
    ) -> TcpListeningSocket:
        sock = self._make(_family(address), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((address.host, address.port))
            sock.listen(backlog)
            sock.setblocking(False)
            return TcpListeningSocket(self, sock, address.host, ready)
        except OSError:
            sock.close()
            raise

    def connect(
        self, address: Address, handler: Handler, time_limit: float, first: bool = False
    ) -> SocketStream:
        try:
            sock = self._make(_family(address), socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:
            stream = SocketStream(self, handler, None, False)
            stream.fail_without_socket(error)
            return stream
        stream = SocketStream(self, handler, sock, first)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream.begin(address, time_limit)
        except OSError as error:
            stream.fail(error)
        return stream

    def bind_datagram_socket(
        self, address: Address, handler: DatagramHandler, max_size: int
    ) -> UdpSocket:
        sock = self._make(_family(address), socket.SOCK_DGRAM)
        try:
            return UdpSocket(self.loop, sock, address, handler, max_size)
        except OSError:
            sock.close()
            raise


def _undelivered(sock: socket.socket) -> int:
    """Bytes that the peer has not acknowledged (SIOCOUTQ of tcp(7))."""
    return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0])


def _unread(sock: socket.socket) -> int:
    """Bytes in the receive buffer (SIOCINQ of tcp(7))."""
    return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4))[0])


def _hung_up(sock: socket.socket) -> bool:
    """POLLRDHUP reports a FIN even while earlier bytes are unread (poll(2))."""
    return _polled(sock, select.POLLRDHUP)


def _connection_waits(sock: socket.socket) -> bool:
    """POLLIN reports a connection in the accept queue of a listening socket (accept(2))."""
    return _polled(sock, select.POLLIN)


def _polled(sock: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(sock, events)
    return bool(poll.poll(0))


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET
