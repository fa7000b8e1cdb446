"""Run time of the placement solver, and the effect of planned shares on a mixed fleet.

    python benchmarks/placement.py [--nodes 9 60 200] [--repeat 5] [--seconds 20] [--pairs 3]

Run time: the complete solution (model, HiGHS, tie-breaking) for the example fleet at several sizes,
with and without the option that the solver may leave nodes out, and the complete explanation of
constraints that can't be met.

Service: the daemon's code on the virtual clock in front of a fleet of three kinds of machines of
very different capacity.  Runs with even shares and with solved shares alternate, with the same
seeds.  They are made once with all nodes and once with a site lost when the measurement begins.
Only the run times depend on the speed of the machine.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from pathlib import Path

import harness  # noqa: F401  (adds this checkout to sys.path)
import mixed
import msgspec

from limebridge.placement import report
from limebridge.placement.conflict import explain
from limebridge.placement.fleet import Fleet, load_fleet
from limebridge.placement.model import build
from limebridge.placement.solver import solve

EXAMPLE = Path(report.__file__).parent / "example.toml"


def scaled_example(nodes: int, choose: bool) -> Fleet:
    """The example fleet with about `nodes` nodes, its load scaled by the same factor."""
    fleet = load_fleet(str(EXAMPLE))
    before = len(fleet.expanded_nodes())
    groups = [
        msgspec.structs.replace(node, count=max(1, round((node.count or 1) * nodes / before)))
        for node in fleet.nodes
    ]
    fleet = msgspec.structs.replace(
        fleet,
        nodes=groups,
        limits=msgspec.structs.replace(fleet.limits, cost=None),
        prefer=msgspec.structs.replace(fleet.prefer, choose=choose),
    )
    return fleet.with_load(fleet.load.requests_per_s * len(fleet.expanded_nodes()) / before)


def measure_solver(nodes: int, choose: bool, repeat: int) -> dict[str, object]:
    """Run times in seconds of `repeat` solutions and of one explanation.

    The explanation is of three times the load, which the fleet can't carry.
    """
    fleet, durations = scaled_example(nodes, choose), []
    for _ in range(repeat):
        start = time.perf_counter()
        found = solve(fleet)
        durations.append(time.perf_counter() - start)
    assert found is not None and not build(fleet, all_rows=True).violations(found.shares)
    start = time.perf_counter()
    conflict = explain(fleet.with_load(fleet.load.requests_per_s * 3.0))
    explain_time = time.perf_counter() - start
    assert conflict is not None
    return {
        "nodes": len(fleet.expanded_nodes()),
        "choose": choose,
        "rows": len(found.model.rows),
        "median_s": round(statistics.median(durations), 3),
        "most_s": round(max(durations), 3),
        "explained_s": round(explain_time, 2),
    }


def compare_shares(seconds: float, pairs: int, lost: bool) -> dict[str, object]:
    """Means over the seeds, for even and for planned shares; with `lost` a site is lost."""
    shares = mixed.solve_plan()
    rows: dict[str, list[mixed.LoadResult]] = {"even": [], "planned": []}
    for seed in range(pairs):
        for name, plan in (("even", None), ("planned", shares)):
            rows[name].append(mixed.run_load(seed, seconds, plan, lost))
    result: dict[str, object] = {"site_lost": lost, "pairs": pairs}
    for name, runs in rows.items():
        result[name] = {
            "in_time": round(statistics.mean(r.in_time for r in runs), 4),
            "p99_ms": round(statistics.mean(r.p99 for r in runs) * 1000.0, 1),
            "busiest": round(statistics.mean(r.busiest for r in runs), 3),
            "least_busy": round(statistics.mean(r.least_busy for r in runs), 3),
            "fetches": round(statistics.mean(r.fetches for r in runs)),
            "off_plan": round(statistics.mean(r.off_plan for r in runs), 3),
        }
    return result


def main() -> int:
    """Print a row of JSON per measurement."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--nodes", type=int, nargs="+", default=[9, 60, 200])
    parser.add_argument("--repeat", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--pairs", type=int, default=3, help="0: only the run times")
    options = parser.parse_args()
    for nodes in options.nodes:
        for choose in (False, True):
            print(json.dumps(measure_solver(nodes, choose, options.repeat)), flush=True)
    for lost in (False, True) if options.pairs else ():
        print(json.dumps(compare_shares(options.seconds, options.pairs, lost)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
