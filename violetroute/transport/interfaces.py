"""The transport interface: what the daemon uses of the kernel, and the guarantees it relies on.

The interface is small on purpose: real sockets and an in-memory network both implement it, and
pass the same conformance scripts.  Two rules hold for every stream:

- **No reentrant callbacks.**  Callbacks of `Handler` come from the event loop, never before a call
  of the stream has returned.  An owner may therefore close its own or another stream anywhere,
  and its state does not change during the call.
- **`lost` is the last callback and comes exactly once**, whoever ended the stream.  After `abort`
  or `close`, no `received`, `ended`, `opened` or `drained` follows, even if the kernel's event was
  pending.  A new stream with the same descriptor number gets no event of the old stream.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from .address import Address
from .loop_lag import Turns
from .tcp_info import ReceiveWindow

Data = bytes | bytearray | memoryview


class Handler(Protocol):
    """The owner of a stream.  An exception that it raises ends only its own stream."""

    def opened(self) -> None:
        """A connect succeeded.  Not called for accepted connections."""

    def buffer(self) -> memoryview:
        """The buffer for the next bytes.  `received` follows at once, so streams can share one."""

    def received(self, count: int) -> None:
        """`count` bytes, at least 1, were received into the buffer."""

    def ended(self) -> None:
        """The peer has ended its sending side; it may still read."""

    def drained(self) -> None:
        """The kernel has taken all data that `write` had buffered."""

    def lost(self, error: OSError | None) -> None:
        """The stream ended and its descriptor is closed; `error` unless the owner ended it."""


class Stream(Protocol):
    """One connection.  After its end all methods have no effect."""

    descriptor: int  # -1 once it is closed
    closing: bool  # set by `close`, `abort` or an error; nothing more is received
    unsent: int  # bytes that the kernel has not taken; kept after the end

    def write(self, data: Data) -> bool:
        """Send data; return whether the kernel has taken everything written so far.

        The rest is buffered by reference, so the caller must not change it, and is sent as the
        kernel takes more.  The peer may have received what the kernel has taken.  If some data is
        not taken after an error, the peer never receives all of it.  An error is reported by
        `lost`; if the stream reads, data that the peer sent before the error is read first.
        """

    def write_all(self, parts: Sequence[Data]) -> bool:
        """Send several parts, in one system call where that is cheaper than a copy."""

    def pause(self) -> None:
        """Stop reading; TCP flow control then limits the peer."""

    def resume(self) -> None:
        """Continue reading."""

    def read_now(self) -> None:
        """Read once, as the event loop would in its next iteration; nothing while paused."""

    def end(self) -> None:
        """Half-close once all written data has been taken.  Reading goes on."""

    def close(self) -> None:
        """Stop reading, and end the stream once all written data has been taken.

        There is no time limit: the owner aborts when `unsent` stops falling.  Unread input makes
        the kernel reset the connection, so if the peer has to get all data, read to the end first.
        """

    def abort(self, discard: bool = False) -> None:
        """End at once.  The descriptor is closed before this returns.

        The kernel goes on delivering the data it has taken, for minutes if the path has failed.
        With `discard` it drops that data, and the peer gets a reset instead.
        """

    def deliver_within(self, seconds: float) -> None:
        """Deliver data written from now on within `seconds`, or not at all.

        The kernel ends the stream with ETIMEDOUT, even while this process is paused.  Its timer is
        coarse, 0.17 to 0.48 s late when the peer's window is closed (Linux 6.18), so it does not
        replace a timer of the owner.  The minimum is 1 ms; 0 means no bound.
        """

    def delivered(self) -> bool:
        """Whether the peer's kernel has acknowledged all written data."""

    def receive_buffer(self) -> int:
        """The current size of the kernel's receive buffer in bytes; 0 after the end."""

    def unread_bytes(self) -> int:
        """The bytes that the kernel has received and this process has not read; 0 after the end."""

    def receive_window(self) -> ReceiveWindow | None:
        """The receive window; None if the kernel doesn't report it, and after the end."""

    def no_pending_input(self) -> bool:
        """Whether the kernel currently holds no unread data and no close of the peer."""

    def peer_ended(self) -> bool:
        """Whether the kernel has received the peer's end of data or close.

        Unlike `ended`, this is true while earlier data is unread.  If unread data fills the
        receive buffer, the end has not arrived yet and this is false.
        """


class ListeningSocket(Protocol):
    """A listening socket.  While watched, it calls `ready` when a connection is waiting."""

    address: Address

    def watch(self, on: bool) -> None:
        """Set whether `ready` is called."""

    def has_waiting(self) -> bool:
        """Whether a connection is waiting to be accepted."""

    def accept(self, handler: Handler) -> Stream | None:
        """Accept the oldest waiting connection and start reading it; None if there is none.

        Raises OSError if descriptors or memory run out; the connection then remains queued.
        """

    def close(self) -> None:
        """Stop listening; waiting connections are reset."""


class DatagramHandler(Protocol):
    """The owner of a datagram socket.  An exception that it raises loses only that datagram."""

    def datagram(self, data: bytes, origin: Address) -> None:
        """Take one complete datagram.  `origin` is its source address, which can be forged."""


class DatagramSocket(Protocol):
    """A datagram socket.  Datagrams may be lost, duplicated, delayed and reordered."""

    address: Address

    def send(self, data: bytes, address: Address) -> bool:
        """Send; return whether the kernel took it.  Never blocks or raises; may drop it."""

    def close(self) -> None:
        """Stop receiving and free the port."""


class Network(Protocol):
    """A process's network and clocks.  `loop.time()` never steps back."""

    loop: asyncio.AbstractEventLoop
    turns: Turns

    def wall(self) -> float:
        """The wall clock in Unix seconds; may step either way."""

    def listen(self, address: Address, backlog: int, ready: Callable[[], None]) -> ListeningSocket:
        """Open a listening socket, not watched at first; port 0: any free one.  OSError."""

    def connect(
        self, address: Address, handler: Handler, time_limit: float, first: bool = False
    ) -> Stream:
        """Start to connect; `opened` follows, or `lost` on failure or after `time_limit` seconds.

        Never raises: a lack of descriptors is reported by `lost` too.  `first`: the stream's events
        are handled before others in an iteration of the event loop.
        """

    def bind_datagram_socket(
        self, address: Address, handler: DatagramHandler, max_size: int
    ) -> DatagramSocket:
        """Open a socket for datagrams of up to `max_size` bytes; longer ones are dropped.

        Port 0 means any free one.  Raises OSError on failure.
        """
