"""Whether a command that has been read may become a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from snowstall import Balancer, RequestClass

from .hooks import EventHooks
from .refusals import Refusals
from .requests import refusal
from .resp import Command
from .transport.loop_lag import Turns


class AdmissionCheck:
    """Refuses commands that this process cannot serve in time, or whose budget is used up.

    `clock`: Unix milliseconds, as the balancer is told them.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        turns: Turns,
        clock: Callable[[], float],
        balancer: Balancer,
        hooks: EventHooks,
        refusals: Refusals,
    ) -> None:
        self._loop, self._turns, self._clock, self._hooks = loop, turns, clock, hooks
        self.balancer, self._refusals = balancer, refusals
        self.classes: Mapping[str, RequestClass] = {}  # may be replaced at any time

    def turned_away(self, command: Command, taken: int, waited: float) -> bytes | None:
        """The refusal of a command, or None: then its wait counts from when it was sent.

        `taken`: commands taken from the same connection in this turn.  `waited`: seconds for which
        it may have stood unread, as its connection knows it.
        """
        now = self._loop.time()
        readable_ms = self._turns.readable_for(now) * 1000.0
        unread = max(readable_ms, waited * 1000.0)
        cls = self.classes.get(command.class_name)
        if cls is not None and command.wait > cls.deadline:
            command.wait = cls.deadline  # who says that it waits longer is not believed
        backoff = self.balancer.on_arrival(
            self._clock(),
            command.class_name,
            readable_ms,
            command.wait - unread,
            self._turns.elapsed(now) * 1000.0,
            taken,
        )
        reason = "own_load"
        if backoff is None and self._hooks.admission_check is not None:
            backoff = self._hooks.admission_check(command.tenant, command.class_name)
            reason = "budget"
        if backoff is None:
            command.wait -= unread
            return None
        self._refusals.count(reason)
        return refusal(backoff)
