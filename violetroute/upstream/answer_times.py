"""The shortest time in which a node answers, by which a late copy of an earlier answer is known.

Nothing in an answer names its request.  A second copy of an answer that arrives while the next
command is under way passes for the answer to that command.  It has the same bytes, comes within
milliseconds after the first copy, and mostly sooner after the command than the node and the way
there and back allow.
"""

from __future__ import annotations

import math

PERIOD = 60.0  # s; the shortest time of this period and the one before counts
MAX_COPY_DELAY = 0.02  # s from an answer to a late copy of it
# An answer may be a copy if it came sooner than the shortest time by this share of it and by this
# many seconds, since an answer may always be somewhat faster than any before.
MIN_LEAD_SHARE = 0.25
MIN_LEAD = 0.001


class AnswerTimes:
    """The shortest time from a command to its answer at one node.  Times are in seconds."""

    __slots__ = ("_period_ends", "_previous", "_shortest")

    def __init__(self) -> None:
        self._shortest = self._previous = math.inf  # of this period and the one before
        self._period_ends = -math.inf

    def record(self, seconds: float, now: float) -> None:
        """Learn from an answer that can't be a copy of another one."""
        if now >= self._period_ends:
            expired = now >= self._period_ends + PERIOD
            self._previous = math.inf if expired else self._shortest
            self._shortest, self._period_ends = seconds, now + PERIOD
        elif seconds < self._shortest:
            self._shortest = seconds

    def is_early(self, seconds: float, now: float) -> bool:
        """Whether an answer came sooner than this node can have made it.  False if unknown."""
        shortest = min(self._shortest, self._previous)
        if shortest == math.inf or now >= self._period_ends + PERIOD:
            return False
        return shortest - seconds >= max(MIN_LEAD, MIN_LEAD_SHARE * shortest)
