"""Injected bug: a node that has just started is treated as warm."""

from snowstall.balance import Balancer


def plant():
    Balancer._warmth = lambda self, cache, now: 1.0
    original_takes_key = Balancer._takes_key

    def takes_key(self, cache, key, now):
        since, cache.cold_since = cache.cold_since, 0.0
        try:
            return original_takes_key(self, cache, key, now)
        finally:
            cache.cold_since = since

    Balancer._takes_key = takes_key
