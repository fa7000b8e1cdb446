"""Counts occurrences by reason and logs the counts at most once a second."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from . import logs

LOG_INTERVAL = 1.0  # s between log lines


def log_refused(count: int, reasons: str) -> None:
    """Log requests that were not served.

    Reasons are the values of `snowstall.Reason` and `LocalRefusal`, `budget` (the admission check
    of a subsystem) and `own_load` (a command that this process read too late to serve).
    """
    logs.event("requests.refused", count=count, reasons=reasons)


def log_malformed(count: int, reasons: str) -> None:
    """Log answers of nodes that were not used.  Reasons are the values of `Malformation`."""
    logs.event("nodes.malformed", count=count, reasons=reasons)


def log_held_replies(count: int, reasons: str) -> None:
    """Log long replies of nodes that had to wait before they were received."""
    logs.event("nodes.replies_held", count=count, reasons=reasons)


class ReasonCounter:
    """Counters by reason.  A timer runs only while there are counts to log.

    `write`: logs the total and the counts as text.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, write: Callable[[int, str], None]) -> None:
        self._loop, self._write = loop, write
        self._counts: Counter[str] = Counter()
        self._timer: asyncio.TimerHandle | None = None

    def count(self, reason: str) -> None:
        """Count one occurrence."""
        self._counts[reason] += 1
        if self._timer is None:
            self._timer = self._loop.call_later(LOG_INTERVAL, self._log)

    def _log(self) -> None:
        self._timer = None
        counts = " ".join(f"{reason}:{count}" for reason, count in sorted(self._counts.items()))
        self._write(self._counts.total(), counts)
        self._counts.clear()

    def close(self) -> None:
        """Log the remaining counts and stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._log()
