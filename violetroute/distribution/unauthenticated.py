"""Connections without an authenticated request yet, and which of them is evicted first.  Pure.

A request can be authenticated only when it is complete, so a host without a key can make the server
buffer the bodies of requests that never end.  The sum of these bodies is bounded.  Beyond it, the
connection whose body began first is evicted.  To evict the connection of another host, an attacker
must send as many bytes as the bound, in bodies that began later, before that body is complete.
"""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_UNAUTHENTICATED_BYTES = 16 * 1024 * 1024  # bytes of all their bodies; one has at most 4 MiB

Connection = TypeVar("Connection")


class UnauthenticatedConnections(Generic[Connection]):
    """The unauthenticated connections of one server.

    `body_bytes`: the received bytes of their bodies that are not complete yet.
    """

    def __init__(self, max_body_bytes: int = MAX_UNAUTHENTICATED_BYTES) -> None:
        self.body_bytes = 0
        self._max_body_bytes = max_body_bytes
        self._connections: dict[Connection, None] = {}  # the oldest first
        self._bodies: dict[Connection, int] = {}  # body bytes; in the order in which bodies began

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: Connection) -> None:
        """Add a new connection."""
        self._connections[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that was authenticated or closed.  No effect if it is not there."""
        self._connections.pop(connection, None)
        self.end_body(connection)

    def renew(self, connection: Connection) -> None:
        """Make it the newest connection.  No effect if it is not there."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def oldest(self) -> Connection | None:
        """The connection to evict at the limit of connections; None if there is none."""
        return next(iter(self._connections), None)

    def add_to_body(self, connection: Connection, count: int) -> list[Connection]:
        """Count `count` more body bytes.  Removes and returns the connections to evict.

        Bytes of a connection that is not there are not counted.
        """
        if connection not in self._connections:
            return []
        self.body_bytes += count
        self._bodies[connection] = self._bodies.get(connection, 0) + count
        ended = []
        while self.body_bytes > self._max_body_bytes:
            first = next(iter(self._bodies))
            self.remove(first)
            ended.append(first)
        return ended

    def end_body(self, connection: Connection) -> None:
        """Stop counting its body, which is complete or was discarded."""
        self.body_bytes -= self._bodies.pop(connection, 0)
