"""Plans played in the simulated world: one, many in processes of their own, and made small."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from limebridge.faults import many
from limebridge.faults.violation import Violation

from .judge import Rule, story
from .plan import Plan, draw, without_fault
from .simulation import EndlessRun
from .world import World


@dataclass(frozen=True)
class Outcome:
    """What is kept of a run."""

    plan: Plan
    violations: tuple[Violation, ...]
    committed: int  # publications that were answered COMMITTED
    applied: int  # batches, by all proxies
    voided: int  # snapshots that proxies started from
    healed_after_s: float
    digest: str
    trace: str = ""


def play(plan: Plan, tells: bool = False) -> Outcome:
    """One plan; the same outcome each time and everywhere."""
    world = World(plan)
    judge = world.judge
    try:
        world.play()
    except EndlessRun as error:
        judge.complain(Rule.BOUNDED, str(error))
    except Exception as error:
        judge.complain(Rule.CRASH, _where(error))
    return Outcome(
        plan,
        tuple(judge.violations),
        world.publisher.committed,
        judge.applied_batches,
        judge.voided,
        world.healed_after_s,
        world.digest,
        story(world.notes, judge.violations) if tells else "",
    )


def _where(error: Exception) -> str:
    """The error, and the line of code that raised it."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{type(error).__name__}: {error} ({Path(frame.filename).name}, {frame.name})"


def played(seed: int) -> Outcome:
    """The plan of a seed."""
    return play(draw(seed))


def explore(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Outcome]]:
    """Outcomes by chunks, in the seeds' order."""
    return many.explore(played, first, seeds, jobs, prepare)


def shrink(found: Outcome) -> Outcome:
    """The fewest faults with which the same property breaks, and its story."""
    return play(many.shrink(found, play, without_fault).plan, tells=True)
