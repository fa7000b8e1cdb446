"""Signals to asyncio child processes that do not lose the exit code of a child that has exited.

`Process.send_signal` polls the child first.  If the child has just exited, that poll reaps the exit
code, which asyncio's watcher then misses.
"""

from __future__ import annotations

import os
import signal
from contextlib import suppress


def has_ended(pid: int) -> bool:
    """Whether the kernel reports that this child has exited; the exit code is not reaped."""
    try:
        return os.waitid(os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT) is not None
    except ChildProcessError:  # its exit code has been reaped
        return True


def send(pid: int, number: signal.Signals) -> None:
    """Send a signal to a child, unless it has exited."""
    with suppress(ProcessLookupError):
        descriptor = os.pidfd_open(pid)
        try:
            if not has_ended(pid):  # so the descriptor is that of the child
                signal.pidfd_send_signal(descriptor, number)
        finally:
            os.close(descriptor)
