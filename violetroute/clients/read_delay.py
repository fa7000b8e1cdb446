"""Estimates how long the data that a connection reads may have been unread.  Pure.

The event loop's own lag is measured elsewhere.  Three more causes make a request older than the
loop turn that reads it; exploring event orders found each as an answer after its client's timeout:

- it arrived before its connection was accepted;
- it arrived during a pause of the process;
- it arrived while this connection was not read, because the budget or its depth was exhausted.

Such data is marked with a start time until it has been read.  A read that empties the receive
buffer does not prove that: if much data was waiting, the TCP window was closed and the sender's
kernel holds the rest, which arrives a round trip later.  SO_TIMESTAMP does not help: it gives the
arrival time at this host, which for the rest is after the pause, and no segment carries a
trustworthy sending time.  So the mark stays for `WINDOW_REOPEN_TIME` after the first read that
emptied the buffer, and data of unknown age counts as old: its client retries, which does no harm.

A client that always sends more than is read does not stay marked for good.  Once a full receive
buffer has been read and the sender's kernel had `WINDOW_REOPEN_TIME`, the mark moves on to the time
at which reading last stopped.
"""

from __future__ import annotations

# s from reopening the TCP window until the data in the sender's kernel arrives (one way: 3 ms)
WINDOW_REOPEN_TIME = 0.1
# Unread data of 1 / WINDOW_DIVISOR of the receive buffer may have closed the TCP window, since
# small segments occupy several times their size.
WINDOW_DIVISOR = 4


class ReadDelay:
    """The possible read delay of one connection.  Times are seconds of the loop's clock."""

    __slots__ = (
        "_accepted",
        "_advance_at",
        "_clear_at",
        "_next_since",
        "_read",
        "_read_at",
        "_since",
    )

    def __init__(self) -> None:
        self._accepted = -1  # turn of the accept; -1 once something was read
        self._since: float | None = None  # the next data read may be unread since then
        # The same for the data that follows one receive buffer of marked data.
        self._next_since = 0.0
        self._read = 0  # bytes since the mark was set or moved on
        # Earliest time at which the mark may move on; None until data was read under it.
        self._advance_at: float | None = None
        self._clear_at: float | None = None
        self._read_at = 0.0  # time of the last read

    @property
    def marked(self) -> bool:
        """Whether `end_read` has to be called after a read."""
        return self._since is not None

    def accepted(self, turn: int, since: float) -> None:
        """The connection was accepted in this turn; it may have been waiting since `since`."""
        self._accepted = turn
        self._mark(since)

    def pause_reading(self, now: float) -> None:
        """Reading stops: from now on data stays unread until `begin_read`."""
        self._clear_at = None
        if self._since is None:
            self._mark(now)
        else:
            self._next_since = now

    def begin_read(self, turn: int, now: float, paused_for: float) -> None:
        """Update the mark before a read.

        `paused_for`: seconds since the start of a pause that ended with this turn; 0 without one.
        """
        if self._since is not None and (
            (self._clear_at is not None and now >= self._clear_at) or turn > self._accepted + 1 >= 1
        ):  # the second case: the data arrived after the accept
            self._since = None
        if paused_for and (self._since is None or now - paused_for < self._since):
            self._mark(now - paused_for)
        self._accepted = -1
        self._read_at = now

    def window_may_be_closed(self, count: int, buffer: int) -> bool:
        """Whether a read of `count` bytes of marked data may have reopened a closed TCP window.

        `buffer`: size of the kernel's receive buffer in bytes.
        """
        return self._since is not None and (self._read + count) * WINDOW_DIVISOR >= buffer

    def _mark(self, since: float) -> None:
        self._since = self._next_since = since
        self._read, self._clear_at, self._advance_at = 0, None, None

    def end_read(self, count: int, now: float, emptied: bool, buffer: int) -> None:
        """Update the mark after a read of `count` bytes.  `emptied`: none are left to read.

        `buffer`: size of the kernel's receive buffer in bytes.
        """
        self._read += count
        if emptied and self._read * WINDOW_DIVISOR < buffer:
            self._since = None
        elif emptied and self._clear_at is None:
            self._clear_at = now + WINDOW_REOPEN_TIME
        if self._advance_at is None:
            self._advance_at = now + WINDOW_REOPEN_TIME
        elif self._read > buffer and now >= self._advance_at and self._since is not None:
            self._since, self._next_since, self._read = self._next_since, now, 0
            self._advance_at = now + WINDOW_REOPEN_TIME

    def delay(self, now: float) -> float:
        """Seconds for which the current command may have waited, in the kernel or here."""
        since = self._read_at if self._since is None else min(self._since, self._read_at)
        return now - since if since else 0.0
