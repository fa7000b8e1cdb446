"""Logs which resource of the client connections is used up, and who holds it."""

from __future__ import annotations

from collections.abc import Sized
from dataclasses import dataclass

from violetroute import logs

from .budget import Budget
from .turn_share import TurnShare

MIN_WAITS = 100  # slices awaited since the last line from which they are logged


@dataclass(slots=True)
class ShortageLog:
    """Counts what gave way since the last log lines."""

    budget: Budget
    turn_share: TurnShare
    evicted: int = 0  # connections that gave up their slot
    reclaimed: int = 0  # partial commands that lost their memory, up to the last line
    waits: int = 0  # slices that connections have awaited, up to the last line

    def write(self, idle: Sized, partial: Sized, serving: Sized) -> None:
        """Log a lack of slots or memory, if there was one since the last call.

        `idle`, `partial`, `serving`: the connections in these states.
        """
        self._write_memory()
        self._write_turns()
        if self.evicted:
            logs.event(
                "clients.slots_full",
                evicted=self.evicted,
                idle=len(idle),
                partial=len(partial),
                serving=len(serving),
            )
            self.evicted = 0

    def _write_turns(self) -> None:
        waits = self.turn_share.waits - self.waits
        self.waits = self.turn_share.waits
        if waits >= MIN_WAITS:
            logs.event("clients.many_commands", slices=waits, waiting=self.turn_share.waiting)

    def _write_memory(self) -> None:
        budget = self.budget
        reclaimed = budget.reclaimed - self.reclaimed
        if not (budget.full or budget.waiting or reclaimed):
            return
        self.reclaimed = budget.reclaimed
        logs.event(
            "clients.memory_full", used=budget.used, waiting=budget.waiting, reclaimed=reclaimed
        )
