"""Since when what a connection reads may have stood unread.  Pure.

Beyond what the loop's own turn tells, three things make a request older than the turn that reads
it.  All were found by exploration, as answers after their clients' time:

- it came before its connection was accepted;
- it came in a pause of the process;
- it came while this connection was not read, for want of room or because it asks too deep.

Whatever stood then is marked until it has been read.  That all has been read is not told by a read
that leaves nothing: where much stood, the window was closed, and the sender's kernel kept the rest,
which comes a way and back later.  Weighed: SO_TIMESTAMP tells when a segment arrived here, which
for the rest is after the pause; the sender's own time is in no segment that can be believed.  So
the mark stays for `REOPENS` after the first read that left nothing, and what is not known is taken
for old: its client asks again, which does no harm.  Who goes on sending more than we read is not
marked for good: with a whole buffer read, and the sender's kernel given its time, the mark moves on
to when reading stopped last.
"""

from __future__ import annotations

REOPENS = 0.1  # s from an open window until what the sender kept has come; a way is 3 ms
CLOSED = 4  # parts of the receive buffer; one of them unread may have closed the window: small
#             segments take several times their bytes of it


class ReadDelay:
    """How long data of one connection may have waited.  Times are the loop's, in s."""

    __slots__ = ("_accepted", "_clears_at", "_moves_at", "_next", "_read", "_read_at", "_since")

    def __init__(self) -> None:
        self._accepted = -1  # the turn, until something was read
        self._since: float | None = None  # what is read next may have stood since then
        self._next = 0.0  # what comes after a window of that may have stood since then
        self._read = 0  # bytes since the mark was made, or moved on
        self._moves_at: float | None = None  # s, not before; None until something was read since
        self._clears_at: float | None = None
        self._read_at = 0.0  # when the last bytes came in

    @property
    def marked(self) -> bool:
        """Whether `has_read` has to be told."""
        return self._since is not None

    def accepted(self, turn: int, since: float) -> None:
        """Accepted in this turn; it may have waited for that since then."""
        self._accepted = turn
        self._mark(since)

    def stops_reading(self, now: float) -> None:
        """From now on what comes stands, until it is read again."""
        self._clears_at = None
        if self._since is None:
            self._mark(now)
        else:
            self._next = now

    def reads(self, turn: int, now: float, lost: float) -> None:
        """About to read; `lost`: seconds since a pause began that ended with this turn, else 0."""
        if self._since is not None and (
            (self._clears_at is not None and now >= self._clears_at)
            or turn > self._accepted + 1 >= 1
        ):  # it has come since it was accepted
            self._since = None
        if lost and (self._since is None or now - lost < self._since):
            self._mark(now - lost)
        self._accepted = -1
        self._read_at = now

    def _mark(self, since: float) -> None:
        self._since = self._next = since
        self._read, self._clears_at, self._moves_at = 0, None, None

    def has_read(self, count: int, now: float, emptied: bool, buffer: int) -> None:
        """So many bytes, and whether none are left; `buffer`: bytes that the kernel keeps."""
        self._read += count
        if emptied and self._read * CLOSED < buffer:
            self._since = None
        elif emptied and self._clears_at is None:
            self._clears_at = now + REOPENS
        if self._moves_at is None:
            self._moves_at = now + REOPENS
        elif self._read > buffer and now >= self._moves_at and self._since is not None:
            self._since, self._next, self._read = self._next, now, 0
            self._moves_at = now + REOPENS

    def waited(self, now: float) -> float:
        """Seconds for which the command at hand may have stood, in the kernel or here."""
        since = self._read_at if self._since is None else min(self._since, self._read_at)
        return now - since if since else 0.0
