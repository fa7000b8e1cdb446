"""The proxies' sessions at one control machine: held long polls, pacing, reports to the leader.

Pure: no sockets and no clock; `now` is the machine's monotonic time in seconds, in every call.  A
poll comes with a ticket (a number that its caller uses only once).  It is answered exactly once, by
a `PollAnswer` with that ticket, which this call or a later one returns.

A poll is answered as soon as there is new data for its session, but not before `spread_s` has
passed since the session's last answer; without new data it is answered when its hold time ends.
The first answer of a session waits for two things: the leader has registered the session, and this
machine has committed everything that the leader had committed at that time.  So a batch that was
reported as in force before the leader knew the session is in that answer or in an earlier one
(docs/design/distribution.md, "In force").

A process that shuts down ends its session with its last poll.  The statement of that poll (the
process is never fresh again) stays true, so a duplicate or delayed delivery does no harm.  Polls
that the process sent earlier but that arrive later do not create a session again.

Cost: each poll pushes at most two timers and a few entries into the queue of polls that wait for a
commit, O(log sessions).  An advance of the commit touches only sessions that it allows to be
answered.  All sessions at the same position share the encoded batches of a commit.
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

# The queue of waiting polls may keep this many entries of ended polls, plus one for each held poll.
WAITING_QUEUE_SLACK = 64
MAX_ENDED_SESSIONS = 1024  # processes remembered as having ended their session
HOLD_JITTER = 0.1  # a poll is held for 90% to 100% of the hold time
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """Send `reply` as the answer to the poll of this ticket."""

    ticket: int
    reply: PollReply


class Sessions:
    """All sessions of one control machine's process, which starts at `now`."""

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
        self._ended: dict[SessionKey, None] = {}  # ended by their process; the oldest first
        self._session_by_ticket: dict[int, Session] = {}
        self._sequence = count()
        self._timers: list[tuple[float, int, Session, HeldPoll]] = []
        # A heap, ordered by the commit that the poll waits for.
        self._waiting_for_commit: list[tuple[int, int, Session, HeldPoll]] = []
        self._contents = PollContents(settings, log, now)

    def __len__(self) -> int:
        return len(self._sessions)

    @property
    def held(self) -> int:
        """Number of held polls."""
        return len(self._session_by_ticket)

    @property
    def as_of(self) -> float | None:
        """Everything committed by this time is in the answers.  None if unknown."""
        return self._reporter.as_of

    @property
    def next_at(self) -> float:
        """When `tick` is due, or `next_report` while this machine is ready."""
        while self._timers and self._timers[0][2].held is not self._timers[0][3]:
            heappop(self._timers)
        timer_at = self._timers[0][0] if self._timers else math.inf
        report_at = self._reporter.due_at if self._ready else math.inf
        return min(timer_at, report_at, self._next_drop_at())

    def poll_received(self, now: float, ticket: int, poll: Poll) -> list[PollAnswer]:
        """Process a poll.  An older held poll of the session is answered at once, without data."""
        if poll.ends_session:
            return [
                *self._end_session(poll),
                PollAnswer(ticket, self._empty_reply(PollStatus.NOT_READY)),
            ]
        session = self._get_or_create_session(now, poll)
        if session is None:
            return [PollAnswer(ticket, self._empty_reply(PollStatus.NOT_READY))]
        answers = []
        if session.held is not None:
            answers.append(self._finish(session, self._empty_reply(PollStatus.NOT_READY)))
        self._update_position(session, poll)
        self._hold(now, ticket, poll, session)
        return answers + self._answer_if_due(now, session)

    def abandoned(self, ticket: int) -> None:
        """The connection of this poll was closed."""
        session = self._session_by_ticket.pop(ticket, None)
        if session is not None:
            session.held = None

    def commit_advanced(self, now: float) -> list[PollAnswer]:
        """Answer the polls that waited for a commit the log has reached now."""
        commit = self._log.commit
        self._contents.commit_advanced(now, self._reporter.as_of)
        self._reporter.commit_advanced(commit)
        answers: list[PollAnswer] = []
        while self._waiting_for_commit and self._waiting_for_commit[0][0] <= commit:
            _, _, session, held = heappop(self._waiting_for_commit)
            held.queued = False
            if session.held is held:
                answers += self._answer_if_due(now, session)
        return answers

    def tick(self, now: float) -> list[PollAnswer]:
        """Answer polls whose timer has expired and drop sessions not answered for too long."""
        answers: list[PollAnswer] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, session, held = heappop(self._timers)
            if session.held is not held:
                continue
            if now >= held.hold_until:
                answers.append(self._answer_expired(now, session, held))
            else:
                answers += self._answer_if_due(now, session)
        self._drop_inactive(now)
        return answers

    def next_report(self, now: float, fence: int) -> Report | None:
        """The report to send now to the leader of `fence`, if one is due.

        Every report must be passed to `replied` later, also if it got no reply.
        """
        self._drop_inactive(now)
        return self._reporter.build(now, fence, self._sessions)

    def replied(self, now: float, report: Report, reply: ReportReply | None) -> list[PollAnswer]:
        """Process the leader's reply to a report.  None: it was lost or refused."""
        registered = self._reporter.handle_reply(report, reply, self._sessions)
        self._reporter.commit_advanced(self._log.commit)
        answers: list[PollAnswer] = []
        for session in registered:
            answers += self._answer_if_due(now, session)
        return answers

    def set_ready(self, now: float, ready: bool) -> list[PollAnswer]:
        """Set whether there is a leader and this machine is a full replica.

        While it is not ready, polls are answered NOT_READY when their hold time ends.
        """
        became_ready = ready and not self._ready
        self._ready = ready
        answers: list[PollAnswer] = []
        if became_ready:
            for session in tuple(self._session_by_ticket.values()):
                answers += self._answer_if_due(now, session)
        return answers

    def _end_session(self, poll: Poll) -> list[PollAnswer]:
        """Remember that the process has ended its session, and remove the session if it is here."""
        key = _session_key(poll)
        self._ended[key] = None
        if len(self._ended) > MAX_ENDED_SESSIONS:
            del self._ended[next(iter(self._ended))]
        session = self._sessions.pop(key, None)
        if session is None:
            return []
        self._reporter.session_ended(session)
        if session.held is None:
            return []
        return [self._finish(session, self._empty_reply(PollStatus.NOT_READY))]

    def _get_or_create_session(self, now: float, poll: Poll) -> Session | None:
        """The poll's session, now the most recently active one.

        Created if needed.  None if the process has ended its session or the limit is reached.
        """
        key = _session_key(poll)
        session = self._sessions.pop(key, None)
        if session is None:
            if key in self._ended or len(self._sessions) >= self._settings.max_sessions:
                return None
            session = Session(poll.name, poll.incarnation, poll.region, now)
            self._reporter.session_changed(session)
        session.active_at = now
        self._sessions[key] = session
        return session

    def _update_position(self, session: Session, poll: Poll) -> None:
        """Record what the proxy has applied: never decreasing, and 0 if it follows another log."""
        if poll.log and poll.log != self._log.log:
            position = 0
        else:
            position = max(session.position, self._position_of(poll))
        if position >= min(self._log.commit, session.complete_at):
            session.catching_up = False
        if position != session.position or poll.refused != session.refused:
            session.position = position
            session.refused = poll.refused
            self._reporter.session_changed(session)

    def _position_of(self, poll: Poll) -> int:
        return poll.position if poll.log == self._log.log else 0

    def _hold(self, now: float, ticket: int, poll: Poll, session: Session) -> None:
        fraction = self._random.uniform(1 - HOLD_JITTER, 1.0)
        held = HeldPoll(ticket, poll, now + self._settings.hold_s * fraction)
        session.held = held
        self._session_by_ticket[ticket] = session
        heappush(self._timers, (held.hold_until, next(self._sequence), session, held))
        if now < session.earliest_at < held.hold_until:
            heappush(self._timers, (session.earliest_at, next(self._sequence), session, held))

    def _answer_if_due(self, now: float, session: Session) -> list[PollAnswer]:
        """Answer the held poll if there is new data, else queue it for the commit it waits for."""
        held = session.held
        if held is None or not self._ready or session.registered_commit is None:
            return []
        if now < session.earliest_at:
            return []  # a timer for `earliest_at` is set
        required_commit = self._required_commit(session, held.poll)
        if self._log.commit < required_commit:
            self._wait_for_commit(required_commit, session, held)
            return []
        return [self._answer(now, session, held)]

    def _wait_for_commit(self, required_commit: int, session: Session, held: HeldPoll) -> None:
        """Queue the poll until `required_commit` is reached.  Removes entries of ended polls."""
        if held.queued:
            return
        held.queued = True
        if len(self._waiting_for_commit) >= 2 * len(self._session_by_ticket) + WAITING_QUEUE_SLACK:
            self._waiting_for_commit = [
                entry for entry in self._waiting_for_commit if entry[2].held is entry[3]
            ]
            heapify(self._waiting_for_commit)
        heappush(self._waiting_for_commit, (required_commit, next(self._sequence), session, held))

    def _required_commit(self, session: Session, poll: Poll) -> int:
        """The commit at which the poll can be answered with new data."""
        required_commit = max(session.registered_commit or 0, self._position_of(poll))
        other_log = bool(poll.log) and poll.log != self._log.log
        if session.answered and not other_log:
            required_commit = max(required_commit, self._position_of(poll) + 1)
        return required_commit

    def _answer_expired(self, now: float, session: Session, held: HeldPoll) -> PollAnswer:
        if not self._ready or session.registered_commit is None:
            return self._finish(session, self._empty_reply(PollStatus.NOT_READY))
        if self._log.commit < self._position_of(held.poll):
            return self._finish(session, self._empty_reply(PollStatus.BEHIND))
        if self._log.commit < session.registered_commit and not session.answered:
            return self._finish(session, self._empty_reply(PollStatus.NOT_READY))
        return self._answer(now, session, held)

    def _answer(self, now: float, session: Session, held: HeldPoll) -> PollAnswer:
        content = self._contents.answer(held.poll, self._catch_up_limit(now, session, held.poll))
        end = self._contents.position_after(held.poll, content)
        session.complete_at = end if end >= self._log.commit else math.inf
        session.answered = True
        session.active_at = session.answered_at = now
        session.earliest_at = now + self._settings.spread_s
        self._sessions[session.key] = self._sessions.pop(session.key)
        return self._finish(session, self._build_reply(now, content))

    def _catch_up_limit(self, now: float, session: Session, poll: Poll) -> int | None:
        """The maximum number of bytes of batches for a session in catch-up; None for others."""
        if self._contents.lacks_old_batches(now, poll):
            session.catching_up = True
        if not session.catching_up:
            return None
        return self._settings.catch_up_bytes(now - session.answered_at)

    def _finish(self, session: Session, reply: PollReply) -> PollAnswer:
        assert session.held is not None
        ticket = session.held.ticket
        session.held = None
        self._session_by_ticket.pop(ticket, None)
        return PollAnswer(ticket, reply)

    def _empty_reply(self, status: PollStatus) -> PollReply:
        return PollReply(status, self._log.log, self._log.commit)

    def _build_reply(self, now: float, content: Content) -> PollReply:
        as_of = self._reporter.as_of
        age_ms = -1.0 if as_of is None else max(0.0, (now - as_of) * MS_PER_S)
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

    def _drop_inactive(self, now: float) -> None:
        """Drop sessions that were not answered for so long that their proxies know to be stale."""
        while self._sessions:
            session = next(iter(self._sessions.values()))
            if now < self._next_drop_at() or session.held is not None:
                return
            del self._sessions[session.key]
            self._reporter.session_ended(session)


def _session_key(poll: Poll) -> SessionKey:
    """The key of the poll's session, whether the session exists or not."""
    return poll.name, poll.incarnation
