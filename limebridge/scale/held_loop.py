"""An event loop whose clock is stopped until it is released.

A process that hosts hundreds of proxies takes seconds to create them.  With a running clock, the
timers that the proxies set meanwhile would all be overdue, and expire at once, when the loop
starts.  While the clock is stopped, all proxies start at the same loop time.
"""

from __future__ import annotations

import asyncio
import time


class HeldLoop(asyncio.SelectorEventLoop):
    """An event loop that starts with a stopped clock.

    After `release` its time is CLOCK_MONOTONIC minus `behind_s`.
    """

    def __init__(self) -> None:
        self.behind_s = 0.0  # CLOCK_MONOTONIC minus the loop's time; constant after `release`
        self._held_at: float | None = time.monotonic()
        super().__init__()

    def time(self) -> float:
        """The loop's time in seconds; constant until `release`, and never decreases."""
        if self._held_at is not None:
            return self._held_at
        return super().time() - self.behind_s

    def release(self) -> None:
        """Start the clock from the time at which it was stopped."""
        if self._held_at is not None:
            self.behind_s = super().time() - self._held_at
            self._held_at = None
