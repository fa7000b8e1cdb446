"""Decides whether a command that has been read is admitted as a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from snowstall import Balancer, RequestClass

from .clients import LocalRefusal
from .hooks import EventHooks
from .reason_counter import ReasonCounter
from .requests import refusal
from .resp import Command
from .transport.loop_lag import Turns


class AdmissionCheck:
    """Rejects commands that this process cannot serve in time, or whose budget is used up.

    `clock`: Unix milliseconds, the clock that the balancer gets its times from.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        turns: Turns,
        clock: Callable[[], float],
        balancer: Balancer,
        hooks: EventHooks,
        refusals: ReasonCounter,
    ) -> None:
        self._loop, self._turns, self._clock, self._hooks = loop, turns, clock, hooks
        self.balancer, self._refusals = balancer, refusals
        self.classes: Mapping[str, RequestClass] = {}  # replaced on reload

    def rejection(self, command: Command, taken: int, waited: float) -> bytes | None:
        """The BUSY reply for a rejected command, or None if it is admitted; call it once for each.

        For an admitted command, the time that it was readable but unread is deducted from
        `command.wait`.  `taken`: commands taken from this connection in this loop iteration.
        `waited`: the connection's estimate of that time, in seconds.
        """
        now = self._loop.time()
        readable_ms = self._turns.readable_for(now) * 1000.0
        unread = max(readable_ms, waited * 1000.0)
        cls = self.classes.get(command.class_name)
        if cls is not None and command.wait > cls.deadline:
            command.wait = cls.deadline  # a client's wait can't exceed its class's deadline
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

    def refuse(self, reason: LocalRefusal) -> bytes:
        """Count a command that its connection refuses by itself, and return its BUSY reply."""
        self._refusals.count(reason.value)
        return refusal(0.0)
