"""Connections on which no genuine request has come yet, and which of them makes way.  Pure.

Whether a request is genuine is known when it is whole, so a stranger can make the server hold the
bodies of requests that never end. The sum of these bodies is bounded. Beyond it the body that began
first is ended: whoever wants to end one of somebody else's has to bring as many bytes as the bound
with bodies that began later, before that one is whole.
"""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_UNAUTHENTICATED_BYTES = 16 * 1024 * 1024  # of all their bodies; the longest one has 4 MiB

Connection = TypeVar("Connection")


class UnauthenticatedConnections(Generic[Connection]):
    """Those of one server. `body_bytes`: of their bodies that are not whole yet."""

    def __init__(self, max_body_bytes: int = MAX_UNAUTHENTICATED_BYTES) -> None:
        self.body_bytes = 0
        self._body_bytes_most = max_body_bytes
        self._connections: dict[Connection, None] = {}  # the oldest first
        self._bodies: dict[Connection, int] = {}  # bytes; the body that began first is the first

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: Connection) -> None:
        """A new one."""
        self._connections[connection] = None

    def remove(self, connection: Connection) -> None:
        """It has been authenticated, or it is gone.  Nothing happens if it is not there."""
        self._connections.pop(connection, None)
        self.end_body(connection)

    def renew(self, connection: Connection) -> None:
        """It counts as the newest from now on, if it is there."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def oldest(self) -> Connection | None:
        """The first to make way when all places are taken."""
        return next(iter(self._connections), None)

    def add_to_body(self, connection: Connection, count: int) -> list[Connection]:
        """So many more bytes came.  The connections that have to go, so that the bound holds.

        They are removed. Nothing is counted for a connection that is not there.
        """
        if connection not in self._connections:
            return []
        self.body_bytes += count
        self._bodies[connection] = self._bodies.get(connection, 0) + count
        ended = []
        while self.body_bytes > self._body_bytes_most:
            first = next(iter(self._bodies))
            self.remove(first)
            ended.append(first)
        return ended

    def end_body(self, connection: Connection) -> None:
        """Its body is whole, or is not kept any more."""
        self.body_bytes -= self._bodies.pop(connection, 0)
