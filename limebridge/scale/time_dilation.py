"""Time dilation: slows the clocks of a process, to run a fleet too large for real time.

    python -m limebridge.scale.time_dilation FACTOR MODULE [ARGUMENT...]

runs MODULE as `python -m` would, with clocks that run FACTOR times more slowly.  All processes of a
run have the same factor, so their clocks agree, and FACTOR times as much CPU time is available per
second of dilated time.  The method is that of Gupta et al., "To Infinity and Beyond: Time-Warped
Network Emulation" (NSDI 2006).

`time.monotonic`, `time.time` and the timeouts of the epoll selector are dilated, which is all that
asyncio and the daemon use.  CPU times and the kernel's timers are not dilated.  CPU times are
reported as measured.  The kernel's timers hardly matter, because TCP over loopback loses no
segments.
"""

from __future__ import annotations

import contextlib
import runpy
import selectors
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

REAL_TIME = 1.0  # the factor of a run without dilation


@contextlib.contextmanager
def dilated(factor: float) -> Iterator[None]:
    """Slow the clocks of this process by `factor` inside the `with` block.

    A module that imported a clock function by name before that keeps the real clock.
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
    """A selector's `select` with a timeout in dilated seconds."""

    def select_slowed(self: selectors.EpollSelector, timeout: float | None = None) -> Any:
        return select(self, None if timeout is None else timeout * factor)

    return select_slowed


def dilated_command(factor: float, module: str, *arguments: str) -> tuple[str, ...]:
    """The command that runs a module with clocks slowed by `factor`."""
    if factor == REAL_TIME:
        return (sys.executable, "-m", module, *arguments)
    launcher = f"{__package__}.time_dilation"
    return (sys.executable, "-m", launcher, f"{factor:g}", module, *arguments)


def main() -> None:
    """Run the module named on the command line with slowed clocks."""
    factor, module = float(sys.argv[1]), sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    with dilated(factor):
        runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
