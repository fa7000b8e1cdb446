"""The disk of a simulated control machine: what is stored, and what a crash loses.

Writes become durable in order, each some time after it was issued.  At a crash, a random number of
the oldest pending writes is stored, and possibly a part of the next one.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from violetroute.distribution.actions import (
    AppendBatches,
    Change,
    Persist,
    SetBase,
    SetPromise,
    SetRecovering,
    Stored,
    TruncateAfter,
)
from violetroute.distribution.messages import Batch, LogPoint, Snapshot

from .checker import LogEntry
from .simulation import Simulation

WRITE_LATENCY_S = (0.001, 0.02)  # range for one write
SLOW_WRITE_SHARE = 0.03  # share of the writes that take up to MAX_SLOW_WRITE_S
MAX_SLOW_WRITE_S = 0.4


class InvalidWriteError(Exception):
    """A change that contradicts what is stored.

    A batch that does not follow the end of the log, or a snapshot older than the stored one.
    """


class DiskState:
    """The durable state of a control machine's disk."""

    def __init__(self, log: str, recovering: bool = False) -> None:
        self.log, self.recovering = log, recovering
        self.fence, self.leader = 0, ""
        self.snapshot = Snapshot(LogPoint())
        self.batches: list[Batch] = []

    @property
    def base(self) -> int:
        """The position before the first batch."""
        return self.snapshot.base.position

    @property
    def last(self) -> int:
        """The position of the last batch."""
        return self.base + len(self.batches)

    def apply(self, change: Change) -> None:
        """Stores one change.  Raises InvalidWriteError."""
        match change:
            case SetPromise(fence, leader):
                self.fence, self.leader = fence, leader
            case AppendBatches(batches):
                self._append(batches)
            case TruncateAfter(position):
                del self.batches[max(0, position - self.base) :]
            case SetBase(snapshot):
                self._set_base(snapshot)
            case SetRecovering(recovering):
                self.recovering = recovering

    def _append(self, batches: tuple[Batch, ...]) -> None:
        for batch in batches:
            if batch.position != self.last + 1:
                raise InvalidWriteError(f"{batch.position} is appended after {self.last}")
            self.batches.append(batch)

    def _set_base(self, snapshot: Snapshot) -> None:
        dropped_count = snapshot.base.position - self.base
        if dropped_count < 0:
            raise InvalidWriteError(f"the base falls from {self.base} to {snapshot.base.position}")
        self.batches = self.batches[dropped_count:]
        self.snapshot = snapshot

    def stored(self) -> Stored:
        """The state that a process finds when it starts now."""
        return Stored(
            self.log,
            self.fence,
            self.leader,
            self.snapshot,
            tuple(self.batches),
            self.recovering,
        )

    def entry_at(self, position: int) -> LogEntry | None:
        """The log entry at a position; None if only the snapshot covers it.

        Beyond the end of the log, an entry without keys and with fence 0.
        """
        if position <= self.base:
            return None
        if position > self.last:
            return LogEntry(position, 0, ())
        return log_entry(self.batches[position - self.base - 1])


def torn_change(change: Change) -> Change:
    """What a crash during this change may store: of appended batches only the first."""
    if isinstance(change, AppendBatches):
        return AppendBatches(change.batches[:1])
    return change


def log_entry(batch: Batch) -> LogEntry:
    """A batch in the form that the rule checker compares."""
    return LogEntry(batch.position, batch.fence, tuple(record.key for record in batch.records))


class Disk:
    """Stores writes with a random latency and calls back when each is durable."""

    def __init__(self, simulation: Simulation, rng: random.Random, log: str) -> None:
        self._simulation, self._rng = simulation, rng
        self.state = DiskState(log)
        self._pending_writes: deque[Persist] = deque()
        self._free_at = 0.0
        self._incarnation_number = 0  # pending writes of an earlier process are dropped

    @property
    def pending_writes(self) -> int:
        """The number of writes that are not durable yet."""
        return len(self._pending_writes)

    def write(self, persist: Persist, on_durable: Callable[[], None]) -> None:
        """Stores the changes after a delay and all earlier writes, then calls `on_durable`."""
        self._pending_writes.append(persist)
        slow = self._rng.random() < SLOW_WRITE_SHARE
        latency = (
            MAX_SLOW_WRITE_S * self._rng.random() if slow else self._rng.uniform(*WRITE_LATENCY_S)
        )
        self._free_at = max(self._free_at, self._simulation.now) + latency
        incarnation_number = self._incarnation_number
        self._simulation.schedule_at(
            self._free_at, lambda: self._store(incarnation_number, on_durable)
        )

    def _store(self, incarnation_number: int, on_durable: Callable[[], None]) -> None:
        if incarnation_number != self._incarnation_number:
            return
        for change in self._pending_writes.popleft().changes:
            self.state.apply(change)
        on_durable()

    def crash(self) -> None:
        """Handles the end of the process: some pending writes are stored, in order."""
        self._incarnation_number += 1
        self._free_at = self._simulation.now
        durable_count = self._rng.randint(0, len(self._pending_writes))
        changes = [
            change
            for persist in list(self._pending_writes)[:durable_count]
            for change in persist.changes
        ]
        if durable_count < len(self._pending_writes):
            torn_write = self._pending_writes[durable_count].changes
            durable_changes = self._rng.randint(0, len(torn_write))
            changes += torn_write[:durable_changes]
            changes += [
                torn_change(change)
                for change in torn_write[
                    durable_changes : durable_changes + self._rng.randint(0, 1)
                ]
            ]
        self._pending_writes.clear()
        for change in changes:
            self.state.apply(change)

    def lose(self) -> None:
        """Loses everything; the disk is now the operator's empty replacement, in recovery."""
        self._incarnation_number += 1
        self._pending_writes.clear()
        self.state = DiskState(self.state.log, recovering=True)
