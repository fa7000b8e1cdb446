"""HiGHS instances in one process do not interfere with each other."""

from __future__ import annotations

import subprocess
import sys

from tests.support.paths import ROOT

# Runs in its own process, since the first run in a process sets the threads of all later ones.
PROGRAM = """
from limebridge.placement.solver import solve
from limebridge.placement.fleet import parse_fleet
from limebridge.highs import create_highs

first = create_highs()
first.addVar(0.0, 1.0)
first.changeColCost(0, -1.0)
first.run()
assert first.modelStatusToString(first.getModelStatus()) == "Optimal"
fleet = {
    "load": {"requests_per_s": 1, "work_ms": 1},
    "sites": {"s": {}},
    "kinds": {"k": {"cores": 1}},
    "nodes": [{"name": "n", "site": "s", "kind": "k"}],
}
solve(parse_fleet(fleet, "f"))
"""


def test_a_plan_is_solved_after_another_instance_has_run_in_the_process() -> None:
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr[-800:]
