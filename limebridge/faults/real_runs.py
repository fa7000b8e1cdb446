"""Runs many plans on real processes in parallel workers, and shrinks a failed plan."""

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
from .runner import run_plan
from .violation import Violation

MAX_REPLAYS = 2  # runs without the violation after which a smaller plan counts as correct
CAUSE_WINDOW_S = 0.5  # s before an owner's last effect: a fault then may have caused the gap
GAP_AT_END = "end"  # cause of a gap after the healing: daemons release their leases


@dataclass(frozen=True)
class ExplainedGap:
    """A gap without an owner, and the faults that may have caused it."""

    cause: str  # kinds of faults joined by "+", GAP_AT_END or "none"
    seconds: float


@dataclass(frozen=True)
class PlanResult:
    """The part of an outcome that a worker process returns."""

    plan: Plan
    violations: tuple[Violation, ...]
    seconds: float = 0.0
    effects: int = 0
    gaps: tuple[ExplainedGap, ...] = ()
    trace: str = ""  # only if a rule was violated


def run_and_explain(plan: Plan, patch: str = "") -> PlanResult:
    """Run one plan.  An error of the rig itself becomes a violation, so other plans still run."""
    try:
        outcome = run_plan(plan, patch)
    except Exception as error:
        trace = "".join(traceback.format_exception(error))
        violation = Violation("rig", f"{type(error).__name__}: {error}")
        return PlanResult(plan, (violation,), trace=trace)
    return PlanResult(
        plan,
        tuple(outcome.violations),
        outcome.seconds,
        outcome.effects,
        tuple(explain(gap, outcome.history) for gap in outcome.gaps),
        format_trace(outcome.history, outcome.violations) if outcome.violations else "",
    )


def explain(gap: OwnerGap, history: History) -> ExplainedGap:
    """The gap with the kinds of all faults from CAUSE_WINDOW_S before it to its end."""
    since = gap.since - CAUSE_WINDOW_S
    if history.healed_at and gap.since > history.healed_at - CAUSE_WINDOW_S:
        return ExplainedGap(GAP_AT_END, gap.seconds)
    until = gap.since + gap.seconds
    kinds = {fault.kind for fault in history.faults if since <= fault.at <= until}
    return ExplainedGap("+".join(sorted(kinds)) or "none", gap.seconds)


def run_plans(chosen: Iterable[Plan], jobs: int = 0, patch: str = "") -> Iterator[PlanResult]:
    """Yield the results in the order in which they end.  `jobs`: 0 for one per core."""
    workers = jobs or os.cpu_count() or 1  # the start of five to eight daemons uses a full core
    yield from run_each(partial(run_and_explain, patch=patch), chosen, workers)


@dataclass
class ShrunkPlan:
    """A plan with fewer faults that still violates the rule."""

    plan: Plan
    trace: str
    runs: int = 0  # made while shrinking


def shrink(outcome: PlanResult, patch: str = "") -> ShrunkPlan:
    """Leave out each fault in turn if the same rule is violated without it.

    Runs of real processes differ: a plan counts as correct after MAX_REPLAYS runs without the
    violation.
    """
    rule = outcome.violations[0].rule
    kept = ShrunkPlan(outcome.plan, outcome.trace)
    index = 0
    while index < len(kept.plan.fault):
        smaller = plans.without_fault(kept.plan, index)
        for _ in range(MAX_REPLAYS):
            kept.runs += 1
            found = run_and_explain(smaller, patch)
            if any(violation.rule == rule for violation in found.violations):
                kept.plan, kept.trace = smaller, found.trace
                break
        else:
            index += 1
    return kept
