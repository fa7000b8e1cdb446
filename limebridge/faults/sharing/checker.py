"""Checks the admitted requests of a run against the upper bound of the budget.

In any window of one second the fleet may admit at most

    budget * (1 + drift) + burst_s * budget + one request for each proxy

`violetroute/sharing/budget.py` derives the bound; `drift` is there since a clock may run fast by as
much.  Three cases add to it:

- For each duplicate process of a name one home part, since both spend it until they learn of each
  other.
- For each process that was stopped (SIGSTOP) UNSENT_REQUESTS: it sends what it had admitted but not
  sent only when it continues.
- On real processes the window is longer by the rig's own maximal lag, which is measured: what nodes
  receive in one second may have been sent in one second plus that lag.
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
# Requests that a stopped process has admitted but not sent: what one iteration of its event loop
# takes from two connections.
UNSENT_REQUESTS = 8
WINDOW_S = 1.0


class Admission(NamedTuple):
    """A request that was admitted."""

    at: float  # s
    proxy: str  # name, or name and incarnation


class Note(NamedTuple):
    """An event of the run, for the trace."""

    at: float  # s
    text: str


class Window(NamedTuple):
    """The number of requests admitted in the WINDOW_S seconds before `end`."""

    end: float
    admitted: int


@dataclass
class Observed:
    """What was recorded of a run.  Times: s of the run's clock."""

    admissions: list[Admission] = field(default_factory=list)
    notes: list[Note] = field(default_factory=list)
    started_at: float = 0.0
    healed_at: float = 0.0
    max_lag_s: float = 0.0  # longest delay of the rig's own timer


def max_admissions(plan: Plan, real: bool, max_lag_s: float = 0.0) -> float:
    """Upper bound of the requests admitted in one window.

    `real`: the plan ran on real processes, where a stopped process sends late.
    """
    kinds = [fault.kind for fault in plan.fault]
    slack = BURST_S * plan.per_s + plan.daemons
    slack += kinds.count("twin") * plan.per_s / plan.daemons
    if real:
        slack += UNSENT_REQUESTS * kinds.count("stop")
    return plan.per_s * (WINDOW_S + max_lag_s) * (1.0 + DRIFT) + slack


def sliding_windows(admissions: Sequence[Admission]) -> list[Window]:
    """For each request the window that ends with it, in order of time."""
    times = sorted(admission.at for admission in admissions)
    windows, first = [], 0
    for index, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        windows.append(Window(at, index - first + 1))
    return windows


def find_violations(plan: Plan, observed: Observed, real: bool) -> list[Violation]:
    """One violation, of the fullest window, if that window exceeds the bound; else none."""
    limit = max_admissions(plan, real, observed.max_lag_s)
    fullest = max(
        sliding_windows(observed.admissions),
        key=lambda window: window.admitted,
        default=Window(0.0, 0),
    )
    if fullest.admitted <= limit:
        return []
    end = fullest.end - observed.started_at
    text = f"{fullest.admitted} requests admitted in the second before {end:.3f}, limit {limit:.0f}"
    return [Violation("the sum", text)]


def budget_share(plan: Plan, observed: Observed, since: float, until: float) -> float:
    """The share of the budget that was spent between two times."""
    count = sum(since <= admission.at < until for admission in observed.admissions)
    return count / (plan.per_s * max(until - since, 1e-9))


def format_trace(observed: Observed, violations: Iterable[Violation]) -> str:
    """The trace as text: events by time, admitted requests by half second, then the violations."""
    notes = sorted([*observed.notes, *_admission_notes(observed)], key=lambda note: note.at)
    return "\n".join(
        [
            *(f"{note.at - observed.started_at:8.3f} {note.text}" for note in notes),
            *(violation.line() for violation in violations),
        ]
    )


def _admission_notes(observed: Observed) -> list[Note]:
    """A note for each half second with admitted requests: how many, and by which proxy."""
    counts: dict[int, Counter[str]] = {}  # by the number of the half second
    for admission in observed.admissions:
        half = int((admission.at - observed.started_at) * 2.0)
        counts.setdefault(half, Counter())[admission.proxy] += 1
    notes = []
    for half, by_proxy in counts.items():
        parts = " ".join(f"{proxy}:{count}" for proxy, count in sorted(by_proxy.items()))
        text = f"  admitted {by_proxy.total()} ({parts})"
        notes.append(Note(observed.started_at + half / 2.0, text))
    return notes
