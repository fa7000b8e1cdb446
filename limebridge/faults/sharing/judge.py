"""What was let in, counted from outside, against what may be.

In any window of a second the fleet may let in at most

    budget * (1 + drift) + burst_s * budget + one for each proxy

(`violetroute/sharing/budget.py` says why; a clock may run fast by `drift`), and a home part for
each second process of one name, until they have heard of each other.  Where processes are stopped,
what one had decided and not yet sent comes later: as much as one turn of its loop takes on.  On
real processes what the nodes see in a second was sent in a second and as long as the rig itself
was late, which is measured.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from .plan import Plan

DRIFT = 0.05
BURST_S = 0.1
TURN = 8  # requests that one turn has decided and not sent: two connections' share of a turn
WINDOW = 1.0  # s


@dataclass
class Seen:
    """Of a run: when each request was let in and by whom, and when what happened."""

    spent: list[tuple[float, str]] = field(default_factory=list)
    notes: list[tuple[float, str]] = field(default_factory=list)
    began: float = 0.0
    healed_at: float = 0.0
    late: float = 0.0  # s by which the rig itself was late at most


def most(plan: Plan, real: bool, late: float = 0.0) -> float:
    """Requests in one window."""
    kinds = [fault.kind for fault in plan.fault]
    slack = BURST_S * plan.per_s + plan.daemons
    slack += kinds.count("twin") * plan.per_s / plan.daemons
    if real:
        slack += TURN * kinds.count("stop")
    return plan.per_s * (WINDOW + late) * (1.0 + DRIFT) + slack


def windows(spent: Sequence[tuple[float, str]]) -> list[tuple[float, int]]:
    """Of each request: how many were let in within the window that ends with it."""
    times = sorted(at for at, _ in spent)
    found, first = [], 0
    for place, at in enumerate(times):
        while times[first] <= at - WINDOW:
            first += 1
        found.append((at, place - first + 1))
    return found


def broken(plan: Plan, seen: Seen, real: bool) -> list[tuple[str, str]]:
    """Properties that do not hold, each once."""
    limit = most(plan, real, seen.late)
    over = max(windows(seen.spent), key=lambda at: at[1], default=(0.0, 0))
    if over[1] > limit:
        return [
            (
                "the sum",
                f"{over[1]} in the second before {over[0] - seen.began:.3f}, {limit:.0f} may be",
            )
        ]
    return []


def share(plan: Plan, seen: Seen, since: float, until: float) -> float:
    """Of the budget that was spent between two times."""
    count = sum(since <= at < until for at, _ in seen.spent)
    return count / (plan.per_s * max(until - since, 1e-9))


def tell(seen: Seen, wrong: Sequence[tuple[str, str]]) -> str:
    """The story: what happened, and what was spent by the half second."""
    lines = [(at, what) for at, what in seen.notes]
    spans: dict[int, dict[str, int]] = {}
    for at, who in seen.spent:
        here = spans.setdefault(int((at - seen.began) * 2.0), {})
        here[who] = here.get(who, 0) + 1
    for half, by in spans.items():
        told = " ".join(f"{who}:{count}" for who, count in sorted(by.items()))
        lines.append((seen.began + half / 2.0, f"  let in {sum(by.values())} ({told})"))
    lines.sort(key=lambda line: line[0])
    return "\n".join(
        [
            *(f"{at - seen.began:8.3f} {what}" for at, what in lines),
            *(f"BROKEN {rule}: {text}" for rule, text in wrong),
        ]
    )
