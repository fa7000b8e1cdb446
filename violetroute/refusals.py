"""Counts why requests were not served, and tells the log once a second while there are any."""

from __future__ import annotations

import asyncio
from collections import Counter

from . import logs

EVERY = 1.0  # s between two lines


class Refusals:
    """Owned by the proxy.  One timer while something is counted; `close` ends it.

    Reasons: those of `snowstall.Reason`; `budget`, a part's limit; `own_load`, a command that this
    process has read too late to serve it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._counts: Counter[str] = Counter()
        self._timer: asyncio.TimerHandle | None = None

    def count(self, reason: str) -> None:
        """One request was refused or failed."""
        self._counts[reason] += 1
        if self._timer is None:
            self._timer = self._loop.call_later(EVERY, self._tell)

    def _tell(self) -> None:
        self._timer = None
        counts = " ".join(f"{reason}:{count}" for reason, count in sorted(self._counts.items()))
        logs.event("requests.refused", count=self._counts.total(), reasons=counts)
        self._counts.clear()

    def close(self) -> None:
        """Tell what is counted, and no more after that."""
        if self._timer is not None:
            self._timer.cancel()
            self._tell()
