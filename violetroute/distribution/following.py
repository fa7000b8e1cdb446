"""The fetch loop of a follower: where it fetches batches from, and how it applies replies.  Pure.

One fetch is in flight at a time, and none is sent while a write to the disk is pending, since a
fetch acknowledges its `last` as durable.  The leader is the machine that the replica's last promise
went to.  While the leader does not answer, every second fetch goes to one of the other machines in
turn: a machine that does not lead names the leader it knows in its reply.
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
    """A fetch that has not been answered yet, and the machine it was sent to."""

    ticket: int
    to: str
    fetch: Fetch
    sent_at: float


@dataclass(frozen=True, slots=True)
class FetchResult:
    """A reply from the current leader that has been applied."""

    ticket: int
    sent_at: float
    reply: FetchReply


class FetchLoop:
    """The fetch loop of one replica."""

    __slots__ = (
        "_backoff",
        "_last_reply_number",
        "_name",
        "_outbox",
        "_outstanding",
        "_peer_index",
        "_peers",
        "_replica",
        "_timeout_s",
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
        self._peers = tuple(name for name in settings.machines if name != settings.name)
        self._timeout_s = settings.timeout_s
        self._replica = replica
        self._outbox = outbox
        self._backoff = Backoff(settings.retry_s, random, now)
        self._outstanding: OutstandingFetch | None = None
        self._last_reply_number = 0  # `number` of the leader's last reply
        self._peer_index = 0  # index in `_peers` of the machine tried last

    @property
    def leader(self) -> str:
        """The leader's name; empty if none is known or this machine was the last leader itself."""
        return "" if self._replica.leader == self._name else self._replica.leader

    @property
    def next_at(self) -> float:
        """When `step` is due; infinite while a reply or a write to the disk is pending."""
        waiting = self._outstanding is not None or not self._replica.synced
        return inf if waiting or not self._peers else self._backoff.next_at

    def leader_changed(self, now: float) -> None:
        """A new promise was made: drop the outstanding fetch, which belongs to an earlier one."""
        self._outstanding = None
        self._last_reply_number = 0
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
            answered=self._last_reply_number,
        )
        to = self._target()
        ticket = self._outbox.send(to, fetch, self._timeout_s)
        self._outstanding = OutstandingFetch(ticket, to, fetch, now)

    def _target(self) -> str:
        if self.leader and self._backoff.failures % 2 == 0:
            return self.leader
        self._peer_index = (self._peer_index + 1) % len(self._peers)
        return self._peers[self._peer_index]

    def owns(self, ticket: int) -> bool:
        """Whether this ticket is that of the outstanding fetch."""
        return self._outstanding is not None and self._outstanding.ticket == ticket

    def replied(self, now: float, reply: Reply | None) -> FetchResult | None:
        """Apply the reply to the outstanding fetch.  None if it failed or is not the leader's."""
        outstanding, self._outstanding = self._outstanding, None
        assert outstanding is not None
        if not isinstance(reply, FetchReply) or not self._is_from_leader(outstanding, reply):
            self._backoff.failed(now)
            return None
        try:
            changes = apply_reply(self._replica, outstanding.fetch, reply)
        except LogConflict as error:
            self._outbox.notice("batches_refused", leader=outstanding.to, reason=str(error))
            self._backoff.failed(now)
            return None
        self._outbox.persist(changes)
        self._last_reply_number = reply.number
        self._backoff.succeeded(now)
        return FetchResult(outstanding.ticket, outstanding.sent_at, reply)

    def _is_from_leader(self, outstanding: OutstandingFetch, reply: FetchReply) -> bool:
        return (
            reply.status != FetchStatus.NOT_LEADER
            and reply.fence == self._replica.fence == outstanding.fetch.fence
            and outstanding.to == self._replica.leader
        )

    # --- for the state space explorer ---
    def key(self, now: float) -> tuple[Any, ...]:
        """All state that the future behaviour depends on."""
        outstanding = self._outstanding
        sent = None if outstanding is None else (outstanding.to, outstanding.fetch)
        due = max(0.0, round(self._backoff.next_at - now, 6))
        return (sent, self._last_reply_number, self._peer_index, self._backoff.failures, due)
