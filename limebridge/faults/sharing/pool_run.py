"""Runs one plan in a worker process of a pool; the result can be pickled."""

from __future__ import annotations

from dataclasses import dataclass

from limebridge.faults.violation import Violation

from . import checker
from .plan import Plan
from .rig import run_plan


@dataclass(frozen=True, slots=True)
class PlanResult:
    """The result of one plan that ran on real processes."""

    plan: Plan
    violations: list[Violation]
    final_share: float = 0.0  # share of the budget that is spent at the end, after healing
    admitted: int = 0  # requests
    sent: int = 0  # requests
    max_lag_s: float = 0.0  # longest delay of the rig's own timer
    trace: str = ""  # empty without a violation


def run_in_worker(plan: Plan, patch: str = "") -> PlanResult:
    """Run one plan; report an exception of the rig as a violation, so that other plans go on.

    `patch`: path of a file whose plant() every daemon calls first, "" for none.
    """
    try:
        outcome = run_plan(plan, patch)
    except Exception as error:
        return PlanResult(plan, [Violation("rig", f"{type(error).__name__}: {error}")])
    return PlanResult(
        plan,
        outcome.violations,
        outcome.final_share,
        len(outcome.observed.admissions),
        outcome.sent,
        outcome.observed.max_lag_s,
        checker.format_trace(outcome.observed, outcome.violations) if outcome.violations else "",
    )
