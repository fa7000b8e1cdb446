"""Injected bug: a cache is ejected for long after one late or full outcome.

There is no limit on how many are ejected at once.
"""

from snowstall import Result, balance, learning


def plant():
    learning.MAX_EJECTED_SHARE = learning.MAX_EJECTED_CALM = 2.0
    learning.EJECTION_MS, balance.PROBE_RATE, learning.PROBES_PER_RECOVERY = (
        8000.0,
        0.005,
        0.0,
    )
    original_learn = balance.Balancer._learn_outcome

    def learn_and_eject(self, pending, attempt, outcome):
        original_learn(self, pending, attempt, outcome)
        if outcome.result in (Result.LATE, Result.FULL):
            self._eject(attempt.cache, self._now)

    balance.Balancer._learn_outcome = learn_and_eject
