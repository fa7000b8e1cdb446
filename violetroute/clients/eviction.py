"""Chooses connections that give way, of those that still make some progress, when no slot is free.

A choice compares MAX_SCANNED connections at most, since up to 32 connections give way in one loop
iteration, and requests wait for it.
"""

from __future__ import annotations

from itertools import islice
from typing import Protocol, TypeVar

from .output import Output

MAX_SCANNED = 128  # connections compared for one choice, however many there are
COMMAND_TIMEOUT_WHEN_FULL = 0.25  # s for a command whose bytes keep coming
STALLED_READER_TIMEOUT_WHEN_FULL = 0.5  # s in which a client takes nothing of its answers
SLOW_READER_TIMEOUT_WHEN_FULL = 2.0  # s in which one answer is not delivered


class EvictableConnection(Protocol):
    """A client connection as the choice uses it."""

    output: Output
    since: float  # loop time at which it entered its state


Connection = TypeVar("Connection", bound=EvictableConnection)


def slow_command(partial: dict[Connection, None], now: float) -> Connection | None:
    """The connection whose command began first, if that was COMMAND_TIMEOUT_WHEN_FULL ago.

    `partial`: the connections in the middle of a command, the one longest without progress first.
    """
    candidates = islice(partial, MAX_SCANNED)
    slowest = min(candidates, key=lambda connection: connection.since, default=None)
    if slowest is None or now - slowest.since < COMMAND_TIMEOUT_WHEN_FULL:
        return None
    return slowest


def stalled_reader(serving: dict[Connection, None], now: float) -> Connection | None:
    """A connection whose client does not take its answers, or only slowly; None without one.

    `serving`: the connections with pending answers.  Those that were compared move to its end, so
    that the next choice compares others.
    """
    for connection in list(islice(serving, MAX_SCANNED)):
        output = connection.output
        if (
            output.stalled_for(now) >= STALLED_READER_TIMEOUT_WHEN_FULL
            or output.blocked_for(now) >= SLOW_READER_TIMEOUT_WHEN_FULL
        ):
            return connection
        del serving[connection]
        serving[connection] = None
    return None
