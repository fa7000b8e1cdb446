"""A control machine's reports to the leader, and the `as_of` that their replies give.

Pure.  A report includes the sessions that changed or ended since the last report that the leader
answered.  If a report or its reply is lost, the next report includes them again.  The leader
notices a missing report by the report numbers and requests a full one.  One report is in flight at
a time.

Age.  The leader drops all sessions of a machine that it has not answered for `drop_after_s`.  So
the `as_of` that this machine sends to its proxies must not be later than the last report that the
leader has answered.  For that reason `as_of` comes only from replies to reports, never from replies
to fetches, and only from a leader that knows all sessions of this machine: each leader gets a full
report first.  An `as_of` takes effect when this machine has committed up to the reply's `commit`.

Bounds: sessions and ends as in the settings; `MAX_PENDING_AS_OF` replies not in effect yet.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from .messages import SESSIONS_PER_REPORT, Report, ReportReply, SessionState
from .session import Session, SessionKey, SessionSettings

MAX_PENDING_AS_OF = 64
REFUSALS_PER_REPORT = 512  # beyond that, sessions are included without their refusals
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class PendingAsOf:
    """Everything committed by `as_of` is in the log up to `commit`."""

    as_of: float
    commit: int


@dataclass(frozen=True, slots=True)
class _SentReport:
    report: Report
    sent_at: float
    sessions: tuple[Session, ...]


class Reporter:
    """The reports of one control machine's process, which started at `now`."""

    def __init__(
        self, settings: SessionSettings, machine: str, incarnation: str, now: float
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._incarnation = incarnation
        self._started = now
        self._number = 0
        self._fence = -1
        self._sent: _SentReport | None = None
        self._sent_at = -math.inf
        self._full_needed = True
        self._changed: dict[SessionKey, Session] = {}
        self._ended: dict[SessionKey, None] = {}
        self._pending_as_of: deque[PendingAsOf] = deque()
        self.as_of: float | None = None  # the one in effect; None: none yet

    @property
    def due_at(self) -> float:
        """When the next report is due; infinite while one is in flight."""
        if self._sent is not None:
            return math.inf
        urgent = self._full_needed or self._changed or self._ended
        pause_s = self._settings.report_s if urgent else self._settings.heartbeat_s
        return self._sent_at + pause_s

    def session_changed(self, session: Session) -> None:
        """Include the session in the next report."""
        self._ended.pop(session.key, None)
        self._changed[session.key] = session

    def session_ended(self, session: Session) -> None:
        """Include the end of the session in the next report, if an earlier one included it."""
        self._changed.pop(session.key, None)
        if not session.reported:
            return
        self._ended[session.key] = None
        if len(self._ended) > SESSIONS_PER_REPORT:
            self._ended.clear()
            self._full_needed = True

    def build(
        self, now: float, fence: int, sessions: Mapping[SessionKey, Session]
    ) -> Report | None:
        """The report to send now to the leader of `fence`, if one is due.

        None for a leader older than the last one that got a report: the sessions that it registered
        would be missing from the reports to the newer leader.
        """
        if fence < self._fence:
            return None
        if fence > self._fence:
            self._fence = fence
            self._full_needed = True
            self._sent = None  # the old leader's reply says nothing about the new leader
            self._sent_at = -math.inf
        if now < self.due_at:
            return None
        included = tuple(sessions.values()) if self._full_needed else tuple(self._changed.values())
        report = self._report(now, included)
        for session in included:
            session.reported = True
        self._changed.clear()
        self._ended.clear()
        self._sent = _SentReport(report, now, included)
        self._sent_at = now
        return report

    def handle_reply(
        self, report: Report, reply: ReportReply | None, sessions: Mapping[SessionKey, Session]
    ) -> tuple[Session, ...]:
        """Process the reply (None: lost).  Returns the sessions that it registered."""
        sent = self._sent
        if sent is None or report.number != sent.report.number:
            return ()  # abandoned earlier, for a newer leader
        self._sent = None
        if reply is None or not reply.leader or reply.fence != report.fence or reply.send_full:
            self._full_needed = self._full_needed or (reply is not None and reply.send_full)
            self._requeue(sent, sessions)
            return ()
        self._full_needed = self._full_needed and not report.full
        if reply.age_ms >= 0 and len(self._pending_as_of) < MAX_PENDING_AS_OF:
            self._pending_as_of.append(
                PendingAsOf(sent.sent_at - reply.age_ms / MS_PER_S, reply.commit)
            )
        return tuple(_mark_registered(sent.sessions, reply.commit))

    def commit_advanced(self, commit: int) -> None:
        """Put the `as_of` of those replies into effect whose `commit` this machine has reached."""
        while self._pending_as_of and self._pending_as_of[0].commit <= commit:
            as_of = self._pending_as_of.popleft().as_of
            self.as_of = as_of if self.as_of is None else max(self.as_of, as_of)

    def _report(self, now: float, included: tuple[Session, ...]) -> Report:
        self._number += 1
        return Report(
            self._machine,
            self._incarnation,
            self._fence,
            self._number,
            self._full_needed,
            _session_states(included),
            () if self._full_needed else tuple(self._ended),
            (now - self._started) * MS_PER_S,
        )

    def _requeue(self, sent: _SentReport, sessions: Mapping[SessionKey, Session]) -> None:
        """Schedule what a lost report included for the next one, as far as it still applies."""
        for session in sent.sessions:
            if sessions.get(session.key) is session:
                self._changed.setdefault(session.key, session)
        for key in sent.report.ended:
            if key not in sessions:
                self._ended.setdefault(key)


def _session_states(included: tuple[Session, ...]) -> tuple[SessionState, ...]:
    refusals_left = REFUSALS_PER_REPORT
    states = []
    for session in included:
        fits = len(session.refused) <= refusals_left
        states.append(session.state(with_refusals=fits))
        refusals_left -= len(session.refused) if fits else 0
    return tuple(states)


def _mark_registered(sessions: tuple[Session, ...], commit: int) -> list[Session]:
    """Set `registered_commit` of the sessions that had none, and return these sessions."""
    registered = [session for session in sessions if session.registered_commit is None]
    for session in registered:
        session.registered_commit = commit
    return registered
