"""Summaries of many plans, which the commands of `limebridge faults sharing` print with --json."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from limebridge.faults.reporting import ExploreTotals
from limebridge.faults.summary import FirstViolation, first_violations

from .memory import Outcome
from .pool_run import PlanResult


class Spread(msgspec.Struct):
    """The minimum and the median of some values."""

    least: float
    middle: float


class RunSummary(msgspec.Struct):
    """Summary of plans on real processes."""

    plans: int
    seconds: float
    plans_a_minute: float
    asked: int  # requests sent
    let_in: int  # requests admitted
    spent_in_the_end: Spread  # shares of the budget, after healing
    rig_late_s: float  # longest delay of the rig's own timer
    broken: list[FirstViolation]


class ExploreSummary(msgspec.Struct):
    """Summary of plans in memory; `digest` covers the digests of all outcomes."""

    first: int
    seeds: int
    seconds: float
    let_in: int  # requests admitted
    spent_in_the_end: Spread  # shares of the budget, after healing
    broken: list[FirstViolation]
    digest: str


def spread(values: Sequence[float]) -> Spread:
    """Minimum and median, rounded to 3 digits; `values` must not be empty."""
    ordered = sorted(values)
    return Spread(round(ordered[0], 3), round(ordered[len(ordered) // 2], 3))


def summary_of_run(
    played: Sequence[PlanResult], broken: Sequence[PlanResult], seconds: float
) -> RunSummary:
    """Summarize `played` plans, which took `seconds` in all; `broken`: those with violations."""
    return RunSummary(
        plans=len(played),
        seconds=round(seconds, 1),
        plans_a_minute=round(60.0 * len(played) / seconds, 1),
        asked=sum(each.sent for each in played),
        let_in=sum(each.admitted for each in played),
        spent_in_the_end=spread([each.final_share for each in played]),
        rig_late_s=round(max(each.max_lag_s for each in played), 3),
        broken=first_violations(broken),
    )


class SharingTotals(ExploreTotals[Outcome]):
    """Totals over the outcomes of `faults sharing explore`."""

    def __init__(self) -> None:
        super().__init__()
        self.admitted = 0
        self.final_shares: list[float] = []

    def add(self, outcome: Outcome) -> None:
        """Add an outcome; they must be added in the order of their seeds."""
        super().add(outcome)
        self.admitted += outcome.admitted
        self.final_shares.append(outcome.final_share)

    def summary(self, first: int, seconds: float) -> ExploreSummary:
        """`first`: the first seed; `seconds`: the time that the exploration took."""
        return ExploreSummary(
            first=first,
            seeds=self.seeds,
            seconds=round(seconds, 1),
            let_in=self.admitted,
            spent_in_the_end=spread(self.final_shares),
            broken=first_violations(self.failed),
            digest=self.digest,
        )
