"""Gives up attempts whose time is over before that of their request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from snowstall import Result

from .requests import OpenRequest
from .upstream import Attempt, Pool


class AttemptLimits:
    """Timers for the repeat window and the delivery bound of attempts.

    A timer holds numbers instead of its attempt: it may be due seconds after the request is closed,
    and would keep the request's command in memory until then.  `give_up`: ends an attempt.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        open_requests: Mapping[int, OpenRequest],
        pool: Pool,
        give_up: Callable[[Attempt, Result], None],
    ) -> None:
        self._loop, self._open, self._pool, self._give_up = loop, open_requests, pool, give_up

    def watch(self, attempt: Attempt, request_ends_at: float, now: float) -> None:
        """Watch a new attempt.  Times are Unix ms, the balancer's clock."""
        if attempt.wait_until < request_ends_at:
            self._call(attempt, attempt.wait_until - now, self._end_window)
        if 0.0 < attempt.deliver_by < attempt.wait_until:
            self._call(attempt, attempt.deliver_by - now, self._check_delivery)

    def _call(self, attempt: Attempt, delay_ms: float, check: Callable[[Attempt], None]) -> None:
        self._loop.call_later(
            delay_ms / 1000.0, self._check, check, attempt.request_id, attempt.number
        )

    def _check(self, check: Callable[[Attempt], None], request_id: int, number: int) -> None:
        request = self._open.get(request_id)
        if request is not None:
            check(request.attempts[number])

    def _end_window(self, attempt: Attempt) -> None:
        self._give_up(attempt, Result.LATE)

    def _check_delivery(self, attempt: Attempt) -> None:
        """Give the attempt up unless its node's kernel has acknowledged the whole command."""
        if not attempt.ended and not self._pool.delivered(attempt):
            self._give_up(attempt, Result.LATE)
