"""An event loop whose clock stands still until it is released.

A process that hosts hundreds of proxies takes seconds to make them. Timers that they set meanwhile
would all be due at once. While the clock is held, all of them start at one and the same time.
"""

from __future__ import annotations

import asyncio
import time


class HeldLoop(asyncio.SelectorEventLoop):
    """Starts held.  Its time is CLOCK_MONOTONIC less `behind_s`."""

    def __init__(self) -> None:
        self.behind_s = 0.0  # how far its clock is behind CLOCK_MONOTONIC; constant once released
        self._held_at: float | None = time.monotonic()
        super().__init__()

    def time(self) -> float:
        """Seconds; never falls."""
        if self._held_at is not None:
            return self._held_at
        return super().time() - self.behind_s

    def release(self) -> None:
        """The clock goes on from where it was held."""
        if self._held_at is not None:
            self.behind_s = super().time() - self._held_at
            self._held_at = None
