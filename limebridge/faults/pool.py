"""Processes that play plans side by side, and that end with the command that started them."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from functools import partial
from multiprocessing import active_children, get_context
from typing import ParamSpec, TypeVar

from .interruption import prepare_worker, signals_blocked, work

Played = TypeVar("Played")
Planned = TypeVar("Planned")
Arguments = ParamSpec("Arguments")


@contextmanager
def worker_pool(jobs: int) -> Iterator[ProcessPoolExecutor]:
    """A pool of `jobs` processes; 0 is one a core.  What is played goes through `submit`.

    When the block is left by an exception, what waits is not begun, and what is being played is
    interrupted.  All processes are gone afterwards.
    """
    others = set(active_children())
    pool = ProcessPoolExecutor(
        jobs or os.cpu_count(), mp_context=get_context("spawn"), initializer=prepare_worker
    )
    try:
        yield pool
    except BaseException:
        pool.shutdown(wait=False, cancel_futures=True)
        for worker in set(active_children()) - others:
            worker.terminate()
        raise
    finally:
        pool.shutdown(wait=True)


def submit(
    pool: ProcessPoolExecutor,
    play: Callable[Arguments, Played],
    *args: Arguments.args,
    **kwargs: Arguments.kwargs,
) -> Future[Played]:
    """Have it played by a process of the pool, which may be started for it."""
    with signals_blocked():
        return pool.submit(partial(work, play, *args, **kwargs))


def play_each(
    play: Callable[[Planned], Played], plans: Iterable[Planned], jobs: int
) -> Iterator[Played]:
    """The outcomes of all plans, each as it ends; 0 jobs: one a core."""
    with worker_pool(jobs) as pool:
        waits = [submit(pool, play, plan) for plan in plans]
        for done in as_completed(waits):
            yield done.result()
