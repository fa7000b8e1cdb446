"""Scores a run: the worth earned by answers divided by the worth of all requests.  Pure.

The worth of a request is the worth of its class times its work.  Retries belong to the request of
the first attempt, and its time runs from that attempt on.  An answer within the latency target
earns the whole worth, a later one that the client still waits for earns `late_share` of it.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

WORST_WINDOW_S = 10.0  # length of the window whose worst position is reported
STEP_S = 1.0  # s by which the window is moved


@dataclass(slots=True)
class RequestRecord:
    """A request of a client with all its attempts."""

    at: float  # s from the start of the run
    cls: str
    tenant: str
    site: str
    worth: float
    target_s: float  # latency target
    late_share: float  # share of the worth, for an answer after the latency target
    served_at: float | None = None  # s from the start of the run
    attempts: int = 0
    outcomes: list[str] = field(default_factory=list)  # one of each ended attempt, in order
    attempt_ids: list[str] = field(default_factory=list)  # all attempts, in order of their start
    work: float = 0.0  # s of work on a node of speed 1
    useful_s: float = 0.0  # s from the first attempt until the client accepts no answer any more
    must_fetch: bool = False  # a read of a key that no node can have cached

    @property
    def earned(self) -> float:
        """The earned worth: all, `late_share` of it, or none without an answer."""
        if self.served_at is None:
            return 0.0
        return (
            self.worth
            if self.served_at - self.at <= self.target_s
            else self.worth * self.late_share
        )


@dataclass
class Score:
    """The score of a run; shares are between 0 and 1."""

    service: float  # share of the worth earned in the whole run
    worst: float  # the same in the worst WORST_WINDOW_S
    worst_at: float  # start of that window, s from the start of the run
    worst_class: float  # share of the worst-served class
    classes: dict[str, float]
    tenants: dict[str, float]
    sites: dict[str, float]
    seconds: list[tuple[float, float]]  # requested and earned worth, by second
    requests: int
    attempts: int
    outcomes: dict[str, int]  # attempts by outcome
    p50_ms: float
    p99_ms: float

    @property
    def total(self) -> float:
        """The mean of whole run, worst ten seconds and worst class, with the user's weights."""
        return 0.8 * self.service + 0.1 * self.worst + 0.1 * self.worst_class


def score(records: Iterable[RequestRecord], seconds: float) -> Score:
    """Score the requests of a run of this many seconds."""
    groups_by: dict[str, dict[str, list[float]]] = {
        name: defaultdict(lambda: [0.0, 0.0]) for name in ("cls", "tenant", "site")
    }
    bins = [[0.0, 0.0] for _ in range(max(1, math.ceil(seconds / STEP_S)))]
    outcomes: Counter[str] = Counter()
    times: list[float] = []
    requests = attempts = 0
    for record in records:
        requests, attempts = requests + 1, attempts + record.attempts
        outcomes.update(record.outcomes)
        earned = record.earned
        for name, groups in groups_by.items():
            sums = groups[getattr(record, name)]
            sums[0] += record.worth
            sums[1] += earned
        sums = bins[min(len(bins) - 1, int(record.at / STEP_S))]
        sums[0] += record.worth
        sums[1] += earned
        if record.served_at is not None:
            times.append(record.served_at - record.at)
    shares = {
        name: {key: _share(sums) for key, sums in sorted(groups.items())}
        for name, groups in groups_by.items()
    }
    worst, worst_at = 1.0, 0.0
    window_steps = int(WORST_WINDOW_S / STEP_S)
    for first in range(max(1, len(bins) - window_steps + 1)):
        window = bins[first : first + window_steps]
        share = _share([sum(b[0] for b in window), sum(b[1] for b in window)])
        if share < worst:
            worst, worst_at = share, first * STEP_S
    times.sort()
    total = [sum(b[0] for b in bins), sum(b[1] for b in bins)]
    return Score(
        _share(total),
        worst,
        worst_at,
        min(shares["cls"].values(), default=1.0),
        shares["cls"],
        shares["tenant"],
        shares["site"],
        [(b[0], b[1]) for b in bins],
        requests,
        attempts,
        dict(sorted(outcomes.items())),
        _percentile(times, 0.5) * 1000.0,
        _percentile(times, 0.99) * 1000.0,
    )


def _share(sums: list[float]) -> float:
    return sums[1] / sums[0] if sums[0] else 1.0


def _percentile(times: list[float], fraction: float) -> float:
    return times[min(len(times) - 1, int(fraction * len(times)))] if times else 0.0
