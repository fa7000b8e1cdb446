"""The beginning of a term: promises of a majority, and the most recent log among them.  Pure.

The own promise is durable before the first `Prepare` is sent; recovery of a lost disk relies on it.
Promises of recovering replicas are not counted: they do not know what they acknowledged.  Any batch
that was committed before is in the log of one of a majority, and the log with the greatest last
point has all that the others of that majority have.  Who has not promised is asked again and again
during the whole term, so that it learns of its leader.
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
    """A fetch of batches from the replica with the most recent log."""

    ticket: int
    source: str
    fetch: Fetch


class Preparation:
    """Collects promises under one fence, then copies the most recent log."""

    __slots__ = (
        "_asked",
        "_contacts",
        "_copy",
        "_drift",
        "_fence",
        "_followers",
        "_name",
        "_outbox",
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
        self._asked: dict[int, str] = {}
        self._promises: dict[str, Promise] = {}
        self._drift = settings.drift
        self._contacts: dict[str, float] = {}  # of those that promised, as in `contact_time`
        self.contacts: tuple[float, ...] = ()  # of the majority, once it is ready
        self._followers: set[str] = set()
        self._copy: _Copy | None = None
        self.ready = False  # the log has everything that was committed before this term
        self.fenced_by: int | None = None  # a fence under which another leader was promised

    @property
    def next_at(self) -> float:
        """When `step` is wanted."""
        if not self.ready and not self._replica.synced:
            return inf
        return min((self._retries[name].next_at for name in self._unasked()), default=inf)

    def _unasked(self) -> list[str]:
        asked = set(self._asked.values())
        known = asked | self._promises.keys()
        if self.ready:
            known |= self._followers
        return [name for name in self._retries if name not in known]

    def follows(self, replica: str) -> None:
        """It has sent a fetch under this term's fence: it need not be asked any more."""
        self._followers.add(replica)

    def step(self, now: float) -> None:
        """Ask who has not promised; with a majority, copy what is missing here."""
        if not self.ready and not self._replica.synced:
            return  # the own promise, or a part of the copy, is on its way to the disk
        for name in self._unasked():
            if now >= self._retries[name].next_at:
                prepare = Prepare(self._name, self._fence)
                self._asked[self._outbox.send(name, prepare, self._timeout_s)] = name
        if not self.ready and self._copy is None:
            self._adopt()

    def _adopt(self) -> None:
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
        """Whether the reply with this ticket is to a request of this term's beginning."""
        return ticket in self._asked or (self._copy is not None and self._copy.ticket == ticket)

    def replied(self, now: float, ticket: int, reply: Reply | None) -> None:
        """The reply to a `Prepare` or to a fetch of the copy; None: there was none."""
        if ticket in self._asked:
            self._promised(now, self._asked.pop(ticket), reply)
        elif self._copy is not None and self._copy.ticket == ticket:
            copy, self._copy = self._copy, None
            self._copied(now, copy, reply)

    def _promised(self, now: float, name: str, reply: Reply | None) -> None:
        if not isinstance(reply, Promise):
            self._retries[name].failed(now)
        elif not reply.granted:
            self.fenced_by = max(reply.fence, self._fence)
        else:
            self._promises[name] = reply
            self._contacts[name] = contact_time(reply, now, self._drift)

    def _copied(self, now: float, copy: _Copy, reply: Reply | None) -> None:
        if isinstance(reply, FetchReply) and self._is_progress(copy, reply):
            try:
                self._outbox.persist(apply_reply(self._replica, copy.fetch, reply))
            except LogConflict as error:
                self._outbox.notice("copy_refused", source=copy.source, reason=str(error))
            else:
                return
        elif isinstance(reply, FetchReply) and reply.fence > self._fence:
            self.fenced_by = reply.fence
        del self._promises[copy.source]  # ask again: another may have become the better source
        self._retries[copy.source].failed(now)

    def _is_progress(self, copy: _Copy, reply: FetchReply) -> bool:
        if reply.fence != self._fence or reply.status == FetchStatus.NOT_LEADER:
            return False
        return bool(reply.batches) or reply.status != FetchStatus.OK

    # --- for the checker ---
    def key(self, now: float) -> tuple[Any, ...]:
        """All that what follows depends on."""
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
        asked = tuple(sorted(self._asked.values()))
        return (self.ready, followers, due, asked, promises, contacts, copy)
