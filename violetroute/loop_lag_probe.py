"""Wakes the loop at short intervals while requests are open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sized

PULSE = 0.05  # s; the longest the loop sleeps while requests are open


class LoopLagProbe:
    """Calls `beat` every PULSE seconds, so that a pause of the process shows by a late wake-up."""

    __slots__ = ("_beat", "_loop", "_open", "_timer", "beats")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, open_requests: Sized, beat: Callable[[], None]
    ) -> None:
        self._loop, self._open, self._beat = loop, open_requests, beat
        self._timer: asyncio.TimerHandle | None = None
        self.beats = False  # an attribute and no property: it is read for each request

    def start(self) -> None:
        """Beat until no request is open; not to be called while it beats."""
        self.beats = True
        self._timer = self._loop.call_later(PULSE, self._due)

    def _due(self) -> None:
        self._beat()
        if self._open:
            self._timer = self._loop.call_later(PULSE, self._due)
        else:
            self.beats = False

    def close(self) -> None:
        """Beat no more."""
        if self._timer is not None:
            self._timer.cancel()
