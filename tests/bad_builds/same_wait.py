"""All that are refused are told the same wait, and come back together."""

from snowstall.balance import Balancer


def plant():
    Balancer._backoff = lambda self, limiter: self.settings.max_backoff
