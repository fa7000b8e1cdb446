"""The order of answers: each command's place in its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from violetroute import resp

if TYPE_CHECKING:
    from .connection import ClientConnection


class RequestHandler(Protocol):
    """What clients know of the proxy."""

    def rejection(self, command: resp.Command, taken: int, waited: float) -> bytes | None: ...
    def take(self, command: resp.Command, answer: Answer) -> None: ...
    def client_gone(self, answer: Answer) -> None: ...


class Answer:
    """The place of one command's answer in its connection's order."""

    __slots__ = ("_connection", "_held", "charge", "done", "request")

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._held: list[bytes | bytearray] = []  # what could not yet be written
        self.charge = 0  # bytes that its command holds of the budget
        self.done = False
        self.request: object = None  # the proxy's own mark

    def client_left(self) -> bool:
        """Whether its client has gone by now, asked of the kernel."""
        return self._connection.client_left()

    def finish(self, *parts: bytes | bytearray) -> None:
        """The whole answer; it is written when its turn has come."""
        self.done = True
        self.request = None  # no cycle: its memory is free without the collector's help
        self._free()
        if self._connection.write_now(self, parts):
            return
        self._connection.budget.hold(sum(map(len, parts)))
        self._held.extend(parts)
        self._connection.flush()

    def _free(self) -> None:
        charge, self.charge = self.charge, 0
        self._connection.budget.release(charge)

    def take_held(self) -> bytes | bytearray:
        """What is to be written, as its turn has come."""
        data = self._held[0] if len(self._held) == 1 else b"".join(self._held)
        self._held.clear()
        return data

    def drop(self) -> None:
        """The connection has ended: nothing is written any more."""
        self._free()
        self._connection.budget.release(sum(map(len, self._held)))
        self._held.clear()
