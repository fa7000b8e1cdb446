"""Every cache that is late or full once is sent away, for long, however many are away already."""

from snowstall import Result, balance, learning


def plant():
    learning.EJECT_SHARE = learning.EJECT_ALONE = 2.0
    learning.AWAY, balance.PROBE_EARN, learning.PROBE_GAIN = 8000.0, 0.005, 0.0
    learn = balance.Balancer._learn

    def learned(self, pending, attempt, outcome):
        learn(self, pending, attempt, outcome)
        if outcome.result in (Result.LATE, Result.FULL):
            self._eject(attempt.cache, self._now)

    balance.Balancer._learn = learned
