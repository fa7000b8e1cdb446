"""Injected bug: a malformed response counts as a request that was never sent."""

from snowstall import Result
from violetroute.proxy import Proxy

original_attempt_ended = Proxy.attempt_ended


def plant():
    Proxy.attempt_ended = lambda self, attempt, result, *more, **named: original_attempt_ended(
        self, attempt, Result.NEVER_SENT if result is Result.MALFORMED else result, *more, **named
    )
