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

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from limebridge.faults.violation import Violation

from .plan import Plan

DRIFT = 0.05
BURST_S = 0.1
TURN = 8  # requests that one turn has decided and not sent: two connections' share of a turn
WINDOW = 1.0  # s


class Admission(NamedTuple):
    """A request that was let in."""

    at: float
    proxy: str  # or its incarnation


class Note(NamedTuple):
    """What happened, for the story."""

    at: float
    text: str


class Window(NamedTuple):
    """How many requests were let in within the WINDOW s that end at a time."""

    end: float
    admitted: int


@dataclass
class Seen:
    """What was seen of a run."""

    spent: list[Admission] = field(default_factory=list)
    notes: list[Note] = field(default_factory=list)
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


def windows(spent: Sequence[Admission]) -> list[Window]:
    """The window that ends with each request."""
    times = sorted(admission.at for admission in spent)
    found, first = [], 0
    for place, at in enumerate(times):
        while times[first] <= at - WINDOW:
            first += 1
        found.append(Window(at, place - first + 1))
    return found


def broken(plan: Plan, seen: Seen, real: bool) -> list[Violation]:
    """The violation of the window with the most requests, if there is one."""
    limit = most(plan, real, seen.late)
    fullest = max(windows(seen.spent), key=lambda window: window.admitted, default=Window(0.0, 0))
    if fullest.admitted <= limit:
        return []
    end = fullest.end - seen.began
    text = f"{fullest.admitted} in the second before {end:.3f}, {limit:.0f} may be"
    return [Violation("the sum", text)]


def share(plan: Plan, seen: Seen, since: float, until: float) -> float:
    """Of the budget that was spent between two times."""
    count = sum(since <= admission.at < until for admission in seen.spent)
    return count / (plan.per_s * max(until - since, 1e-9))


def tell(seen: Seen, violations: Iterable[Violation]) -> str:
    """The story: what happened, and what was let in by the half second."""
    notes = sorted([*seen.notes, *_admission_notes(seen)], key=lambda note: note.at)
    return "\n".join(
        [
            *(f"{note.at - seen.began:8.3f} {note.text}" for note in notes),
            *(violation.line() for violation in violations),
        ]
    )


def _admission_notes(seen: Seen) -> list[Note]:
    """A note for each half second in which requests were let in: how many, by which proxy."""
    counts: dict[int, Counter[str]] = {}  # by the number of the half second
    for admission in seen.spent:
        half = int((admission.at - seen.began) * 2.0)
        counts.setdefault(half, Counter())[admission.proxy] += 1
    notes = []
    for half, by_proxy in counts.items():
        parts = " ".join(f"{proxy}:{count}" for proxy, count in sorted(by_proxy.items()))
        text = f"  let in {by_proxy.total()} ({parts})"
        notes.append(Note(seen.began + half / 2.0, text))
    return notes
