"""What the commands of `limebridge faults sharing` say of many plans: the objects of --json."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from limebridge.faults.exploring import ExploreTotals
from limebridge.faults.summary import FirstViolation, first_violations

from .many import PlayedPlan
from .memory import Outcome


class Spread(msgspec.Struct):
    """The least and the middle one of some values."""

    least: float
    middle: float


class RunSummary(msgspec.Struct):
    """Plans on real processes."""

    plans: int
    seconds: float
    plans_a_minute: float
    asked: int
    let_in: int
    spent_in_the_end: Spread  # shares of the budget
    rig_late_s: float  # by which the rig's own steps were late, at most
    broken: list[FirstViolation]


class ExploreSummary(msgspec.Struct):
    """Plans in memory; `digest` is of all requests that were let in."""

    first: int
    seeds: int
    seconds: float
    let_in: int
    spent_in_the_end: Spread
    broken: list[FirstViolation]
    digest: str


def spread(values: Sequence[float]) -> Spread:
    """Of at least one value."""
    ordered = sorted(values)
    return Spread(round(ordered[0], 3), round(ordered[len(ordered) // 2], 3))


def summary_of_run(
    played: Sequence[PlayedPlan], broken: Sequence[PlayedPlan], seconds: float
) -> RunSummary:
    """What came of the plans that were played within so many seconds."""
    return RunSummary(
        plans=len(played),
        seconds=round(seconds, 1),
        plans_a_minute=round(60.0 * len(played) / seconds, 1),
        asked=sum(each.asked for each in played),
        let_in=sum(each.spent for each in played),
        spent_in_the_end=spread([each.again for each in played]),
        rig_late_s=round(max(each.late for each in played), 3),
        broken=first_violations(broken),
    )


class SharingTotals(ExploreTotals[Outcome]):
    """What is added up of the outcomes of `faults sharing explore`."""

    def __init__(self) -> None:
        super().__init__()
        self.admitted = 0
        self.shares: list[float] = []  # of the budget, spent in the end

    def add(self, outcome: Outcome) -> None:
        super().add(outcome)
        self.admitted += outcome.spent
        self.shares.append(outcome.again)

    def summary(self, first: int, seconds: float) -> ExploreSummary:
        """`first`: the first seed."""
        return ExploreSummary(
            first=first,
            seeds=self.seeds,
            seconds=round(seconds, 1),
            let_in=self.admitted,
            spent_in_the_end=spread(self.shares),
            broken=first_violations(self.failed),
            digest=self.digest,
        )
