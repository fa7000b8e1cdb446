"""What the commands of `limebridge faults` say of many plans: the objects that --json prints."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec

from .explore import GAP_AT_END, PlayedPlan
from .exploring import ExploreTotals
from .many import RunOutcome
from .memory import Outcome

PARTS = (0.5, 0.9, 0.99, 1.0)  # of all gaps, for the quantiles

FirstViolation = tuple[int, str, str]  # a seed, and the rule and text of what broke first


class RunSummary(msgspec.Struct):
    """Plans on real processes."""

    plans: int
    seconds: float
    plans_a_minute: float
    effects: int
    faults: dict[str, int]  # how often each kind came
    changes_of_owner: int
    without_owner_s: dict[str, float]  # quantiles of the gaps
    broken: list[FirstViolation]


class ExploreSummary(msgspec.Struct):
    """Plans in memory; `digest` is of all that the endpoint took."""

    first: int
    seeds: int
    seconds: float
    effects: int
    changes_of_owner: int
    without_owner_s: dict[str, float]
    broken: list[FirstViolation]
    digest: str


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """The value below which each of PARTS lies, in s; empty without values."""
    ordered = sorted(values)
    count = len(ordered)
    return {
        str(part): round(ordered[min(count - 1, int(part * count))], 3) for part in PARTS if ordered
    }


def first_violations(broken: Sequence[RunOutcome]) -> list[FirstViolation]:
    """Seed, rule and text of each plan that broke something."""
    return [(outcome.plan.seed, *outcome.violations[0]) for outcome in broken]


def summary_of_run(
    played: Sequence[PlayedPlan], broken: Sequence[PlayedPlan], seconds: float
) -> RunSummary:
    """Gaps after the healing are none of a fault and do not count."""
    gaps = [gap.seconds for plan in played for gap in plan.gaps if gap.cause != GAP_AT_END]
    kinds: Counter[str] = Counter(fault.kind for outcome in played for fault in outcome.plan.fault)
    return RunSummary(
        plans=len(played),
        seconds=round(seconds, 1),
        plans_a_minute=round(60.0 * len(played) / seconds, 1),
        effects=sum(outcome.effects for outcome in played),
        faults=dict(kinds.most_common()),
        changes_of_owner=len(gaps),
        without_owner_s=quantiles(gaps),
        broken=first_violations(broken),
    )


class FleetTotals(ExploreTotals[Outcome]):
    """What is added up of the outcomes of `explore --fleet`."""

    def __init__(self) -> None:
        super().__init__()
        self.effects = 0
        self.gaps: list[float] = []

    def add(self, outcome: Outcome) -> None:
        super().add(outcome)
        self.effects += outcome.effects
        self.gaps += outcome.gaps

    def summary(self, first: int, seconds: float) -> ExploreSummary:
        """`first`: the first seed."""
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
