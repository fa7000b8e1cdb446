"""Publications at the leader: gathered into batches, answered when they are committed.  Pure.

Bounded by their number, so also by bytes (`messages.BATCH_BYTES` each).  A batch holds whole
publications.  The positions of the last committed ones are remembered by their ids, so that a
caller who did not get the answer is told the same when it asks again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import inf
from typing import Any

from .actions import MachineSettings
from .messages import (
    BATCH_BYTES,
    RECORDS_PER_BATCH,
    Publish,
    Published,
    PublishStatus,
    Record,
)
from .outbox import Outbox

MAX_REMEMBERED_IDS = 8192  # committed publications
RECORD_OVERHEAD = 8  # bytes of a record's encoding beside its key and body


@dataclass(slots=True)
class _Pending:
    """A publication that is not committed.  `ticket`: None if its caller has gone."""

    ticket: int | None
    publish: Publish
    size: int
    position: int = 0  # of its batch; 0: not appended yet


def _size(records: tuple[Record, ...]) -> int:
    return sum(len(record.key.encode()) + len(record.body) + RECORD_OVERHEAD for record in records)


class Publications:
    """Those of one term."""

    __slots__ = (
        "_batch_s",
        "_committed",
        "_due_at",
        "_fence",
        "_most",
        "_outbox",
        "_pending",
    )

    def __init__(self, settings: MachineSettings, fence: int, outbox: Outbox) -> None:
        self._batch_s = settings.batch_s
        self._most = settings.max_publications
        self._fence = fence
        self._outbox = outbox
        self._pending: OrderedDict[str, _Pending] = OrderedDict()  # by id, in order of arrival
        self._committed: OrderedDict[str, int] = OrderedDict()  # id: position
        self._due_at = inf

    @property
    def next_at(self) -> float:
        """When the next batch is due."""
        return self._due_at

    def offered(self, now: float, ticket: int, publish: Publish) -> bool:
        """A publication came in; whether it is new and will be appended.

        It is answered when it is committed; others are answered now.
        """
        if publish.id in self._committed:
            self._answer(ticket, PublishStatus.COMMITTED, self._committed[publish.id])
        elif publish.id in self._pending:
            self._replace_caller(self._pending[publish.id], ticket)
        elif len(publish.records) > RECORDS_PER_BATCH or _size(publish.records) > BATCH_BYTES:
            self._answer(ticket, PublishStatus.TOO_LARGE)
        elif len(self._pending) >= self._most:
            self._answer(ticket, PublishStatus.OVERLOADED)
        else:
            self._pending[publish.id] = _Pending(ticket, publish, _size(publish.records))
            self._due_at = min(self._due_at, now + self._batch_s)
            return True
        return False

    def _replace_caller(self, pending: _Pending, ticket: int) -> None:
        if pending.ticket is not None:
            self._answer(pending.ticket, PublishStatus.UNKNOWN)
        pending.ticket = ticket

    def next_batch(self, now: float, position: int) -> tuple[Record, ...] | None:
        """The records to append at `position`, or None: no batch is due."""
        if now < self._due_at:
            return None
        chosen = self._choose()
        for pending in chosen:
            pending.position = position
        left = any(pending.position == 0 for pending in self._pending.values())
        self._due_at = now if left else inf
        return tuple(record for pending in chosen for record in pending.publish.records)

    def _choose(self) -> list[_Pending]:
        chosen: list[_Pending] = []
        count = size = 0
        for pending in self._pending.values():
            if pending.position:
                continue
            count += len(pending.publish.records)
            size += pending.size
            if chosen and (count > RECORDS_PER_BATCH or size > BATCH_BYTES):
                break
            chosen.append(pending)
        return chosen

    def committed(self, position: int) -> None:
        """Everything up to `position` is committed."""
        done = [each for each in self._pending.values() if 0 < each.position <= position]
        for pending in done:
            del self._pending[pending.publish.id]
            self._committed[pending.publish.id] = pending.position
            if pending.ticket is not None:
                self._answer(pending.ticket, PublishStatus.COMMITTED, pending.position)
        while len(self._committed) > MAX_REMEMBERED_IDS:
            self._committed.popitem(last=False)

    def abandoned(self, ticket: int) -> None:
        """The caller has gone; what it published stays."""
        for pending in self._pending.values():
            if pending.ticket == ticket:
                pending.ticket = None

    def end(self) -> None:
        """The term is over: what was appended may or may not be committed by the next leader."""
        for pending in self._pending.values():
            status = PublishStatus.UNKNOWN if pending.position else PublishStatus.NOT_LEADER
            if pending.ticket is not None:
                self._answer(pending.ticket, status)
        self._pending.clear()

    def _answer(self, ticket: int, status: PublishStatus, position: int = 0) -> None:
        retry_ms = self._batch_s * 1000 if status == PublishStatus.OVERLOADED else 0.0
        self._outbox.answer(ticket, Published(status, position, self._fence, retry_ms=retry_ms))

    # --- for the checker ---
    def key(self, now: float) -> tuple[Any, ...]:
        """All that what follows depends on."""
        pending = tuple((name, each.ticket, each.position) for name, each in self._pending.items())
        due = max(0.0, round(self._due_at - now, 6))
        return (pending, tuple(self._committed.items()), due)
