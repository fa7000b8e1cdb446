"""The log of one control machine: promise, batches, commit, and what is dropped.  Pure.

Every change of what is stored is returned as a `Change`, so that memory and disk take the same
steps.  Memory runs ahead of the disk; `durable` says how far the disk is known to be.

- A promise only rises.  Under one fence there is one leader.
- A committed batch is never truncated, and only committed ones are dropped from the front.
- Batches are kept as bytes, encoded once, because many proxies are sent the same ones.
- A commit costs O(what it commits): sizes are kept as running totals, and the configuration that a
  snapshot names as of the commit.  Only `retain` and `install` look at more of the log.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Any

import msgspec

from .actions import (
    AppendBatches,
    Change,
    SetBase,
    SetPromise,
    SetRecovering,
    Stored,
    TruncateAfter,
)
from .committed_configuration import CommittedConfiguration
from .configuration_sizes import ConfigurationSizes
from .messages import BATCHES_PER_REPLY, Batch, LogPoint, Record, Snapshot, Topic

REPLY_BYTES = 2 * 1024 * 1024  # bytes of batches of one reply; at least one batch is sent


class LogConflict(Exception):
    """A change that would touch what is committed.  Nothing was changed."""


@dataclass(frozen=True, slots=True)
class _Entry:
    """One batch as it is kept."""

    fence: int
    written_ms: int
    raw: msgspec.Raw
    size: int
    end: int  # bytes of this batch and all before it, since the process began or took a snapshot
    configuration: tuple[Record, ...]  # its records of that topic, for snapshots

    def __deepcopy__(self, memo: object) -> _Entry:
        return self


def _entry(batch: Batch, begin: int) -> _Entry:
    encoded = msgspec.msgpack.encode(batch)
    size = len(encoded)
    configuration = tuple(each for each in batch.records if each.topic == Topic.CONFIGURATION)
    raw = msgspec.Raw(encoded)
    return _Entry(batch.fence, batch.written_ms, raw, size, begin + size, configuration)


class Replica:
    """One machine's copy of the log, and what it has promised."""

    __slots__ = (
        "_begin",
        "_committed_configuration",
        "_configuration",
        "_entries",
        "_snapshot",
        "_unsynced",
        "commit",
        "durable",
        "fence",
        "leader",
        "log",
        "recovering",
    )

    def __init__(self, stored: Stored) -> None:
        self.log = stored.log
        self.fence = stored.fence
        self.leader = stored.leader
        self.recovering = stored.recovering
        self._snapshot = stored.snapshot
        self._begin = 0  # bytes of all batches up to the base, as in `_Entry.end`
        self._entries: list[_Entry] = []
        self._add_entries(stored.batches)
        self._committed_configuration = CommittedConfiguration(stored.snapshot.configuration)
        self._configuration = ConfigurationSizes()
        self._configuration.add(stored.snapshot.configuration)
        for batch in stored.batches:
            self._configuration.add(batch.records)
        self.commit = stored.snapshot.base.position
        self.durable = self.last.position
        self._unsynced: dict[int, int] = {}  # ticket of a persist: last position when it is done

    # --- the promise ---
    def may_promise(self, fence: int, leader: str) -> bool:
        """Whether no higher fence, and under this fence no other leader, has been promised."""
        if fence == self.fence:
            return self.leader in ("", leader)
        return fence > self.fence

    def promise(self, fence: int, leader: str) -> tuple[Change, ...]:
        """Follow no lower fence from now on.  Empty if just that is promised already."""
        if not self.may_promise(fence, leader):
            raise LogConflict(f"fence {self.fence} of {self.leader!r} is promised")
        if (fence, leader) == (self.fence, self.leader):
            return ()
        self.fence, self.leader = fence, leader
        return (SetPromise(fence, leader),)

    def recovered(self) -> tuple[Change, ...]:
        """What a lost disk held has been recovered."""
        self.recovering = False
        return (SetRecovering(False),)

    # --- what is on disk ---
    def persisting(self, ticket: int) -> None:
        """All changes so far are on their way to the disk under this ticket."""
        self._unsynced[ticket] = self.last.position

    def persisted(self, ticket: int) -> None:
        """All changes up to this ticket's are durable."""
        for earlier in [each for each in self._unsynced if each <= ticket]:
            self.durable = self._unsynced.pop(earlier)

    @property
    def settled(self) -> bool:
        """Whether everything that is in memory is durable."""
        return not self._unsynced

    # --- reading ---
    @property
    def base(self) -> LogPoint:
        """The last point that is not kept as a batch; (0, 0) if none was dropped."""
        return self._snapshot.base

    @property
    def last(self) -> LogPoint:
        """The end of the log."""
        if not self._entries:
            return self.base
        return LogPoint(self._entries[-1].fence, self.base.position + len(self._entries))

    def snapshot(self) -> Snapshot:
        """What stands in for everything up to `base`."""
        return self._snapshot

    def snapshot_at_commit(self) -> Snapshot:
        """What stands in for everything that is committed."""
        fence = self.fence_at(self.commit)
        assert fence is not None  # the commit is never before the base or beyond the end
        base = LogPoint(fence, self.commit)
        return Snapshot(base, self._committed_configuration.records)

    def bytes_after(self, position: int) -> int | None:
        """Bytes of the committed batches behind `position`; None: they are not all kept."""
        if position < self.base.position:
            return None
        return max(0, self._bytes_up_to(self.commit) - self._bytes_up_to(position))

    def _bytes_up_to(self, position: int) -> int:
        """As in `_Entry.end`; a position beyond the end counts as the end."""
        kept = min(position - self.base.position, len(self._entries))
        return self._entries[kept - 1].end if kept else self._begin

    def fence_at(self, position: int) -> int | None:
        """The fence of the batch there; None if it is not known (dropped, or beyond the end)."""
        if position == self.base.position:
            return self.base.fence
        if not self.base.position < position <= self.last.position:
            return None
        return self._at(position).fence

    def has(self, point: LogPoint) -> bool:
        """Whether the point is in the log.  False for what was dropped."""
        return self.fence_at(point.position) == point.fence

    def after(self, position: int, max_bytes: int) -> list[msgspec.Raw] | None:
        """Committed batches behind `position`, at least one if there is one; None: not kept."""
        return self._after(position, self.commit, max_bytes)

    def batches_after(self, position: int, max_bytes: int = REPLY_BYTES) -> list[Batch] | None:
        """Batches behind `position`, whether committed or not; None: not kept."""
        found = self._after(position, self.last.position, max_bytes)
        return None if found is None else [_decode(raw) for raw in found]

    def _after(self, position: int, end: int, max_bytes: int) -> list[msgspec.Raw] | None:
        if position < self.base.position:
            return None
        found: list[msgspec.Raw] = []
        size = 0
        for at in range(position + 1, min(end, position + BATCHES_PER_REPLY) + 1):
            entry = self._at(at)
            size += entry.size
            if found and size > max_bytes:
                break
            found.append(entry.raw)
        return found

    def _at(self, position: int) -> _Entry:
        return self._entries[position - self.base.position - 1]

    def common_end(self, point: LogPoint) -> int | None:
        """The highest position at which a log that ends with `point` may be equal to this one.

        For a point that is not in this log.  Fences never fall along a log, so such a log's batches
        are another's wherever this log has a higher fence than the point's.  None: it is dropped.
        """
        candidates = min(point.position - 1, self.last.position) - self.base.position
        if candidates < 0 or self.base.fence > point.fence:
            return None
        not_higher = bisect_right(
            self._entries, point.fence, hi=candidates, key=lambda entry: entry.fence
        )
        return self.base.position + not_higher

    def fits(self, records: tuple[Record, ...]) -> bool:
        """Whether a snapshot can hold the configuration of the log and of these records."""
        return self._configuration.fits(records)

    def reserve(self, records: tuple[Record, ...]) -> None:
        """These will be appended: `fits` counts them from now on."""
        self._configuration.add(records)

    # --- changing ---
    def append(self, batches: Iterable[Batch]) -> tuple[Change, ...]:
        """Batches that follow the end.  LogConflict if they don't."""
        added = tuple(batches)
        end = self.last
        for batch in added:
            if batch.position != end.position + 1 or not end.fence <= batch.fence <= self.fence:
                raise LogConflict(f"{batch.point} does not follow {end}")
            end = batch.point
        if not added:
            return ()
        for batch in added:
            self._configuration.add(batch.records)
        self._add_entries(added)
        return (AppendBatches(added),)

    def _add_entries(self, batches: Iterable[Batch]) -> None:
        end = self._entries[-1].end if self._entries else self._begin
        for batch in batches:
            entry = _entry(batch, end)
            self._entries.append(entry)
            end = entry.end

    def truncate_after(self, position: int) -> tuple[Change, ...]:
        """Drop what is behind `position`.  LogConflict if some of it is committed."""
        if position < self.commit:
            raise LogConflict(f"{position} is before the commit {self.commit}")
        if position >= self.last.position:
            return ()
        del self._entries[position - self.base.position :]
        self.durable = min(self.durable, position)
        for ticket, end in self._unsynced.items():
            self._unsynced[ticket] = min(end, position)
        return (TruncateAfter(position),)

    def install(self, snapshot: Snapshot) -> tuple[Change, ...]:
        """Start from a snapshot whose base is beyond what this log has in common with its sender's.

        LogConflict if it does not reach beyond what is committed here.
        """
        if snapshot.base.position <= self.commit:
            raise LogConflict(f"snapshot of {snapshot.base} is before the commit {self.commit}")
        changes = self.truncate_after(self.commit)
        self._entries.clear()
        self._begin = 0
        self._snapshot = snapshot
        self._committed_configuration = CommittedConfiguration(snapshot.configuration)
        self._configuration.add(snapshot.configuration)
        self.commit = snapshot.base.position
        return (*changes, SetBase(snapshot))

    def commit_to(self, position: int) -> bool:
        """Everything up to `position` is committed; whether that is news."""
        if position <= self.commit:
            return False
        if position > self.last.position:
            raise LogConflict(f"commit {position} is beyond the end {self.last}")
        for at in range(self.commit + 1, position + 1):
            self._committed_configuration.committed(self._at(at).configuration)
        self.commit = position
        return True

    def retain(self, oldest_ms: float, max_bytes: int) -> tuple[Change, ...]:
        """Drop committed batches that were written before `oldest_ms` or exceed `max_bytes`."""
        end = self._bytes_up_to(self.last.position)
        begin = self._begin
        drop = 0
        for entry in islice(self._entries, self.commit - self.base.position):
            if entry.written_ms >= oldest_ms and end - begin <= max_bytes:
                break
            begin = entry.end
            drop += 1
        if not drop:
            return ()
        self._snapshot = self._folded(drop)
        del self._entries[:drop]
        self._begin = begin
        return (SetBase(self._snapshot),)

    def _folded(self, drop: int) -> Snapshot:
        """The snapshot after the first `drop` batches, one at least."""
        configuration = {record.key: record for record in self._snapshot.configuration}
        for entry in islice(self._entries, drop):
            configuration.update((record.key, record) for record in entry.configuration)
        base = LogPoint(self._entries[drop - 1].fence, self.base.position + drop)
        return Snapshot(base, tuple(configuration.values()))

    # --- for the checker ---
    def key(self) -> tuple[Any, ...]:
        """All that what follows depends on."""
        batches = tuple(bytes(entry.raw) for entry in self._entries)
        promise = (self.fence, self.leader, self.recovering)
        unsynced = tuple(self._unsynced.values())
        return (promise, self.base, batches, self.commit, self.durable, unsynced)


def _decode(raw: msgspec.Raw) -> Batch:
    return msgspec.msgpack.decode(raw, type=Batch)
