"""Answers to pipelined commands, written in the order in which the commands arrived."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from violetroute import resp

from .budget import Budget


class LocalRefusal(Enum):
    """Why a connection refuses a command by itself; the value is the reason in the log."""

    DRAINING = "draining"  # the process is about to exit
    MEMORY = "memory"  # the budget had no room for it
    UNSEEN_CLIENT = "unseen_client"  # its client may have closed, behind much unread input


class RequestHandler(Protocol):
    """The proxy as the client connections use it."""

    def refuse(self, reason: LocalRefusal) -> bytes:
        """Count a command that is refused for this reason, and return its reply."""
        ...

    def rejection(self, command: resp.Command, taken: int, waited: float) -> bytes | None:
        """The error line for a command that is not admitted, or None.

        `taken`: requests accepted from this connection in this loop turn.  `waited`: seconds for
        which the command may have been unread.
        """
        ...

    def take(self, command: resp.Command, answer: Answer) -> None:
        """Accept a request; `answer.finish` is called once.  CommandError if it is invalid."""
        ...

    def client_gone(self, answer: Answer) -> None:
        """The client has left: the request of this answer is no longer needed."""
        ...


class AnsweringConnection(Protocol):
    """The connection that an answer belongs to."""

    budget: Budget

    def client_left(self) -> bool:
        """Whether the client has closed, checked in the kernel."""
        ...

    def client_may_have_left(self) -> bool:
        """Whether the client has closed, or may have closed without this process seeing it."""
        ...

    def write_now(self, answer: Answer, parts: tuple[bytes | bytearray, ...]) -> bool:
        """Write the next answer at once; False if it has to be queued."""
        ...

    def flush(self) -> None:
        """Write the finished answers in order."""
        ...


class Answer:
    """The answer to one command, in its position among the answers of its connection."""

    __slots__ = ("_connection", "_unwritten", "charge", "done", "request")

    def __init__(self, connection: AnsweringConnection) -> None:
        self._connection = connection
        self._unwritten: list[bytes | bytearray] = []  # finished before it could be written
        self.charge = 0  # bytes of the budget that its command holds
        self.done = False
        self.request: object = None  # the proxy's record of the request

    def client_left(self) -> bool:
        """Whether the client has closed the connection, checked in the kernel."""
        return self._connection.client_left()

    def client_may_have_left(self) -> bool:
        """Whether the client has closed, or may have closed without this process seeing it."""
        return self._connection.client_may_have_left()

    def finish(self, *parts: bytes | bytearray) -> None:
        """Set the complete answer; it is written once all earlier answers have been."""
        self.done = True
        self.request = None  # breaks the cycle, so no garbage collection is needed to free it
        self._free()
        if self._connection.write_now(self, parts):
            return
        self._connection.budget.hold(sum(map(len, parts)))
        self._unwritten.extend(parts)
        self._connection.flush()

    def _free(self) -> None:
        charge, self.charge = self.charge, 0
        self._connection.budget.release(charge)

    def take_unwritten(self) -> bytes | bytearray:
        """Return and clear the data that waited for the earlier answers."""
        data = self._unwritten[0] if len(self._unwritten) == 1 else b"".join(self._unwritten)
        self._unwritten.clear()
        return data

    def drop(self) -> None:
        """Return all budget bytes; the connection has ended."""
        self._free()
        self._connection.budget.release(sum(map(len, self._unwritten)))
        self._unwritten.clear()
