"""A stream on a non-blocking socket, driven by the event loop's readers and writers.

asyncio transports are not used: they only report that their buffer is empty, copy buffered data,
create a task for each connect and accept, and leave the descriptor open until the next iteration of
the loop.  Here descriptors are closed at once.  That is safe, since the loop cancels the handle
of a removed reader or writer even if the current poll has made it ready, so an event of the old
stream cannot reach a new stream with the same descriptor number.
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
from .tcp_info import ReceiveWindow

if TYPE_CHECKING:
    from .sockets import SocketNetwork

# An int, since combining enum flags creates a new object each time.
PEEK = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER 0: close discards undelivered data
MAX_JOINED = 8 * 1024  # bytes; up to here joining parts is cheaper than sendmsg
MAX_GATHERED = 64  # parts of one sendmsg; the kernel's limit is 1,024
CONNECT_PENDING_ERRNOS = frozenset({errno.EINPROGRESS, errno.EAGAIN, errno.EINTR, errno.EALREADY})


class SocketStream:
    """A stream on a socket of its own (see `interfaces.Stream`)."""

    __slots__ = (
        "_connect_timer",
        "_connecting",
        "_ending",
        "_first",
        "_handler",
        "_loop",
        "_net",
        "_parts",
        "_reading",
        "_socket",
        "_user_timeout_ms",
        "_write_error",
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
        self._parts: deque[Data] = deque()  # data that the kernel has not taken
        self._reading = self._connecting = False
        self._ending = False  # whether to half-close once the kernel has taken all data
        # Error of a write, reported after the received data is read.
        self._write_error: OSError | None = None
        self._connect_timer: asyncio.TimerHandle | None = None  # only while connecting
        self._first = first
        self._user_timeout_ms = 0  # ms; the current TCP_USER_TIMEOUT
        if first and sock is not None:
            net.turns.prefer(self.descriptor, True)

    # --- opening ---
    def begin(self, address: Address, time_limit: float) -> None:
        """Start to connect; the outcome is reported from the event loop."""
        assert self._socket is not None
        self._connecting = True
        error_number = self._socket.connect_ex((address.host, address.port))
        if error_number == 0:
            self._loop.call_soon(self._connected)
        elif error_number in CONNECT_PENDING_ERRNOS:
            self._loop.add_writer(self.descriptor, self._connected)
            self._connect_timer = self._loop.call_later(time_limit, self._timed_out)
        else:
            self.fail(OSError(error_number, os.strerror(error_number)))

    def _connected(self) -> None:
        if self.closing or self._socket is None:
            return
        self._connecting = False
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None
            self._loop.remove_writer(self.descriptor)
        error_number = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self.fail(OSError(error_number, os.strerror(error_number)))
            return
        self.read()
        self._call_handler(self._handler.opened)

    def _timed_out(self) -> None:
        self._connect_timer = None
        self.fail(OSError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)))

    # --- reading ---
    def read(self) -> None:
        """Start reading."""
        if not self._reading and not self.closing and not self._connecting:
            self._reading = True
            self._loop.add_reader(self.descriptor, self._readable)

    def pause(self) -> None:
        """Stop reading.  If a write has failed, end the stream now and drop the unread input."""
        if self._reading:
            self._reading = False
            if self._write_error is not None:  # otherwise reported only after reading
                self.fail(self._write_error)
            else:
                self._loop.remove_reader(self.descriptor)

    resume = read

    def read_now(self) -> None:
        if self._reading:
            self._readable()

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
            elif self._write_error is not None:
                self.fail(self._write_error)
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

    def unread_bytes(self) -> int:
        return 0 if self._socket is None else self._net.unread(self._socket)

    def receive_window(self) -> ReceiveWindow | None:
        return None if self._socket is None else self._net.receive_window(self._socket)

    def no_pending_input(self) -> bool:
        """As in the interface; also False after `close`, after the end, and after a write error."""
        if self._socket is None or self.closing or self._write_error is not None:
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
        timeout_ms = max(1, round(seconds * 1000.0)) if seconds else 0
        if timeout_ms == self._user_timeout_ms or self._socket is None:
            return
        self._user_timeout_ms = timeout_ms
        with contextlib.suppress(OSError):  # a second safeguard: the owner has a timer of its own
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def delivered(self) -> bool:
        """As in the interface; False after the end, even if all data was acknowledged before."""
        return (
            self._socket is not None and not self.unsent and not self._net.undelivered(self._socket)
        )

    # --- writing ---
    def write(self, data: Data) -> bool:
        sock = self._socket
        if self.unsent or sock is None or self.closing:
            return self._queue(data)
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
        """Join up to MAX_JOINED bytes and use `write`; send more with sendmsg, without a copy."""
        if sum(map(len, parts)) <= MAX_JOINED:
            return self.write(b"".join(parts))
        if self.unsent or self._socket is None or self.closing:
            for part in parts:
                self._queue(part)
            return False
        self._parts.extend(parts)
        self.unsent = sum(map(len, parts))
        self._send()
        if self.unsent and not self.closing and self._write_error is None:
            self._loop.add_writer(self.descriptor, self._writable)
        return not self.unsent

    def _queue(self, data: Data) -> bool:
        """Append data to the buffer; after the end, only count it as unsent."""
        self.unsent += len(data)
        if not self.closing and self._write_error is None:
            self._parts.append(data)
        return False

    def _send(self) -> None:
        """Send as much as the kernel takes now."""
        assert self._socket is not None
        parts = self._parts
        while parts:
            offered = [parts[place] for place in range(min(len(parts), MAX_GATHERED))]
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
        """Record a write error.  Data received before it is still read, if the stream reads."""
        self._parts.clear()
        if self._write_error is None:
            self._write_error = error
        if self._reading:
            self._loop.remove_writer(self.descriptor)  # reading reaches the end and reports it
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
        if self._ending:
            self._shutdown_write()
        if not self.closing:
            self._call_handler(self._handler.drained)

    # --- the end ---
    def end(self) -> None:
        if self.closing or self._ending:
            return
        self._ending = True
        if not self.unsent:
            self._shutdown_write()

    def _shutdown_write(self) -> None:
        assert self._socket is not None
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:  # reset by the peer
            self.fail(error)

    def close(self) -> None:
        """As in the interface; ends at once after a write error, and received data stays unread."""
        if self.closing:
            return
        if not self.unsent or self._write_error is not None:
            self.abort()
            return
        self.closing = True
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self.descriptor)

    def abort(self, discard: bool = False) -> None:
        if discard and self._socket is not None:
            with contextlib.suppress(OSError):  # already reset: nothing to discard
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._finish(None)

    def fail(self, error: OSError) -> None:
        """End at once with `error`."""
        self._finish(error)

    def _finish(self, error: OSError | None) -> None:
        sock = self._socket
        if sock is None:
            return
        self._socket = None
        self.closing, self._reading = True, False
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None
        self._loop.remove_reader(self.descriptor)
        self._loop.remove_writer(self.descriptor)
        if self._first:
            self._net.turns.prefer(self.descriptor, False)
        self.descriptor = -1
        self._parts.clear()
        sock.close()
        self._loop.call_soon(self._handler.lost, error)

    def fail_without_socket(self, error: OSError) -> None:
        """Report the end of a stream that never had a socket."""
        self.closing = True
        self._loop.call_soon(self._handler.lost, error)

    def _call_handler(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as error:
            self._fault(error)

    def _fault(self, error: Exception) -> None:
        self._loop.call_exception_handler(
            {"message": "exception in a stream handler", "exception": error}
        )
        self.abort()
