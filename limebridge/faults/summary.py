"""What the commands of `limebridge faults` say of many plans, as values of one JSON object."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

from .explore import GAP_AT_END, PlayedPlan
from .memory import Outcome

PARTS = (0.5, 0.9, 0.99, 1.0)  # of all gaps, for the quantiles


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """The value below which each of PARTS lies, in s; empty without values."""
    ordered = sorted(values)
    count = len(ordered)
    return {
        str(part): round(ordered[min(count - 1, int(part * count))], 3) for part in PARTS if ordered
    }


def first_violations(broken: Sequence[PlayedPlan | Outcome]) -> list[list[Any]]:
    """Seed, rule and text of each plan that broke something."""
    return [[outcome.plan.seed, *outcome.broken[0]] for outcome in broken]


def summary_of_run(
    played: Sequence[PlayedPlan], broken: Sequence[PlayedPlan], seconds: float
) -> dict[str, Any]:
    """Plans on real processes.  Gaps after the healing are none of a fault and do not count."""
    gaps = [gap.seconds for plan in played for gap in plan.gaps if gap.cause != GAP_AT_END]
    kinds = Counter(fault.kind for outcome in played for fault in outcome.plan.fault)
    return {
        "plans": len(played),
        "seconds": round(seconds, 1),
        "plans_a_minute": round(60.0 * len(played) / seconds, 1),
        "effects": sum(outcome.effects for outcome in played),
        "faults": dict(kinds.most_common()),
        "changes_of_owner": len(gaps),
        "without_owner_s": quantiles(gaps),
        "broken": first_violations(broken),
    }
