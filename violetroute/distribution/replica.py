"""In-memory replica of the log: promise, batches, commit position and retention.  No I/O.

Every modification of stored state is returned as `Change` objects, so that the disk applies the
same steps.  Memory runs ahead of the disk; `durable` is the last position known to be on disk.

- The promised fence never decreases.  Each fence has at most one leader.
- Committed batches are never truncated; retention drops only committed batches, oldest first.
- Batches are stored in encoded form, because the same bytes are sent to many proxies.
- A commit costs O(committed batches): sizes are running totals, and the configuration for
  snapshots at the commit position is updated incrementally.  Only `retain` and `install` process
  more of the log.
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

REPLY_BYTES = 2 * 1024 * 1024  # bytes of batches per reply; a reply has at least one batch


class LogConflict(Exception):
    """A change that contradicts the log or its committed part.  Raised before any modification."""


@dataclass(frozen=True, slots=True)
class _Entry:
    """One batch of the log in encoded form."""

    fence: int
    written_ms: int
    raw: msgspec.Raw
    size: int
    end: int  # total bytes up to and including this batch, since the start or the last `install`
    configuration: tuple[Record, ...]  # the configuration records, for snapshots

    def __deepcopy__(self, memo: object) -> _Entry:
        return self


def _entry(batch: Batch, begin: int) -> _Entry:
    encoded = msgspec.msgpack.encode(batch)
    size = len(encoded)
    configuration = tuple(each for each in batch.records if each.topic == Topic.CONFIGURATION)
    raw = msgspec.Raw(encoded)
    return _Entry(batch.fence, batch.written_ms, raw, size, begin + size, configuration)


class Replica:
    """One machine's copy of the log and its promise to a leader."""

    __slots__ = (
        "_base_bytes",
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
        self._base_bytes = 0  # total bytes up to the base, counted as `_Entry.end`
        self._entries: list[_Entry] = []
        self._add_entries(stored.batches)
        self._committed_configuration = CommittedConfiguration(stored.snapshot.configuration)
        self._configuration = ConfigurationSizes()
        self._configuration.add(stored.snapshot.configuration)
        for batch in stored.batches:
            self._configuration.add(batch.records)
        self.commit = stored.snapshot.base.position
        self.durable = self.last.position
        self._unsynced: dict[int, int] = {}  # persist ticket -> durable position after it

    # --- the promise ---
    def may_promise(self, fence: int, leader: str) -> bool:
        """Whether no higher fence, and no other leader with this fence, has been promised."""
        if fence == self.fence:
            return self.leader in ("", leader)
        return fence > self.fence

    def promise(self, fence: int, leader: str) -> tuple[Change, ...]:
        """Promises to follow no leader with a lower fence.  Returns () if already promised.

        Raises LogConflict if `may_promise` is false.
        """
        if not self.may_promise(fence, leader):
            raise LogConflict(f"fence {self.fence} of {self.leader!r} is promised")
        if (fence, leader) == (self.fence, self.leader):
            return ()
        self.fence, self.leader = fence, leader
        return (SetPromise(fence, leader),)

    def finish_recovery(self) -> tuple[Change, ...]:
        """Marks the recovery from a lost disk as complete."""
        self.recovering = False
        return (SetRecovering(False),)

    # --- durability ---
    def persist_started(self, ticket: int) -> None:
        """Records that a write of all changes so far has started under this ticket."""
        self._unsynced[ticket] = self.last.position

    def persisted(self, ticket: int) -> None:
        """Records that all changes up to this ticket are durable."""
        for earlier in [each for each in self._unsynced if each <= ticket]:
            self.durable = self._unsynced.pop(earlier)

    @property
    def synced(self) -> bool:
        """Whether no write is outstanding: the disk equals memory."""
        return not self._unsynced

    # --- reading ---
    @property
    def base(self) -> LogPoint:
        """The last point that the snapshot replaces; (0, 0) if no batch was dropped."""
        return self._snapshot.base

    @property
    def last(self) -> LogPoint:
        """The last point of the log, durable or not."""
        if not self._entries:
            return self.base
        return LogPoint(self._entries[-1].fence, self.base.position + len(self._entries))

    def snapshot(self) -> Snapshot:
        """Returns the snapshot that replaces all batches up to `base`."""
        return self._snapshot

    def snapshot_at_commit(self) -> Snapshot:
        """Returns a snapshot of the log up to the commit position."""
        fence = self.fence_at(self.commit)
        assert fence is not None  # the commit is never before the base or beyond the end
        base = LogPoint(fence, self.commit)
        return Snapshot(base, self._committed_configuration.records)

    def bytes_after(self, position: int) -> int | None:
        """Returns the bytes of committed batches after `position`; None if some were dropped."""
        if position < self.base.position:
            return None
        return max(0, self._bytes_up_to(self.commit) - self._bytes_up_to(position))

    def _bytes_up_to(self, position: int) -> int:
        """Total bytes up to `position`, counted as `_Entry.end`; clamped to the end of the log."""
        kept = min(position - self.base.position, len(self._entries))
        return self._entries[kept - 1].end if kept else self._base_bytes

    def fence_at(self, position: int) -> int | None:
        """Returns the fence of the batch at `position`; None if dropped or beyond the end."""
        if position == self.base.position:
            return self.base.fence
        if not self.base.position < position <= self.last.position:
            return None
        return self._entry_at(position).fence

    def contains(self, point: LogPoint) -> bool:
        """Whether the log holds this point.  False for dropped batches."""
        return self.fence_at(point.position) == point.fence

    def after(self, position: int, max_bytes: int) -> list[msgspec.Raw] | None:
        """Returns encoded committed batches after `position`; None if some were dropped.

        At least one batch is returned if there is one, even if it exceeds `max_bytes`.
        """
        return self._after(position, self.commit, max_bytes)

    def batches_after(self, position: int, max_bytes: int = REPLY_BYTES) -> list[Batch] | None:
        """Returns batches after `position`, committed or not; None if some were dropped."""
        found = self._after(position, self.last.position, max_bytes)
        return None if found is None else [_decode(raw) for raw in found]

    def _after(self, position: int, end: int, max_bytes: int) -> list[msgspec.Raw] | None:
        if position < self.base.position:
            return None
        found: list[msgspec.Raw] = []
        size = 0
        for at in range(position + 1, min(end, position + BATCHES_PER_REPLY) + 1):
            entry = self._entry_at(at)
            size += entry.size
            if found and size > max_bytes:
                break
            found.append(entry.raw)
        return found

    def _entry_at(self, position: int) -> _Entry:
        return self._entries[position - self.base.position - 1]

    def common_prefix_end(self, point: LogPoint) -> int | None:
        """Returns the highest position up to which a log that ends with `point` may equal this one.

        `point` must not be in this log.  Fences never decrease along a log, so the logs differ
        wherever this log's fence exceeds that of `point`.  None if that part was dropped.
        """
        candidates = min(point.position - 1, self.last.position) - self.base.position
        if candidates < 0 or self.base.fence > point.fence:
            return None
        prefix_length = bisect_right(
            self._entries, point.fence, hi=candidates, key=lambda entry: entry.fence
        )
        return self.base.position + prefix_length

    def fits(self, records: tuple[Record, ...]) -> bool:
        """Whether one snapshot can hold the log's configuration together with these records."""
        return self._configuration.fits(records)

    def reserve(self, records: tuple[Record, ...]) -> None:
        """Makes `fits` count these records, which will be appended later."""
        self._configuration.add(records)

    # --- modification ---
    def append(self, batches: Iterable[Batch]) -> tuple[Change, ...]:
        """Appends consecutive batches.  Raises LogConflict if they do not follow the end."""
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
        end = self._entries[-1].end if self._entries else self._base_bytes
        for batch in batches:
            entry = _entry(batch, end)
            self._entries.append(entry)
            end = entry.end

    def truncate_after(self, position: int) -> tuple[Change, ...]:
        """Drops batches after `position`.  Raises LogConflict if one of them is committed."""
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
        """Replaces the log by a snapshot, when the sender no longer has the batches needed here.

        Raises LogConflict if its base is not after the commit position.
        """
        if snapshot.base.position <= self.commit:
            raise LogConflict(f"snapshot of {snapshot.base} is before the commit {self.commit}")
        changes = self.truncate_after(self.commit)
        self._entries.clear()
        self._base_bytes = 0
        self._snapshot = snapshot
        self._committed_configuration = CommittedConfiguration(snapshot.configuration)
        self._configuration.add(snapshot.configuration)
        self.commit = snapshot.base.position
        return (*changes, SetBase(snapshot))

    def commit_to(self, position: int) -> bool:
        """Advances the commit position; returns False if it does not increase.

        Raises LogConflict if `position` is beyond the end of the log.
        """
        if position <= self.commit:
            return False
        if position > self.last.position:
            raise LogConflict(f"commit {position} is beyond the end {self.last}")
        for at in range(self.commit + 1, position + 1):
            self._committed_configuration.committed(self._entry_at(at).configuration)
        self.commit = position
        return True

    def retain(self, oldest_ms: float, max_bytes: int) -> tuple[Change, ...]:
        """Drops the oldest committed batches, if written before `oldest_ms` or over the size limit.

        `max_bytes` limits the total bytes of kept batches.
        """
        end = self._bytes_up_to(self.last.position)
        begin = self._base_bytes
        drop = 0
        for entry in islice(self._entries, self.commit - self.base.position):
            if entry.written_ms >= oldest_ms and end - begin <= max_bytes:
                break
            begin = entry.end
            drop += 1
        if not drop:
            return ()
        self._snapshot = self._merge_into_snapshot(drop)
        del self._entries[:drop]
        self._base_bytes = begin
        return (SetBase(self._snapshot),)

    def _merge_into_snapshot(self, drop: int) -> Snapshot:
        """Returns the snapshot merged with the first `drop` batches (at least one)."""
        configuration = {record.key: record for record in self._snapshot.configuration}
        for entry in islice(self._entries, drop):
            configuration.update((record.key, record) for record in entry.configuration)
        base = LogPoint(self._entries[drop - 1].fence, self.base.position + drop)
        return Snapshot(base, tuple(configuration.values()))

    # --- for state space exploration ---
    def key(self) -> tuple[Any, ...]:
        """Returns all state that affects later behavior."""
        batches = tuple(bytes(entry.raw) for entry in self._entries)
        promise = (self.fence, self.leader, self.recovering)
        unsynced = tuple(self._unsynced.values())
        return (promise, self.base, batches, self.commit, self.durable, unsynced)


def _decode(raw: msgspec.Raw) -> Batch:
    return msgspec.msgpack.decode(raw, type=Batch)
