"""Executes the runs of an experiment on all cores; an interrupted experiment can be resumed.

There is a worker process per core and build.  A run is claimed in the store and executed; its
result is written, and its claim deleted, in one transaction, so no run counts twice.  Bounds: one
job per worker at a time, time and memory of a run, and runs and minutes of a call (the budget).
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
from .plan import (
    BUILD,
    SCENARIO,
    THIS_CHECKOUT,
    Experiment,
    Point,
    point_key,
    points,
    policy_constants,
    scenario_at,
    scenario_digest,
)
from .store import Run, Store

MAX_RESULT_BYTES = 64 * 1024 * 1024  # bytes of the line with a result
OnProgress = Callable[["Progress"], None]


@dataclass
class Progress:
    """Progress of a call to `run`."""

    total: int = 0  # runs of the whole experiment
    already_stored: int = 0  # runs with a result from earlier calls
    executed: int = 0  # runs started by this call
    failed: int = 0  # executed runs that are invalid, overtime or crashed
    running: int = 0
    stop_reason: str = ""  # why it ended early; empty: it did not
    run_seconds: float = 0.0  # sum over the runs
    states: dict[str, int] = field(default_factory=dict)  # number of runs by state


@dataclass(frozen=True)
class Job:
    """One run: a point with a seed; `commit` identifies build, kit and scenario."""

    point: Point
    build: str
    commit: str
    seed: int
    scenario: Scenario | None  # None: the values of the point are inconsistent
    reason: str = ""  # why it has no scenario


@functools.cache
def machine() -> str:
    """CPU model, number of CPUs and Python version: what measured times depend on."""
    model = ""
    with contextlib.suppress(OSError):
        for line in Path("/proc/cpuinfo").read_text().splitlines():
            if line.startswith("model name"):
                model = line.partition(":")[2].strip()
                break
    return f"{model or platform.machine()} x{os.cpu_count()}, Python {platform.python_version()}"


def cores() -> int:
    """The number of CPUs that this process may use."""
    return len(os.sched_getaffinity(0))


def jobs(experiment: Experiment) -> Iterator[Job]:
    """Yield all runs, seed by seed, so that an interrupted experiment has results for all points.

    Raises BuildError for an unknown build and ConfigError for an unusable scenario.
    """
    scenarios = {name: named_scenario(name) for name in experiment.scenarios}
    pending: list[tuple[Point, str, str, Scenario | None, str]] = []
    commits: dict[str, str] = {}
    for point in points(experiment):
        build = str(point.get(BUILD, THIS_CHECKOUT))
        if build not in commits:
            commits[build] = builds.build_id(build)
        scenario = scenarios[point.get(SCENARIO, experiment.scenarios[0])]
        try:
            ready = scenario_at(scenario, point)
            # Part of the key: an edited scenario is run again, just as an edited build is.
            job_version = f"{commits[build]}:{scenario_digest(msgspec.to_builtins(ready))[:8]}"
            pending.append((point, build, job_version, ready, ""))
        except ConfigError as error:  # a design may have points with inconsistent values
            pending.append((point, build, commits[build], None, str(error)))
    for seed in experiment.seed_list:
        for point, build, job_version, maybe_ready, reason in pending:
            yield Job(point, build, job_version, seed, maybe_ready, reason)


class Worker:
    """A worker process, started when it is first needed and again after it has exited."""

    def __init__(self, folder: Path, memory_mb: float) -> None:
        self._folder, self._memory_mb = folder, memory_mb
        self._process: asyncio.subprocess.Process | None = None

    async def run_job(self, job: dict[str, Any], limit: float) -> dict[str, Any]:
        """Run a job within `limit` seconds; without a result the state is overtime or crashed."""
        process = self._process
        if process is None or process.returncode is not None:
            process = self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "limebridge.experiments.worker",
                str(self._memory_mb),
                cwd=self._folder,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
                limit=MAX_RESULT_BYTES,
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
            result: dict[str, Any] = json.loads(line)
            return result
        except TimeoutError:
            state, why = "overtime", f"not over after {limit:g} s"
        except (OSError, ValueError) as error:
            state, why = "crashed", f"its process ended: {error or 'no result'}"
        except BaseException:  # cancelled: the next job must not read this job's result
            await self.stop()
            raise
        await self.stop()
        return {"state": state, "why": why, "seconds": time.monotonic() - began}

    async def stop(self) -> None:
        """Kill the process and wait for its exit."""
        process, self._process = self._process, None
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def run(
    experiment: Experiment,
    store: Store,
    workers: int = 0,
    on_progress: OnProgress | None = None,
    builds_folder: Path | None = None,
    progress: Progress | None = None,
) -> Progress:
    """Execute the runs that have no result yet; unfinished runs are released on cancellation.

    `workers` is the number of processes (0: one per core); `on_progress` is called after each run;
    `builds_folder` holds the builds, by default `.builds` beside the store.
    """
    pending = list(jobs(experiment))
    progress = progress or Progress()
    progress.total = len(pending)
    id_ = experiment.digest
    store.record_experiment(id_, experiment.name, experiment.question, experiment.text)
    completed = store.completed_runs(id_)
    pending = [
        job for job in pending if (point_key(job.point), job.commit, job.seed) not in completed
    ]
    progress.already_stored = progress.total - len(pending)
    folders = {
        job.build: builds.build_folder(job.build, builds_folder or store.path.parent / ".builds")
        for job in pending
    }
    queue = iter(pending)
    deadline = time.monotonic() + experiment.budget.minutes * 60.0
    count = workers or cores()

    async def work() -> None:
        own_workers: dict[str, Worker] = {}
        try:
            for job in queue:
                if progress.executed >= experiment.budget.runs or time.monotonic() > deadline:
                    progress.stop_reason = progress.stop_reason or "its budget is used up"
                    return
                run_key = (id_, point_key(job.point), job.commit, job.seed)
                if not store.claim(run_key):
                    continue
                progress.executed += 1
                progress.running += 1
                try:
                    if job.build not in own_workers:
                        own_workers[job.build] = Worker(
                            folders[job.build], experiment.budget.memory_mb
                        )
                    result = await _run_job(own_workers[job.build], job, experiment)
                except BaseException:
                    progress.executed -= 1
                    store.release(run_key)
                    raise
                finally:
                    progress.running -= 1
                _record_result(progress, store, run_key, result)
                if on_progress is not None:
                    on_progress(progress)
        finally:
            for worker in own_workers.values():
                await worker.stop()

    async with asyncio.TaskGroup() as group:
        for _ in range(min(count, max(1, len(pending)))):
            group.create_task(work())
    return progress


async def _run_job(worker: Worker, job: Job, experiment: Experiment) -> dict[str, Any]:
    if job.scenario is None:
        return {"state": "invalid", "why": job.reason, "seconds": 0.0}
    raw = msgspec.to_builtins(job.scenario)
    return await worker.run_job(
        {"scenario": raw, "seed": job.seed, "constants": policy_constants(job.point)},
        experiment.budget.limit_s,
    )


def _record_result(
    progress: Progress, store: Store, run_key: tuple[str, str, str, int], result: dict[str, Any]
) -> None:
    times = result.get("times")
    row = Run(
        *run_key,
        scenario=result.get("scenario", ""),
        machine=machine(),
        state=result["state"],
        seconds=result["seconds"],
        at=time.time(),
        measures=result.get("measures", {}),
        why=result.get("why", ""),
        times=None if times is None else base64.b64decode(times),
        detail=result.get("detail", {}) | {"head": builds.head_commit()},
    )
    store.add_run(row)
    progress.run_seconds += row.seconds
    progress.failed += row.state != "done"
    progress.states[row.state] = progress.states.get(row.state, 0) + 1
