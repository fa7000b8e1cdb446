"""Signals to a child process of asyncio's that keep the exit code of one that ended by itself.

`Process.send_signal` polls the child first.  For a child that has just ended, that poll takes the
exit code, which asyncio's watcher then misses.
"""

from __future__ import annotations

import os
import signal
from contextlib import suppress


def has_ended(pid: int) -> bool:
    """Whether this child has ended, by the kernel; its exit code is left where it is."""
    try:
        return os.waitid(os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT) is not None
    except ChildProcessError:  # its exit code has been taken
        return True


def send(pid: int, number: signal.Signals) -> None:
    """The signal to a child, unless it has ended."""
    with suppress(ProcessLookupError):
        descriptor = os.pidfd_open(pid)
        try:
            if not has_ended(pid):  # so the descriptor was opened while the number was the child's
                signal.pidfd_send_signal(descriptor, number)
        finally:
            os.close(descriptor)
