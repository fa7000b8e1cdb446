"""Counts unserved requests by reason and logs the counts at most once a second."""

from __future__ import annotations

import asyncio
from collections import Counter

from . import logs

LOG_INTERVAL = 1.0  # s between log lines


class RefusalCounter:
    """Counters by reason.  A timer runs only while there are counts to log.

    Reasons are the values of `snowstall.Reason`, `budget` (the admission check of a subsystem) and
    `own_load` (a command that this process read too late to serve).
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._counts: Counter[str] = Counter()
        self._timer: asyncio.TimerHandle | None = None

    def count(self, reason: str) -> None:
        """Count one refused or failed request."""
        self._counts[reason] += 1
        if self._timer is None:
            self._timer = self._loop.call_later(LOG_INTERVAL, self._log)

    def _log(self) -> None:
        self._timer = None
        counts = " ".join(f"{reason}:{count}" for reason, count in sorted(self._counts.items()))
        logs.event("requests.refused", count=self._counts.total(), reasons=counts)
        self._counts.clear()

    def close(self) -> None:
        """Log the remaining counts and stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._log()
