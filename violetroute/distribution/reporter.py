"""A control machine's reports to the leader, and what their replies allow it to tell proxies.

Pure.  A report names the sessions that changed or ended since the last report that the leader
answered; a lost report or reply puts them back, and the leader notices by the numbers that a report
is missing and asks for a full one.  One report is on its way at a time.

Age.  The leader drops all sessions of a machine that it has not answered for `drop_after_s`.  So
what this machine tells its proxies must not be younger than the last report that the leader has
answered: `as_of` comes from replies to reports only, never from replies to fetches, and such a
reply counts only from a leader that knows all sessions of this machine (each leader gets a full
report first).  It takes effect when this machine has committed what the reply names as `commit`.

Bounds: sessions and ends as in the settings; `MAX_PENDING_CLAIMS` replies not in effect yet.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from .messages import SESSIONS_PER_REPORT, Report, ReportReply, SessionState
from .session import Session, SessionKey, SessionSettings

MAX_PENDING_CLAIMS = 64
REFUSALS_PER_REPORT = 512  # sessions with refusals beyond that are named without them
MS = 1000.0


@dataclass(frozen=True, slots=True)
class Claim:
    """Everything committed by `as_of` is in the log up to `commit`."""

    as_of: float
    commit: int


@dataclass(frozen=True, slots=True)
class _Sent:
    report: Report
    sent_at: float
    sessions: tuple[Session, ...]


class Reporter:
    """Reports of one incarnation of one control machine, which started at `now`."""

    def __init__(
        self, settings: SessionSettings, machine: str, incarnation: str, now: float
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._incarnation = incarnation
        self._started = now
        self._number = 0
        self._fence = -1
        self._sent: _Sent | None = None
        self._sent_at = -math.inf
        self._full_needed = True
        self._changed: dict[SessionKey, Session] = {}
        self._ended: dict[SessionKey, None] = {}
        self._claims: deque[Claim] = deque()
        self.as_of: float | None = None  # in effect

    @property
    def due_at(self) -> float:
        """When the next report is due; never while one is on its way."""
        if self._sent is not None:
            return math.inf
        urgent = self._full_needed or self._changed or self._ended
        pause_s = self._settings.report_s if urgent else self._settings.heartbeat_s
        return self._sent_at + pause_s

    def changed(self, session: Session) -> None:
        """Name the session in the next report."""
        self._ended.pop(session.key, None)
        self._changed[session.key] = session

    def ended(self, session: Session) -> None:
        """Name the end of the session in the next report, if the leader may know it."""
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
        """The report that is to be sent now to the leader of `fence`, if one is due.

        Never to a leader before the one that was reported to last: sessions that it registers
        would be missing in what the later one was told.
        """
        if fence < self._fence:
            return None
        if fence > self._fence:
            self._fence = fence
            self._full_needed = True
            self._sent = None  # the reply of another leader says nothing about this one
            self._sent_at = -math.inf
        if now < self.due_at:
            return None
        named = tuple(sessions.values()) if self._full_needed else tuple(self._changed.values())
        report = self._report(now, named)
        for session in named:
            session.reported = True
        self._changed.clear()
        self._ended.clear()
        self._sent = _Sent(report, now, named)
        self._sent_at = now
        return report

    def take(
        self, report: Report, reply: ReportReply | None, sessions: Mapping[SessionKey, Session]
    ) -> tuple[Session, ...]:
        """Take the reply (None: lost).  Returns the sessions that are registered by it."""
        sent = self._sent
        if sent is None or report.number != sent.report.number:
            return ()  # given up before, for a later leader
        self._sent = None
        if reply is None or not reply.leader or reply.fence != report.fence or reply.send_full:
            self._full_needed = self._full_needed or (reply is not None and reply.send_full)
            self._put_back(sent, sessions)
            return ()
        self._full_needed = self._full_needed and not report.full
        if reply.age_ms >= 0 and len(self._claims) < MAX_PENDING_CLAIMS:
            self._claims.append(Claim(sent.sent_at - reply.age_ms / MS, reply.commit))
        return tuple(_registered(sent.sessions, reply.commit))

    def committed(self, commit: int) -> None:
        """Put the replies into effect of which this machine's log holds everything now."""
        while self._claims and self._claims[0].commit <= commit:
            as_of = self._claims.popleft().as_of
            self.as_of = as_of if self.as_of is None else max(self.as_of, as_of)

    def _report(self, now: float, named: tuple[Session, ...]) -> Report:
        self._number += 1
        return Report(
            self._machine,
            self._incarnation,
            self._fence,
            self._number,
            self._full_needed,
            _states(named),
            () if self._full_needed else tuple(self._ended),
            (now - self._started) * MS,
        )

    def _put_back(self, sent: _Sent, sessions: Mapping[SessionKey, Session]) -> None:
        """What the lost report named has to be named again, as far as it still holds."""
        for session in sent.sessions:
            if sessions.get(session.key) is session:
                self._changed.setdefault(session.key, session)
        for key in sent.report.ended:
            if key not in sessions:
                self._ended.setdefault(key)


def _states(named: tuple[Session, ...]) -> tuple[SessionState, ...]:
    room = REFUSALS_PER_REPORT
    states = []
    for session in named:
        fits = len(session.refused) <= room
        states.append(session.state(with_refusals=fits))
        room -= len(session.refused) if fits else 0
    return tuple(states)


def _registered(sessions: tuple[Session, ...], commit: int) -> list[Session]:
    """Note the registration of those that had none."""
    registered = [session for session in sessions if session.registered_commit is None]
    for session in registered:
        session.registered_commit = commit
    return registered
