"""SIGTERM and Ctrl-C end a fault run, and with it every process that it started.

The first of these signals counts.  Where a rig runs, its main task is cancelled, so that the rig
ends its processes as it does after a plan; elsewhere KeyboardInterrupt is raised.  Later signals
are ignored: they would cut the clean-up short and leave processes behind.  A worker of a pool that
has nothing to play takes note and plays nothing more.
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
INTERRUPTED = 130  # exit status of a command that was told to end

Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


class _State:
    """What this process was told, and what it has to cancel."""

    def __init__(self) -> None:
        self.interrupted = False
        self.idle = False  # a worker between two plans
        self.task: asyncio.Task[Any] | None = None

    def signalled(self, number: int, frame: FrameType | None) -> None:
        """The signal handler."""
        if self.interrupted:
            return
        self.interrupted = True
        if self.task is not None:
            self.task.get_loop().call_soon_threadsafe(self.task.cancel)
        elif not self.idle:
            raise KeyboardInterrupt

    def check(self) -> None:
        """Raises KeyboardInterrupt once this process was told to end."""
        if self.interrupted:
            raise KeyboardInterrupt


_state = _State()


@contextmanager
def _handled() -> Iterator[None]:
    """The signals are handled here; afterwards as they were, or ignored by a process that ends."""
    before = {number: signal.getsignal(number) for number in SIGNALS}
    _state.interrupted = _state.idle = False
    try:
        for number in SIGNALS:
            signal.signal(number, _state.signalled)
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, signal.SIG_IGN if _state.interrupted else handler)


def interruptible(command: Callable[Arguments, Result]) -> Callable[Arguments, Result]:
    """A command that SIGTERM and Ctrl-C end, with exit status 130 once nothing is left of it."""

    @functools.wraps(command)
    def wrapped(*args: Arguments.args, **kwargs: Arguments.kwargs) -> Result:
        with _handled():
            try:
                return command(*args, **kwargs)
            except KeyboardInterrupt:
                typer.echo("limebridge: interrupted, all processes were ended", err=True)
                raise typer.Exit(INTERRUPTED) from None

    return wrapped


@contextmanager
def signals_blocked() -> Iterator[None]:
    """SIGNALS wait meanwhile, and a process that is started meanwhile begins with them blocked.

    So a Ctrl-C of the terminal, which goes to all processes at once, meets no interpreter that has
    not come as far as `prepare_worker`: it would end there with a traceback.
    """
    before = signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


def prepare_worker() -> None:
    """For a process of a pool, before its first plan: signals are handled, and blocked no more."""
    _state.idle = True
    for number in SIGNALS:
        signal.signal(number, _state.signalled)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)


def run_in_worker(
    play: Callable[Arguments, Result], *args: Arguments.args, **kwargs: Arguments.kwargs
) -> Result:
    """In a process of a pool: `play`, which a signal interrupts.  Raises KeyboardInterrupt then."""
    _state.idle = False
    try:
        _state.check()
        return play(*args, **kwargs)
    finally:
        _state.idle = True


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """As `asyncio.run`; a signal cancels `main`, once.  Raises KeyboardInterrupt then."""

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
    """Await a clean-up to its end.  One that is cancelled meanwhile is cancelled afterwards."""
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
