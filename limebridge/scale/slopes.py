"""`limebridge scale slopes`: runs measurements in new processes and fits a line to each cost."""

from __future__ import annotations

import asyncio
import shlex
from collections.abc import Callable, Iterable, Sequence
from datetime import UTC, datetime
from statistics import median

import msgspec

from limebridge.experiments.builds import head_commit
from violetroute.config import ConfigError

from .child import run_child
from .fit import FitError, fit_line
from .measure import Failed, Measured
from .process_facts import describe_machine, load_average
from .quoted import QUOTED_FIGURES
from .registry import CostDefinition, Subject, subjects
from .results import Cost, Point, Slopes


class Job(msgspec.Struct, frozen=True):
    """One run of a measurement."""

    subject: Subject
    size: int


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """The options of `limebridge scale slopes`."""

    quick: bool = False  # measure small sizes, once each
    only: str = ""  # a subject or a cost; "" for all
    skip_largest: bool = False  # leave out the largest size of each subject
    jobs: int = 1  # number of concurrent processes
    time_limit: float | None = None  # s for one run; None: the subject's limit


class Result(msgspec.Struct, frozen=True):
    """The contents of the slopes file, and the number of failed runs."""

    slopes: Slopes
    failed: int


# The values of all runs, by the name of the cost and the size.
RunValues = dict[str, dict[int, list[float]]]
Progress = Callable[[str], None]  # called after each run with its subject and size


def select_subjects(only: str) -> list[Subject]:
    """The subjects to measure.  ConfigError if `only` is neither a subject nor a cost."""
    every = subjects()
    if not only:
        return list(every.values())
    found = [
        subject
        for subject in every.values()
        if only == subject.name or any(only == cost.name for cost in subject.costs)
    ]
    if not found:
        raise ConfigError(f"--only {only}: no such subject; there are {', '.join(every)}")
    return found


def plan_jobs(options: Options) -> list[Job]:
    """All runs, by subject.

    Each size is run once before any is repeated, so that temporary load on the machine does not
    affect all runs of one size.
    """
    return [
        Job(subject, size)
        for subject in select_subjects(options.only)
        for _ in range(1 if options.quick else subject.runs)
        for size in _sizes(subject, options)
    ]


def _sizes(subject: Subject, options: Options) -> Sequence[int]:
    sizes = subject.quick_sizes if options.quick else subject.sizes
    return sizes[:-1] if options.skip_largest else sizes


async def run(options: Options, progress: Progress) -> Result:
    """Measure and fit all costs.  If cancelled, it ends its child processes before it returns."""
    began, load_before = datetime.now(UTC), load_average()
    jobs = plan_jobs(options)
    answers = await _measure_all(jobs, options, progress)
    failures = [
        f"{job.subject.name} at {job.size}: {answer.reason}"
        for job, answer in zip(jobs, answers, strict=True)
        if isinstance(answer, Failed)
    ]
    costs, unfitted = _fit_all(options, _values(jobs, answers))
    slopes = Slopes(
        commit=head_commit(),
        machine=describe_machine(load_before),
        quick=options.quick,
        taken_at=began.isoformat(timespec="seconds"),
        costs=tuple(costs),
        quoted=QUOTED_FIGURES,
        left_out=(*_skipped(options), *failures, *unfitted),
    )
    return Result(slopes, len(failures))


def _fit_all(options: Options, values: RunValues) -> tuple[list[Cost], list[str]]:
    """The costs with a fitted line, and a message for each cost that has too few sizes."""
    costs: list[Cost] = []
    unfitted: list[str] = []
    for subject in select_subjects(options.only):
        for definition in subject.costs:
            if options.only not in ("", subject.name, definition.name):
                continue
            points = combine_runs(definition, values.get(definition.name, {}))
            try:
                costs.append(fit_cost(definition, subject, points, options))
            except FitError as error:
                unfitted.append(f"{definition.name}: {error}")
    return costs, unfitted


async def _measure_all(
    jobs: Sequence[Job], options: Options, progress: Progress
) -> list[Measured | Failed]:
    """Run the jobs, `options.jobs` at a time; returns the answers in the order of the jobs."""
    slots = asyncio.Semaphore(options.jobs)

    async def run_job(job: Job) -> Measured | Failed:
        async with slots:
            limit = options.time_limit or job.subject.time_limit
            answer = await run_child(job.subject.name, job.size, limit)
        progress(f"{job.subject.name} at {job.size}")
        return answer

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run_job(job)) for job in jobs]
    return [task.result() for task in tasks]


def _skipped(options: Options) -> list[str]:
    if not options.skip_largest:
        return []
    return [
        f"{subject.name} at {(subject.quick_sizes if options.quick else subject.sizes)[-1]}:"
        " --skip-largest"
        for subject in select_subjects(options.only)
    ]


def _values(jobs: Iterable[Job], answers: Iterable[Measured | Failed]) -> RunValues:
    found: RunValues = {}
    for job, answer in zip(jobs, answers, strict=True):
        if isinstance(answer, Measured):
            for name, value in answer.values.items():
                found.setdefault(name, {}).setdefault(job.size, []).append(value)
    return found


def combine_runs(definition: CostDefinition, runs: dict[int, list[float]]) -> list[Point]:
    """One point per size: the smallest value of its runs or the median, as the cost defines."""
    choose = min if definition.least else median
    return [(float(size), choose(values)) for size, values in sorted(runs.items())]


def fit_cost(
    definition: CostDefinition, subject: Subject, points: Sequence[Point], options: Options
) -> Cost:
    """Fit a line to the points of a cost.  FitError for fewer than three sizes."""
    line = fit_line(points)
    return Cost(
        name=definition.name,
        unit=definition.unit,
        per=subject.per,
        what=definition.what,
        mechanism=definition.mechanism,
        points=tuple(points),
        constant=line.constant,
        slope=line.slope,
        slope_low=line.slope_low,
        slope_high=line.slope_high,
        residual=line.residual,
        straight=line.straight,
        exponent=line.exponent,
        run=command_line(subject.name, options),
    )


def command_line(subject: str, options: Options) -> str:
    """The command that repeats the measurement of `subject` with these options."""
    words = ["limebridge", "scale", "slopes", "--only", subject]
    words += ["--quick"] if options.quick else []
    words += ["--skip-largest"] if options.skip_largest else []
    return shlex.join(words)
