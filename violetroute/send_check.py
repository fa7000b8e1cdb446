"""Decides, right before the first byte of an attempt, whether it may still be sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from .requests import OpenRequest
from .transport.loop_lag import Turns
from .upstream import Attempt


class SendCheck:
    """Checks that a request is open, that its time is not over, and that its client is there.

    `clock`: Unix ms, the balancer's clock.  `end_unseen`: ends a request whose client may have
    left; it is called in the next turn.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        turns: Turns,
        clock: Callable[[], float],
        open_requests: Mapping[int, OpenRequest],
        end_unseen: Callable[[OpenRequest], None],
    ) -> None:
        self._loop, self._turns, self._clock = loop, turns, clock
        self._open, self._end_unseen = open_requests, end_unseen

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt may be sent; as in `AttemptOwner`."""
        request = self._open.get(attempt.request_id)
        if request is None or not request.may_begin(attempt, self._clock()):
            return False
        if self._turns.reads_late(self._loop.time()) and request.answer.client_left():
            return False
        if request.answer.client_may_have_left():
            self._loop.call_soon(self._end_unseen, request)
            return False
        return True
