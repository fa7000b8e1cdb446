"""A replica that does not lead: whom it asks for batches, and what it does with the answer.  Pure.

One fetch at a time, and none while something is on its way to the disk: a fetch acknowledges its
`last` as durable.  The leader is the one that was promised; while it does not answer, the others
are asked in turn, each second time, since a refusal names the leader that its sender knows.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from .actions import MachineSettings, Reply
from .messages import Fetch, FetchReply, FetchStatus
from .outbox import Outbox
from .replica import LogConflict, Replica
from .retry import Backoff, Random
from .transfer import apply_reply


@dataclass(frozen=True, slots=True)
class OutstandingFetch:
    """A fetch that has not been answered yet."""

    ticket: int
    to: str
    fetch: Fetch
    sent_at: float


@dataclass(frozen=True, slots=True)
class FetchResult:
    """A reply of the leader that is followed; it has been applied."""

    ticket: int
    sent_at: float
    reply: FetchReply


class FetchLoop:
    """The fetch loop of one replica."""

    __slots__ = (
        "_answered",
        "_backoff",
        "_name",
        "_others",
        "_outbox",
        "_outstanding",
        "_replica",
        "_timeout_s",
        "_turn",
    )

    def __init__(
        self,
        settings: MachineSettings,
        replica: Replica,
        outbox: Outbox,
        random: Random,
        now: float,
    ) -> None:
        self._name = settings.name
        self._others = tuple(name for name in settings.machines if name != settings.name)
        self._timeout_s = settings.timeout_s
        self._replica = replica
        self._outbox = outbox
        self._backoff = Backoff(settings.retry_s, random, now)
        self._outstanding: OutstandingFetch | None = None
        self._answered = 0  # number of the leader's last answer
        self._turn = 0  # whom of the others to ask next

    @property
    def leader(self) -> str:
        """Whom this replica follows; empty if it knows no leader or was itself the last one."""
        return "" if self._replica.leader == self._name else self._replica.leader

    @property
    def next_at(self) -> float:
        """When `step` is wanted; infinite while a reply or the disk is waited for."""
        waiting = self._outstanding is not None or not self._replica.synced
        return inf if waiting or not self._others else self._backoff.next_at

    def leader_changed(self, now: float) -> None:
        """Another promise was made: what is on its way belongs to an earlier one."""
        self._outstanding = None
        self._answered = 0
        self._backoff.succeeded(now)

    def step(self, now: float) -> None:
        """Send the next fetch if it is due."""
        if now < self.next_at:
            return
        replica = self._replica
        fetch = Fetch(
            self._name,
            replica.fence,
            replica.last,
            replica.commit,
            recovering=replica.recovering,
            answered=self._answered,
        )
        to = self._target()
        ticket = self._outbox.send(to, fetch, self._timeout_s)
        self._outstanding = OutstandingFetch(ticket, to, fetch, now)

    def _target(self) -> str:
        if self.leader and self._backoff.failures % 2 == 0:
            return self.leader
        self._turn = (self._turn + 1) % len(self._others)
        return self._others[self._turn]

    def owns(self, ticket: int) -> bool:
        """Whether the reply with this ticket is to the outstanding fetch."""
        return self._outstanding is not None and self._outstanding.ticket == ticket

    def replied(self, now: float, reply: Reply | None) -> FetchResult | None:
        """The reply to the outstanding fetch; what the leader told, if it came from the leader."""
        outstanding, self._outstanding = self._outstanding, None
        assert outstanding is not None
        if not isinstance(reply, FetchReply) or not self._is_leaders(outstanding, reply):
            self._backoff.failed(now)
            return None
        try:
            changes = apply_reply(self._replica, outstanding.fetch, reply)
        except LogConflict as error:
            self._outbox.notice("batches_refused", leader=outstanding.to, reason=str(error))
            self._backoff.failed(now)
            return None
        self._outbox.persist(changes)
        self._answered = reply.number
        self._backoff.succeeded(now)
        return FetchResult(outstanding.ticket, outstanding.sent_at, reply)

    def _is_leaders(self, outstanding: OutstandingFetch, reply: FetchReply) -> bool:
        return (
            reply.status != FetchStatus.NOT_LEADER
            and reply.fence == self._replica.fence == outstanding.fetch.fence
            and outstanding.to == self._replica.leader
        )

    # --- for the checker ---
    def key(self, now: float) -> tuple[Any, ...]:
        """All that what follows depends on."""
        outstanding = self._outstanding
        sent = None if outstanding is None else (outstanding.to, outstanding.fetch)
        due = max(0.0, round(self._backoff.next_at - now, 6))
        return (sent, self._answered, self._turn, self._backoff.failures, due)
