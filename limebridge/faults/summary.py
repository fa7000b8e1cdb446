"""Summaries of many plans: the objects that the `limebridge faults` commands print as JSON."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec

from .memory import Outcome
from .real_runs import GAP_AT_END, PlanResult
from .reporting import ExploreTotals
from .seed_runs import RunOutcome

QUANTILES = (0.5, 0.9, 0.99, 1.0)

FirstViolation = tuple[int, str, str]  # a seed, and the rule and text of its first violation


class RunSummary(msgspec.Struct):
    """The result of `faults run`: plans on real processes."""

    plans: int
    seconds: float
    plans_a_minute: float
    effects: int
    faults: dict[str, int]  # count by kind
    changes_of_owner: int
    without_owner_s: dict[str, float]  # by quantile
    broken: list[FirstViolation]


class ExploreSummary(msgspec.Struct):
    """The result of `explore --fleet`: plans in memory; `digest` covers all applied effects."""

    first: int
    seeds: int
    seconds: float
    effects: int
    changes_of_owner: int
    without_owner_s: dict[str, float]
    broken: list[FirstViolation]
    digest: str


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """The quantiles of some times in s, by QUANTILES; empty if there are no values."""
    ordered = sorted(values)
    count = len(ordered)
    return {
        str(share): round(ordered[min(count - 1, int(share * count))], 3)
        for share in QUANTILES
        if ordered
    }


def first_violations(failed: Sequence[RunOutcome]) -> list[FirstViolation]:
    """Seed, rule and text of the first violation of each failed outcome."""
    return [(outcome.plan.seed, *outcome.violations[0]) for outcome in failed]


def summary_of_run(
    results: Sequence[PlanResult], failed: Sequence[PlanResult], seconds: float
) -> RunSummary:
    """Summarize a run of `seconds`, without gaps after the healing, which no fault caused."""
    gaps = [gap.seconds for result in results for gap in result.gaps if gap.cause != GAP_AT_END]
    kinds: Counter[str] = Counter(fault.kind for outcome in results for fault in outcome.plan.fault)
    return RunSummary(
        plans=len(results),
        seconds=round(seconds, 1),
        plans_a_minute=round(60.0 * len(results) / seconds, 1),
        effects=sum(outcome.effects for outcome in results),
        faults=dict(kinds.most_common()),
        changes_of_owner=len(gaps),
        without_owner_s=quantiles(gaps),
        broken=first_violations(failed),
    )


class FleetTotals(ExploreTotals[Outcome]):
    """Totals of the outcomes of `explore --fleet`."""

    def __init__(self) -> None:
        super().__init__()
        self.effects = 0
        self.gaps: list[float] = []

    def add(self, outcome: Outcome) -> None:
        """Add the next outcome, in seed order."""
        super().add(outcome)
        self.effects += outcome.effects
        self.gaps += outcome.gaps

    def summary(self, first: int, seconds: float) -> ExploreSummary:
        """Summarize an exploration of `seconds` that started at seed `first`."""
        return ExploreSummary(
            first=first,
            seeds=self.seeds,
            seconds=round(seconds, 1),
            effects=self.effects,
            changes_of_owner=len(self.gaps),
            without_owner_s=quantiles(self.gaps),
            broken=first_violations(self.failed),
            digest=self.digest,
        )
