"""One control machine: the log, its leader's term, and the proxies' sessions.  Pure.

Events come in as method calls with `now` (seconds of the machine's monotonic clock, never falling)
and return the actions that they lead to, in order.  Every event is legal in every state.  After
each event everything that is due is done, so no event has to be followed by another one but
`tick` at `next_at`.

Bounds: one outstanding fetch and one report, one `Prepare` to each machine, one held fetch of each
replica, `publications_most` publications, one held poll of each session.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable
from random import Random
from typing import Any

import msgspec

from .actions import Action, Fenced, HandOn, MachineSettings, Reply, Stored
from .following import FetchLoop
from .in_force import InForce, InForceSettings
from .leader_contact import LeaderContact, latest_contact
from .leadership import Leadership
from .messages import (
    Fetch,
    FetchReply,
    FetchStatus,
    Message,
    Poll,
    Prepare,
    Promise,
    Publish,
    Published,
    PublishStatus,
    Report,
    ReportReply,
    StatusReply,
    StatusRequest,
)
from .outbox import Outbox
from .recovery import Recovery
from .replica import Replica
from .sessions import PollAnswer, Sessions
from .transfer import batches_for

INCARNATION_BITS = 64


class Machine:
    """One process of one control machine, from what is stored at its start."""

    def __init__(
        self, settings: MachineSettings, stored: Stored, random: Random, now: float
    ) -> None:
        self._settings = settings
        self._random = random
        self.incarnation = f"{random.getrandbits(INCARNATION_BITS):016x}"
        self.replica = Replica(stored)
        self._outbox = Outbox(self.replica)
        self._following = FetchLoop(settings, self.replica, self._outbox, random, now)
        self._recovery: Recovery | None = None
        if stored.recovering:
            self._recovery = Recovery(settings, self.replica, self._outbox, random, now)
        self._sessions = Sessions(
            settings.sessions(), settings.name, self.incarnation, self.replica, random, now
        )
        self._contact = LeaderContact(now)
        self._leadership: Leadership | None = None
        self._in_force: InForce | None = None
        self._reports: dict[int, Report] = {}  # the one on its way, by its ticket
        self._commit_told = self.replica.commit
        self._retain_at = now + settings.retain_every_s

    # --- what is known ---
    @property
    def leading(self) -> bool:
        """Whether a term of this machine is going on, at least its preparation."""
        return self._leadership is not None

    @property
    def leader(self) -> str:
        """The leader that this machine follows, or itself; empty if it knows none."""
        return self._settings.name if self.leading else self._following.leader

    @property
    def earlier_contact_at(self) -> float:
        """While its term is open: no age of an earlier leader counts from a later time."""
        others = () if self._leadership is None else self._leadership.contacts
        return latest_contact(self._contact.at, others)

    @property
    def next_at(self) -> float:
        """When `tick` is wanted; it may be in the past, or infinite."""
        times = [self._sessions.next_at, self._retain_at]
        if self._leadership is not None:
            times.append(self._leadership.next_at)
        else:
            times.append(self._following.next_at)
        if self._in_force is not None:
            times.append(self._in_force.next_at)
        if self._recovery is not None:
            times.append(self._recovery.next_at)
        return min(times)

    # --- events ---
    def requested(self, now: float, ticket: int, message: Message) -> list[Action]:
        """A request came in; it is answered by an `Answer` with its ticket, now or later."""
        match message:
            case Prepare():
                self._prepare(now, ticket, message)
            case Fetch():
                self._fetch(now, ticket, message)
            case Report():
                self._report(now, ticket, message)
            case Poll():
                self._answer_polls(self._sessions.poll_received(now, ticket, message))
            case Publish():
                self._publish(now, ticket, message)
            case StatusRequest():
                self._outbox.answer(ticket, self._status(now, message))
            case _:
                raise TypeError(f"{type(message).__name__} is no request")
        return self._advance(now)

    def abandoned(self, ticket: int) -> list[Action]:
        """Nobody waits for the answer to this request any more."""
        self._outbox.abandoned(ticket)
        self._sessions.abandoned(ticket)
        if self._leadership is not None:
            self._leadership.abandoned(ticket)
        return self._outbox.take()

    def replied(self, now: float, ticket: int, reply: Reply | None) -> list[Action]:
        """The reply to a request of this machine; None: there was none in time."""
        if isinstance(reply, FetchReply):
            self._heard_of_leader(now, reply.fence, reply.leader)
        if self._following.owns(ticket):
            fetched = self._following.replied(now, reply)
            if fetched is not None:
                self._contact.answered(now)
                if self._recovery is not None:
                    self._recovery.fetched(fetched)
        elif self._recovery is not None and self._recovery.owns(ticket):
            self._recovery.replied(now, ticket, isinstance(reply, FetchReply))
        elif self._leadership is not None and self._leadership.owns(ticket):
            self._leadership.replied(now, ticket, reply)
        elif ticket in self._reports:
            answer = reply if isinstance(reply, ReportReply) else None
            self._answer_polls(self._sessions.replied(now, self._reports.pop(ticket), answer))
        return self._advance(now)

    def persisted(self, now: float, ticket: int) -> list[Action]:
        """All changes up to this ticket's are durable."""
        self.replica.persisted(ticket)
        self._outbox.persisted(ticket)
        return self._advance(now)

    def lead(self, now: float, fence: int) -> list[Action]:
        """The lease was given to this machine, with this fence."""
        if self._leadership is not None and self._leadership.fence == fence:
            return self._advance(now)
        self._end_term(now)
        if self.replica.recovering:
            self._outbox.notice("cannot_lead", reason="recovering")
            self._outbox.add(HandOn())
        elif fence <= self.replica.fence:
            self._outbox.add(Fenced(self.replica.fence))
        else:
            self._begin_term(now, fence)
        return self._advance(now)

    def step_down(self, now: float) -> list[Action]:
        """The lease has gone, or is given back."""
        self._end_term(now)
        return self._advance(now)

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        return self._advance(now)

    # --- promises and terms ---
    def _begin_term(self, now: float, fence: int) -> None:
        self._promise(now, fence, self._settings.name)
        self._leadership = Leadership(
            self._settings, fence, self.replica, self._outbox, self._random, now
        )
        bound = InForceSettings(self._settings.stale_after_s, self._settings.drift)
        self._in_force = InForce(bound, self._settings.machines, now)
        self._outbox.notice("term_began", fence=fence)

    def _end_term(self, now: float) -> None:
        if self._leadership is None:
            return
        self._contact.led(self._leadership.as_of(now))
        self._leadership.end(self.replica.fence)
        self._outbox.notice("term_ended", fence=self._leadership.fence)
        self._leadership = None
        self._in_force = None
        self._following.leader_changed(now)

    def _promise(self, now: float, fence: int, leader: str) -> None:
        """Promise, durably; a term of an earlier fence ends."""
        changes = self.replica.promise(fence, leader)
        if not changes:
            return
        self._outbox.persist(changes)
        self._following.leader_changed(now)
        if self._leadership is not None and self._leadership.fence < fence:
            self._outbox.add(Fenced(fence))
            self._end_term(now)

    def _heard_of_leader(self, now: float, fence: int, leader: str) -> None:
        """Another machine has promised this fence to `leader` ("": unknown).  Promise it too."""
        known = leader in self._settings.machines and leader != self._settings.name
        named = leader if known else ""
        if fence > self.replica.fence or (fence == self.replica.fence and not self.replica.leader):
            self._promise(now, fence, named)

    def _prepare(self, now: float, ticket: int, prepare: Prepare) -> None:
        other = prepare.leader in self._settings.machines and prepare.leader != self._settings.name
        granted = other and self.replica.may_promise(prepare.fence, prepare.leader)
        if granted:
            self._promise(now, prepare.fence, prepare.leader)
        promise = Promise(
            granted,
            self.replica.fence,
            self.replica.last,
            self.replica.commit,
            self.replica.recovering,
            self._contact.elapsed_ms(now),
        )
        self._outbox.answer_when_durable(ticket, promise)

    # --- requests of other machines ---
    def _fetch(self, now: float, ticket: int, fetch: Fetch) -> None:
        if fetch.replica not in self._settings.machines or fetch.replica == self._settings.name:
            self._outbox.answer(ticket, self._not_leader())
            return
        if fetch.fence > self.replica.fence:
            self._promise(now, fetch.fence, "")
        if fetch.copying:
            self._outbox.answer(ticket, self._copy_for(fetch))
        elif self._leadership is not None and fetch.fence == self._leadership.fence:
            self._leadership.fetched(now, ticket, fetch)
        else:
            self._outbox.answer(ticket, self._not_leader())

    def _copy_for(self, fetch: Fetch) -> FetchReply:
        if (fetch.fence, fetch.replica) == (self.replica.fence, self.replica.leader):
            return batches_for(self.replica, fetch)
        return self._not_leader()

    def _not_leader(self) -> FetchReply:
        return FetchReply(FetchStatus.NOT_LEADER, self.replica.fence, leader=self.leader)

    def _report(self, now: float, ticket: int, report: Report) -> None:
        known = report.replica in self._settings.machines
        if known and report.fence > self.replica.fence:
            self._promise(now, report.fence, "")
        self._outbox.answer(ticket, self._take_report(now, report, known))

    def _take_report(self, now: float, report: Report, known: bool) -> ReportReply:
        leadership = self._leadership
        if leadership is None or self._in_force is None or not leadership.open or not known:
            return ReportReply(False, self.replica.fence)
        if report.fence != leadership.fence:
            return ReportReply(False, self.replica.fence)
        return self._in_force.reported(now, report, self.replica.commit, leadership.as_of(now))

    def _publish(self, now: float, ticket: int, publish: Publish) -> None:
        if self._leadership is None:
            refusal = Published(
                PublishStatus.NOT_LEADER, fence=self.replica.fence, leader=self.leader
            )
            self._outbox.answer(ticket, refusal)
        else:
            self._leadership.published(now, ticket, publish)

    # --- what is due ---
    def _advance(self, now: float) -> list[Action]:
        self._step_log(now)
        self._step_sessions(now)
        if self._in_force is not None and self._leadership is not None:
            self._in_force.tick(now, self._leadership.as_of(now))
        if now >= self._retain_at:
            self._retain(now)
        return self._outbox.take()

    def _step_log(self, now: float) -> None:
        if self._leadership is not None:
            self._leadership.step(now)
            self._end_lost_term(now)
        if self._recovery is not None:
            self._recovery.step(now)
            if not self.replica.recovering:
                self._recovery = None
        if self._leadership is None:
            self._following.step(now)

    def _end_lost_term(self, now: float) -> None:
        assert self._leadership is not None
        if self._leadership.fenced_by is not None:
            self._outbox.add(Fenced(self._leadership.fenced_by))
            self._end_term(now)
        elif self._leadership.idle(now):
            self._outbox.notice("no_majority", fence=self._leadership.fence)
            self._outbox.add(HandOn())
            self._end_term(now)

    def _step_sessions(self, now: float) -> None:
        self._answer_polls(self._sessions.set_ready(now, self._ready))
        if self.replica.commit != self._commit_told:
            self._commit_told = self.replica.commit
            self._tell_in_force(now)
            self._answer_polls(self._sessions.commit_advanced(now))
        self._answer_polls(self._sessions.tick(now))
        if self._ready:
            self._send_report(now)

    @property
    def _ready(self) -> bool:
        """Whether proxies can be served: a leader takes reports, and the log is whole."""
        if self._leadership is not None:
            return self._leadership.open
        return bool(self._following.leader) and not self.replica.recovering

    def _tell_in_force(self, now: float) -> None:
        """A copy of another log commits batches too, before the term's own first batch is."""
        if self._in_force is not None and self._leadership is not None and self._leadership.open:
            self._in_force.committed(now, self.replica.commit, self.earlier_contact_at)

    def _send_report(self, now: float) -> None:
        report = self._sessions.next_report(now, self.replica.fence)
        if report is None:
            return
        if self._leadership is not None:
            reply = self._take_report(now, report, known=True)
            self._answer_polls(self._sessions.replied(now, report, reply))
        else:
            ticket = self._outbox.send(self.leader, report, self._settings.timeout_s)
            self._reports = {ticket: report}

    def _answer_polls(self, answers: Iterable[PollAnswer]) -> None:
        for each in answers:
            self._outbox.answer(each.ticket, each.reply)

    def _retain(self, now: float) -> None:
        self._retain_at = now + self._settings.retain_every_s
        unix_s = now + self._settings.unix_offset_s
        oldest_ms = (unix_s - self._settings.keep_s) * 1000
        self._outbox.persist(self.replica.retain(oldest_ms, self._settings.keep_bytes))

    def _status(self, now: float, request: StatusRequest) -> StatusReply:
        replica = self.replica
        reply = StatusReply(
            replica=self._settings.name,
            leader=self.leader,
            fence=replica.fence,
            log=replica.log,
            last=replica.last,
            commit=replica.commit,
            applied=0,
            in_force=0,
            sessions=len(self._sessions),
            stale=0,
            recovering=replica.recovering,
        )
        own = (self._settings.name, replica.durable, 0.0)
        if self._recovery is not None:
            return msgspec.structs.replace(reply, replicas=(own, *self._recovery.told(now)))
        if self._in_force is None or self._leadership is None:
            return reply
        return msgspec.structs.replace(
            reply,
            applied=self._in_force.applied,
            in_force=self._in_force.in_force,
            sessions=self._in_force.sessions,
            stale=self._in_force.stale,
            lagging=self._in_force.lagging(now, request.lagging_most),
            refused=self._in_force.refused,
            replicas=(own, *self._leadership.positions(now)),
        )

    # --- for the checker ---
    def copy(self) -> Machine:
        """An independent machine in the same state."""
        return copy.deepcopy(self)

    def key(self, now: float) -> tuple[Any, ...]:
        """All that the log's further course depends on, with times relative to `now`."""
        return (
            self.replica.key(),
            self._outbox.key(),
            self._following.key(now),
            round(self._contact.at - now, 6),
            None if self._recovery is None else self._recovery.key(),
            None if self._leadership is None else self._leadership.key(now),
        )
