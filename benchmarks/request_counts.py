"""Bytecode instructions of a request in two builds that receive the same requests."""

from __future__ import annotations

import subprocess
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from build_pair import BuildPair, decode_result, load_command, load_environment
from instruction_count import EVENT_LOOP, Counts
from request_load import RunResult

KIT = "limebridge"  # package of the test kit: clients, nodes, simulated network and clock
TIME_LIMIT = 900.0  # s for one load; counting takes about a hundred times as long as the load alone


@dataclass(frozen=True)
class Cost:
    """Cost of one request.  Instructions of the test kit and of the event loop are kept apart."""

    packages: dict[str, float]  # instructions by package
    functions: dict[tuple[str, str], float]  # instructions, by package and function
    c_calls: float  # calls of C functions
    socket_calls: float  # calls of the kit's network and clock; a real daemon makes system calls
    kit_and_loop: float  # instructions of the test kit and of the event loop itself

    @property
    def instructions(self) -> float:
        """Instructions of all the daemon's packages."""
        return sum(self.packages.values())


@dataclass(frozen=True)
class Comparison:
    """The costs of the two builds under one load."""

    load: str
    requests: int  # requests sent to the build after the warm-up
    served: int
    same_traffic: bool  # all requests, answers, their times, and commands at the nodes
    base: Cost
    build: Cost

    @property
    def ratio(self) -> float:
        """Ratio of the daemon's instructions, build to base."""
        return self.build.instructions / self.base.instructions


@dataclass(frozen=True)
class Change:
    """Change of the cost of one function, from the base to the build."""

    package: str
    function: str
    instructions: float  # per request


def start_load(folder: Path, load: str, requests: int) -> subprocess.Popen[bytes]:
    """Start a process that runs a load on the build in this folder and counts instructions."""
    return subprocess.Popen(
        load_command(load, requests, count=True),
        env=load_environment(folder),
        stdout=subprocess.PIPE,
    )


def wait_for_result(process: subprocess.Popen[bytes]) -> RunResult:
    """Wait for a process of `start_load` to end.  RuntimeError if it failed."""
    try:
        line, _ = process.communicate(timeout=TIME_LIMIT)
    finally:
        process.kill()
    if process.returncode:
        raise RuntimeError(f"the load ended with status {process.returncode}")
    return decode_result(line)


def compare(pair: BuildPair, loads: Iterable[str], requests: int) -> list[Comparison]:
    """Compare the builds under each load.

    Both run in parallel, since other processes on the machine don't affect the counts.
    """
    rows = []
    for load in loads:
        running = [start_load(folder, load, requests) for folder in (pair.base, pair.build)]
        try:
            base, build = [wait_for_result(process) for process in running]
        finally:
            for process in running:
                process.kill()
        rows.append(compare_runs(load, base, build))
    return rows


def compare_runs(load: str, base: RunResult, build: RunResult) -> Comparison:
    """Compare a run of the base with one of the build under the same load."""
    same = (base.digest, base.requests) == (build.digest, build.requests)
    return Comparison(
        load, build.requests, build.served, same, cost_per_request(base), cost_per_request(build)
    )


def cost_per_request(run: RunResult) -> Cost:
    """Average cost of a request.  ValueError if instructions were not counted in this run."""
    if run.counts is None:
        raise ValueError("instructions were not counted in this run")
    return _cost_from_counts(run.counts, run.requests)


def _cost_from_counts(counts: Counts, requests: int) -> Cost:
    packages: Counter[str] = Counter()
    functions: Counter[tuple[str, str]] = Counter()
    c_calls = kit_and_loop = 0
    for each in counts.functions:
        if each.package == EVENT_LOOP or each.package.startswith(KIT):
            kit_and_loop += each.instructions
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
        kit_and_loop / requests,
    )


def changes(row: Comparison) -> list[Change]:
    """Functions whose cost differs, largest difference first.

    A function that was removed and one of the same cost that was added are taken to be one function
    that was renamed or moved, and are left out.
    """
    base, build = row.base.functions, row.build.functions
    removed = {name: count for name, count in base.items() if name not in build}
    found = []
    for name, count in sorted(build.items()):
        moved_from = next((old for old, other in removed.items() if other == count), None)
        if name not in base and moved_from is not None:
            del removed[moved_from]
        elif count != base.get(name):
            found.append(Change(*name, count - base.get(name, 0.0)))
    found += [Change(*name, -count) for name, count in removed.items()]
    return sorted(found, key=lambda each: (-abs(each.instructions), each.package, each.function))


def show(rows: list[Comparison], functions: int) -> None:
    """Print the ratios, and the packages of the load with the highest ratio.

    `functions`: how many functions of that load to print, those that differ most.
    """
    for row in rows:
        traffic = "same traffic" if row.same_traffic else "DIFFERENT TRAFFIC"
        print(
            f"{row.load:8s} {row.requests:5d} requests, {row.served} served, {traffic}: "
            f"{row.base.instructions:8.1f} -> {row.build.instructions:8.1f} instructions, "
            f"{row.ratio:.4f}; C calls {row.base.c_calls:.1f} -> {row.build.c_calls:.1f}; "
            f"socket and clock calls {row.base.socket_calls:.1f} -> {row.build.socket_calls:.1f}; "
            f"kit and loop {row.build.kit_and_loop / row.base.kit_and_loop:.4f}"
        )
    worst = max(rows, key=lambda row: row.ratio)
    print(f"\npackages under {worst.load}, instructions per request")
    for name in sorted(worst.base.packages.keys() | worst.build.packages.keys()):
        before, after = worst.base.packages.get(name, 0.0), worst.build.packages.get(name, 0.0)
        ratio = f"{after / before:.4f}" if before else "new"
        print(f"  {name:24s} {before:8.1f} -> {after:8.1f}  {ratio}")
    print(f"\nfunctions under {worst.load} that differ most")
    for change in changes(worst)[:functions]:
        print(f"  {change.instructions:+8.1f}  {change.package} {change.function}")
