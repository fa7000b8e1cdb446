"""Writes whole lines to a descriptor without blocking, even to a pipe that is not read."""

from __future__ import annotations

import os
import select

MAX_LINE = select.PIPE_BUF  # bytes; a write to a pipe of up to PIPE_BUF is atomic


class LineWriter:
    """Writes a line if there is room for it, and never waits.

    A pipe that polls as writable has room for PIPE_BUF bytes (POSIX write()), so a line within that
    bound does not block and is not interleaved with another process's.  The descriptor stays in
    blocking mode, since O_NONBLOCK is shared with every process that holds it.  A write can still
    block if another process fills the same pipe between the poll and the write.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: bytes) -> bool:
        """Write the line, cut to MAX_LINE bytes; return whether it was written."""
        try:
            if not self._poll.poll(0):
                return False
            os.write(self._descriptor, line[:MAX_LINE])
        except OSError:  # the read end is closed
            return False
        return True
