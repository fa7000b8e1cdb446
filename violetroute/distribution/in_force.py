"""The leader's watermarks: what all proxies have applied, and which batches are in force.  No I/O.

A batch is in force when every proxy has applied it, or knows by its own clock that it is stale
(docs/design/distribution.md, "In force").  Two rules determine the position; the greater one holds:

- *Time.*  A batch is in force `drop_after_s` after its commit, whatever the proxies report.
- *Early.*  All live sessions of all machines have applied it, and no machine can have a fresh proxy
  whose session is unknown to this leader.  A position found at time t is reported once the
  leader's `as_of` reaches t, which proves that no other leader had committed anything by t.  Such a
  leader would know sessions that are unknown here.

Until `unknown_sessions_until`, a machine may have fresh proxies whose sessions are unknown to this
leader.  In a new term this is the earlier of

- `drop_after_s` after the upper bound on the `as_of` of earlier leaders (`leader_contact.py`), for
  sessions that only an earlier leader knew, and
- `drop_after_s` after the start of an incarnation that sent a full report, or that report if later.
  No leader knows the sessions of the incarnation before it, but their proxies are stale by then.

If the leader has not answered a machine for `drop_after_s`, it drops the sessions of the machine:
the ages that the machine reports to its proxies are older than its last answered report.

There is one tracker per term.  `now` is the leader's monotonic time in seconds and must not
decrease.  Cost per report: O(sessions named) plus one minimum over all sessions.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import deque
from dataclasses import dataclass

from .messages import Lagging, Report, ReportReply, SessionState
from .roster import Missing, Roster
from .session import session_timeout_s

MAX_HISTORY = 4096  # positions with a known time of commit, and of being in force
MAX_UNCONFIRMED = 1024  # early positions that wait for the leader's as_of
MAX_REPLACED_INCARNATIONS = 64  # per machine; their reports are refused
MS = 1000.0


@dataclass(frozen=True, slots=True)
class InForceSettings:
    """Staleness bound of the proxies in seconds, and the maximum relative error of any clock."""

    stale_after_s: float = 2.8
    drift: float = 0.05

    @property
    def drop_after_s(self) -> float:
        """Seconds without an answer after which a proxy knows that it is stale."""
        return session_timeout_s(self.stale_after_s, self.drift)


@dataclass(frozen=True, slots=True)
class _PositionTime:
    """`position` and the time at which it was reached."""

    position: int
    at: float


@dataclass(slots=True)
class _Machine:
    """One control machine as the leader knows it.

    Until `unknown_sessions_until` it may have fresh proxies whose sessions are unknown here.
    """

    name: str
    unknown_sessions_until: float = math.inf
    incarnation: str | None = None
    number: int = 0
    answered_at: float = -math.inf
    in_sync: bool = False  # a full report was applied and its sessions were not dropped since


class _History:
    """Times at which an increasing position was reached; the oldest entries are dropped."""

    def __init__(self) -> None:
        self._entries: list[_PositionTime] = []
        self._dropped_position = -1  # last position whose time was dropped

    def add(self, position: int, at: float) -> None:
        self._entries.append(_PositionTime(position, at))
        if len(self._entries) > 2 * MAX_HISTORY:
            self._dropped_position = self._entries[-MAX_HISTORY - 1].position
            del self._entries[:-MAX_HISTORY]

    def reached(self, position: int) -> _PositionTime | None:
        """Returns the first kept entry at or after `position`; None if it was not reached."""
        index = bisect_left(self._entries, position, key=lambda entry: entry.position)
        return self._entries[index] if index < len(self._entries) else None

    def has_time_of(self, position: int) -> bool:
        """Whether the time of `position` has not been dropped."""
        return position > self._dropped_position


class InForceTracker:
    """Applied and in-force positions during one term of one leader.

    `machines` names all control machines, the leader included.  The term's times start at the
    first `committed`, not at construction.
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
        # Commits that are not in force by the time rule yet.
        self._pending_commits: deque[_PositionTime] = deque()
        self._unconfirmed: deque[_PositionTime] = deque()
        self._commit_times = _History()
        self._in_force_times = _History()

    @property
    def applied(self) -> int:
        """Position up to which every live session has applied all batches."""
        position = self._roster.min_position
        return self._commit if position is None else min(position, self._commit)

    @property
    def in_force(self) -> int:
        """Position up to which every proxy has applied all batches, or knows that it is stale."""
        return self._in_force

    @property
    def sessions(self) -> int:
        """Number of live sessions; each incarnation of a proxy counts once."""
        return len(self._roster)

    @property
    def stale(self) -> int:
        """Number of missing proxies: they had a session within the last hour and have none now."""
        return len(self._roster.missing)

    @property
    def refused(self) -> tuple[tuple[str, int, str], ...]:
        """Proxy, position and reason of each change that a proxy refused to apply."""
        return self._roster.refused

    @property
    def next_at(self) -> float:
        """Time of the next `tick`, unless the leader's as_of advances before."""
        times = (
            [self._pending_commits[0].at + self._settings.drop_after_s]
            if self._pending_commits
            else []
        )
        for machine in self._machines.values():
            if machine.in_sync:
                times.append(machine.answered_at + self._settings.drop_after_s)
            if machine.unknown_sessions_until > self._ticked_at:
                times.append(machine.unknown_sessions_until)
        return min(times, default=math.inf)

    def in_force_at(self, position: int) -> float | None:
        """Time at which `position` came into force; None if not yet, or no longer known."""
        if position > self._in_force or not self._in_force_times.has_time_of(position):
            return None
        entry = self._in_force_times.reached(position)
        return None if entry is None else entry.at

    def lagging(self, now: float, limit: int) -> tuple[Lagging, ...]:
        """Returns up to `limit` proxies that are missing or behind; missing ones come first."""
        missing = list(self._roster.missing.values())[:limit]
        behind = self._roster.furthest_behind(self._commit, limit - len(missing))
        proxies = [_missing(entry, now) for entry in missing]
        proxies.extend(self._behind(state, now) for state in behind)
        return tuple(proxies)

    def committed(self, now: float, position: int, contact_at: float = math.inf) -> None:
        """Records that the leader's commit position is `position`.

        The first call is for the first batch of the term.  It covers all earlier positions, which
        earlier leaders may have committed before.  Its `contact_at` is an upper bound on the
        `as_of` of earlier leaders; the time of this first commit is another one.
        """
        if self._first_commit_at is None:
            self._first_commit_at = now
            for machine in self._machines.values():
                machine.unknown_sessions_until = min(now, contact_at) + self._settings.drop_after_s
        if position <= self._commit:
            return
        self._commit = position
        self._commit_times.add(position, now)
        if len(self._pending_commits) >= MAX_HISTORY:
            self._pending_commits.pop()  # the later entry covers it
        self._pending_commits.append(_PositionTime(position, now))

    def reported(self, now: float, report: Report, commit: int, as_of: float | None) -> ReportReply:
        """Applies a report with this leader's fence, once the term's first batch is committed.

        `commit` and `as_of` are the leader's current ones.  Reports of unknown machines and of
        replaced incarnations are answered as if this machine did not lead.
        """
        machine = self._machines.get(report.replica)
        refused = (report.replica, report.incarnation) in self._replaced
        if machine is None or refused or self._first_commit_at is None:
            return ReportReply(False, report.fence)
        self._drop_unanswered(now)
        if not self._apply_report(now, machine, report):
            return ReportReply(True, report.fence, commit, send_full=True)
        machine.answered_at = now
        self.tick(now, as_of)
        age_ms = -1.0 if as_of is None else max(0.0, (now - as_of) * MS)
        return ReportReply(True, report.fence, commit, age_ms)

    def tick(self, now: float, as_of: float | None) -> None:
        """Does the work due after time passed or the leader's as_of advanced."""
        self._ticked_at = now
        self._drop_unanswered(now)
        self._roster.expire_missing(now)
        self._apply_time_rule(now)
        self._apply_early_rule(now)
        while as_of is not None and self._unconfirmed and self._unconfirmed[0].at <= as_of:
            self._set_in_force(now, self._unconfirmed.popleft().position)

    def _apply_report(self, now: float, machine: _Machine, report: Report) -> bool:
        """Applies the report's sessions.  Returns False if a full report is needed."""
        if machine.incarnation != report.incarnation:
            if not report.full:
                return False
            self._replace_incarnation(machine, report.incarnation)
        elif report.number <= machine.number:
            return False  # a duplicate, or out of order
        if report.full:
            self._apply_full_report(now, machine, report)
        elif machine.in_sync and report.number == machine.number + 1:
            self._roster.end_sessions(now, machine.name, report.ended)
            self._roster.update_sessions(machine.name, report.sessions)
        else:
            return False
        machine.number = report.number
        return True

    def _apply_full_report(self, now: float, machine: _Machine, report: Report) -> None:
        running_s = report.running_ms / MS
        remaining_s = max(0.0, self._settings.drop_after_s - running_s)
        machine.unknown_sessions_until = min(machine.unknown_sessions_until, now + remaining_s)
        machine.in_sync = True
        self._roster.replace_sessions(now, machine.name, report.sessions)

    def _replace_incarnation(self, machine: _Machine, incarnation: str) -> None:
        """Accounts for sessions of the earlier incarnation that are unknown here.

        It may have answered proxies until its last answered report; they are stale `drop_after_s`
        later.
        """
        if machine.incarnation is not None:
            self._replaced.append((machine.name, machine.incarnation))
            stale_at = machine.answered_at + self._settings.drop_after_s
            machine.unknown_sessions_until = max(machine.unknown_sessions_until, stale_at)
        machine.incarnation = incarnation
        machine.number = 0

    def _drop_unanswered(self, now: float) -> None:
        """Drops the sessions of machines whose last answered report is too old."""
        for machine in self._machines.values():
            if machine.in_sync and now >= machine.answered_at + self._settings.drop_after_s:
                machine.in_sync = False
                self._roster.replace_sessions(now, machine.name, ())

    def _apply_time_rule(self, now: float) -> None:
        while (
            self._pending_commits
            and now >= self._pending_commits[0].at + self._settings.drop_after_s
        ):
            self._set_in_force(now, self._pending_commits.popleft().position)

    def _apply_early_rule(self, now: float) -> None:
        if any(now < machine.unknown_sessions_until for machine in self._machines.values()):
            return
        position = self.applied
        latest = self._unconfirmed[-1].position if self._unconfirmed else self._in_force
        if position <= latest:
            return
        if len(self._unconfirmed) >= MAX_UNCONFIRMED:
            self._unconfirmed.pop()  # the later entry covers it
        self._unconfirmed.append(_PositionTime(position, now))

    def _set_in_force(self, now: float, position: int) -> None:
        if position > self._in_force:
            self._in_force = position
            self._in_force_times.add(position, now)

    def _behind(self, state: SessionState, now: float) -> Lagging:
        """Measures the lag from the commit of the first batch that the session lacks."""
        entry = self._commit_times.reached(state.position + 1)
        behind_s = 0.0 if entry is None else max(0.0, now - entry.at)
        return Lagging(
            state.name, state.incarnation, state.region, state.position, behind_s, stale=False
        )


def _missing(entry: Missing, now: float) -> Lagging:
    state = entry.state
    behind_s = max(0.0, now - entry.since)
    return Lagging(
        state.name, state.incarnation, state.region, state.position, behind_s, stale=True
    )
