"""At the leader: what all proxies have applied, and which batches are in force.  Pure.

A batch is in force when every proxy has applied it or knows by its own clock that it is stale
(docs/design/distribution.md, "In force").  Two rules find it, and the greater position holds:

- *Time.*  `drop_after_s` after its commit, whatever the proxies report.
- *Early.*  All live sessions of all machines have applied it, and no machine can have answered a
  proxy that is not known here.  What is found at time t is reported once the leader knows that no
  other leader had committed anything at t (its `as_of`): the other one would know sessions that
  are not known here.

What a machine may have answered without a session that is known here is its *doubt*.  It lasts

- `drop_after_s` from the last time from which an age of an earlier leader can count (sessions that
  only such a leader knew; `leader_contact.py`),
- or until a full report comes of an incarnation of the machine that has been running for
  `drop_after_s` (an earlier incarnation's sessions are known to nobody).

The sessions of a machine that has not been answered for `drop_after_s` are dropped: whatever it
tells its proxies is older than the last report that was answered.

One object is made for each term.  `now` is the leader's monotonic time in seconds and never falls
from call to call.  Cost: O(sessions named) a report and one minimum over all sessions.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import deque
from dataclasses import dataclass

from .messages import Lagging, Report, ReportReply, SessionState
from .roster import Missing, Roster
from .session import session_timeout_s

MAX_HISTORY = 4096  # positions of which the times of commit and of being in force are kept
MAX_UNCONFIRMED = 1024  # early findings that wait for the leader's as_of
MAX_REPLACED_INCARNATIONS = 64  # earlier incarnations of a machine that are refused
MS = 1000.0


@dataclass(frozen=True, slots=True)
class InForceSettings:
    """The proxies' bound in seconds, and the largest relative error of any clock."""

    stale_after_s: float = 2.8
    drift: float = 0.05

    @property
    def drop_after_s(self) -> float:
        """Seconds after which a proxy that was not answered knows that it is stale."""
        return session_timeout_s(self.stale_after_s, self.drift)


@dataclass(frozen=True, slots=True)
class _Moment:
    """Everything up to `position` had been reached at `at`."""

    position: int
    at: float


@dataclass(slots=True)
class _Machine:
    """One control machine as the leader knows it."""

    name: str
    unknown_sessions_until: float = math.inf
    incarnation: str | None = None
    number: int = 0
    answered_at: float = -math.inf
    known: bool = False  # a full report is taken and its sessions are not dropped


class _History:
    """The moments at which a rising position was reached; the oldest are forgotten."""

    def __init__(self) -> None:
        self._moments: list[_Moment] = []
        self._forgotten = -1  # the last position of which the moment is not kept any more

    def add(self, position: int, at: float) -> None:
        self._moments.append(_Moment(position, at))
        if len(self._moments) > 2 * MAX_HISTORY:
            self._forgotten = self._moments[-MAX_HISTORY - 1].position
            del self._moments[:-MAX_HISTORY]

    def reached(self, position: int) -> _Moment | None:
        """The moment at which `position` was reached, or the oldest one that is kept."""
        index = bisect_left(self._moments, position, key=lambda moment: moment.position)
        return self._moments[index] if index < len(self._moments) else None

    def knows(self, position: int) -> bool:
        """Whether the moment of `position` is not a forgotten one."""
        return position > self._forgotten


class InForceTracker:
    """One term of one leader.  `machines`: the names of all control machines, its own among them.

    The term's times count from its first `committed`, not from `now` here.
    """

    def __init__(self, settings: InForceSettings, machines: tuple[str, ...], now: float) -> None:
        self._settings = settings
        self._ticked_at = now
        self._first_commit_at: float | None = None
        self._machines = {name: _Machine(name) for name in machines}
        self._replaced: deque[tuple[str, str]] = deque(
            maxlen=MAX_REPLACED_INCARNATIONS * len(machines)
        )
        self._roster = Roster()
        self._commit = 0
        self._in_force = 0
        self._by_time: deque[_Moment] = deque()  # commits that are not in force by time yet
        self._findings: deque[_Moment] = deque()
        self._commits = _History()
        self._enforced = _History()

    @property
    def applied(self) -> int:
        """Every live session has applied everything up to here."""
        least = self._roster.min_position
        return self._commit if least is None else min(least, self._commit)

    @property
    def in_force(self) -> int:
        """Every proxy has applied everything up to here, or knows that it is stale."""
        return self._in_force

    @property
    def sessions(self) -> int:
        """Live sessions, each incarnation of a proxy counted once."""
        return len(self._roster)

    @property
    def stale(self) -> int:
        """Proxies that are missing: they had a session within the last hour and have none."""
        return len(self._roster.missing)

    @property
    def refused(self) -> tuple[tuple[str, int, str], ...]:
        """Proxy, position and reason of what proxies refused to apply."""
        return self._roster.refused

    @property
    def next_at(self) -> float:
        """When `tick` has something to do, if the leader's as_of does not move before."""
        times = [self._by_time[0].at + self._settings.drop_after_s] if self._by_time else []
        for machine in self._machines.values():
            if machine.known:
                times.append(machine.answered_at + self._settings.drop_after_s)
            if machine.unknown_sessions_until > self._ticked_at:
                times.append(machine.unknown_sessions_until)
        return min(times, default=math.inf)

    def in_force_at(self, position: int) -> float | None:
        """When `position` was reported in force; None: not yet, or too long ago."""
        if position > self._in_force or not self._enforced.knows(position):
            return None
        moment = self._enforced.reached(position)
        return None if moment is None else moment.at

    def lagging(self, now: float, most: int) -> tuple[Lagging, ...]:
        """Missing proxies and live ones that are behind, at most `most`; the missing ones first."""
        missing = list(self._roster.missing.values())[:most]
        behind = self._roster.furthest_behind(self._commit, most - len(missing))
        found = [_missing(entry, now) for entry in missing]
        found.extend(self._behind(state, now) for state in behind)
        return tuple(found)

    def committed(self, now: float, position: int, contact_at: float = math.inf) -> None:
        """The leader has committed everything up to `position`.

        The first call is for the first batch of the term.  It stands for all positions before,
        which earlier leaders may have committed earlier.  Its `contact_at`: no age of an earlier
        leader counts from a later time; none does from after the first commit.
        """
        if self._first_commit_at is None:
            self._first_commit_at = now
            for machine in self._machines.values():
                machine.unknown_sessions_until = min(now, contact_at) + self._settings.drop_after_s
        if position <= self._commit:
            return
        self._commit = position
        self._commits.add(position, now)
        if len(self._by_time) >= MAX_HISTORY:
            self._by_time.pop()  # the later moment stands for it too
        self._by_time.append(_Moment(position, now))

    def reported(self, now: float, report: Report, commit: int, as_of: float | None) -> ReportReply:
        """Take a report to this leader's fence, after the term's first batch is committed.

        `commit`, `as_of`: the leader's at present.  A report of an unknown machine or of an
        incarnation that was replaced is answered as by no leader.
        """
        machine = self._machines.get(report.replica)
        refused = (report.replica, report.incarnation) in self._replaced
        if machine is None or refused or self._first_commit_at is None:
            return ReportReply(False, report.fence)
        self._drop_silent(now)
        if not self._take(now, machine, report):
            return ReportReply(True, report.fence, commit, send_full=True)
        machine.answered_at = now
        self.tick(now, as_of)
        age_ms = -1.0 if as_of is None else max(0.0, (now - as_of) * MS)
        return ReportReply(True, report.fence, commit, age_ms)

    def tick(self, now: float, as_of: float | None) -> None:
        """Time passed, or the leader's as_of moved."""
        self._ticked_at = now
        self._drop_silent(now)
        self._roster.forget(now)
        self._find_by_time(now)
        self._find_early(now)
        while as_of is not None and self._findings and self._findings[0].at <= as_of:
            self._enforce(now, self._findings.popleft().position)

    def _take(self, now: float, machine: _Machine, report: Report) -> bool:
        """Take the report's sessions.  False: a full one is needed."""
        if machine.incarnation != report.incarnation:
            if not report.full:
                return False
            self._replace_incarnation(machine, report.incarnation)
        elif report.number <= machine.number:
            return False  # a copy, or overtaken by a later one
        if report.full:
            self._take_full(now, machine, report)
        elif machine.known and report.number == machine.number + 1:
            self._roster.end(now, machine.name, report.ended)
            self._roster.update(machine.name, report.sessions)
        else:
            return False
        machine.number = report.number
        return True

    def _take_full(self, now: float, machine: _Machine, report: Report) -> None:
        running_s = report.running_ms / MS
        remaining_s = max(0.0, self._settings.drop_after_s - running_s)
        machine.unknown_sessions_until = min(machine.unknown_sessions_until, now + remaining_s)
        machine.known = True
        self._roster.replace(now, machine.name, report.sessions)

    def _replace_incarnation(self, machine: _Machine, incarnation: str) -> None:
        """The earlier incarnation may have answered proxies until its last report was answered."""
        if machine.incarnation is not None:
            self._replaced.append((machine.name, machine.incarnation))
            unknown_sessions_until = machine.answered_at + self._settings.drop_after_s
            machine.unknown_sessions_until = max(
                machine.unknown_sessions_until, unknown_sessions_until
            )
        machine.incarnation = incarnation
        machine.number = 0

    def _drop_silent(self, now: float) -> None:
        """Drop the sessions of machines that have not been answered for too long."""
        for machine in self._machines.values():
            if machine.known and now >= machine.answered_at + self._settings.drop_after_s:
                machine.known = False
                self._roster.replace(now, machine.name, ())

    def _find_by_time(self, now: float) -> None:
        while self._by_time and now >= self._by_time[0].at + self._settings.drop_after_s:
            self._enforce(now, self._by_time.popleft().position)

    def _find_early(self, now: float) -> None:
        if any(now < machine.unknown_sessions_until for machine in self._machines.values()):
            return
        position = self.applied
        found = self._findings[-1].position if self._findings else self._in_force
        if position <= found:
            return
        if len(self._findings) >= MAX_UNCONFIRMED:
            self._findings.pop()  # the later finding stands for it too
        self._findings.append(_Moment(position, now))

    def _enforce(self, now: float, position: int) -> None:
        if position > self._in_force:
            self._in_force = position
            self._enforced.add(position, now)

    def _behind(self, state: SessionState, now: float) -> Lagging:
        """Behind since the first batch that it lacks was committed."""
        moment = self._commits.reached(state.position + 1)
        behind_s = 0.0 if moment is None else max(0.0, now - moment.at)
        return Lagging(
            state.name, state.incarnation, state.region, state.position, behind_s, stale=False
        )


def _missing(entry: Missing, now: float) -> Lagging:
    state = entry.state
    behind_s = max(0.0, now - entry.since)
    return Lagging(
        state.name, state.incarnation, state.region, state.position, behind_s, stale=True
    )
