"""Injected bug: a keyed request is repeated up to 100 ms late, without a check of its delivery."""

from snowstall import attempts
from violetroute.attempt_limits import AttemptLimits


def plant():
    attempts.REPEAT_MARGIN_MS = -100.0
    AttemptLimits._check_delivery = lambda self, attempt: None
