"""What the daemon asks of the kernel, and what it may rely on.

The seam is narrow on purpose: what stands here has to be promised twice, by real sockets and by
a network in memory, and the same scripts are run on both.  Two rules hold for every stream:

- **No call comes back from within a call.**  Whatever the owner asks, `Handler` is told from the
  loop later, never before the call has returned.  So an owner may close itself, or another
  one, from anywhere without finding its own state changed under it.
- **`lost` is the last word, and comes exactly once**, whoever ended the stream and however.
  After `abort` or `close` no `received`, `ended`, `opened` or `drained` follows, even where
  the kernel's event was already on its way; a descriptor number that a new stream was given in
  the same turn gets no event of the old one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from .address import Address
from .loop_lag import Turns

Data = bytes | bytearray | memoryview


class Handler(Protocol):
    """The owner of a stream.  An exception that leaves it ends its stream and no other."""

    def opened(self) -> None:
        """The connection that was asked for stands.  Not told of an accepted one."""

    def buffer(self) -> memoryview:
        """Where the next bytes go.  It is filled and read in one step, so many can share one."""

    def received(self, count: int) -> None:
        """So many bytes of the buffer came; never 0."""

    def ended(self) -> None:
        """The peer sends no more.  It may still read: what the owner does is its own affair."""

    def drained(self) -> None:
        """The kernel has taken the last of what `write` had to keep."""

    def lost(self, error: OSError | None) -> None:
        """The stream is gone; the descriptor is closed.  `error` when the owner did not ask."""


class Stream(Protocol):
    """One connection.  After its end every method is a call that does nothing."""

    descriptor: int  # -1 once it is closed
    closing: bool  # by `close`, `abort` or an error: nothing is received any more
    unsent: int  # bytes that the kernel has not taken; stays as it was at the end

    def write(self, data: Data) -> bool:
        """Hand over; whether the kernel has taken everything that was ever written.

        What it did not take is kept by reference (the caller does not change it any more) and
        follows as it takes more.  Taken means taken: the peer may have it.  Not taken after an
        error means that the peer never has the whole.  An error is told as `lost`, after what
        the peer had sent before it was read, if the stream reads.
        """

    def write_all(self, parts: Sequence[Data]) -> bool:
        """The same for several parts, in one system call where that is cheaper than a copy."""

    def pause(self) -> None:
        """Read no more for now: the peer is held back by its own window."""

    def resume(self) -> None:
        """Read again."""

    def end(self) -> None:
        """Half-close, once what was written has been taken.  Reading goes on."""

    def close(self) -> None:
        """Read no more; end once what was written has been taken.

        Has no bound in time: its owner looks whether `unsent` still falls, and aborts.  Input
        that is unread by then makes the kernel reset the connection, so read to the end first
        where the peer has to get the last of it.
        """

    def abort(self, discard: bool = False) -> None:
        """End at once.  The descriptor is closed before this returns.

        What the kernel has taken it goes on delivering, for minutes if the path is cut.
        `discard`: it must not; the peer gets a reset in place of what it has not got yet.
        """

    def deliver_within(self, seconds: float) -> None:
        """What is written from now on reaches the peer's kernel within so long, or never.

        The kernel's own clock ends the stream then (ETIMEDOUT), also while this process stands.
        It is coarse: where the peer's window is closed it was seen 0.17 to 0.48 s late (Linux
        6.18), so it is no replacement for a timer.  Below 1 ms it is 1 ms; 0: no bound.
        """

    def delivered(self) -> bool:
        """Whether the peer's kernel has acknowledged all that was written."""

    def receive_buffer(self) -> int:
        """Bytes that the kernel keeps of what has not been read, asked of it now; 0 at the end."""

    def no_pending_input(self) -> bool:
        """Whether nothing has come and the peer has not closed, asked of the kernel now."""

    def peer_ended(self) -> bool:
        """Whether the peer has ended its side or the connection, asked of the kernel now.

        Also where bytes that came before stand unread, as `ended` is not; not where they fill the
        receive buffer, since the end then waits over there.
        """


class ListeningSocket(Protocol):
    """A listening socket.  `ready` is told, while it is watched, when somebody waits."""

    address: Address

    def watch(self, on: bool) -> None:
        """Whether `ready` is told."""

    def accept(self, handler: Handler) -> Stream | None:
        """Who waits longest, read from now on; None when nobody does, or it has gone again.

        OSError when descriptors or memory ran out: who waits goes on waiting.
        """

    def close(self) -> None:
        """Nobody new; who still waits is reset."""


class DatagramHandler(Protocol):
    """The owner of a port for datagrams.  An exception that leaves it costs that datagram alone."""

    def datagram(self, data: bytes, origin: Address) -> None:
        """One came, whole.  `origin` is what it says of itself: anybody can write that."""


class DatagramSocket(Protocol):
    """A port for datagrams.  What is sent may be lost, come twice, late and in any order."""

    address: Address

    def send(self, data: bytes, address: Address) -> bool:
        """Whether the kernel took it.  Never waits, never raises: a full buffer is a loss."""

    def close(self) -> None:
        """Nothing is told any more; the port is free."""


class Network(Protocol):
    """What a process has of the world.  `loop.time()` is its clock, which never steps back."""

    loop: asyncio.AbstractEventLoop
    turns: Turns

    def wall(self) -> float:
        """Unix seconds; may step either way."""

    def listen(self, address: Address, backlog: int, ready: Callable[[], None]) -> ListeningSocket:
        """OSError when it cannot.  Not watched at first; port 0 means any free one."""

    def connect(
        self, address: Address, handler: Handler, time_limit: float, first: bool = False
    ) -> Stream:
        """Begin to connect: `opened`, or `lost` once it failed or `time_limit` s have passed.

        Never raises: no descriptor is an end like another.  `first`: its events come ahead of
        others in a turn.
        """

    def bind_datagram_socket(
        self, address: Address, ear: DatagramHandler, most: int
    ) -> DatagramSocket:
        """A port for datagrams of up to `most` bytes; longer ones are not told.

        OSError when it cannot.  Port 0 means any free one.
        """
