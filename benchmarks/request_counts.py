"""Bytecode instructions of a request in two builds that are asked the same."""

from __future__ import annotations

import subprocess
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from build_pair import BuildPair, decode_result, load_command, load_environment
from instruction_count import EVENT_LOOP, Counts
from request_load import RunResult

KIT = "limebridge"
TIME_LIMIT = 900.0  # s for one load; counting takes about a hundred times as long as playing


@dataclass(frozen=True)
class Cost:
    """Of a request, by what has executed it; the kit and the loop around it stand apart."""

    packages: dict[str, float]  # instructions
    functions: dict[tuple[str, str], float]  # instructions, by package and function
    c_calls: float
    socket_calls: float  # into the kit's network and clock: system calls, for a real daemon
    around: float  # instructions of the kit and of the loop's own turns

    @property
    def instructions(self) -> float:
        return sum(self.packages.values())


@dataclass(frozen=True)
class Comparison:
    """Of the two builds under one load."""

    load: str
    requests: int
    served: int
    same_traffic: bool  # all requests, answers, their times, and commands at the nodes
    base: Cost
    build: Cost

    @property
    def ratio(self) -> float:
        return self.build.instructions / self.base.instructions


@dataclass(frozen=True)
class Change:
    """Of one function, from the base to the build."""

    package: str
    function: str
    instructions: float  # a request


def start(folder: Path, load: str, requests: int) -> subprocess.Popen[bytes]:
    """Plays the load on the build in this folder and counts."""
    return subprocess.Popen(
        load_command(load, requests, count=True),
        env=load_environment(folder),
        stdout=subprocess.PIPE,
    )


def result(process: subprocess.Popen[bytes]) -> RunResult:
    """Waits for its end.  RuntimeError when it failed."""
    try:
        line, _ = process.communicate(timeout=TIME_LIMIT)
    finally:
        process.kill()
    if process.returncode:
        raise RuntimeError(f"the load ended with status {process.returncode}")
    return decode_result(line)


def compare(pair: BuildPair, loads: Iterable[str], requests: int) -> list[Comparison]:
    """Both builds at once: a neighbour does not change a count."""
    rows = []
    for load in loads:
        running = [start(folder, load, requests) for folder in (pair.base, pair.build)]
        try:
            base, build = [result(process) for process in running]
        finally:
            for process in running:
                process.kill()
        rows.append(comparison(load, base, build))
    return rows


def comparison(load: str, base: RunResult, build: RunResult) -> Comparison:
    same = (base.digest, base.requests) == (build.digest, build.requests)
    return Comparison(load, build.requests, build.served, same, cost(base), cost(build))


def cost(run: RunResult) -> Cost:
    """Of one request of a run that was counted."""
    if run.counts is None:
        raise ValueError("the run was not counted")
    return _cost(run.counts, run.requests)


def _cost(counts: Counts, requests: int) -> Cost:
    packages: Counter[str] = Counter()
    functions: Counter[tuple[str, str]] = Counter()
    c_calls = around = 0
    for each in counts.functions:
        if each.package == EVENT_LOOP or each.package.startswith(KIT):
            around += each.instructions
            continue
        packages[each.package] += each.instructions
        functions[each.package, each.function] += each.instructions
        c_calls += each.c_calls
    crossings = sum(each.calls for each in counts.crossings if each.callee == KIT)
    return Cost(
        {name: total / requests for name, total in packages.items()},
        {name: total / requests for name, total in functions.items()},
        c_calls / requests,
        crossings / requests,
        around / requests,
    )


def changes(row: Comparison) -> list[Change]:
    """Functions that differ, the largest difference first.

    Where one is gone and another of the same cost is new, it was renamed or moved: left out.
    """
    base, build = row.base.functions, row.build.functions
    gone = {name: count for name, count in base.items() if name not in build}
    found = []
    for name, count in sorted(build.items()):
        moved_from = next((old for old, other in gone.items() if other == count), None)
        if name not in base and moved_from is not None:
            del gone[moved_from]
        elif count != base.get(name):
            found.append(Change(*name, count - base.get(name, 0.0)))
    found += [Change(*name, -count) for name, count in gone.items()]
    return sorted(found, key=lambda each: (-abs(each.instructions), each.package, each.function))


def show(rows: list[Comparison], functions: int) -> None:
    """The ratios, and of the load with the largest one the packages and functions."""
    for row in rows:
        traffic = "same traffic" if row.same_traffic else "OTHER TRAFFIC"
        print(
            f"{row.load:8s} {row.requests:5d} requests, {row.served} served, {traffic}: "
            f"{row.base.instructions:8.1f} -> {row.build.instructions:8.1f} instructions, "
            f"{row.ratio:.4f}; C calls {row.base.c_calls:.1f} -> {row.build.c_calls:.1f}; "
            f"socket and clock calls {row.base.socket_calls:.1f} -> {row.build.socket_calls:.1f}; "
            f"kit and loop {row.build.around / row.base.around:.4f}"
        )
    worst = max(rows, key=lambda row: row.ratio)
    print(f"\npackages under {worst.load}, instructions a request")
    for name in sorted(worst.base.packages.keys() | worst.build.packages.keys()):
        before, after = worst.base.packages.get(name, 0.0), worst.build.packages.get(name, 0.0)
        ratio = f"{after / before:.4f}" if before else "new"
        print(f"  {name:24s} {before:8.1f} -> {after:8.1f}  {ratio}")
    print(f"\nfunctions under {worst.load} that differ most")
    for change in changes(worst)[:functions]:
        print(f"  {change.instructions:+8.1f}  {change.package} {change.function}")
