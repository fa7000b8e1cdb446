"""Ends a fault run, with every process that it started, on SIGTERM or Ctrl-C.

Only the first signal counts.  While a rig runs, the signal cancels its main task, so the rig ends
its processes as it does after a plan; at other times it raises KeyboardInterrupt.  Later signals
are ignored, because they would interrupt the clean-up and leave processes behind.  A worker process
that is idle only records the signal, and then runs no further plan.
"""

from __future__ import annotations

import asyncio
import functools
import signal
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any, ParamSpec, TypeVar

import typer

SIGNALS = (signal.SIGTERM, signal.SIGINT)
INTERRUPTED = 130  # exit status of an interrupted command, 128 + SIGINT

Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


class _State:
    """Whether this process was interrupted, and the task that a signal has to cancel."""

    def __init__(self) -> None:
        self.interrupted = False
        self.idle = False  # a worker process between two plans
        self.task: asyncio.Task[Any] | None = None

    def handle_signal(self, number: int, frame: FrameType | None) -> None:
        """Signal handler: cancel the task, or raise KeyboardInterrupt unless idle."""
        if self.interrupted:
            return
        self.interrupted = True
        if self.task is not None:
            self.task.get_loop().call_soon_threadsafe(self.task.cancel)
        elif not self.idle:
            raise KeyboardInterrupt

    def check(self) -> None:
        """Raise KeyboardInterrupt if this process was interrupted."""
        if self.interrupted:
            raise KeyboardInterrupt


_state = _State()


@contextmanager
def _signal_handlers() -> Iterator[None]:
    """Install the handlers.  Afterwards restore the previous ones, or ignore the signals if the
    process was interrupted and is about to end.
    """
    before = {number: signal.getsignal(number) for number in SIGNALS}
    _state.interrupted = _state.idle = False
    try:
        for number in SIGNALS:
            signal.signal(number, _state.handle_signal)
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, signal.SIG_IGN if _state.interrupted else handler)


def interruptible(command: Callable[Arguments, Result]) -> Callable[Arguments, Result]:
    """Let SIGTERM and Ctrl-C end a command: exit status 130 once all its processes have ended."""

    @functools.wraps(command)
    def wrapped(*args: Arguments.args, **kwargs: Arguments.kwargs) -> Result:
        with _signal_handlers():
            try:
                return command(*args, **kwargs)
            except KeyboardInterrupt:
                typer.echo("limebridge: interrupted, all processes have ended", err=True)
                raise typer.Exit(INTERRUPTED) from None

    return wrapped


@contextmanager
def signals_blocked() -> Iterator[None]:
    """Block SIGNALS; a process that is started meanwhile inherits the blocked signals.

    A terminal sends Ctrl-C to all processes at once.  An interpreter that receives it before it has
    run `prepare_worker` would end with a traceback.
    """
    before = signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


def prepare_worker() -> None:
    """Initialize a worker process: install the signal handler, then unblock the signals."""
    _state.idle = True
    for number in SIGNALS:
        signal.signal(number, _state.handle_signal)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)


def run_in_worker(
    function: Callable[Arguments, Result], *args: Arguments.args, **kwargs: Arguments.kwargs
) -> Result:
    """Call a function in a worker process.  Raises KeyboardInterrupt if a signal interrupts it."""
    _state.idle = False
    try:
        _state.check()
        return function(*args, **kwargs)
    finally:
        _state.idle = True


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """As `asyncio.run`, but a signal cancels `main` once and KeyboardInterrupt is raised then."""

    async def cancellable() -> Result:
        _state.task = asyncio.current_task()
        try:
            _state.check()
            return await main
        finally:
            _state.task = None

    try:
        return asyncio.run(cancellable())
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    finally:
        main.close()


async def run_cleanup(clean_up: Coroutine[Any, Any, None]) -> None:
    """Await a clean-up to its end.  If the caller is cancelled meanwhile, CancelledError is raised
    only afterwards.
    """
    task = asyncio.create_task(clean_up)
    cancelled = False
    while not task.done():
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            cancelled = True
        except Exception:
            break
    task.result()
    if cancelled:
        raise asyncio.CancelledError
