"""One plan of many, played in a process of a pool: its outcome as plain values."""

from __future__ import annotations

from dataclasses import dataclass

from limebridge.faults.violation import Violation

from . import judge
from .plan import Plan
from .rig import play


@dataclass(frozen=True, slots=True)
class PlayedPlan:
    """What came of one plan."""

    plan: Plan
    violations: list[Violation]
    again: float = 0.0  # share of the budget that is spent at the end, after healing
    spent: int = 0  # requests that were let in
    asked: int = 0
    late: float = 0.0  # s by which the rig's own steps were late, at most
    trace: str = ""  # of one that broke a rule


def play_plan(plan: Plan, patch: str = "") -> PlayedPlan:
    """One plan, played.  An error of the rig itself is a violation, so that others go on."""
    try:
        outcome = play(plan, patch)
    except Exception as error:
        return PlayedPlan(plan, [Violation("rig", f"{type(error).__name__}: {error}")])
    return PlayedPlan(
        plan,
        outcome.violations,
        outcome.again,
        len(outcome.seen.spent),
        outcome.asked,
        outcome.seen.late,
        judge.tell(outcome.seen, outcome.violations) if outcome.violations else "",
    )
