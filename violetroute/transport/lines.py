"""Whole lines to a descriptor that may be a pipe which nobody reads."""

from __future__ import annotations

import os
import select

MAX_LINE = select.PIPE_BUF  # bytes of a line: up to here a pipe takes all of it or none


class LineWriter:
    """Writes a line where there is room for it, and never waits.

    A pipe that polls as writable has room for PIPE_BUF bytes (POSIX write()), so a line
    within that bound cannot block and is never mixed with another process's.  The
    descriptor is left blocking: the flag would be shared with whoever else has it.  Not
    guarded against: another process that fills the same pipe between the look and the write.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: bytes) -> bool:
        """Whether it has been taken; a line longer than LINE_MOST is cut."""
        try:
            if not self._poll.poll(0):
                return False
            os.write(self._descriptor, line[:MAX_LINE])
        except OSError:  # nobody has the other end any more
            return False
        return True
