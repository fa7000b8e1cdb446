"""One thread beside the loop that does what blocks, one job at a time."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import Protocol, TypeVar

T = TypeVar("T")
Job = Callable[[], T]
Told = Callable[[T | None, BaseException | None], None]


class Writer(Protocol):
    """Does a job elsewhere and tells the loop what came of it.  One at a time is the caller's."""

    def submit(self, job: Job[T], told: Told[T]) -> None: ...

    def close(self, wait_s: float) -> None:
        """No job is begun any more; waits so long for the one under way."""


class ThreadWriter:
    """A daemon thread: one that hangs in a write keeps no process from ending."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="writer", daemon=True)
        self._thread.start()

    def submit(self, job: Job[T], told: Told[T]) -> None:
        def work() -> None:
            result: T | None = None
            failure: BaseException | None = None
            try:
                result = job()
            except Exception as error:  # also of ours: it is told, and the thread lives
                failure = error
            with contextlib.suppress(RuntimeError):  # the loop has ended
                self._loop.call_soon_threadsafe(told, result, failure)

        self._jobs.put(work)

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()

    def close(self, wait_s: float) -> None:
        self._jobs.put(None)
        self._thread.join(wait_s)
