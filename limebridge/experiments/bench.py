"""Stores results of `benchmarks/` with the experiments, so that a claim can name its rows.

A benchmark prints JSON objects, one per line or in a list.  Strings, booleans and the numbers of
PARAMETER_NAMES become the factors of a point, other numbers its measures; the rest is ignored.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

from . import builds
from .plan import THIS_CHECKOUT
from .runner import machine
from .store import Run, Store

BENCHMARKS_FOLDER = builds.ROOT / "benchmarks"
# Numbers that are parameters of a benchmark, not results.
PARAMETER_NAMES = {
    "rate",
    "bytes",
    "delay",
    "nodes",
    "clients",
    "seed",
    "zipf",
    "tenants",
    "size",
    "count",
}


class BenchmarkError(Exception):
    """A benchmark gave no results; the message is one line."""


def parse_rows(text: str) -> list[dict[str, Any]]:
    """The JSON objects in a program's output; lines that are not JSON are ignored."""
    rows: list[dict[str, Any]] = []
    for line in text.splitlines():
        try:
            parsed = json.loads(line)
        except ValueError:
            continue
        rows += [
            row
            for row in (parsed if isinstance(parsed, list) else [parsed])
            if isinstance(row, dict)
        ]
    return rows


def split_row(row: dict[str, Any]) -> tuple[dict[str, Any], dict[str, float | None]]:
    """Split a row into the factors of its point and its measures."""
    point: dict[str, Any] = {}
    measures: dict[str, float | None] = {}
    for name, value in row.items():
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if isinstance(value, str | bool) or (number and name in PARAMETER_NAMES):
            point[name] = value
        elif number:
            measures[name] = float(value)
    return point, measures


async def run_benchmark(
    name: str, arguments: list[str], repeats: int, store: Store, limit_s: float
) -> list[dict[str, Any]]:
    """Run benchmarks/NAME.py `repeats` times; the number of the run is the seed of its rows.

    Returns all rows.  Raises BenchmarkError if a run exceeds `limit_s` seconds or prints no JSON.
    """
    path = BENCHMARKS_FOLDER / f"{name}.py"
    if not path.exists():
        there = ", ".join(sorted(p.stem for p in BENCHMARKS_FOLDER.glob("*.py")))
        raise BenchmarkError(f"no benchmark {name}; there are {there}")
    experiment_id, commit = f"bench:{name}", builds.build_id(THIS_CHECKOUT)
    store.record_experiment(
        experiment_id, experiment_id, f"what benchmarks/{name}.py claims", " ".join(arguments)
    )
    first = 1 + max((run.seed for run in store.runs(experiment_id)), default=0)
    rows = []
    for number in range(first, first + repeats):
        started = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(path),
            *arguments,
            cwd=builds.ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(limit_s):
                stdout, stderr = await process.communicate()
        except TimeoutError:
            raise BenchmarkError(f"{name}: still running after {limit_s:g} s") from None
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        parsed = parse_rows(stdout.decode(errors="replace"))
        if not parsed:
            last = stderr.decode(errors="replace").strip().splitlines()[-1:]
            raise BenchmarkError(
                f"{name}: no JSON in its output (does it need --json?): {' '.join(last)}"
            )
        for row in parsed:
            point, measures = split_row(row)
            point["arguments"] = " ".join(arguments)
            store.add_run(
                Run(
                    experiment_id,
                    json.dumps(point, sort_keys=True, separators=(",", ":")),
                    commit,
                    number,
                    machine=machine(),
                    seconds=time.monotonic() - started,
                    at=time.time(),
                    measures=measures,
                )
            )
        rows += parsed
    return rows
