"""`benchmarks/request_cost.py` measures an added cost of 2% per request to within 0.1%.

Three builds are compared: this one, a copy of it, and a copy with a known added cost.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

import pytest

from tests.support.paths import ROOT

sys.path.insert(0, str(ROOT / "benchmarks"))

import request_counts
from request_load import RunResult

LOAD, REQUESTS = "target", 24
ITERATIONS = 33  # of a loop that does nothing
# The number of instructions: three per iteration, and 18 in the rest of the function.
ADDED_INSTRUCTIONS = 3 * ITERATIONS + 18
SLOWER_REQUESTS = f"""

_on_request = Balancer.on_request


def _slower_on_request(self, now, request):
    for _ in range({ITERATIONS}):
        pass
    abs(now)  # a C call
    return _on_request(self, now, request)


Balancer.on_request = _slower_on_request
"""


def copy_of_build(folder: Path) -> Path:
    """Copy the packages of this checkout to `folder`; returns `folder`."""
    for package in ("snowstall", "violetroute", "limebridge"):
        shutil.copytree(ROOT / package, folder / package)  # with __pycache__, which saves compiling
    return folder


def append(path: Path, text: str) -> None:
    """Append code to a module."""
    path.write_text(path.read_text() + text)


def run_loads(folders: list[Path]) -> list[RunResult]:
    """Run the load on these builds in parallel."""
    running = [request_counts.start_load(folder, LOAD, REQUESTS) for folder in folders]
    try:
        return [request_counts.wait_for_result(process) for process in running]
    finally:
        for process in running:
            process.kill()


def test_an_added_cost_of_2_percent_is_measured_and_an_equal_build_costs_the_same(
    tmp_path: Path,
) -> None:
    copied, modified = copy_of_build(tmp_path / "copied"), copy_of_build(tmp_path / "modified")
    append(modified / "snowstall" / "balance.py", SLOWER_REQUESTS)
    base, same, slower = run_loads([ROOT, copied, modified])

    row = request_counts.compare_runs(LOAD, base, same)
    assert row.same_traffic and row.served == row.requests > 0
    assert row.ratio == 1.0
    assert row.base == row.build  # by package and function, C calls, and the kit and the event loop
    assert not request_counts.changes(row)

    row = request_counts.compare_runs(LOAD, base, slower)
    assert row.same_traffic and row.base.kit_and_loop == row.build.kit_and_loop
    assert row.ratio == pytest.approx(1.02, abs=0.001)
    (change,) = request_counts.changes(row)
    assert (change.package, change.function) == ("snowstall", "balance.py:_slower_on_request")
    assert change.instructions == pytest.approx(ADDED_INSTRUCTIONS)
    assert row.build.c_calls == pytest.approx(row.base.c_calls + 1.0)


def test_other_traffic_is_reported(tmp_path: Path) -> None:
    """Builds that send different commands to the nodes can't be compared by their cost.

    The difference must be reported even if all requests are served.
    """
    other = copy_of_build(tmp_path)
    margin = "ANSWER_MARGIN_MS = 11.0  # instead of 10: nodes have 1 ms less to answer\n"
    append(other / "violetroute" / "requests.py", margin)
    row = request_counts.compare_runs(LOAD, *run_loads([ROOT, other]))
    assert row.served == row.requests > 0
    assert not row.same_traffic
