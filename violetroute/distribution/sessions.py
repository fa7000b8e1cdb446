"""The proxies at one control machine: held polls, pacing of answers, reports to the leader.

Pure: no sockets and no clock; `now` is the machine's monotonic time in seconds, in every call.  A
poll comes with a ticket (any number that its caller does not use twice), and is answered once, by
a `PollAnswer` of that ticket from this call or a later one.

A poll is answered when there is something new for its session, at the earliest `spread_s` after
the session's last answer; without news at the end of its hold time.  A session's first answer
waits until the leader has registered the session, and until this machine has committed what the
leader had committed then: a batch that was reported as in force while the leader did not know the
session is in that answer or in an earlier one (docs/design/distribution.md, "In force").

A process that shuts down ends its session by its last poll.  What it says (never fresh again) holds
for good, so a copy or a late arrival of that poll does no harm; polls of the process that were sent
before and arrive later get no session any more.

Cost: each poll pushes at most two timers and a few entries of the queue of those that wait for a
commit, O(log sessions); an advance of the commit touches only sessions that it lets be answered.
The encoded batches of one commit are shared by all sessions at the same position.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count
from random import Random

from .messages import (
    Poll,
    PollReply,
    PollStatus,
    Report,
    ReportReply,
)
from .poll_contents import Content, LogView, PollContents
from .reporter import Reporter
from .session import HeldPoll, Session, SessionKey, SessionSettings

WAITING_SLACK = 64  # entries of ended polls that the queue may keep beyond as many as are held
MAX_ENDED_SESSIONS = 1024  # processes that have ended their session and are still remembered
HOLD_JITTER = 0.1  # a poll is held between 90% and 100% of the hold time
MS = 1000.0


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """Answer the poll of this ticket."""

    ticket: int
    reply: PollReply


class Sessions:
    """All sessions of one incarnation of one control machine, which starts at `now`."""

    def __init__(
        self,
        settings: SessionSettings,
        machine: str,
        incarnation: str,
        log: LogView,
        random: Random,
        now: float,
    ) -> None:
        self._settings = settings
        self._log = log
        self._random = random
        self._reporter = Reporter(settings, machine, incarnation, now)
        self._ready = False
        self._sessions: dict[SessionKey, Session] = {}  # least recently active first
        self._ended: dict[SessionKey, None] = {}  # by their processes; the oldest first
        self._tickets: dict[int, Session] = {}
        self._order = count()
        self._timers: list[tuple[float, int, Session, HeldPoll]] = []
        self._waiting: list[tuple[int, int, Session, HeldPoll]] = []  # by the commit needed
        self._contents = PollContents(settings, log, now)

    def __len__(self) -> int:
        return len(self._sessions)

    @property
    def held(self) -> int:
        """Polls that wait for their answer."""
        return len(self._tickets)

    @property
    def as_of(self) -> float | None:
        """What was committed by this time is in the answers; None: not known."""
        return self._reporter.as_of

    @property
    def next_at(self) -> float:
        """When `tick`, or while ready `next_report`, has something to do."""
        while self._timers and self._timers[0][2].held is not self._timers[0][3]:
            heappop(self._timers)
        timer_at = self._timers[0][0] if self._timers else math.inf
        report_at = self._reporter.due_at if self._ready else math.inf
        return min(timer_at, report_at, self._next_drop_at())

    def poll_received(self, now: float, ticket: int, poll: Poll) -> list[PollAnswer]:
        """A poll came.  An older one of the same session is answered at once, with nothing."""
        if poll.ends_session:
            return [*self._end(poll), PollAnswer(ticket, self._empty(PollStatus.NOT_READY))]
        session = self._session_of(now, poll)
        if session is None:
            return [PollAnswer(ticket, self._empty(PollStatus.NOT_READY))]
        answers = []
        if session.held is not None:
            answers.append(self._finish(session, self._empty(PollStatus.NOT_READY)))
        self._note_applied(session, poll)
        self._hold(now, ticket, poll, session)
        return answers + self._answer_if_due(now, session)

    def abandoned(self, ticket: int) -> None:
        """The connection of this poll was closed."""
        session = self._tickets.pop(ticket, None)
        if session is not None:
            session.held = None

    def commit_advanced(self, now: float) -> list[PollAnswer]:
        """The log's commit moved."""
        commit = self._log.commit
        self._contents.committed(now, self._reporter.as_of)
        self._reporter.committed(commit)
        answers: list[PollAnswer] = []
        while self._waiting and self._waiting[0][0] <= commit:
            _, _, session, held = heappop(self._waiting)
            held.queued = False
            if session.held is held:
                answers += self._answer_if_due(now, session)
        return answers

    def tick(self, now: float) -> list[PollAnswer]:
        """Answer whose time has come, and drop sessions that were not answered for too long."""
        answers: list[PollAnswer] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, session, held = heappop(self._timers)
            if session.held is not held:
                continue
            if now >= held.hold_until:
                answers.append(self._end_of_hold(now, session, held))
            else:
                answers += self._answer_if_due(now, session)
        self._drop_silent(now)
        return answers

    def next_report(self, now: float, fence: int) -> Report | None:
        """The report that is to be sent now to the leader of `fence`.

        Every report has to come back in `reported`, also one that got no reply.
        """
        self._drop_silent(now)
        return self._reporter.build(now, fence, self._sessions)

    def replied(self, now: float, report: Report, reply: ReportReply | None) -> list[PollAnswer]:
        """The leader's reply to a report; None: lost, or refused."""
        registered = self._reporter.take(report, reply, self._sessions)
        self._reporter.committed(self._log.commit)
        answers: list[PollAnswer] = []
        for session in registered:
            answers += self._answer_if_due(now, session)
        return answers

    def set_ready(self, now: float, ready: bool) -> list[PollAnswer]:
        """Whether there is a leader and this machine is a full replica.

        While it is not ready, polls are answered NOT_READY at the end of their hold time.
        """
        became_ready = ready and not self._ready
        self._ready = ready
        answers: list[PollAnswer] = []
        if became_ready:
            for session in tuple(self._tickets.values()):
                answers += self._answer_if_due(now, session)
        return answers

    def _end(self, poll: Poll) -> list[PollAnswer]:
        """The process has ended its session, here if it has one."""
        key = _key_of(poll)
        self._ended[key] = None
        if len(self._ended) > MAX_ENDED_SESSIONS:
            del self._ended[next(iter(self._ended))]
        session = self._sessions.pop(key, None)
        if session is None:
            return []
        self._reporter.ended(session)
        if session.held is None:
            return []
        return [self._finish(session, self._empty(PollStatus.NOT_READY))]

    def _session_of(self, now: float, poll: Poll) -> Session | None:
        """The poll's session, created if there is room; the most recently active one now."""
        key = _key_of(poll)
        session = self._sessions.pop(key, None)
        if session is None:
            if key in self._ended or len(self._sessions) >= self._settings.max_sessions:
                return None
            session = Session(poll.name, poll.incarnation, poll.region, now)
            self._reporter.changed(session)
        session.active_at = now
        self._sessions[key] = session
        return session

    def _note_applied(self, session: Session, poll: Poll) -> None:
        """Positions rise within a log; what was applied of another log is nothing of this one."""
        if poll.log and poll.log != self._log.log:
            position = 0
        else:
            position = max(session.position, self._position_of(poll))
        if position >= min(self._log.commit, session.complete_at):
            session.catching_up = False
        if position != session.position or poll.refused != session.refused:
            session.position = position
            session.refused = poll.refused
            self._reporter.changed(session)

    def _position_of(self, poll: Poll) -> int:
        return poll.position if poll.log == self._log.log else 0

    def _hold(self, now: float, ticket: int, poll: Poll, session: Session) -> None:
        share = self._random.uniform(1 - HOLD_JITTER, 1.0)
        held = HeldPoll(ticket, poll, now + self._settings.hold_s * share)
        session.held = held
        self._tickets[ticket] = session
        heappush(self._timers, (held.hold_until, next(self._order), session, held))
        if now < session.earliest_at < held.hold_until:
            heappush(self._timers, (session.earliest_at, next(self._order), session, held))

    def _answer_if_due(self, now: float, session: Session) -> list[PollAnswer]:
        """Answer the held poll if there is news, else queue it for the commit that it needs."""
        held = session.held
        if held is None or not self._ready or session.registered_commit is None:
            return []
        if now < session.earliest_at:
            return []  # its timer is set
        needed = self._commit_needed(session, held.poll)
        if self._log.commit < needed:
            self._queue(needed, session, held)
            return []
        return [self._answer(now, session, held)]

    def _queue(self, needed: int, session: Session, held: HeldPoll) -> None:
        """Consider the poll again when `needed` is committed.  Ended polls are swept out now."""
        if held.queued:
            return
        held.queued = True
        if len(self._waiting) >= 2 * len(self._tickets) + WAITING_SLACK:
            self._waiting = [entry for entry in self._waiting if entry[2].held is entry[3]]
            heapify(self._waiting)
        heappush(self._waiting, (needed, next(self._order), session, held))

    def _commit_needed(self, session: Session, poll: Poll) -> int:
        """The commit from which there is something to tell."""
        needed = max(session.registered_commit or 0, self._position_of(poll))
        other_log = bool(poll.log) and poll.log != self._log.log
        if session.answered and not other_log:
            needed = max(needed, self._position_of(poll) + 1)
        return needed

    def _end_of_hold(self, now: float, session: Session, held: HeldPoll) -> PollAnswer:
        if not self._ready or session.registered_commit is None:
            return self._finish(session, self._empty(PollStatus.NOT_READY))
        if self._log.commit < self._position_of(held.poll):
            return self._finish(session, self._empty(PollStatus.BEHIND))
        if self._log.commit < session.registered_commit and not session.answered:
            return self._finish(session, self._empty(PollStatus.NOT_READY))
        return self._answer(now, session, held)

    def _answer(self, now: float, session: Session, held: HeldPoll) -> PollAnswer:
        content = self._contents.answer(held.poll, self._pace(now, session, held.poll))
        end = self._contents.position_after(held.poll, content)
        session.complete_at = end if end >= self._log.commit else math.inf
        session.answered = True
        session.active_at = session.answered_at = now
        session.earliest_at = now + self._settings.spread_s
        self._sessions[session.key] = self._sessions.pop(session.key)
        return self._finish(session, self._reply(now, content))

    def _pace(self, now: float, session: Session, poll: Poll) -> int | None:
        """Bytes of batches for a session that catches up; None for others."""
        if self._contents.lacks_old_batches(now, poll):
            session.catching_up = True
        if not session.catching_up:
            return None
        return self._settings.catch_up_bytes(now - session.answered_at)

    def _finish(self, session: Session, reply: PollReply) -> PollAnswer:
        assert session.held is not None
        ticket = session.held.ticket
        session.held = None
        self._tickets.pop(ticket, None)
        return PollAnswer(ticket, reply)

    def _empty(self, status: PollStatus) -> PollReply:
        return PollReply(status, self._log.log, self._log.commit)

    def _reply(self, now: float, content: Content) -> PollReply:
        as_of = self._reporter.as_of
        age_ms = -1.0 if as_of is None else max(0.0, (now - as_of) * MS)
        return PollReply(
            content.status,
            self._log.log,
            self._log.commit,
            age_ms,
            content.batches,
            content.snapshot,
        )

    def _next_drop_at(self) -> float:
        for session in self._sessions.values():
            return session.active_at + self._settings.drop_after_s
        return math.inf

    def _drop_silent(self, now: float) -> None:
        """Drop sessions that know by now that they are stale, as nothing was answered to them."""
        while self._sessions:
            session = next(iter(self._sessions.values()))
            if now < self._next_drop_at() or session.held is not None:
                return
            del self._sessions[session.key]
            self._reporter.ended(session)


def _key_of(poll: Poll) -> SessionKey:
    """The session's, whether there is one or not."""
    return poll.name, poll.incarnation
