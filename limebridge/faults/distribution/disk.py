"""The disk of a simulated control machine: what is stored, and what a crash loses.

Writes are stored one after another, each some time after it was asked for.  At a crash a random
number of the first ones that are under way is stored, and of the next one perhaps a part.
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

LATENCY = (0.001, 0.02)  # s of one write
SLOW_SHARE = 0.03  # share of writes that take up to SLOW_S
SLOW_S = 0.4


class InvalidWriteError(Exception):
    """A change that does not fit what is stored: batches that do not follow the log's end."""


class DiskState:
    """What is stored durably."""

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
        """Store one change.  Raises WrongWrite."""
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
        dropped = snapshot.base.position - self.base
        if dropped < 0:
            raise InvalidWriteError(f"the base falls from {self.base} to {snapshot.base.position}")
        self.batches = self.batches[dropped:]
        self.snapshot = snapshot

    def stored(self) -> Stored:
        """What a process that starts now finds."""
        return Stored(
            self.log,
            self.fence,
            self.leader,
            self.snapshot,
            tuple(self.batches),
            self.recovering,
        )

    def entry_at(self, position: int) -> LogEntry | None:
        """None: the position is in the snapshot.  Nothing there at all: no keys, fence 0."""
        if position <= self.base:
            return None
        if position > self.last:
            return LogEntry(position, 0, ())
        return log_entry(self.batches[position - self.base - 1])


def torn_change(change: Change) -> Change:
    """What a crash in the middle of this change may leave: the first of several batches."""
    if isinstance(change, AppendBatches):
        return AppendBatches(change.batches[:1])
    return change


def log_entry(batch: Batch) -> LogEntry:
    """A batch as the judge compares it."""
    return LogEntry(batch.position, batch.fence, tuple(record.key for record in batch.records))


class Disk:
    """Takes writes and says when each is durable."""

    def __init__(self, simulation: Simulation, rng: random.Random, log: str) -> None:
        self._simulation, self._rng = simulation, rng
        self.state = DiskState(log)
        self._writing: deque[Persist] = deque()
        self._free_at = 0.0
        self._incarnation_number = 0  # writes of a process that has ended are void

    @property
    def writing(self) -> int:
        """Writes under way."""
        return len(self._writing)

    def write(self, persist: Persist, done: Callable[[], None]) -> None:
        """Store the changes some time from now, after those that were asked for before."""
        self._writing.append(persist)
        slow = self._rng.random() < SLOW_SHARE
        latency = SLOW_S * self._rng.random() if slow else self._rng.uniform(*LATENCY)
        self._free_at = max(self._free_at, self._simulation.now) + latency
        incarnation_number = self._incarnation_number
        self._simulation.at(self._free_at, lambda: self._store(incarnation_number, done))

    def _store(self, incarnation_number: int, done: Callable[[], None]) -> None:
        if incarnation_number != self._incarnation_number:
            return
        for change in self._writing.popleft().changes:
            self.state.apply(change)
        done()

    def crash(self) -> None:
        """The process ends: some of what was under way is stored, in order."""
        self._incarnation_number += 1
        self._free_at = self._simulation.now
        survive = self._rng.randint(0, len(self._writing))
        changes = [change for each in list(self._writing)[:survive] for change in each.changes]
        if survive < len(self._writing):
            torn = self._writing[survive].changes
            whole = self._rng.randint(0, len(torn))
            changes += torn[:whole]
            changes += [
                torn_change(change) for change in torn[whole : whole + self._rng.randint(0, 1)]
            ]
        self._writing.clear()
        for change in changes:
            self.state.apply(change)

    def lose(self) -> None:
        """Everything is gone; what stands there now is the operator's replacement."""
        self._incarnation_number += 1
        self._writing.clear()
        self.state = DiskState(self.state.log, recovering=True)
