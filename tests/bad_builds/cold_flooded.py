"""Injected bug: a node that has just started is treated as warm."""

from snowstall.balance import Balancer


def plant():
    Balancer._warmth = lambda self, cache, now: 1.0
    admits = Balancer._takes_key

    def admitted(self, cache, key, now):
        since, cache.cold_since = cache.cold_since, 0.0
        try:
            return admits(self, cache, key, now)
        finally:
            cache.cold_since = since

    Balancer._takes_key = admitted
