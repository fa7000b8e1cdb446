"""Logs long iterations of the event loop, and what they were busy with."""

from __future__ import annotations

from collections.abc import Sized

from . import logs
from .transport.loop_lag import Turns


class LongTurnLog:
    """Logs each long iteration with the number of `open_requests`, which had to wait for it."""

    def __init__(self, turns: Turns, open_requests: Sized) -> None:
        self._turns, self._open = turns, open_requests
        self._turn, self._work = 0, ""
        turns.call_on_long_turn(self._was_long)

    def note_work(self, work: str) -> None:
        """Note what this iteration does other than serve requests, for its log line."""
        self._turn, self._work = self._turns.count, work

    def _was_long(self, seconds: float) -> None:
        work = self._work if self._turn == self._turns.count else "requests"
        logs.event("daemon.long_turn", ms=round(seconds * 1e3), doing=work, open=len(self._open))
