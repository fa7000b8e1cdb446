"""A thread for blocking work, such as file writes, which runs one job at a time."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import Protocol, TypeVar

T = TypeVar("T")
Job = Callable[[], T]
JobCallback = Callable[[T | None, BaseException | None], None]


class Writer(Protocol):
    """Runs blocking jobs off the event loop.  The caller submits one job at a time."""

    def submit(self, job: Job[T], callback: JobCallback[T]) -> None:
        """Run the job, then call `callback` on the event loop with its result or exception."""
        ...

    def close(self, wait_s: float) -> None:
        """Start no further job; wait up to `wait_s` seconds for the current one."""


class ThreadWriter:
    """Runs jobs in a daemon thread, so that a hanging write does not keep the process alive."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="writer", daemon=True)
        self._thread.start()

    def submit(self, job: Job[T], callback: JobCallback[T]) -> None:
        """Queue a job; `callback` gets its result or its exception in the event loop."""

        def work() -> None:
            result: T | None = None
            failure: BaseException | None = None
            try:
                result = job()
            except Exception as error:  # passed to the callback; the thread goes on
                failure = error
            with contextlib.suppress(RuntimeError):  # the event loop is closed
                self._loop.call_soon_threadsafe(callback, result, failure)

        self._jobs.put(work)

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()

    def close(self, wait_s: float) -> None:
        """Wait at most `wait_s` seconds for the queued jobs, then abandon them."""
        self._jobs.put(None)
        self._thread.join(wait_s)
