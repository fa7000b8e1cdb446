"""Injected bug: a reset counts as never sent, so an unsafe request is refused or retried."""

from snowstall import Result
from violetroute.upstream.connection import NodeConnection

original_fail_attempt = NodeConnection._fail_attempt


def plant():
    NodeConnection._fail_attempt = lambda self, result: original_fail_attempt(
        self, Result.NO_CONNECTION if result is Result.RESET else result
    )
