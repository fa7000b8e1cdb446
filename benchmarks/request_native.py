"""Exact number of machine instructions of a request in two builds: a simulated load in valgrind.

valgrind counts the whole process, test kit and daemon.  The kit does the same work for both builds,
so the difference between them is the daemon's.  The count of a run with fewer requests is
subtracted, which removes the start-up.  The ratio also needs the daemon's share of the process,
which is estimated from the share of bytecode instructions that the daemon executes.  So the
difference is exact, and the ratio is as accurate as this estimate.
"""

from __future__ import annotations

import re
import shutil
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import request_counts
from build_pair import BuildPair, decode_result, load_command, load_environment

BASELINE_REQUESTS = 100  # requests of the run whose count is subtracted
SHARE_REQUESTS = 200  # requests of the run that estimates the daemon's share
TIME_LIMIT = 1800.0  # s for one run
TOTAL_PATTERN = re.compile(rb"I\s+refs:\s+([\d,]+)")


class ValgrindMissingError(Exception):
    """valgrind is not installed; the message is one line."""


@dataclass(frozen=True)
class NativeComparison:
    """The cost of a request in the two builds under one load."""

    load: str
    same_traffic: bool  # requests, answers and commands at the nodes were the same
    base: float  # machine instructions of the whole process for a request
    build: float
    daemon_share: float  # share of the base's instructions that the daemon executes (estimate)

    @property
    def ratio(self) -> float:
        """Ratio of the daemon's own instructions, build to base."""
        return 1.0 + (self.build - self.base) / (self.base * self.daemon_share)


@dataclass(frozen=True)
class _Run:
    instructions: int
    requests: int
    digest: str


def compare(pair: BuildPair, loads: Iterable[str], requests: int) -> list[NativeComparison]:
    """Compare the builds under each load.  Raises ValgrindMissingError if it is not installed."""
    valgrind = shutil.which("valgrind")
    if valgrind is None:
        raise ValgrindMissingError("`native` needs valgrind, which is not installed")
    return [_compare(valgrind, pair, load, requests) for load in loads]


def _compare(valgrind: str, pair: BuildPair, load: str, requests: int) -> NativeComparison:
    baseline_base, baseline_build = _run_both(valgrind, pair, load, BASELINE_REQUESTS)
    base, build = _run_both(valgrind, pair, load, requests)
    (shares,) = request_counts.compare(pair, [load], SHARE_REQUESTS)
    own, kit_and_loop = shares.base.instructions, shares.base.kit_and_loop
    return NativeComparison(
        load,
        base.digest == build.digest and baseline_base.digest == baseline_build.digest,
        _instructions_per_request(baseline_base, base),
        _instructions_per_request(baseline_build, build),
        own / (own + kit_and_loop),
    )


def _run_both(valgrind: str, pair: BuildPair, load: str, requests: int) -> tuple[_Run, _Run]:
    """Runs of the base and of the build, in parallel."""
    running = [_start(valgrind, folder, load, requests) for folder in (pair.base, pair.build)]
    try:
        base, build = (_result(process) for process in running)
        return base, build
    finally:
        for process in running:
            process.kill()


def _instructions_per_request(fewer: _Run, more: _Run) -> float:
    return (more.instructions - fewer.instructions) / (more.requests - fewer.requests)


def _start(valgrind: str, folder: Path, load: str, requests: int) -> subprocess.Popen[bytes]:
    counter = [valgrind, "--tool=cachegrind", "--cache-sim=no", "--cachegrind-out-file=/dev/null"]
    return subprocess.Popen(
        [*counter, *load_command(load, requests, count=False)],
        env=load_environment(folder),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def _result(process: subprocess.Popen[bytes]) -> _Run:
    """Wait for a run to end and parse its result.  RuntimeError if it failed."""
    line, log = process.communicate(timeout=TIME_LIMIT)
    total = TOTAL_PATTERN.search(log)
    if process.returncode or total is None:
        raise RuntimeError(f"valgrind ended with status {process.returncode}: {log[-300:]!r}")
    run = decode_result(line)
    return _Run(int(total[1].replace(b",", b"")), run.asked, run.digest)


def show(rows: list[NativeComparison]) -> None:
    """Print one line for each load."""
    for row in rows:
        traffic = "same traffic" if row.same_traffic else "DIFFERENT TRAFFIC"
        print(
            f"{row.load:8s} {traffic}: {row.base:9.0f} -> {row.build:9.0f} machine instructions "
            f"per request of kit and daemon ({row.build - row.base:+.0f}); the daemon is "
            f"{row.daemon_share:.0%} of it: {row.ratio:.4f}"
        )
