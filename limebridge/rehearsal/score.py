"""What a run was worth.  Pure.

Worth answered in time over worth asked, a request's worth being its class's times its work; a
client's retries count with its first try, and in time is from that first try on.  Between the aim
and the time at which the client gives up an answer has `late` of its worth.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

WINDOW = 10.0  # s, of which the worst is looked for
STEP = 1.0


@dataclass(slots=True)
class Asked:
    """One thing that a client wanted, with all its tries."""

    at: float  # s from the start of the run
    cls: str
    tenant: str
    site: str
    worth: float
    aim: float
    late: float
    answered: float | None = None  # s from the start
    tries: int = 0
    ends: list[str] = field(default_factory=list)  # of each try
    ids: list[str] = field(default_factory=list)  # of each try, as it began
    work: float = 0.0  # s at speed 1
    life: float = 0.0  # s from the first try on in which an answer is of any use
    fresh: bool = False  # a read whose key no node can have kept

    @property
    def earned(self) -> float:
        if self.answered is None:
            return 0.0
        return self.worth if self.answered - self.at <= self.aim else self.worth * self.late


@dataclass
class Score:
    """Shares of 1."""

    service: float
    worst: float  # ten seconds
    worst_at: float  # where they begin
    worst_class: float
    classes: dict[str, float]
    tenants: dict[str, float]
    sites: dict[str, float]
    seconds: list[tuple[float, float]]  # worth asked and earned, by second
    asked: int
    tries: int
    ends: dict[str, int]
    p50_ms: float
    p99_ms: float

    @property
    def total(self) -> float:
        """As the user weighs it: the whole run, the worst ten seconds, the worst class."""
        return 0.8 * self.service + 0.1 * self.worst + 0.1 * self.worst_class


def score(found: Iterable[Asked], seconds: float) -> Score:
    """Of everything that was asked within the run."""
    by: dict[str, dict[str, list[float]]] = {
        name: defaultdict(lambda: [0.0, 0.0]) for name in ("cls", "tenant", "site")
    }
    bins = [[0.0, 0.0] for _ in range(max(1, math.ceil(seconds / STEP)))]
    ends: Counter[str] = Counter()
    times: list[float] = []
    asked = tries = 0
    for each in found:
        asked, tries = asked + 1, tries + each.tries
        ends.update(each.ends)
        earned = each.earned
        for name, groups in by.items():
            pair = groups[getattr(each, name)]
            pair[0] += each.worth
            pair[1] += earned
        pair = bins[min(len(bins) - 1, int(each.at / STEP))]
        pair[0] += each.worth
        pair[1] += earned
        if each.answered is not None:
            times.append(each.answered - each.at)
    shares = {
        name: {key: _share(pair) for key, pair in sorted(groups.items())}
        for name, groups in by.items()
    }
    worst, worst_at = 1.0, 0.0
    size = int(WINDOW / STEP)
    for place in range(max(1, len(bins) - size + 1)):
        window = bins[place : place + size]
        value = _share([sum(b[0] for b in window), sum(b[1] for b in window)])
        if value < worst:
            worst, worst_at = value, place * STEP
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
        asked,
        tries,
        dict(sorted(ends.items())),
        _at(times, 0.5) * 1000.0,
        _at(times, 0.99) * 1000.0,
    )


def _share(pair: list[float]) -> float:
    return pair[1] / pair[0] if pair[0] else 1.0


def _at(times: list[float], part: float) -> float:
    return times[min(len(times) - 1, int(part * len(times)))] if times else 0.0
