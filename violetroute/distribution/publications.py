"""Publications at the leader: combined into batches, answered on commit.  No I/O.

Pending publications are bounded in number, and so in bytes (`messages.BATCH_BYTES` each).  A
publication is never split across batches.  The ids and positions of recently committed
publications are kept, so that a retry after a lost answer gets the same result.
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

MAX_REMEMBERED_IDS = 8192  # ids of committed publications, for retries
RECORD_OVERHEAD = 8  # bytes of an encoded record besides its key and body


@dataclass(slots=True)
class _Pending:
    """An uncommitted publication.  `ticket` is None after the caller disconnected."""

    ticket: int | None
    publish: Publish
    size: int
    position: int = 0  # position of its batch; 0: not appended yet


def _size(records: tuple[Record, ...]) -> int:
    return sum(len(record.key.encode()) + len(record.body) + RECORD_OVERHEAD for record in records)


class Publications:
    """The publications of one term."""

    __slots__ = (
        "_batch_s",
        "_committed",
        "_due_at",
        "_fence",
        "_max_pending",
        "_outbox",
        "_pending",
    )

    def __init__(self, settings: MachineSettings, fence: int, outbox: Outbox) -> None:
        self._batch_s = settings.batch_s
        self._max_pending = settings.max_publications
        self._fence = fence
        self._outbox = outbox
        # By publication id, in order of arrival.
        self._pending: OrderedDict[str, _Pending] = OrderedDict()
        self._committed: OrderedDict[str, int] = OrderedDict()  # publication id -> position
        self._due_at = inf

    @property
    def next_at(self) -> float:
        """Time at which the next batch is due; infinite if there is none."""
        return self._due_at

    def submit(self, now: float, ticket: int, publish: Publish) -> bool:
        """Queues a new publication; returns False if it is a retry or is rejected.

        A queued publication, or the retry of one, is answered on commit.  A retry replaces the
        earlier caller, who is answered UNKNOWN.  All others are answered immediately.
        """
        if publish.id in self._committed:
            self._answer(ticket, PublishStatus.COMMITTED, self._committed[publish.id])
        elif publish.id in self._pending:
            self._replace_caller(self._pending[publish.id], ticket)
        elif len(publish.records) > RECORDS_PER_BATCH or _size(publish.records) > BATCH_BYTES:
            self._answer(ticket, PublishStatus.TOO_LARGE)
        elif len(self._pending) >= self._max_pending:
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
        """Returns the records to append at `position`; None if no batch is due."""
        if now < self._due_at:
            return None
        chosen = self._select_publications()
        for pending in chosen:
            pending.position = position
        remaining = any(pending.position == 0 for pending in self._pending.values())
        self._due_at = now if remaining else inf
        return tuple(record for pending in chosen for record in pending.publish.records)

    def _select_publications(self) -> list[_Pending]:
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
        """Answers the publications that are committed at or before `position`."""
        done = [each for each in self._pending.values() if 0 < each.position <= position]
        for pending in done:
            del self._pending[pending.publish.id]
            self._committed[pending.publish.id] = pending.position
            if pending.ticket is not None:
                self._answer(pending.ticket, PublishStatus.COMMITTED, pending.position)
        while len(self._committed) > MAX_REMEMBERED_IDS:
            self._committed.popitem(last=False)

    def abandoned(self, ticket: int) -> None:
        """Drops a disconnected caller; its publication stays queued."""
        for pending in self._pending.values():
            if pending.ticket == ticket:
                pending.ticket = None

    def end(self) -> None:
        """Ends the term.  Appended publications are UNKNOWN: the next leader may commit them."""
        for pending in self._pending.values():
            status = PublishStatus.UNKNOWN if pending.position else PublishStatus.NOT_LEADER
            if pending.ticket is not None:
                self._answer(pending.ticket, status)
        self._pending.clear()

    def _answer(self, ticket: int, status: PublishStatus, position: int = 0) -> None:
        retry_ms = self._batch_s * 1000 if status == PublishStatus.OVERLOADED else 0.0
        self._outbox.answer(ticket, Published(status, position, self._fence, retry_ms=retry_ms))

    # --- for state space exploration ---
    def key(self, now: float) -> tuple[Any, ...]:
        """Returns all state that affects later behavior, with times relative to `now`."""
        pending = tuple((name, each.ticket, each.position) for name, each in self._pending.items())
        due = max(0.0, round(self._due_at - now, 6))
        return (pending, tuple(self._committed.items()), due)
