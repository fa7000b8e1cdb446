"""State machine of one control machine: replicated log, leadership and proxy sessions.  No I/O.

Each event is a method call with `now`, the machine's monotonic clock in seconds, and returns the
resulting actions in order.  `now` must not decrease.  Every event is valid in every state.  Each
call does all work that is due, so the caller only has to schedule `tick` at `next_at`.

Memory is bounded: one outstanding fetch and one report, one `Prepare` per machine, one held fetch
per replica, `max_publications` pending publications and one held poll per session.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable
from random import Random
from typing import Any

import msgspec

from .actions import Action, Fenced, MachineSettings, ReleaseLease, Reply, Stored
from .following import FetchLoop
from .in_force import InForceSettings, InForceTracker
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
    """One process of a control machine, initialized from its stored log."""

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
        self._in_force: InForceTracker | None = None
        self._reports: dict[int, Report] = {}  # outstanding report by ticket
        self._notified_commit = self.replica.commit
        self._retention_at = now + settings.retention_interval_s

    # --- observable state ---
    @property
    def leading(self) -> bool:
        """Whether this machine is in a term of its own; its preparation counts too."""
        return self._leadership is not None

    @property
    def leader(self) -> str:
        """Name of the current leader, possibly this machine; empty if unknown."""
        return self._settings.name if self.leading else self._following.leader

    @property
    def latest_leader_contact_at(self) -> float:
        """Upper bound on the `as_of` that earlier leaders report; valid in an active term."""
        others = () if self._leadership is None else self._leadership.contacts
        return latest_contact(self._contact.at, others)

    @property
    def next_at(self) -> float:
        """Time of the next `tick`; may be in the past, or infinite."""
        times = [self._sessions.next_at, self._retention_at]
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
        """Handles a request.  An `Answer` with its ticket follows, now or later."""
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
        """Handles the disconnect of a request's caller; the request needs no answer."""
        self._outbox.abandoned(ticket)
        self._sessions.abandoned(ticket)
        if self._leadership is not None:
            self._leadership.abandoned(ticket)
        return self._outbox.take()

    def replied(self, now: float, ticket: int, reply: Reply | None) -> list[Action]:
        """Handles the reply to a request of this machine; None after a timeout or failure."""
        if isinstance(reply, FetchReply):
            self._adopt_fence(now, reply.fence, reply.leader)
        if self._following.owns(ticket):
            fetched = self._following.replied(now, reply)
            if fetched is not None:
                self._contact.reply_received(now)
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
        """Records that all changes up to this ticket are durable."""
        self.replica.persisted(ticket)
        self._outbox.persisted(ticket)
        return self._advance(now)

    def lead(self, now: float, fence: int) -> list[Action]:
        """Starts a term: this machine acquired the lease with fencing token `fence`."""
        if self._leadership is not None and self._leadership.fence == fence:
            return self._advance(now)
        self._end_term(now)
        if self.replica.recovering:
            self._outbox.notice("cannot_lead", reason="recovering")
            self._outbox.add(ReleaseLease())
        elif fence <= self.replica.fence:
            self._outbox.add(Fenced(self.replica.fence))
        else:
            self._begin_term(now, fence)
        return self._advance(now)

    def step_down(self, now: float) -> list[Action]:
        """Ends the term: the lease was lost or released."""
        self._end_term(now)
        return self._advance(now)

    def tick(self, now: float) -> list[Action]:
        """Does the work that is due at `now`."""
        return self._advance(now)

    # --- promises and terms ---
    def _begin_term(self, now: float, fence: int) -> None:
        self._promise(now, fence, self._settings.name)
        self._leadership = Leadership(
            self._settings, fence, self.replica, self._outbox, self._random, now
        )
        bound = InForceSettings(self._settings.stale_after_s, self._settings.drift)
        self._in_force = InForceTracker(bound, self._settings.machines, now)
        self._outbox.notice("term_began", fence=fence)

    def _end_term(self, now: float) -> None:
        if self._leadership is None:
            return
        self._contact.term_ended(self._leadership.as_of(now))
        self._leadership.end(self.replica.fence)
        self._outbox.notice("term_ended", fence=self._leadership.fence)
        self._leadership = None
        self._in_force = None
        self._following.leader_changed(now)

    def _promise(self, now: float, fence: int, leader: str) -> None:
        """Persists a promise and ends this machine's term if its fence is lower."""
        changes = self.replica.promise(fence, leader)
        if not changes:
            return
        self._outbox.persist(changes)
        self._following.leader_changed(now)
        if self._leadership is not None and self._leadership.fence < fence:
            self._outbox.add(Fenced(fence))
            self._end_term(now)

    def _adopt_fence(self, now: float, fence: int, leader: str) -> None:
        """Adopts a fence that another machine has promised to `leader` ("": unknown)."""
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

    # --- requests from other machines ---
    def _fetch(self, now: float, ticket: int, fetch: Fetch) -> None:
        if fetch.replica not in self._settings.machines or fetch.replica == self._settings.name:
            self._outbox.answer(ticket, self._not_leader())
            return
        if fetch.fence > self.replica.fence:
            self._promise(now, fetch.fence, "")
        if fetch.copying:
            self._outbox.answer(ticket, self._copy_reply(fetch))
        elif self._leadership is not None and fetch.fence == self._leadership.fence:
            self._leadership.fetched(now, ticket, fetch)
        else:
            self._outbox.answer(ticket, self._not_leader())

    def _copy_reply(self, fetch: Fetch) -> FetchReply:
        if (fetch.fence, fetch.replica) == (self.replica.fence, self.replica.leader):
            return batches_for(self.replica, fetch)
        return self._not_leader()

    def _not_leader(self) -> FetchReply:
        return FetchReply(FetchStatus.NOT_LEADER, self.replica.fence, leader=self.leader)

    def _report(self, now: float, ticket: int, report: Report) -> None:
        known = report.replica in self._settings.machines
        if known and report.fence > self.replica.fence:
            self._promise(now, report.fence, "")
        self._outbox.answer(ticket, self._apply_report(now, report, known))

    def _apply_report(self, now: float, report: Report, known: bool) -> ReportReply:
        leadership = self._leadership
        if leadership is None or self._in_force is None or not leadership.active or not known:
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

    # --- scheduled work ---
    def _advance(self, now: float) -> list[Action]:
        self._step_log(now)
        self._step_sessions(now)
        if self._in_force is not None and self._leadership is not None:
            self._in_force.tick(now, self._leadership.as_of(now))
        if now >= self._retention_at:
            self._apply_retention(now)
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
        elif self._leadership.lost_majority(now):
            self._outbox.notice("no_majority", fence=self._leadership.fence)
            self._outbox.add(ReleaseLease())
            self._end_term(now)

    def _step_sessions(self, now: float) -> None:
        self._answer_polls(self._sessions.set_ready(now, self._ready))
        if self.replica.commit != self._notified_commit:
            self._notified_commit = self.replica.commit
            self._notify_in_force(now)
            self._answer_polls(self._sessions.commit_advanced(now))
        self._answer_polls(self._sessions.tick(now))
        if self._ready:
            self._send_report(now)

    @property
    def _ready(self) -> bool:
        """Whether polls can be served: a leader accepts reports and the log is complete."""
        if self._leadership is not None:
            return self._leadership.active
        return bool(self._following.leader) and not self.replica.recovering

    def _notify_in_force(self, now: float) -> None:
        """Skips commit positions that a new leader takes from a copied log."""
        if self._in_force is not None and self._leadership is not None and self._leadership.active:
            self._in_force.committed(now, self.replica.commit, self.latest_leader_contact_at)

    def _send_report(self, now: float) -> None:
        report = self._sessions.next_report(now, self.replica.fence)
        if report is None:
            return
        if self._leadership is not None:
            reply = self._apply_report(now, report, known=True)
            self._answer_polls(self._sessions.replied(now, report, reply))
        else:
            ticket = self._outbox.send(self.leader, report, self._settings.timeout_s)
            self._reports = {ticket: report}

    def _answer_polls(self, answers: Iterable[PollAnswer]) -> None:
        for each in answers:
            self._outbox.answer(each.ticket, each.reply)

    def _apply_retention(self, now: float) -> None:
        self._retention_at = now + self._settings.retention_interval_s
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
            return msgspec.structs.replace(reply, replicas=(own, *self._recovery.statuses(now)))
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

    # --- for state space exploration ---
    def copy(self) -> Machine:
        """Returns an independent deep copy."""
        return copy.deepcopy(self)

    def key(self, now: float) -> tuple[Any, ...]:
        """Returns all state that affects the log's future, with times relative to `now`."""
        return (
            self.replica.key(),
            self._outbox.key(),
            self._following.key(now),
            round(self._contact.at - now, 6),
            None if self._recovery is None else self._recovery.key(),
            None if self._leadership is None else self._leadership.key(now),
        )
