"""Heavy hitters over many proxies: mergeable summaries.  Pure.

SpaceSaving (Metwally, Agrawal, El Abbadi, 2005) with the merge of Agarwal and others, "Mergeable
Summaries" (2012): if only one of two summaries of k counters has a key, the other one's minimal
count becomes its possible error; the k greatest counters stay.  A count is never too low, and too
high by at most its error.  Over the fleet the error is at most the sum of requests over k.

A member reports its own counts, which decay with HALF_LIFE_S.  Counts of a member that has left, or
did not report for STALE_S, are dropped.  Keys are sent as keyed hashes, so no datagram contains a
customer's name.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from .wire import HeavyHitterReport

SIZE = 32  # counters in a summary, and so in a datagram
HALF_LIFE_S = 10.0  # half-life of a count
STALE_S = 10.0  # time without a report after which a member's counts are dropped
MAX_MEMBERS = 1024


@dataclass(slots=True)
class Counter:
    """Count of one key, and by how much it may be too high."""

    count: float
    error: float = 0.0


class Summary:
    """SpaceSaving summary: counters of the heaviest keys."""

    def __init__(self, size: int = SIZE) -> None:
        self.size = size
        self.counters: dict[int, Counter] = {}

    def add(self, key: int, weight: float = 1.0) -> None:
        """Count a key; if the summary is full, it replaces the key with the lowest count."""
        counter = self.counters.get(key)
        if counter is not None:
            counter.count += weight
        elif len(self.counters) < self.size:
            self.counters[key] = Counter(weight)
        else:
            min_count = min(self.counters, key=lambda known: self.counters[known].count)
            count = self.counters.pop(min_count).count
            self.counters[key] = Counter(count + weight, count)

    def decay(self, left: float) -> None:
        """Multiply all counts and errors by `left`."""
        for counter in self.counters.values():
            counter.count *= left
            counter.error *= left

    @property
    def min_count(self) -> float:
        """Highest count that a key without a counter may have."""
        if len(self.counters) < self.size:
            return 0.0
        return min(counter.count for counter in self.counters.values())

    def top(self) -> list[tuple[int, float, float]]:
        """Key, count and error of all counters, the greatest count first."""
        return sorted(
            ((key, c.count, c.error) for key, c in self.counters.items()),
            key=lambda at: (-at[1], at[0]),
        )


def merge(summaries: Iterable[Summary], size: int = SIZE) -> Summary:
    """Merge summaries; independent of their order, since they are truncated once at the end."""
    merged = Summary(size)
    every = list(summaries)
    min_counts = [summary.min_count for summary in every]
    keys = {key for summary in every for key in summary.counters}
    all_: dict[int, Counter] = {}
    for key in keys:
        count = error = 0.0
        for summary, min_count in zip(every, min_counts, strict=True):
            counter = summary.counters.get(key)
            count += min_count if counter is None else counter.count
            error += min_count if counter is None else counter.error
        all_[key] = Counter(count, error)
    for key in sorted(all_, key=lambda key: (-all_[key].count, key))[:size]:
        merged.counters[key] = all_[key]
    return merged


class HeavyHitters:
    """Own and reported counts of one kind of key.  `now`: s."""

    def __init__(self, kind: str, now: float, size: int = SIZE) -> None:
        self.kind, self.own, self._at, self._size = kind, Summary(size), now, size
        self._others: dict[str, tuple[Summary, float]] = {}

    def add(self, now: float, key: int, weight: float = 1.0) -> None:
        """Count a key of an own request."""
        self._fade(now)
        self.own.add(key, weight)

    def _fade(self, now: float) -> None:
        if now - self._at >= HALF_LIFE_S / 50.0:
            self.own.decay(0.5 ** ((now - self._at) / HALF_LIFE_S))
            self._at = now

    def report(self, now: float) -> HeavyHitterReport:
        """The report of the own counts."""
        self._fade(now)
        top = self.own.top()
        return HeavyHitterReport(
            self.kind,
            [key for key, _, _ in top],
            [round(c, 1) for _, c, _ in top],
            [round(e, 1) for _, _, e in top],
        )

    def merge_report(self, now: float, member: str, counted: HeavyHitterReport, age: float) -> None:
        """Replace a member's report by a new one, written `age` s ago; drop invalid ones."""
        if member not in self._others and len(self._others) >= MAX_MEMBERS:
            return
        if not len(counted.keys) == len(counted.counts) == len(counted.errors) <= self._size:
            return
        left = 0.5 ** (age / HALF_LIFE_S)
        summary = Summary(self._size)
        for key, count, error in zip(counted.keys, counted.counts, counted.errors, strict=True):
            summary.counters[key] = Counter(count * left, min(error, count) * left)
        self._others[member] = summary, now - age

    def forget_member(self, member: str) -> None:
        """Drop the counts of a member that is dead or has left."""
        self._others.pop(member, None)

    def fleet_summary(self, now: float) -> Summary:
        """Merge the own counts with all recent reports."""
        self._fade(now)
        every = [self.own]
        for member, (summary, at) in list(self._others.items()):
            if now - at > STALE_S:
                del self._others[member]
                continue
            aged = Summary(self._size)
            left = 0.5 ** ((now - at) / HALF_LIFE_S)
            aged.counters = {
                key: Counter(c.count * left, c.error * left) for key, c in summary.counters.items()
            }
            every.append(aged)
        return merge(every, self._size)


def hash_of(text: str) -> int:
    """63-bit hash of a text, the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") >> 1
