"""Injected bug: all refused requests get the same wait, so their clients return together."""

from snowstall.balance import Balancer


def plant():
    Balancer._backoff = lambda self, limiter: self.settings.max_backoff
