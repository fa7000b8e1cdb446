"""One connection on a real, non-blocking socket, driven by the loop's readers and writers.

asyncio's own transports are not used: they tell only that their buffer is empty, copy what
they keep, make a task for each connect and accept, and leave the descriptor open until the
next turn.  Descriptors are closed at once here.  That is safe since the loop calls off the
handle of a reader or writer that is taken away, also one that this turn's poll has already
made ready: an event of the old owner cannot reach a new one of the same number.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from .address import Address
from .interfaces import Data, Handler

if TYPE_CHECKING:
    from .sockets import SocketNetwork

PEEK = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)  # a flag of the enum is made anew each time
AT_ONCE = struct.pack("ii", 1, 0)  # SO_LINGER: a close throws away what is not yet delivered
JOINED = 8 * 1024  # bytes up to which copying parts is cheaper than gathering them
GATHERED = 64  # parts of one system call; the kernel takes 1,024 at most
UNDER_WAY = frozenset({errno.EINPROGRESS, errno.EAGAIN, errno.EINTR, errno.EALREADY})


class SocketStream:
    """One connection on a socket of its own."""

    __slots__ = (
        "_broken",
        "_connecting",
        "_ends",
        "_first",
        "_handler",
        "_limit",
        "_loop",
        "_net",
        "_parts",
        "_reading",
        "_socket",
        "_within",
        "closing",
        "descriptor",
        "unsent",
    )

    def __init__(
        self, net: SocketNetwork, handler: Handler, sock: socket.socket | None, first: bool
    ) -> None:
        self._net, self._loop = net, net.loop
        self._handler = handler
        self._socket = sock
        self.descriptor = -1 if sock is None else sock.fileno()
        self.closing = False
        self.unsent = 0
        self._parts: deque[Data] = deque()  # what the kernel has not taken
        self._reading = self._connecting = False
        self._ends = False  # half-close, or close, once everything has been taken
        self._broken: OSError | None = None  # of a write; what had come before it is read first
        self._limit: asyncio.TimerHandle | None = None  # while connecting
        self._first = first
        self._within = 0  # ms, as the kernel was told
        if first and sock is not None:
            net.turns.prefer(self.descriptor, True)

    # --- opening ---
    def begin(self, address: Address, time_limit: float) -> None:
        """Connect; the outcome is told from the loop."""
        assert self._socket is not None
        self._connecting = True
        number = self._socket.connect_ex((address.host, address.port))
        if number == 0:
            self._loop.call_soon(self._connected)
        elif number in UNDER_WAY:
            self._loop.add_writer(self.descriptor, self._connected)
            self._limit = self._loop.call_later(time_limit, self._timed_out)
        else:
            self.fail(OSError(number, os.strerror(number)))

    def _connected(self) -> None:
        if self.closing or self._socket is None:
            return
        self._connecting = False
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None
            self._loop.remove_writer(self.descriptor)
        number = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            self.fail(OSError(number, os.strerror(number)))
            return
        self.read()
        self._guarded(self._handler.opened)

    def _timed_out(self) -> None:
        self._limit = None
        self.fail(OSError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)))

    # --- reading ---
    def read(self) -> None:
        """Begin to read."""
        if not self._reading and not self.closing and not self._connecting:
            self._reading = True
            self._loop.add_reader(self.descriptor, self._readable)

    def pause(self) -> None:
        if self._reading:
            self._reading = False
            if self._broken is not None:  # only reading would have told of it
                self.fail(self._broken)
            else:
                self._loop.remove_reader(self.descriptor)

    resume = read

    def _readable(self) -> None:
        sock, handler = self._socket, self._handler
        if sock is None:
            return
        try:
            count = sock.recv_into(handler.buffer())
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.fail(error)
            return
        try:
            if count:
                handler.received(count)
            elif self._broken is not None:
                self.fail(self._broken)
            else:
                self._reading = False
                self._loop.remove_reader(self.descriptor)
                handler.ended()
        except Exception as error:
            self._fault(error)

    def receive_buffer(self) -> int:
        if self._socket is None:
            return 0
        return int(self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF))

    def no_pending_input(self) -> bool:
        if self._socket is None or self.closing or self._broken is not None:
            return False
        try:
            self._socket.recv(1, PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def peer_ended(self) -> bool:
        return self._socket is not None and self._net.hung_up(self._socket)

    def deliver_within(self, seconds: float) -> None:
        within = max(1, round(seconds * 1000.0)) if seconds else 0
        if within == self._within or self._socket is None:
            return
        self._within = within
        with contextlib.suppress(OSError):  # it is a second line: the owner's timer is the first
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, within)

    def delivered(self) -> bool:
        return (
            self._socket is not None and not self.unsent and not self._net.undelivered(self._socket)
        )

    # --- writing ---
    def write(self, data: Data) -> bool:
        sock = self._socket
        if self.unsent or sock is None or self.closing:
            return self._keep(data)
        try:
            taken = sock.send(data)
        except (BlockingIOError, InterruptedError):
            taken = 0
        except OSError as error:
            self.unsent += len(data)
            self._write_failed(error)
            return False
        if taken == len(data):
            return True
        self._parts.append(memoryview(data)[taken:])
        self.unsent += len(data) - taken
        self._loop.add_writer(self.descriptor, self._writable)
        return False

    def write_all(self, parts: Sequence[Data]) -> bool:
        if sum(map(len, parts)) <= JOINED:
            return self.write(b"".join(parts))
        if self.unsent or self._socket is None or self.closing:
            for part in parts:
                self._keep(part)
            return False
        self._parts.extend(parts)
        self.unsent = sum(map(len, parts))
        self._send()
        if self.unsent and not self.closing and self._broken is None:
            self._loop.add_writer(self.descriptor, self._writable)
        return not self.unsent

    def _keep(self, data: Data) -> bool:
        """Behind what waits; after the end it only counts as not taken."""
        self.unsent += len(data)
        if not self.closing and self._broken is None:
            self._parts.append(data)
        return False

    def _send(self) -> None:
        """Hand over as much as the kernel takes now."""
        assert self._socket is not None
        parts = self._parts
        while parts:
            offered = [parts[place] for place in range(min(len(parts), GATHERED))]
            try:
                taken = self._socket.sendmsg(offered)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._write_failed(error)
                return
            self.unsent -= taken
            while parts and taken >= len(parts[0]):
                taken -= len(parts.popleft())
            if taken:
                parts[0] = memoryview(parts[0])[taken:]

    def _write_failed(self, error: OSError) -> None:
        """Nothing can be sent any more, but what had come before may still be unread."""
        self._parts.clear()
        if self._broken is None:
            self._broken = error
        if self._reading:
            self._loop.remove_writer(self.descriptor)  # reading comes to the end, and tells it
        else:
            self.fail(error)

    def _writable(self) -> None:
        if self._socket is None or not self._parts:
            return
        self._send()
        if self.unsent:
            return
        self._loop.remove_writer(self.descriptor)
        if self.closing:
            self._finish(None)
            return
        if self._ends:
            self._shut()
        if not self.closing:
            self._guarded(self._handler.drained)

    # --- the end ---
    def end(self) -> None:
        if self.closing or self._ends:
            return
        self._ends = True
        if not self.unsent:
            self._shut()

    def _shut(self) -> None:
        assert self._socket is not None
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:  # reset by the peer meanwhile
            self.fail(error)

    def close(self) -> None:
        if self.closing:
            return
        if not self.unsent or self._broken is not None:
            self.abort()
            return
        self.closing = True
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self.descriptor)

    def abort(self, discard: bool = False) -> None:
        if discard and self._socket is not None:
            with contextlib.suppress(OSError):  # reset already: there is nothing to discard
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
        self._finish(None)

    def fail(self, error: OSError) -> None:
        """End at once, for this reason."""
        self._finish(error)

    def _finish(self, error: OSError | None) -> None:
        sock = self._socket
        if sock is None:
            return
        self._socket = None
        self.closing, self._reading = True, False
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None
        self._loop.remove_reader(self.descriptor)
        self._loop.remove_writer(self.descriptor)
        if self._first:
            self._net.turns.prefer(self.descriptor, False)
        self.descriptor = -1
        self._parts.clear()
        sock.close()
        self._loop.call_soon(self._handler.lost, error)

    def lose(self, error: OSError) -> None:
        """Never had a socket: told like any other end."""
        self.closing = True
        self._loop.call_soon(self._handler.lost, error)

    def _guarded(self, told: Callable[[], None]) -> None:
        try:
            told()
        except Exception as error:
            self._fault(error)

    def _fault(self, error: Exception) -> None:
        self._loop.call_exception_handler(
            {"message": "fault in the handler of a stream", "exception": error}
        )
        self.abort()
