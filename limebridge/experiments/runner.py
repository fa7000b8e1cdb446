"""All runs of an experiment, on all cores, again after a kill without doing anything twice.

A worker process per core and build; each run is claimed in the store, played, and written with its
claim dropped in one transaction.  Bounds: one job a worker, its time and memory by the
experiment's budget, and the whole by runs and minutes.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import functools
import json
import os
import platform
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from limebridge.rehearsal.scenario import Scenario
from limebridge.rehearsal.vary import named_scenario
from violetroute.config import ConfigError

from . import builds
from .plan import BUILD, HERE, SCENARIO, Experiment, Point, applied, constants, digest, key, points
from .store import Run, Store

LINE = 64 * 1024 * 1024  # bytes of a result
Told = Callable[["Progress"], None]


@dataclass
class Progress:
    """Of a call to `run`."""

    total: int = 0  # runs of the whole experiment
    before: int = 0  # that were there already
    played: int = 0
    failed: int = 0  # of those played: invalid, overtime, crashed
    busy: int = 0
    why: str = ""  # it ended before its end
    spent: float = 0.0  # s inside runs
    states: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Job:
    point: Point
    build: str
    commit: str
    seed: int
    scenario: Scenario | None  # None: its figures don't go together
    why: str = ""


@functools.cache
def machine() -> str:
    """A machine's class: what figures of time depend on."""
    model = ""
    with contextlib.suppress(OSError):
        for line in Path("/proc/cpuinfo").read_text().splitlines():
            if line.startswith("model name"):
                model = line.partition(":")[2].strip()
                break
    return f"{model or platform.machine()} x{os.cpu_count()}, Python {platform.python_version()}"


def cores() -> int:
    """That this process may use."""
    return len(os.sched_getaffinity(0))


def jobs(made: Experiment) -> Iterator[Job]:
    """Seed by seed, so that whatever is stopped early has all points; NoBuild, ConfigError."""
    scenarios = {name: named_scenario(name) for name in made.scenarios}
    todo: list[tuple[Point, str, str, Scenario | None, str]] = []
    commits: dict[str, str] = {}
    for point in points(made):
        build = str(point.get(BUILD, HERE))
        if build not in commits:
            commits[build] = builds.commit(build)
        scenario = scenarios[point.get(SCENARIO, made.scenarios[0])]
        try:
            ready = applied(scenario, point)
            # An edited scenario is played anew, as an edited build is.
            mark = f"{commits[build]}:{digest(msgspec.to_builtins(ready))[:8]}"
            todo.append((point, build, mark, ready, ""))
        except ConfigError as error:  # some points of a design may make no sense together
            todo.append((point, build, commits[build], None, str(error)))
    for seed in made.whole_seeds:
        for point, build, mark, there, why in todo:
            yield Job(point, build, mark, seed, there, why)


class Worker:
    """One child process, started when first needed and again when it has gone."""

    def __init__(self, folder: Path, memory_mb: float) -> None:
        self._folder, self._memory = folder, memory_mb
        self._process: asyncio.subprocess.Process | None = None

    async def play(self, job: dict[str, Any], limit: float) -> dict[str, Any]:
        """Its result; `overtime` or `crashed` when there is none."""
        process = self._process
        if process is None or process.returncode is not None:
            process = self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "limebridge.experiments.worker",
                str(self._memory),
                cwd=self._folder,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
                limit=LINE,
                start_new_session=True,
                env=os.environ | {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"},
            )
        assert process.stdin is not None and process.stdout is not None
        began = time.monotonic()
        try:
            async with asyncio.timeout(limit):
                process.stdin.write(json.dumps(job).encode() + b"\n")
                await process.stdin.drain()
                line = await process.stdout.readline()
            told: dict[str, Any] = json.loads(line)
            return told
        except TimeoutError:
            state, why = "overtime", f"not over after {limit:g} s"
        except (OSError, ValueError) as error:
            state, why = "crashed", f"its process ended: {error or 'no result'}"
        except BaseException:  # called off: its result must not pass for the next job's
            await self.end()
            raise
        await self.end()
        return {"state": state, "why": why, "seconds": time.monotonic() - began}

    async def end(self) -> None:
        """It is gone when this returns."""
        process, self._process = self._process, None
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def run(
    made: Experiment,
    store: Store,
    workers: int = 0,
    told: Told | None = None,
    under: Path | None = None,
    progress: Progress | None = None,
) -> Progress:
    """Play what is not there yet.  Cancelled: what is under way is given back."""
    todo = list(jobs(made))
    progress = progress or Progress()
    progress.total = len(todo)
    id_ = made.digest
    store.note(id_, made.name, made.question, made.text)
    have = store.done(id_)
    todo = [job for job in todo if (key(job.point), job.commit, job.seed) not in have]
    progress.before = progress.total - len(todo)
    folders = {
        job.build: builds.folder(job.build, under or store.path.parent / ".builds") for job in todo
    }
    queue = iter(todo)
    until = time.monotonic() + made.budget.minutes * 60.0
    count = workers or cores()

    async def work() -> None:
        mine: dict[str, Worker] = {}
        try:
            for job in queue:
                if progress.played >= made.budget.runs or time.monotonic() > until:
                    progress.why = progress.why or "its budget is used up"
                    return
                name = (id_, key(job.point), job.commit, job.seed)
                if not store.claim(name):
                    continue
                progress.played += 1
                progress.busy += 1
                try:
                    if job.build not in mine:
                        mine[job.build] = Worker(folders[job.build], made.budget.memory_mb)
                    result = await _result(mine[job.build], job, made)
                except BaseException:
                    progress.played -= 1
                    store.release(name)
                    raise
                finally:
                    progress.busy -= 1
                _note(progress, store, name, result)
                if told is not None:
                    told(progress)
        finally:
            for worker in mine.values():
                await worker.end()

    async with asyncio.TaskGroup() as group:
        for _ in range(min(count, max(1, len(todo)))):
            group.create_task(work())
    return progress


async def _result(worker: Worker, job: Job, made: Experiment) -> dict[str, Any]:
    if job.scenario is None:
        return {"state": "invalid", "why": job.why, "seconds": 0.0}
    raw = msgspec.to_builtins(job.scenario)
    return await worker.play(
        {"scenario": raw, "seed": job.seed, "constants": constants(job.point)}, made.budget.limit_s
    )


def _note(
    progress: Progress, store: Store, name: tuple[str, str, str, int], result: dict[str, Any]
) -> None:
    times = result.get("times")
    row = Run(
        *name,
        scenario=result.get("scenario", ""),
        machine=machine(),
        state=result["state"],
        seconds=result["seconds"],
        at=time.time(),
        measures=result.get("measures", {}),
        why=result.get("why", ""),
        times=None if times is None else base64.b64decode(times),
        detail=result.get("detail", {}) | {"head": builds.head()},
    )
    store.put(row)
    progress.spent += row.seconds
    progress.failed += row.state != "done"
    progress.states[row.state] = progress.states.get(row.state, 0) + 1
