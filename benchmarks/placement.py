"""The placement solver's time, and what planned shares do for a mixed fleet.

    python benchmarks/placement.py [--nodes 9 60 200] [--repeat 5] [--seconds 20] [--pairs 3]

Times: the whole answer (file read, rows, HiGHS, tie-breaking) for the example's fleet at several
sizes, nodes left out or not, and the whole explanation where the constraints can't be met.
Service: the daemon's own code on the virtual clock before a fleet of three kinds of machines of
very different capacity, with shares that are even and shares that were solved, in turn from the
same seeds; once with all nodes, once with a site lost halfway.  Nothing here depends on the
machine's speed but the times.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from pathlib import Path

import harness  # noqa: F401  (puts the checkout on the path)
import mixed
import msgspec

from limebridge.placement import report
from limebridge.placement.conflict import explain
from limebridge.placement.fleet import Fleet, load_fleet
from limebridge.placement.model import build
from limebridge.placement.solver import solve

EXAMPLE = Path(report.__file__).parent / "example.toml"


def scaled(nodes: int, choose: bool) -> Fleet:
    """The example's fleet with about so many nodes and as much more load."""
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


def times(nodes: int, choose: bool, repeat: int) -> dict[str, object]:
    fleet, took = scaled(nodes, choose), []
    for _ in range(repeat):
        began = time.perf_counter()
        found = solve(fleet)
        took.append(time.perf_counter() - began)
    assert found is not None and not build(fleet, all_rows=True).violations(found.shares)
    began = time.perf_counter()
    trouble = explain(fleet.with_load(fleet.load.requests_per_s * 3.0))
    explained = time.perf_counter() - began
    assert trouble is not None
    return {
        "nodes": len(fleet.expanded_nodes()),
        "choose": choose,
        "rows": len(found.model.rows),
        "median_s": round(statistics.median(took), 3),
        "most_s": round(max(took), 3),
        "explained_s": round(explained, 2),
    }


def service(seconds: float, pairs: int, lost: bool) -> dict[str, object]:
    """Means over the seeds, even shares against planned ones."""
    shares = mixed.solve_plan()
    rows: dict[str, list[mixed.LoadResult]] = {"even": [], "planned": []}
    for seed in range(pairs):
        for name, plan in (("even", None), ("planned", shares)):
            rows[name].append(mixed.run_load(seed, seconds, plan, lost))
    told: dict[str, object] = {"site_lost": lost, "pairs": pairs}
    for name, each in rows.items():
        told[name] = {
            "in_time": round(statistics.mean(r.in_time for r in each), 4),
            "p99_ms": round(statistics.mean(r.p99 for r in each) * 1000.0, 1),
            "busiest": round(statistics.mean(r.busiest for r in each), 3),
            "least_busy": round(statistics.mean(r.least_busy for r in each), 3),
            "fetches": round(statistics.mean(r.fetches for r in each)),
            "off_plan": round(statistics.mean(r.off_plan for r in each), 3),
        }
    return told


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--nodes", type=int, nargs="+", default=[9, 60, 200])
    parser.add_argument("--repeat", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--pairs", type=int, default=3, help="0: times alone")
    options = parser.parse_args()
    for nodes in options.nodes:
        for choose in (False, True):
            print(json.dumps(times(nodes, choose, options.repeat)), flush=True)
    for lost in (False, True) if options.pairs else ():
        print(json.dumps(service(options.seconds, options.pairs, lost)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
