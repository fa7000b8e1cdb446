"""Memory for long replies of nodes while they are received.

Any number of connections may be receiving a value at the same time, and each holds what it has
received until the reply is complete.  A long reply is charged with its announced length when its
first bytes were read.  While no memory is left, a connection reads little of a reply that begins,
so a short one is complete and a long one waits in the kernel until others have ended.
"""

from __future__ import annotations

from typing import Protocol

UNCHARGED_REPLY = 4 * 1024  # bytes of a value up to which its reply is not charged


class WaitingReply(Protocol):
    """A connection whose reply waits for memory."""

    def memory_granted(self) -> None:
        """The memory was charged: receive the rest of the reply."""


class ReplyMemory:
    """The bytes of the long replies that are being received, at most one reply above `size`."""

    __slots__ = ("_size", "_waiting", "full", "used")

    def __init__(self, size: int) -> None:
        self._size = size
        self.used = 0
        self.full = False  # no long reply may be charged; an attribute, since each read asks
        self._waiting: dict[WaitingReply, int] = {}  # bytes; the one that waits longest first

    @property
    def waiting(self) -> int:
        """The number of replies that wait."""
        return len(self._waiting)

    def charge(self, size: int) -> None:
        """Charge a reply, also if that exceeds the size: it was begun while there was room."""
        self.used += size
        self.full = self.used >= self._size

    def wait(self, reply: WaitingReply, size: int) -> None:
        """Charge a reply once there is room, and call its `memory_granted` then."""
        self._waiting[reply] = size

    def forget(self, reply: WaitingReply) -> None:
        """The reply is not received any further; it must not be charged."""
        self._waiting.pop(reply, None)

    def release(self, size: int) -> None:
        """Return the bytes of a reply, and grant those that wait, oldest first."""
        self.charge(-size)
        while self._waiting and not self.full:
            reply = next(iter(self._waiting))
            self.charge(self._waiting.pop(reply))
            reply.memory_granted()
