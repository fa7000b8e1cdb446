"""Preparation of a term: collects promises of a majority, copies their most recent log.  No I/O.

The leader's own promise is durable before the first `Prepare` is sent; the recovery of a lost disk
relies on this.  Promises of recovering replicas do not count, since such a replica does not know
what it acknowledged.  Every committed batch is in the log of some member of any majority, and the
log with the greatest last point has every committed batch of that majority.  `Prepare` is repeated
throughout the term to replicas that neither promised nor fetched, so that they learn who leads.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from .actions import MachineSettings, Reply
from .leader_contact import contact_time
from .messages import Fetch, FetchReply, FetchStatus, LogPoint, Prepare, Promise
from .outbox import Outbox
from .replica import LogConflict, Replica
from .retry import Backoff, Random
from .transfer import apply_reply


@dataclass(frozen=True, slots=True)
class _Copy:
    """An outstanding fetch from the replica with the most recent log."""

    ticket: int
    source: str
    fetch: Fetch


class Preparation:
    """Preparation of one leader's term with the fencing token `fence`."""

    __slots__ = (
        "_contacts",
        "_copy",
        "_drift",
        "_fence",
        "_followers",
        "_name",
        "_outbox",
        "_prepares",
        "_promises",
        "_quorum",
        "_replica",
        "_retries",
        "_timeout_s",
        "contacts",
        "fenced_by",
        "ready",
    )

    def __init__(
        self,
        settings: MachineSettings,
        fence: int,
        replica: Replica,
        outbox: Outbox,
        random: Random,
        now: float,
    ) -> None:
        self._name = settings.name
        self._quorum = len(settings.machines) // 2 + 1
        self._timeout_s = settings.timeout_s
        self._fence = fence
        self._replica = replica
        self._outbox = outbox
        others = [name for name in settings.machines if name != settings.name]
        self._retries = {name: Backoff(settings.retry_s, random, now) for name in others}
        self._prepares: dict[int, str] = {}
        self._promises: dict[str, Promise] = {}
        self._drift = settings.drift
        self._contacts: dict[str, float] = {}  # `contact_time` by promising machine
        self.contacts: tuple[float, ...] = ()  # those of the promising majority, once `ready`
        self._followers: set[str] = set()
        self._copy: _Copy | None = None
        self.ready = False  # the log has all batches committed before this term
        self.fenced_by: int | None = None  # higher fence promised to another leader

    @property
    def next_at(self) -> float:
        """Time of the next `step`; infinite if none is due."""
        if not self.ready and not self._replica.synced:
            return inf
        return min((self._retries[name].next_at for name in self._to_prepare()), default=inf)

    def _to_prepare(self) -> list[str]:
        prepared = set(self._prepares.values())
        known = prepared | self._promises.keys()
        if self.ready:
            known |= self._followers
        return [name for name in self._retries if name not in known]

    def record_fetch(self, replica: str) -> None:
        """Records a fetch with this term's fence; once `ready`, its sender gets no `Prepare`."""
        self._followers.add(replica)

    def step(self, now: float) -> None:
        """Sends due `Prepare` messages; with a majority, copies missing batches."""
        if not self.ready and not self._replica.synced:
            return  # the own promise or copied batches are not durable yet
        for name in self._to_prepare():
            if now >= self._retries[name].next_at:
                prepare = Prepare(self._name, self._fence)
                self._prepares[self._outbox.send(name, prepare, self._timeout_s)] = name
        if not self.ready and self._copy is None:
            self._adopt_log()

    def _adopt_log(self) -> None:
        counted = {
            name: promise.last for name, promise in self._promises.items() if not promise.recovering
        }
        if 1 + len(counted) < self._quorum:
            return
        source = max(counted, key=counted.__getitem__, default=self._name)
        own = self._replica.last
        if counted.get(source, LogPoint()) <= own:
            self.ready = True
            self.contacts = tuple(self._contacts[name] for name in counted)
            return
        fetch = Fetch(self._name, self._fence, own, self._replica.commit, copying=True)
        ticket = self._outbox.send(source, fetch, self._timeout_s)
        self._copy = _Copy(ticket, source, fetch)

    def owns(self, ticket: int) -> bool:
        """Whether this ticket is of an outstanding `Prepare` or copy fetch."""
        return ticket in self._prepares or (self._copy is not None and self._copy.ticket == ticket)

    def replied(self, now: float, ticket: int, reply: Reply | None) -> None:
        """Handles the reply to a `Prepare` or a copy fetch; None if there was none."""
        if ticket in self._prepares:
            self._handle_promise(now, self._prepares.pop(ticket), reply)
        elif self._copy is not None and self._copy.ticket == ticket:
            copy, self._copy = self._copy, None
            self._handle_copy(now, copy, reply)

    def _handle_promise(self, now: float, name: str, reply: Reply | None) -> None:
        if not isinstance(reply, Promise):
            self._retries[name].failed(now)
        elif not reply.granted:
            self.fenced_by = max(reply.fence, self._fence)
        else:
            self._promises[name] = reply
            self._contacts[name] = contact_time(reply, now, self._drift)

    def _handle_copy(self, now: float, copy: _Copy, reply: Reply | None) -> None:
        if isinstance(reply, FetchReply) and self._is_progress(copy, reply):
            try:
                self._outbox.persist(apply_reply(self._replica, copy.fetch, reply))
            except LogConflict as error:
                self._outbox.notice("copy_refused", source=copy.source, reason=str(error))
            else:
                return
        elif isinstance(reply, FetchReply) and reply.fence > self._fence:
            self.fenced_by = reply.fence
        del self._promises[copy.source]  # prepare again: another source may be better now
        self._retries[copy.source].failed(now)

    def _is_progress(self, copy: _Copy, reply: FetchReply) -> bool:
        if reply.fence != self._fence or reply.status == FetchStatus.NOT_LEADER:
            return False
        return bool(reply.batches) or reply.status != FetchStatus.OK

    # --- for state space exploration ---
    def key(self, now: float) -> tuple[Any, ...]:
        """Returns all state that affects later behavior, with times relative to `now`."""
        due = tuple(
            (name, retry.failures, max(0.0, round(retry.next_at - now, 6)))
            for name, retry in sorted(self._retries.items())
        )
        copy = None if self._copy is None else (self._copy.source, self._copy.fetch)
        promises = tuple(
            (name, promise, round(self._contacts[name] - now, 6))
            for name, promise in sorted(self._promises.items())
        )
        contacts = tuple(round(at - now, 6) for at in self.contacts)
        followers = tuple(sorted(self._followers))
        prepared = tuple(sorted(self._prepares.values()))
        return (self.ready, followers, due, prepared, promises, contacts, copy)
