"""Many plans at once, each in a process of its own, and what broke made small."""

from __future__ import annotations

import os
import traceback
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from . import plan as plans
from .history import History, OwnerGap, format_trace
from .plan import Plan
from .pool import run_each
from .runner import play
from .violation import Violation

REPLAYS = 2  # times that a smaller plan is played before it counts as sound
FAULT_BEFORE = 0.5  # s before the last effect of an owner, for a fault that made it the last
GAP_AT_END = "end"  # cause of a gap after the healing: daemons hand back what they own


@dataclass(frozen=True)
class ExplainedGap:
    """A time without an owner, and the faults that it may come from."""

    cause: str  # the kinds of faults, GAP_AT_END or "none"
    seconds: float


@dataclass(frozen=True)
class PlayedPlan:
    """What is kept of an outcome."""

    plan: Plan
    violations: tuple[Violation, ...]
    seconds: float = 0.0
    effects: int = 0
    gaps: tuple[ExplainedGap, ...] = ()
    trace: str = ""  # of one that broke a rule


def play_plan(plan: Plan, patch: str = "") -> PlayedPlan:
    """One plan, played.  An error of the rig itself is a violation, so that others go on."""
    try:
        outcome = play(plan, patch)
    except Exception as error:
        trace = "".join(traceback.format_exception(error))
        violation = Violation("rig", f"{type(error).__name__}: {error}")
        return PlayedPlan(plan, (violation,), trace=trace)
    return PlayedPlan(
        plan,
        tuple(outcome.violations),
        outcome.seconds,
        outcome.effects,
        tuple(explain(gap, outcome.history) for gap in outcome.gaps),
        format_trace(outcome.history, outcome.violations) if outcome.violations else "",
    )


def explain(gap: OwnerGap, history: History) -> ExplainedGap:
    """The gap with the kinds of all faults from FAULT_BEFORE s before it to its end."""
    since = gap.since - FAULT_BEFORE
    if history.healed_at and gap.since > history.healed_at - FAULT_BEFORE:
        return ExplainedGap(GAP_AT_END, gap.seconds)
    until = gap.since + gap.seconds
    kinds = {fault.kind for fault in history.faults if since <= fault.at <= until}
    return ExplainedGap("+".join(sorted(kinds)) or "none", gap.seconds)


def play_plans(chosen: Iterable[Plan], jobs: int = 0, patch: str = "") -> Iterator[PlayedPlan]:
    """The outcomes, each as it ends; 0 jobs: one a core."""
    workers = jobs or os.cpu_count() or 1  # starting five to eight daemons takes a core whole
    yield from run_each(partial(play_plan, patch=patch), chosen, workers)


@dataclass
class Shrunk:
    """A plan with fewer faults that still breaks the rule."""

    plan: Plan
    trace: str
    played: int = 0  # plans, on the way


def shrink(outcome: PlayedPlan, patch: str = "") -> Shrunk:
    """The fewest faults with which the same rule breaks: each left out in turn.

    Real processes are not exact: a plan counts as sound once it has held REPLAYS times.
    """
    rule = outcome.violations[0].rule
    kept = Shrunk(outcome.plan, outcome.trace)
    place = 0
    while place < len(kept.plan.fault):
        smaller = plans.without_fault(kept.plan, place)
        for _ in range(REPLAYS):
            kept.played += 1
            found = play_plan(smaller, patch)
            if any(violation.rule == rule for violation in found.violations):
                kept.plan, kept.trace = smaller, found.trace
                break
        else:
            place += 1
    return kept
