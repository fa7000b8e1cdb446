"""What the experiment tool claims, each as a figure anyone can repeat.

    python benchmarks/experiments.py rates      # stated against found error rates
    python benchmarks/experiments.py resume     # killed at random, against an unbroken run
    python benchmarks/experiments.py overhead   # the tool's own CPU beside the runs'
    python benchmarks/experiments.py search     # guided against random draws, same budget

Each prints JSON, one object a line.
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
about = "a busy morning to put troubles on"
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
KINDS: dict[str, Draw] = {
    "normal": lambda rng, n: rng.normal(0.0, 1.0, n),
    "uniform": lambda rng, n: rng.uniform(-1.0, 1.0, n),
    "skewed": lambda rng, n: rng.exponential(1.0, n) - 1.0,
    "heavy": lambda rng, n: rng.standard_t(3, n),
}


def tell(**what: Any) -> None:
    print(json.dumps(what), flush=True)


def percentiles(found: Any, seed: int) -> bool:
    """The plain bootstrap, for comparison: whether it calls a difference."""
    rng = np.random.default_rng(seed)
    means = found[rng.integers(0, len(found), (2000, len(found)))].mean(axis=1)
    low, high = np.quantile(means, [0.025, 0.975])
    return not low <= 0.0 <= high


def rates(repeats: int) -> None:
    """Of made-up pairs without a difference, how many are called one; 0.05 is stated."""
    for kind, draw in KINDS.items():
        for pairs in (4, 5, 8, 16, 32):
            rng = np.random.default_rng(pairs)
            ours = plain = 0
            for number in range(repeats):
                found = draw(rng, pairs)
                low, high, _ = statistics.studentized(found, 0.05, number)
                ours += not low <= 0.0 <= high
                plain += percentiles(found, number)
            tell(
                kind=kind,
                nodes=pairs,
                stated=0.05,
                studentized=ours / repeats,
                percentiles=plain / repeats,
            )
    rng = np.random.default_rng(1)
    wrong = looked = 0
    for _ in range(repeats):  # ten comparisons without a difference, all looked at together
        ps = [statistics.studentized(rng.normal(0.0, 1.0, 8), 0.05, n)[2] for n in range(10)]
        wrong += any(statistics.holm(ps))
        looked += any(p <= 0.05 for p in ps)
    tell(
        kind="ten together, Holm",
        stated=0.05,
        studentized=wrong / repeats,
        percentiles=looked / repeats,
    )
    stopped = naive = 0
    for _ in range(repeats):  # four looks, at 5, 10, 20 and 40 pairs
        found = rng.normal(0.0, 1.0, 40)
        ps = [statistics.studentized(found[:n], 0.05, n)[2] for n in (5, 10, 20, 40)]
        stopped += any(p <= statistics.alpha_at_look(look) for look, p in enumerate(ps, 1))
        naive += any(p <= 0.05 for p in ps)
    tell(kind="four looks", stated=0.05, studentized=stopped / repeats, percentiles=naive / repeats)


def resume(kills: int, seeds: int) -> None:
    """The whole program killed at random moments, half of the times outright."""
    rng = random.Random(1)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        sweep = _sweep(folder, seeds)
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
        done = 0
        while done < kills:
            with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL) as child:
                time.sleep(rng.uniform(0.5, 4.0))
                if child.poll() is not None:
                    break
                child.send_signal(signal.SIGKILL if done % 2 else signal.SIGINT)
                done += 1
        subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
        made = load_experiment(str(sweep))
        whole = Store(folder / "t.sqlite")
        asyncio.run(runner.run(made, whole))
        tables = [
            {(r.point, r.seed): r.measures for r in store.runs(made.digest)}
            for store in (Store(folder / "s.sqlite"), whole)
        ]
        tell(kills=done, runs=len(tables[1]), there=len(tables[0]), equal=tables[0] == tables[1])


def _sweep(folder: Path, seeds: int) -> Path:
    (folder / "mini.toml").write_text(SMALL)
    path = folder / "sweep.toml"
    path.write_text(SWEEP.replace("{folder}", str(folder)).replace("{seeds}", str(seeds)))
    return path


def overhead(seeds: int) -> None:
    """This process's CPU (queue, claims, store) against what the runs took."""
    with tempfile.TemporaryDirectory() as name:
        made = load_experiment(str(_sweep(Path(name), seeds)))
        store = Store(Path(name) / "s.sqlite")
        began, before = time.monotonic(), _cpu()
        found = asyncio.run(runner.run(made, store))
        own, wall = _cpu() - before, time.monotonic() - began
        tell(
            runs=found.executed,
            runs_s=round(found.run_seconds, 2),
            own_s=round(own, 2),
            share=round(own / found.run_seconds, 4),
            wall_s=round(wall, 2),
            beside_wall=round(1.0 - found.run_seconds / (wall * runner.cores()), 4),
        )


def _cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def search(repeats: int, budget: int, jobs: int) -> None:
    """The worst that each finds with the same budget, run by run side by side."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "busy.toml"
        path.write_text(BUSY)
        hunt = ParallelSearch(load(str(path)), Path(name) / "builds", jobs)
        try:
            for seed in range(1, repeats + 1):
                found = {}
                for guided in (True, False):
                    archive = await hunt.run(budget, seed, guided)
                    found["guided" if guided else "random"] = round(archive.worst_so_far[-1], 4)
                tell(seed=seed, budget=budget, **found)
        finally:
            await hunt.stop()


def main() -> None:
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
