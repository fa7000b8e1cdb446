"""CPU time and resident memory of a process, read from /proc."""

from __future__ import annotations

import os
import resource
from pathlib import Path

import msgspec

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TICKS, SYSTEM_TICKS = 11, 12  # indexes in /proc/PID/stat after the command's name


class Usage(msgspec.Struct, frozen=True):
    """The CPU time that a process has used since its start, and its resident memory."""

    cpu_s: float
    resident_bytes: int


def usage(pid: int) -> Usage | None:
    """The usage of a process until now, or None if it no longer exists."""
    folder = Path("/proc") / str(pid)
    try:
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        pages = int((folder / "statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return None
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    return Usage(ticks / TICKS_PER_S, pages * resource.getpagesize())


def resident_bytes() -> int:
    """The resident memory of this process in bytes."""
    mine = usage(os.getpid())
    return 0 if mine is None else mine.resident_bytes
