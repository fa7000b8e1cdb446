"""Worker processes that run fault plans in parallel and end with the command that started them."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from functools import partial
from multiprocessing import active_children, get_context
from typing import ParamSpec, TypeVar

from .interruption import prepare_worker, run_in_worker, signals_blocked

Result = TypeVar("Result")
Planned = TypeVar("Planned")
Arguments = ParamSpec("Arguments")


@contextmanager
def worker_pool(jobs: int) -> Iterator[ProcessPoolExecutor]:
    """A pool of `jobs` worker processes, 0 for one per core.  Use `submit` to give it work.

    If an exception leaves the block, tasks that have not started are cancelled and running ones are
    interrupted by SIGTERM.  In every case all workers have ended when the block is left.
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
    function: Callable[Arguments, Result],
    *args: Arguments.args,
    **kwargs: Arguments.kwargs,
) -> Future[Result]:
    """Run a function in a worker of the pool.

    Signals are blocked during the call, because it may start a worker process.
    """
    with signals_blocked():
        return pool.submit(partial(run_in_worker, function, *args, **kwargs))


def run_each(
    run_plan: Callable[[Planned], Result], plans: Iterable[Planned], jobs: int
) -> Iterator[Result]:
    """Yield the outcomes of all plans in the order in which they end.

    `jobs`: worker processes, 0 for one per core.
    """
    with worker_pool(jobs) as pool:
        futures = [submit(pool, run_plan, plan) for plan in plans]
        for done in as_completed(futures):
            yield done.result()
