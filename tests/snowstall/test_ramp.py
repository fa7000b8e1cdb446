"""The load of cold nodes from many proxies together, with Balancer instances alone.

The requirement of 2026-12-02: in any window a cold node gets at most the N requests that the
settings allow, plus 2 * sqrt(N) + 2 for chance, also with twenty or thirty proxies.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from snowstall import (
    Balancer,
    Effect,
    ListKind,
    Member,
    Outcome,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
    Timer,
)
from snowstall.choice import Choice

NODES, RATE, LOAD = 12, 300.0, 0.6  # requests a second in total; share of the warm nodes' capacity
OVERLOAD_FACTOR, WINDOW_MS = 3.0, 3_000.0  # overloadFactor, fallMs
# Ms: nodes start, the run ends, the key turns hot.
STARTS_AT, ENDS_AT, HOT_FROM = 10_000.0, 22_000.0, 9_500.0
WARM, COLD = 20_000.0, 0.2
CAPACITY = RATE / LOAD / NODES  # a second, of a warm node
CLASS = RequestClass("read", 300, 600, Effect.PURE)
SETTINGS = Settings(
    (CLASS,),
    4,
    can_cancel=True,
    can_hedge=True,
    cold_share=COLD,
    warm_time=WARM,
    cross_zone_price=0.12,
)


class Fleet:
    """Proxies with uneven shares of the requests, and nodes that start at the same time."""

    def __init__(self, proxies: int, cold: int, seed: int, hot: float) -> None:
        self.random, self.hot = random.Random(seed), hot
        self.members = [Member(1000 + 7919 * n, zone=f"z{n % 3}") for n in range(NODES)]
        self.cold = {member.id for member in self.members[:cold]}
        self.proxies = [
            Balancer(replace(SETTINGS, proxies=proxies, zone=f"z{n % 3}"), 1000 * seed + n, 0.0)
            for n in range(proxies)
        ]
        self.weights = [0.2 + self.random.expovariate(1.0) for _ in self.proxies]
        self.keys = [self.random.getrandbits(52) for _ in range(2000)]
        self.ranks = list(itertools.accumulate(1.0 / (n + 1) ** 1.05 for n in range(2000)))
        self.events: list[tuple[float, int, Any]] = []
        self.number = itertools.count()
        self.sends: Counter[tuple[int, int]] = Counter()
        self.arrivals: dict[int, list[float]] = {name: [] for name in self.cold}

    def at(self, when: float, event: Any) -> None:
        heapq.heappush(self.events, (when, next(self.number), event))

    def apply(self, index: int, now: float, actions: list[Any]) -> None:
        proxy = self.proxies[index]
        for action in actions:
            if isinstance(action, Timer):
                label = action.label
                self.at(
                    now + action.delay,
                    lambda t, label=label: self.apply(index, t, proxy.on_timer(t, label)),
                )
            elif isinstance(action, Send):
                cold = action.cache_id in self.cold and now >= STARTS_AT
                if cold:
                    self.arrivals[action.cache_id].append(now)
                took = self.random.uniform(60.0, 160.0) * (1 + cold)
                number = self.sends[index, action.request_id]
                self.sends[index, action.request_id] += 1
                outcome = Outcome(action.request_id, number, Result.OK, False, took, not cold)
                self.at(
                    now + took,
                    lambda t, outcome=outcome: self.apply(index, t, proxy.on_outcome(t, outcome)),
                )

    def send_request(self, now: float) -> None:
        index = self.random.choices(range(len(self.proxies)), self.weights)[0]
        if now >= HOT_FROM and self.random.random() < self.hot:
            key = 4711
        else:
            key = self.keys[bisect.bisect(self.ranks, self.random.random() * self.ranks[-1])]
        request = Request(next(self.number), CLASS.name, now + 600.0, key)
        self.apply(index, now, self.proxies[index].on_request(now, request))
        self.at(now + self.random.expovariate(RATE / 1000.0), self.send_request)

    def start(self, now: float) -> None:
        members = [m._replace(started_at=now) for m in self.members if m.id in self.cold]
        for index, proxy in enumerate(self.proxies):
            self.apply(index, now, proxy.on_list(now, ListKind.CHANGES, members))

    def worst_excess(self) -> float:
        """Return the excess over N of the worst window of any cold node, divided by sqrt(N)."""
        for index, proxy in enumerate(self.proxies):
            self.apply(index, 0.0, proxy.on_list(0.0, ListKind.CACHED, self.members))
        self.at(0.0, self.send_request)
        self.at(STARTS_AT, self.start)
        while self.events[0][0] < ENDS_AT:
            now, _, event = heapq.heappop(self.events)
            event(now)
        worst = -math.inf
        for arrivals in self.arrivals.values():
            for first, window_start in enumerate(arrivals):
                count = bisect.bisect(arrivals, window_start + WINDOW_MS) - first
                warm = min(1.0, COLD + (1.0 - COLD) * (window_start - STARTS_AT) / WARM)
                budget = OVERLOAD_FACTOR * warm * CAPACITY * WINDOW_MS / 1000.0
                worst = max(worst, (count - budget - 2.0) / math.sqrt(budget))
        return worst


@pytest.mark.parametrize(("proxies", "cold"), [(1, 1), (8, 1), (20, 1), (30, 1), (8, 4), (30, 4)])
def test_a_cold_node_gets_no_more_than_its_ramp_from_all_proxies_together(
    proxies: int, cold: int
) -> None:
    """A hot key with a quarter of all requests appears as the nodes start.

    `cold`: the number of nodes that start together; 4 are a whole zone.
    """
    assert Fleet(proxies, cold, seed=3, hot=0.25).worst_excess() <= 2.0


def test_proxies_that_ignore_the_ramp_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        Choice, "_takes_key", lambda self, cache, key, now: self._is_available(cache, now)
    )
    monkeypatch.setattr(Choice, "_warmth", lambda self, cache, now: 1.0)
    assert Fleet(30, 4, seed=3, hot=0.25).worst_excess() > 2.0
