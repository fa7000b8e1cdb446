"""Machine instructions of a request in two builds, exact: the virtual load under valgrind.

The whole process is counted, kit and daemon.  The kit does the same for both builds, so the
difference is the daemon's; a run with fewer requests is taken off, and with it the start-up.  The
daemon's part of the process is taken from the bytecode that it executes, which is an estimate: the
difference is exact, the ratio is as good as this part.
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

FEW = 100  # requests of the run that is taken off
SHARE_REQUESTS = 200  # to learn the daemon's part
TIME_LIMIT = 1800.0  # s for one run
TOTAL = re.compile(rb"I\s+refs:\s+([\d,]+)")


class NoValgrind(Exception):
    """One line: it is not installed."""


@dataclass(frozen=True)
class NativeComparison:
    """Of the two builds under one load."""

    load: str
    same_traffic: bool
    base: float  # machine instructions of the whole process for a request
    build: float
    daemon_part: float  # of the base's instructions

    @property
    def ratio(self) -> float:
        """Of the daemon's own instructions."""
        return 1.0 + (self.build - self.base) / (self.base * self.daemon_part)


@dataclass(frozen=True)
class _Run:
    instructions: int
    requests: int
    digest: str


def compare(pair: BuildPair, loads: Iterable[str], requests: int) -> list[NativeComparison]:
    """NoValgrind where there is none."""
    valgrind = shutil.which("valgrind")
    if valgrind is None:
        raise NoValgrind("`native` needs valgrind, which is not installed")
    return [_compare(valgrind, pair, load, requests) for load in loads]


def _compare(valgrind: str, pair: BuildPair, load: str, requests: int) -> NativeComparison:
    few_base, few_build = _both(valgrind, pair, load, FEW)
    base, build = _both(valgrind, pair, load, requests)
    (shares,) = request_counts.compare(pair, [load], SHARE_REQUESTS)
    own, around = shares.base.instructions, shares.base.around
    return NativeComparison(
        load,
        base.digest == build.digest and few_base.digest == few_build.digest,
        _slope(few_base, base),
        _slope(few_build, build),
        own / (own + around),
    )


def _both(valgrind: str, pair: BuildPair, load: str, requests: int) -> tuple[_Run, _Run]:
    """The base and the build, at once."""
    running = [_start(valgrind, folder, load, requests) for folder in (pair.base, pair.build)]
    try:
        base, build = (_result(process) for process in running)
        return base, build
    finally:
        for process in running:
            process.kill()


def _slope(few: _Run, many: _Run) -> float:
    return (many.instructions - few.instructions) / (many.requests - few.requests)


def _start(valgrind: str, folder: Path, load: str, requests: int) -> subprocess.Popen[bytes]:
    counter = [valgrind, "--tool=cachegrind", "--cache-sim=no", "--cachegrind-out-file=/dev/null"]
    return subprocess.Popen(
        [*counter, *load_command(load, requests, count=False)],
        env=load_environment(folder),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def _result(process: subprocess.Popen[bytes]) -> _Run:
    """RuntimeError when it failed."""
    line, told = process.communicate(timeout=TIME_LIMIT)
    total = TOTAL.search(told)
    if process.returncode or total is None:
        raise RuntimeError(f"valgrind ended with status {process.returncode}: {told[-300:]!r}")
    run = decode_result(line)
    return _Run(int(total[1].replace(b",", b"")), run.asked, run.digest)


def show(rows: list[NativeComparison]) -> None:
    for row in rows:
        traffic = "same traffic" if row.same_traffic else "OTHER TRAFFIC"
        print(
            f"{row.load:8s} {traffic}: {row.base:9.0f} -> {row.build:9.0f} machine instructions "
            f"a request of kit and daemon ({row.build - row.base:+.0f}); the daemon is "
            f"{row.daemon_part:.0%} of it: {row.ratio:.4f}"
        )
