"""`benchmarks/request_cost.py` tells a request's cost to less than the 2% that are allowed."""

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
ITERATIONS = 30  # of a loop that does nothing
PLANTED = 3 * ITERATIONS + 18  # instructions: three each time round, 18 of the rest of the function
DEARER = f"""

_on_request = Balancer.on_request


def _dearer(self, now, request):
    for _ in range({ITERATIONS}):
        pass
    abs(now)  # a C call
    return _on_request(self, now, request)


Balancer.on_request = _dearer
"""


def copy_of_build(folder: Path) -> Path:
    """This checkout's packages in a folder of their own."""
    for package in ("snowstall", "violetroute", "limebridge"):
        shutil.copytree(ROOT / package, folder / package)  # with what is compiled, to save time
    return folder


def append(path: Path, text: str) -> None:
    """Change a module at its end."""
    path.write_text(path.read_text() + text)


def play(folders: list[Path]) -> list[RunResult]:
    """All at once."""
    running = [request_counts.start_load(folder, LOAD, REQUESTS) for folder in folders]
    try:
        return [request_counts.wait_for_result(process) for process in running]
    finally:
        for process in running:
            process.kill()


def test_a_planted_cost_of_2_percent_is_found_and_the_same_build_costs_the_same(
    tmp_path: Path,
) -> None:
    copied, planted = copy_of_build(tmp_path / "copied"), copy_of_build(tmp_path / "planted")
    append(planted / "snowstall" / "balance.py", DEARER)
    base, same, dearer = play([ROOT, copied, planted])

    row = request_counts.compare_runs(LOAD, base, same)
    assert row.same_traffic and row.served == row.requests > 0
    assert row.ratio == 1.0
    assert row.base == row.build  # by package, function, C calls, and what stands around
    assert not request_counts.changes(row)

    row = request_counts.compare_runs(LOAD, base, dearer)
    assert row.same_traffic and row.base.kit_and_loop == row.build.kit_and_loop
    assert row.ratio == pytest.approx(1.02, abs=0.001)
    (change,) = request_counts.changes(row)
    assert (change.package, change.function) == ("snowstall", "balance.py:_dearer")
    assert change.instructions == pytest.approx(PLANTED)
    assert row.build.c_calls == pytest.approx(row.base.c_calls + 1.0)


def test_other_traffic_is_told(tmp_path: Path) -> None:
    """A build that asks its nodes otherwise is not compared in silence, though all is served."""
    other = copy_of_build(tmp_path)
    margin = "ANSWER_MARGIN_MS = 11.0  # not 10: nodes are given 1 ms less to answer\n"
    append(other / "violetroute" / "requests.py", margin)
    row = request_counts.compare_runs(LOAD, *play([ROOT, other]))
    assert row.served == row.requests > 0
    assert not row.same_traffic
