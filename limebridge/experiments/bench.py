"""Figures of `benchmarks/` in the same store, so that a claim in the roadmap names its rows.

A benchmark prints JSON: objects, one a line or in a list.  Words in them are the factors of a
point, numbers its measures; everything else is left out.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

from . import builds
from .plan import HERE
from .runner import machine
from .store import Run, Store

FOLDER = builds.ROOT / "benchmarks"
# Numbers that say what was measured and not what came of it.
GIVEN = {"rate", "bytes", "delay", "nodes", "clients", "seed", "zipf", "tenants", "size", "count"}


class Failed(Exception):
    """One line: why there are no figures."""


def rows(text: str) -> list[dict[str, Any]]:
    """The JSON objects in what a program printed, lines of words left out."""
    found: list[dict[str, Any]] = []
    for line in text.splitlines():
        try:
            told = json.loads(line)
        except ValueError:
            continue
        found += [
            each for each in (told if isinstance(told, list) else [told]) if isinstance(each, dict)
        ]
    return found


def split(row: dict[str, Any]) -> tuple[dict[str, Any], dict[str, float | None]]:
    """Its point and its measures."""
    point: dict[str, Any] = {}
    measures: dict[str, float | None] = {}
    for name, value in row.items():
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if isinstance(value, str | bool) or (number and name in GIVEN):
            point[name] = value
        elif number:
            measures[name] = float(value)
    return point, measures


async def play(
    name: str, arguments: list[str], times: int, store: Store, limit_s: float
) -> list[dict[str, Any]]:
    """Run benchmarks/NAME.py `times` times; each is a seed of its points."""
    path = FOLDER / f"{name}.py"
    if not path.exists():
        there = ", ".join(sorted(p.stem for p in FOLDER.glob("*.py")))
        raise Failed(f"no benchmark {name}; there are {there}")
    id_, commit = f"bench:{name}", builds.commit(HERE)
    store.note(id_, id_, f"what benchmarks/{name}.py claims", " ".join(arguments))
    first = 1 + max((run.seed for run in store.runs(id_)), default=0)
    found = []
    for number in range(first, first + times):
        began = time.monotonic()
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
                out, err = await process.communicate()
        except TimeoutError:
            raise Failed(f"{name}: not over after {limit_s:g} s") from None
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        told = rows(out.decode(errors="replace"))
        if not told:
            last = err.decode(errors="replace").strip().splitlines()[-1:]
            raise Failed(f"{name}: no JSON from it (does it take --json?): {' '.join(last)}")
        for row in told:
            point, measures = split(row)
            point["arguments"] = " ".join(arguments)
            store.put(
                Run(
                    id_,
                    json.dumps(point, sort_keys=True, separators=(",", ":")),
                    commit,
                    number,
                    machine=machine(),
                    seconds=time.monotonic() - began,
                    at=time.time(),
                    measures=measures,
                )
            )
        found += told
    return found
