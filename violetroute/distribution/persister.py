"""Stores a machine's changes in order on a writer thread; one fsync per group (group commit)."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import chain

from violetroute.error_text import one_line
from violetroute.transport.writer import Writer

from .actions import Persist
from .storage import Storage

GROUP_MAX = 16  # `Persist` actions per write; each has at most the bytes of one message
CLOSE_WAIT_S = 2.0  # maximum wait for a running write at close


class Persister:
    """Writes `Persist` actions to the storage in order.

    Calls `persisted` with each ticket once it is durable, and `failed` once with the reason when a
    write fails.  Both run on the event loop.  After a failure nothing is written or reported any
    more; the process must end.
    """

    def __init__(
        self,
        storage: Storage,
        writer: Writer,
        persisted: Callable[[int], None],
        failed: Callable[[str], None],
    ) -> None:
        self._storage, self._writer = storage, writer
        self._persisted, self._failed = persisted, failed
        self._waiting: deque[Persist] = deque()
        self._busy = False
        self._ended = False

    def submit(self, persist: Persist) -> None:
        """Queues the changes behind those submitted before."""
        self._waiting.append(persist)
        self._write_next()

    def close(self) -> None:
        """Stops callbacks and waits up to `CLOSE_WAIT_S` for a running write."""
        self._ended = True
        self._writer.close(CLOSE_WAIT_S)

    def _write_next(self) -> None:
        if self._busy or self._ended or not self._waiting:
            return
        self._busy = True
        group = [self._waiting.popleft() for _ in range(min(GROUP_MAX, len(self._waiting)))]
        changes = list(chain.from_iterable(persist.changes for persist in group))
        tickets = [persist.ticket for persist in group]
        self._writer.submit(
            lambda: self._storage.write(changes),
            lambda _, error: self._written(tickets, error),
        )

    def _written(self, tickets: list[int], error: BaseException | None) -> None:
        if self._ended:
            return
        self._busy = False
        if error is not None:
            self._ended = True
            self._failed(one_line(error))
            return
        for ticket in tickets:
            self._persisted(ticket)
        self._write_next()
