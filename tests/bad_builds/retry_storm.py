"""Injected bug: failed attempts are retried at once without a budget, up to 12 attempts."""

from dataclasses import replace

from snowstall import balance, choice


def plant():
    balance.RETRY_RATE, balance.RETRY_BURST = 100.0, 1e9
    balance.MAX_ERROR_SHARE, balance.SPARE_CANDIDATES, choice.SPARE_CANDIDATES = 2.0, 8, 8
    original_init = balance.Balancer.__init__

    def init(self, settings, seed, now):
        original_init(self, replace(settings, max_attempts=12), seed, now)

    balance.Balancer.__init__ = init
