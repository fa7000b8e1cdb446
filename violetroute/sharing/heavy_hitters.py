"""Heavy hitters over many proxies: mergeable summaries.  Pure.

SpaceSaving (Metwally, Agrawal, El Abbadi, 2005) with the merge of Agarwal and others, "Mergeable
Summaries" (2012): of two summaries of k counters each a key that only one has gets the other's
least count as its possible error; the k greatest stay.  A count is never too low, and too high by
at most its error; over the fleet the error is at most the sum of requests over k.

What is told is what one member saw itself, halved every HALF_LIFE_S; a member that has left, or was
not heard of for STALE_S, counts no more.  Keys go as keyed hashes: a datagram names no customer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from .wire import HeavyHitterReport

SIZE = 32  # counters of one summary, and so of one datagram
HALF_LIFE_S = 10.0  # after which half of a count is left
STALE_S = 10.0  # without a report, after which a member's counts are left out
MAX_MEMBERS = 1024


@dataclass(slots=True)
class Counter:
    count: float
    error: float = 0.0


class Summary:
    """The heaviest of what one saw."""

    def __init__(self, size: int = SIZE) -> None:
        self.size = size
        self.counters: dict[int, Counter] = {}

    def add(self, key: int, weight: float = 1.0) -> None:
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
        for counter in self.counters.values():
            counter.count *= left
            counter.error *= left

    @property
    def min_count(self) -> float:
        """What a key that is not here may have had."""
        if len(self.counters) < self.size:
            return 0.0
        return min(counter.count for counter in self.counters.values())

    def top(self) -> list[tuple[int, float, float]]:
        """Key, count, by how much it may be too high."""
        return sorted(
            ((key, c.count, c.error) for key, c in self.counters.items()),
            key=lambda at: (-at[1], at[0]),
        )


def merge(summaries: Iterable[Summary], size: int = SIZE) -> Summary:
    """Of all together; the order does not matter, since the cut is made once, at the end."""
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
    """One kind of key: ours, and what others told.  `now`: s."""

    def __init__(self, kind: str, now: float, size: int = SIZE) -> None:
        self.kind, self.own, self._at, self._size = kind, Summary(size), now, size
        self._others: dict[str, tuple[Summary, float]] = {}

    def add(self, now: float, key: int, weight: float = 1.0) -> None:
        self._fade(now)
        self.own.add(key, weight)

    def _fade(self, now: float) -> None:
        if now - self._at >= HALF_LIFE_S / 50.0:
            self.own.decay(0.5 ** ((now - self._at) / HALF_LIFE_S))
            self._at = now

    def report(self, now: float) -> HeavyHitterReport:
        """What this member saw itself, for the others."""
        self._fade(now)
        top = self.own.top()
        return HeavyHitterReport(
            self.kind,
            [key for key, _, _ in top],
            [round(c, 1) for _, c, _ in top],
            [round(e, 1) for _, _, e in top],
        )

    def merge_report(self, now: float, member: str, counted: HeavyHitterReport, age: float) -> None:
        """Take another member's report, written `age` s ago, in place of its last one."""
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
        """It has left: its counts go with it."""
        self._others.pop(member, None)

    def fleet_summary(self, now: float) -> Summary:
        """Of all that were heard of lately, and of this one."""
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
    """63 bits that are the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") >> 1
