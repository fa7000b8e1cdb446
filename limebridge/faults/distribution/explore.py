"""Runs plans in the simulated world: one, many in worker processes, and shrinking of a failure."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from limebridge.faults import seed_runs
from limebridge.faults.violation import Violation

from .checker import Rule, format_trace
from .plan import Plan, generate, without_fault
from .simulation import EventLimitExceeded
from .world import World


@dataclass(frozen=True)
class Outcome:
    """The result of one run.

    `healed_after_s` is the time from the undoing of all faults until everything had caught up.
    """

    plan: Plan
    violations: tuple[Violation, ...]
    committed: int  # publications that were replied with COMMITTED
    applied: int  # batches, summed over all proxies
    invalidations: int  # snapshots that proxies started from
    healed_after_s: float
    digest: str
    trace: str = ""


def run_plan(plan: Plan, with_trace: bool = False) -> Outcome:
    """Runs a plan; the outcome is the same in every run on every computer."""
    world = World(plan)
    checker = world.checker
    try:
        world.run()
    except EventLimitExceeded as error:
        checker.report_violation(Rule.BOUNDED, str(error))
    except Exception as error:
        checker.report_violation(Rule.CRASH, _error_location(error))
    return Outcome(
        plan,
        tuple(checker.violations),
        world.publisher.committed,
        checker.applied_batches,
        checker.invalidations,
        world.healed_after_s,
        world.digest,
        format_trace(world.notes, checker.violations) if with_trace else "",
    )


def _error_location(error: Exception) -> str:
    """The error with the file and the function that raised it."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{type(error).__name__}: {error} ({Path(frame.filename).name}, {frame.name})"


def run_seed(seed: int) -> Outcome:
    """Runs the plan of a seed, without a trace."""
    return run_plan(generate(seed))


def explore(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Outcome]]:
    """Yields chunks of outcomes in the order of their seeds, from `jobs` processes (0: all cores).

    Each process calls `prepare` first.
    """
    return seed_runs.explore(run_seed, first, seeds, jobs, prepare)


def shrink(found: Outcome) -> Outcome:
    """Removes faults as long as the same rule is violated; returns the outcome with its trace."""
    return run_plan(seed_runs.shrink(found, run_plan, without_fault).plan, with_trace=True)
