"""Whether a client may have closed its connection without this process being able to see it.

The kernel reports a close (POLLRDHUP) even behind unread data, but only once it has received it.  A
client that writes much and closes leaves data in its own kernel, which waits for the TCP window to
open, and the close waits behind that data.  So a close is certain to be seen only while the window
is open for a whole segment: while nothing is unread here, or so little that the window which was
advertised has room beside it, and not for `QUIET_TIME` after it may have been closed.  A kernel
that doesn't report the window is taken to keep it open while little is unread.

Not detected: data that the sender's kernel holds back although the window is open, as after losses,
by Nagle's algorithm, or at the start of a connection over a long path.
"""

from __future__ import annotations

from typing import Protocol

from violetroute.transport.tcp_info import ReceiveWindow

QUIET_TIME = 0.01  # s from reading much until the rest of the sender's kernel arrives
MAX_UNSEEN_TIME = 0.05  # s; nothing may be sent for a client that closed 0.1 s ago
# Unread data of 1 / WINDOW_DIVISOR of the receive buffer may have closed the TCP window, since
# small segments occupy several times their size.
WINDOW_DIVISOR = 4
# Unread bytes that may have closed the initial window, which grows more slowly than the buffer.
MAX_OPEN_BYTES = 32 * 1024
# Bytes read after a pause from which the window may have been closed before.  A sender that was
# held back goes on with more, and a client that sends single bytes would never be certain.
MIN_HELD_BACK = 4 * 1024


class ReadableStream(Protocol):
    """The stream of a client as it is examined here."""

    def peer_ended(self) -> bool:
        """Whether the kernel has received the client's close."""

    def unread_bytes(self) -> int:
        """The bytes that the kernel has received and this process has not read."""

    def receive_buffer(self) -> int:
        """The size of the kernel's receive buffer in bytes."""

    def receive_window(self) -> ReceiveWindow | None:
        """The receive window; None if the kernel doesn't report it."""


def _may_close_window(size: int, stream: ReadableStream) -> bool:
    """Whether `size` unread bytes may close the TCP window, by the size of the buffer."""
    return size >= MAX_OPEN_BYTES or size * WINDOW_DIVISOR >= stream.receive_buffer()


def _window_may_be_closed(stream: ReadableStream) -> bool:
    """Whether the TCP window may have no room for the peer's next segment now."""
    unread = stream.unread_bytes()
    if not unread:
        return False
    if _may_close_window(unread, stream):
        return True
    window = stream.receive_window()
    return window is not None and not window.has_room(unread)


class ClientPresence:
    """When the client of one connection was last certainly there.  Times are of the loop's clock.

    While a connection is read and not much comes, the event loop reports a close at once, and no
    system call is made.
    """

    __slots__ = ("_crowded_at", "_paused", "_run", "_seen_at", "certain")

    def __init__(self) -> None:
        # Whether the event loop reports a close at once.  While it does, `read` need not be called
        # for reads that empty the receive buffer.
        self.certain = True
        self._seen_at = 0.0  # the client was there, if that cannot be seen now
        self._crowded_at = 0.0  # the window may have been closed
        self._run = 0  # bytes read since the receive buffer was empty
        self._paused = False

    def accepted(self, since: float) -> None:
        """The connection was accepted; it may have waited since then."""
        self._seen_at = since

    def pause_reading(self, now: float) -> None:
        """Reading stops until the next `read`."""
        if self.certain:
            self._seen_at, self.certain = now, False
        self._paused = True

    def read(
        self, count: int, emptied: bool, arrived_at: float, now: float, stream: ReadableStream
    ) -> None:
        """`count` bytes were read, which may have arrived at `arrived_at`."""
        if self.certain or self._is_open(now):
            self._seen_at = max(self._seen_at, arrived_at)
        if self._paused and count >= MIN_HELD_BACK:
            self._crowded_at = now  # what was unread may have closed the window
        self._paused = False
        if self._run or not emptied:
            self._run += count
            if _may_close_window(self._run, stream):
                self._crowded_at = now
        if emptied:
            self._run = 0
        self.certain = self._is_open(now)

    def _is_open(self, now: float) -> bool:
        """Whether the connection is read, and its window has been open for long enough."""
        return not (self._paused or self._run) and now - self._crowded_at >= QUIET_TIME

    def may_have_left(self, stream: ReadableStream, now: float) -> bool:
        """Whether the client has closed, or may have, more than MAX_UNSEEN_TIME ago."""
        if self.certain:
            return False
        if stream.peer_ended():
            return True
        if _window_may_be_closed(stream):
            self._crowded_at = now
        if now - self._crowded_at >= QUIET_TIME:
            self._seen_at = now
            self.certain = not (self._paused or self._run)
        return now - self._seen_at > MAX_UNSEEN_TIME
