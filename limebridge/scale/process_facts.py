"""Memory, CPU time and limits of this process, and a description of the machine it runs on."""

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
    """The resident memory of this process in bytes, after a garbage collection."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def cpu_seconds(work: Callable[[], object]) -> float:
    """The CPU seconds that this process spends on one call of `work`, in all its threads."""
    began = process_time()
    work()
    return process_time() - began


def least_cpu_seconds(work: Callable[[], object], rounds: int) -> float:
    """The smallest CPU time of `rounds` calls of `work`, in seconds.

    Other load on the machine can only increase the CPU time of a call, so the smallest is the
    closest to the true cost.
    """
    return min(cpu_seconds(work) for _ in range(rounds))


def allow_descriptors(count: int) -> None:
    """Raise this process's limit of open files to at least `count`.

    Raises ValueError above the hard limit, or OSError.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def total_memory_mb() -> int:
    """The machine's physical memory in MB (millions of bytes)."""
    return os.sysconf("SC_PHYS_PAGES") * resource.getpagesize() // 1_000_000


def describe_machine(load_average_before: float) -> Machine:
    """Describe this machine, with its load average before a measurement and now."""
    return Machine(
        processor=_processor(),
        cores=os.cpu_count() or 1,
        memory_mb=total_memory_mb(),
        python=platform.python_version(),
        load_average_before=load_average_before,
        load_average_after=load_average(),
    )


def load_average() -> float:
    """The load average of the last minute, rounded to two decimals."""
    return round(os.getloadavg()[0], 2)


def _processor() -> str:
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            return line.partition(":")[2].strip()
    return platform.machine()
