"""Injected bug: a cold node is treated as warm, and the last started node gets requests first."""

from snowstall import Balancer

cost = Balancer._cost


def prefer_cold(self, cache, tie, now):
    cold = cache.started_at > 0 and now - cache.started_at < 6000
    return tie - 2.0 if cold else cost(self, cache, tie, now)


def plant():
    Balancer._cost = prefer_cold
    Balancer._warmth = lambda self, cache, now: 1.0
    Balancer._takes_key = lambda self, cache, key, now: now >= cache.excluded_until
