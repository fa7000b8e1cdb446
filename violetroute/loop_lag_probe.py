"""Wakes the event loop at short intervals while requests are open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sized

WAKE_INTERVAL = 0.05  # s; the longest the loop sleeps while requests are open


class LoopLagProbe:
    """Calls `on_wake` every WAKE_INTERVAL, so that a late wake-up reveals a process pause."""

    __slots__ = ("_loop", "_on_wake", "_open", "_timer", "running")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, open_requests: Sized, on_wake: Callable[[], None]
    ) -> None:
        self._loop, self._open, self._on_wake = loop, open_requests, on_wake
        self._timer: asyncio.TimerHandle | None = None
        self.running = False  # not a property, since each request reads it

    def start(self) -> None:
        """Run until no request is open.  Must not be called while it is running."""
        self.running = True
        self._timer = self._loop.call_later(WAKE_INTERVAL, self._due)

    def _due(self) -> None:
        self._on_wake()
        if self._open:
            self._timer = self._loop.call_later(WAKE_INTERVAL, self._due)
        else:
            self.running = False

    def close(self) -> None:
        """Stop waking the loop."""
        if self._timer is not None:
            self._timer.cancel()
