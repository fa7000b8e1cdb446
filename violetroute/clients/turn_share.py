"""Divides the time of event loop turns among client connections that have many commands at once.

Each connection runs its commands for a slice of a turn.  One that has more commands than fit waits
in a queue, is not read meanwhile, and continues in a later turn.  The queue gets a fixed time in
each turn, whatever its length, so the requests of all other connections wait for that time at most.
This is deficit round robin with priority for sparse flows, as in FQ-CoDel (RFC 8290, section 4).
"""

from __future__ import annotations

import asyncio
from typing import Protocol

SLICE_TIME = 0.001  # s for the commands of one connection in a row
SLICE_COMMANDS = 64  # commands of one connection in a row, however fast they are
QUEUE_TIME = 0.002  # s of each turn for the connections that wait
LONG_TURN = 0.005  # s of a turn after which a slice is only one command
HOLD_TIME = 0.002  # s until a connection whose client may have left is looked at again
HEAVY_TIME = 0.1  # s after a wait for which a connection waits before its next slice too


def slice_time(elapsed: float) -> float:
    """Seconds for the commands of one connection, `elapsed` seconds after the turn began.

    Many connections with much to do in one turn get one command each, so that the turn ends soon.
    """
    return SLICE_TIME if elapsed < LONG_TURN else 0.0


class WaitingConnection(Protocol):
    """A connection that has more commands than fit into its slice."""

    def run_slice(self) -> None:
        """Run commands for a slice; calls `TurnShare.wait` if there are more."""


class TurnShare:
    """The queue of connections with unfinished work, and their time in each turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[WaitingConnection, None] = {}  # the one that waits for longest first
        self._held: dict[WaitingConnection, asyncio.TimerHandle] = {}
        self._scheduled = False
        self.waits = 0  # how often a connection has had to wait

    def wait(self, connection: WaitingConnection) -> None:
        """Continue the connection in a later turn, after those that wait already."""
        self.waits += 1
        self._waiting[connection] = None
        self._schedule()

    def hold(self, connection: WaitingConnection) -> None:
        """Continue the connection after HOLD_TIME, in its turn."""
        self._held[connection] = self._loop.call_later(HOLD_TIME, self._end_hold, connection)

    def _end_hold(self, connection: WaitingConnection) -> None:
        del self._held[connection]
        self.wait(connection)

    def remove(self, connection: WaitingConnection) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(connection, None)
        timer = self._held.pop(connection, None)
        if timer is not None:
            timer.cancel()

    @property
    def waiting(self) -> int:
        """The number of connections that wait."""
        return len(self._waiting) + len(self._held)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        ends_at = self._loop.time() + QUEUE_TIME
        for _ in range(len(self._waiting)):  # each once: those that wait again are behind
            connection = next(iter(self._waiting), None)
            if connection is None:
                break
            del self._waiting[connection]
            connection.run_slice()
            if self._loop.time() >= ends_at:
                break
        if self._waiting:
            self._schedule()


class CommandSlices:
    """The state of one connection.  It is no attribute, since a reference cycle would keep both."""

    __slots__ = ("_share", "heavy_until", "waiting")

    def __init__(self, share: TurnShare) -> None:
        self._share = share
        self.waiting = False  # has more commands than fit into its slice of a turn
        # Loop time up to which the connection waits before each slice, as it had to wait recently.
        self.heavy_until = 0.0

    def wait(self, connection: WaitingConnection, now: float) -> None:
        """Continue the connection in a later turn."""
        self.waiting = True
        self.heavy_until = now + HEAVY_TIME
        self._share.wait(connection)

    def hold(self, connection: WaitingConnection, now: float) -> None:
        """Continue the connection after HOLD_TIME."""
        self.waiting = True
        self.heavy_until = now + HEAVY_TIME
        self._share.hold(connection)

    def end(self, connection: WaitingConnection) -> None:
        """The connection runs no further commands."""
        self.waiting = False
        self._share.remove(connection)
