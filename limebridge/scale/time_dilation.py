"""Slows the clocks of a process, so that a machine can play a fleet too large for it in real time.

    python -m limebridge.scale.time_dilation FACTOR MODULE [ARGUMENT...]

runs MODULE as `python -m` would while time passes FACTOR times more slowly for it.  All processes
of a run have the same factor, so they agree on the time; a second of theirs holds FACTOR times as
much CPU time.  The method is that of Gupta et al., "To Infinity and Beyond: Time-Warped Network
Emulation" (NSDI 2006).

Slowed are `time.monotonic`, `time.time` and the waits of the selectors, which is all that asyncio
and the daemon use.  Not slowed are CPU times, which are counted as they are, and timers of the
kernel: a TCP connection over loopback loses nothing, so they hardly matter.
"""

from __future__ import annotations

import contextlib
import runpy
import selectors
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

REAL_TIME = 1.0  # the factor of a run that is not slowed


@contextlib.contextmanager
def dilated(factor: float) -> Iterator[None]:
    """Let time pass `factor` times more slowly for this process.

    A module that has bound a clock by name before keeps the real one.
    """
    if factor == REAL_TIME:
        yield
        return
    monotonic, wall_clock, select = time.monotonic, time.time, selectors.EpollSelector.select
    time.monotonic = _slow_clock(monotonic, factor)
    time.time = lambda: wall_clock() - monotonic() + monotonic() / factor
    selectors.EpollSelector.select = _slow_select(select, factor)  # type: ignore[method-assign]
    try:
        yield
    finally:
        time.monotonic, time.time = monotonic, wall_clock
        selectors.EpollSelector.select = select  # type: ignore[method-assign]


def _slow_clock(clock: Callable[[], float], factor: float) -> Callable[[], float]:
    return lambda: clock() / factor


def _slow_select(select: Callable[..., Any], factor: float) -> Callable[..., Any]:
    """A selector's `select` whose timeout is in slowed seconds."""

    def select_slowed(self: selectors.EpollSelector, timeout: float | None = None) -> Any:
        return select(self, None if timeout is None else timeout * factor)

    return select_slowed


def dilated_command(factor: float, module: str, *arguments: str) -> tuple[str, ...]:
    """The command line that runs a module under this factor."""
    if factor == REAL_TIME:
        return (sys.executable, "-m", module, *arguments)
    launcher = f"{__package__}.time_dilation"
    return (sys.executable, "-m", launcher, f"{factor:g}", module, *arguments)


def main() -> None:
    """The process."""
    factor, module = float(sys.argv[1]), sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    with dilated(factor):
        runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
