"""Facts about a process and its machine, read from the kernel."""

from __future__ import annotations

import gc
import os
import platform
import resource
from collections.abc import Callable
from pathlib import Path
from time import process_time

from .results import Machine


def resident_bytes() -> int:
    """Memory that this process holds in RAM, after a garbage collection."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def cpu_seconds(work: Callable[[], object]) -> float:
    """CPU time of one call in this process: other processes do not count."""
    began = process_time()
    work()
    return process_time() - began


def least_cpu_seconds(work: Callable[[], object], rounds: int) -> float:
    """The least CPU time of several calls: other work on the machine can only add to it."""
    return min(cpu_seconds(work) for _ in range(rounds))


def allow_descriptors(count: int) -> None:
    """Raise this process's own limit of open files.  OSError or ValueError when it can't be."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def total_memory_mb() -> int:
    """Memory of the machine."""
    return os.sysconf("SC_PHYS_PAGES") * resource.getpagesize() // 1_000_000


def machine(load_average_before: float) -> Machine:
    """This machine, with the load that was there at the begin and is there now."""
    return Machine(
        processor=_processor(),
        cores=os.cpu_count() or 1,
        memory_mb=total_memory_mb(),
        python=platform.python_version(),
        load_average_before=load_average_before,
        load_average_after=load_average(),
    )


def load_average() -> float:
    """Processes that wanted a core, over the last minute."""
    return round(os.getloadavg()[0], 2)


def _processor() -> str:
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            return line.partition(":")[2].strip()
    return platform.machine()
