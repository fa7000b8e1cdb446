"""The drain after SIGTERM: each command that was sent to this process is answered before it exits.

A command counts as sent once its last byte is on a connection that the kernel has accepted.  It may
be unread in the kernel, or still be in the sender's kernel behind a closed TCP window, so reading
goes on during the drain.  A connection ends only between requests, when nothing is unread or on its
way (`DrainingConnection.end_if_quiet`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from violetroute import logs

ACCEPT_AFTER_TERM = 0.55  # s; new ones arrive for 0.4 s and must be accepted within 0.7 s
SERVE_AFTER_ACCEPT = 0.15  # s more in which commands are served; later ones are refused at once
# s before the end by which requests are answered.  Commands beyond a connection's depth are read
# only after that, and have to be refused.
REFUSE_TIME = 0.15
SLOT_CHECK_INTERVAL = 0.01  # s between checks for a free slot when accepting should end


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """The times of a drain, in seconds of the loop's clock."""

    accept_until: float  # the proxy stops listening, unless all slots are taken
    serve_until: float  # commands that are read later are refused
    answer_by: float  # latest deadline of a request that is accepted during the drain
    ends_at: float  # connections that are still open are aborted

    @staticmethod
    def starting(now: float, longest: float) -> DrainSchedule:
        """A drain that starts `now` and allows open requests `longest` seconds after accepting."""
        accept_until = now + ACCEPT_AFTER_TERM
        ends_at = accept_until + longest
        answer_by = max(accept_until, ends_at - REFUSE_TIME)
        serve_until = min(accept_until + SERVE_AFTER_ACCEPT, answer_by)
        return DrainSchedule(accept_until, serve_until, answer_by, ends_at)


class DrainingConnection(Protocol):
    """A client connection as the drain uses it."""

    @property
    def pending_answers(self) -> int:
        """The number of commands without a written answer."""

    def has_unread_input(self) -> bool:
        """Whether input of the client is unread or on its way."""

    def end_if_quiet(self) -> None:
        """End the connection if no command is open, unread or on its way."""

    def drain(self) -> None:
        """End the connection as soon as it is quiet, even if a part of a command was received."""

    def abort(self) -> None:
        """Close at once, discarding unsent answers."""


class DrainingListener(Protocol):
    """The listener as the drain uses it."""

    loop: asyncio.AbstractEventLoop

    @property
    def open_connections(self) -> Sequence[DrainingConnection]:
        """All open connections."""

    @property
    def idle_connections(self) -> Sequence[DrainingConnection]:
        """The connections without a command."""

    @property
    def slots_full(self) -> bool:
        """Whether no further connection can be accepted."""

    def accept_waiting(self) -> None:
        """Accept what the kernel has queued, as far as slots are free."""

    def stop_accepting(self) -> None:
        """Accept what the kernel has queued, and stop listening."""

    async def all_closed(self) -> None:
        """Wait until no connection is open."""


async def run_drain(listener: DrainingListener, schedule: DrainSchedule) -> None:
    """Stop accepting, and end each connection once it is quiet; abort the rest at the end."""
    for connection in listener.idle_connections:
        connection.end_if_quiet()
    await asyncio.sleep(schedule.accept_until - listener.loop.time())
    _log_draining(listener.open_connections)
    for connection in listener.open_connections:
        connection.drain()
    # Connections that wait in the kernel for a slot are accepted as slots become free.
    while listener.slots_full and listener.loop.time() < schedule.answer_by:
        await asyncio.sleep(SLOT_CHECK_INTERVAL)
        listener.accept_waiting()
    listener.stop_accepting()
    for connection in listener.open_connections:
        connection.drain()
    try:
        async with asyncio.timeout_at(schedule.ends_at):
            await listener.all_closed()
    except TimeoutError:
        _abort(listener.open_connections)


def _log_draining(connections: Sequence[DrainingConnection]) -> None:
    if connections:
        logs.event(
            "clients.draining",
            count=len(connections),
            answers=_pending_answers(connections),
            unread=_unread(connections),
        )


def _abort(connections: Sequence[DrainingConnection]) -> None:
    logs.event(
        "clients.left_open",
        count=len(connections),
        answers=_pending_answers(connections),
        unread=_unread(connections),
    )
    for connection in connections:
        connection.abort()


def _pending_answers(connections: Sequence[DrainingConnection]) -> int:
    return sum(connection.pending_answers for connection in connections)


def _unread(connections: Sequence[DrainingConnection]) -> int:
    return sum(connection.has_unread_input() for connection in connections)
