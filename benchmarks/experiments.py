"""Measurements behind the claims of the experiment tool.

    python benchmarks/experiments.py rates      # nominal and measured error rates
    python benchmarks/experiments.py resume     # killed at random, against an uninterrupted run
    python benchmarks/experiments.py overhead   # CPU time of the tool itself, per time of its runs
    python benchmarks/experiments.py search     # guided and random search with the same budget

Each prints JSON, one object per line.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import resource
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from limebridge.experiments import runner, statistics  # noqa: E402
from limebridge.experiments.parallel_search import ParallelSearch  # noqa: E402
from limebridge.experiments.plan import load_experiment  # noqa: E402
from limebridge.experiments.store import Store  # noqa: E402
from limebridge.rehearsal.scenario import load  # noqa: E402

SMALL = "[run]\nseconds = 4.0\n[load]\ncurve = [{at = 0.0, rate = 60.0}]\n"
SWEEP = """question = "how much does the tool cost"
scenario = "{folder}/mini.toml"
seeds = {seeds}
measures = ["service"]
[factors]
"load.scale" = [1.0, 1.2, 1.4, 1.6]
"""
BUSY = """[run]
seconds = 14.0
about = "a busy morning, to which faults are added"
[load]
curve = [{at = 0.0, rate = 80.0}]
[[site]]
name = "a"
[[site]]
name = "b"
[[box]]
name = "standard"
slots = 2
at = {a = 3, b = 2}
[proxies]
count = 2
"""
Draw = Callable[[np.random.Generator, int], Any]
DISTRIBUTIONS: dict[str, Draw] = {  # all with mean 0
    "normal": lambda rng, n: rng.normal(0.0, 1.0, n),
    "uniform": lambda rng, n: rng.uniform(-1.0, 1.0, n),
    "skewed": lambda rng, n: rng.exponential(1.0, n) - 1.0,
    "heavy": lambda rng, n: rng.standard_t(3, n),
}


def print_row(**fields: Any) -> None:
    """Print one result as JSON."""
    print(json.dumps(fields), flush=True)


def percentile_bootstrap_differs(differences: Any, seed: int) -> bool:
    """Whether the percentile bootstrap at 0.05 reports a difference; for comparison."""
    rng = np.random.default_rng(seed)
    means = differences[rng.integers(0, len(differences), (2000, len(differences)))].mean(axis=1)
    low, high = np.quantile(means, [0.025, 0.975])
    return not low <= 0.0 <= high


def rates(repeats: int) -> None:
    """Measure how often samples without a difference are reported as different; nominally 0.05.

    Printed for single comparisons, for ten with Holm's correction, and for four interim looks.
    """
    for kind, draw in DISTRIBUTIONS.items():
        for pairs in (4, 5, 8, 16, 32):
            rng = np.random.default_rng(pairs)
            studentized_errors = percentile_errors = 0
            for number in range(repeats):
                differences = draw(rng, pairs)
                low, high, _ = statistics.studentized(differences, 0.05, number)
                studentized_errors += not low <= 0.0 <= high
                percentile_errors += percentile_bootstrap_differs(differences, number)
            print_row(
                kind=kind,
                nodes=pairs,
                stated=0.05,
                studentized=studentized_errors / repeats,
                percentiles=percentile_errors / repeats,
            )
    rng = np.random.default_rng(1)
    holm_errors = unadjusted_errors = 0
    for _ in range(repeats):  # ten comparisons without a difference, tested together
        ps = [statistics.studentized(rng.normal(0.0, 1.0, 8), 0.05, n)[2] for n in range(10)]
        holm_errors += any(statistics.holm(ps))
        unadjusted_errors += any(p <= 0.05 for p in ps)
    print_row(
        kind="ten together, Holm",
        stated=0.05,
        studentized=holm_errors / repeats,
        percentiles=unadjusted_errors / repeats,
    )
    sequential_errors = naive_errors = 0
    for _ in range(repeats):  # four interim looks, at 5, 10, 20 and 40 pairs
        differences = rng.normal(0.0, 1.0, 40)
        ps = [statistics.studentized(differences[:n], 0.05, n)[2] for n in (5, 10, 20, 40)]
        sequential_errors += any(
            p <= statistics.alpha_at_look(look) for look, p in enumerate(ps, 1)
        )
        naive_errors += any(p <= 0.05 for p in ps)
    print_row(
        kind="four looks",
        stated=0.05,
        studentized=sequential_errors / repeats,
        percentiles=naive_errors / repeats,
    )


def resume(kills: int, seeds: int) -> None:
    """Interrupt a sweep `kills` times at random and compare its results with an uninterrupted one.

    SIGINT and SIGKILL alternate.  If the sweep ends earlier, `kills` is lower in the printed row.
    """
    rng = random.Random(1)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        sweep = _write_sweep(folder, seeds)
        command = [
            sys.executable,
            "-m",
            "limebridge",
            "experiment",
            "run",
            str(sweep),
            "--store",
            str(folder / "s.sqlite"),
            "--json",
        ]
        made_kills = 0
        while made_kills < kills:
            with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL) as child:
                time.sleep(rng.uniform(0.5, 4.0))
                if child.poll() is not None:
                    break
                child.send_signal(signal.SIGKILL if made_kills % 2 else signal.SIGINT)
                made_kills += 1
        subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
        experiment = load_experiment(str(sweep))
        uninterrupted = Store(folder / "t.sqlite")
        asyncio.run(runner.run(experiment, uninterrupted))
        tables = [
            {(r.point, r.seed): r.measures for r in store.runs(experiment.digest)}
            for store in (Store(folder / "s.sqlite"), uninterrupted)
        ]
        print_row(
            kills=made_kills,
            runs=len(tables[1]),
            there=len(tables[0]),
            equal=tables[0] == tables[1],
        )


def _write_sweep(folder: Path, seeds: int) -> Path:
    (folder / "mini.toml").write_text(SMALL)
    path = folder / "sweep.toml"
    path.write_text(SWEEP.replace("{folder}", str(folder)).replace("{seeds}", str(seeds)))
    return path


def overhead(seeds: int) -> None:
    """Measure the CPU time of this process (queue, claims, store) against the time of the runs.

    `beside_wall` is the share of the wall time of all cores in which no run was in progress.
    """
    with tempfile.TemporaryDirectory() as name:
        experiment = load_experiment(str(_write_sweep(Path(name), seeds)))
        store = Store(Path(name) / "s.sqlite")
        started, before = time.monotonic(), _cpu_seconds()
        result = asyncio.run(runner.run(experiment, store))
        own, wall = _cpu_seconds() - before, time.monotonic() - started
        print_row(
            runs=result.executed,
            runs_s=round(result.run_seconds, 2),
            own_s=round(own, 2),
            share=round(own / result.run_seconds, 4),
            wall_s=round(wall, 2),
            beside_wall=round(1.0 - result.run_seconds / (wall * runner.cores()), 4),
        )


def _cpu_seconds() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def search(repeats: int, budget: int, jobs: int) -> None:
    """Print, for each seed, the largest loss found by guided and by random search of one budget.

    `jobs`: runs at a time.
    """
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "busy.toml"
        path.write_text(BUSY)
        parallel_search = ParallelSearch(load(str(path)), Path(name) / "builds", jobs)
        try:
            for seed in range(1, repeats + 1):
                worst = {}
                for guided in (True, False):
                    archive = await parallel_search.run(budget, seed, guided)
                    worst["guided" if guided else "random"] = round(archive.worst_so_far[-1], 4)
                print_row(seed=seed, budget=budget, **worst)
        finally:
            await parallel_search.stop()


def main() -> None:
    """Run the measurement that the command line names; it prints rows of JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["rates", "resume", "overhead", "search"])
    parser.add_argument("--repeats", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=250)
    parser.add_argument("--budget", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=runner.cores())
    options = parser.parse_args()
    match options.what:
        case "rates":
            rates(options.repeats or 1000)
        case "resume":
            resume(options.repeats or 20, options.seeds)
        case "overhead":
            overhead(options.seeds)
        case _:
            asyncio.run(search(options.repeats or 5, options.budget, options.jobs))


if __name__ == "__main__":
    main()
