"""The proxies known to the leader: live sessions by machine, and missing proxies.  No I/O.

A proxy process may have sessions at several machines while it moves.  It counts once, with the
greatest position that any of them reported (positions only increase within an incarnation).  The
name of a proxy that lost its last session is kept until it reconnects, for at most an hour, so
that a status can list missing proxies and since when they are missing.

Cost: O(sessions named) per report.  The minimum position is recomputed with one `min` over a dict
of integers, after a change that may have raised it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nsmallest

from .messages import SessionState
from .session import SessionKey

MAX_MISSING = 4096  # missing proxies kept for the status; the longest missing are dropped first
MISSING_RETENTION_S = 3600.0  # time for which a missing proxy is kept
MAX_REFUSALS = 1024  # refusals listed in a status


@dataclass(frozen=True, slots=True)
class Missing:
    """Last session of a missing proxy, which has had no session since `since` (seconds)."""

    state: SessionState
    since: float


class Roster:
    """Live sessions and missing proxies.  `now` is the leader's monotonic time in seconds."""

    def __init__(self) -> None:
        self._states: dict[SessionKey, SessionState] = {}
        self._holders: dict[SessionKey, set[str]] = {}  # names of machines that have the session
        self._positions: dict[SessionKey, int] = {}
        self._min_position: int | None = None
        self._min_position_valid = True
        self._with_refusals: dict[SessionKey, None] = {}
        self._live_names: dict[str, int] = {}  # number of live sessions by proxy name
        self._missing: dict[str, Missing] = {}  # missing proxies by name, longest missing first
        self._machines: dict[str, dict[SessionKey, None]] = {}

    def __len__(self) -> int:
        return len(self._states)

    @property
    def missing(self) -> Mapping[str, Missing]:
        """Proxies without a live session, by name."""
        return self._missing

    @property
    def min_position(self) -> int | None:
        """Minimum applied position of all live sessions; None without a session."""
        if not self._min_position_valid:
            self._min_position = min(self._positions.values(), default=None)
            self._min_position_valid = True
        return self._min_position

    @property
    def refused(self) -> tuple[tuple[str, int, str], ...]:
        """Proxy, position and reason of up to `MAX_REFUSALS` refused changes."""
        found: list[tuple[str, int, str]] = []
        for key in self._with_refusals:
            refusals = self._states[key].refused
            found.extend((key[0], position, reason) for position, reason in refusals)
            if len(found) >= MAX_REFUSALS:
                break
        return tuple(found[:MAX_REFUSALS])

    def furthest_behind(self, commit: int, limit: int) -> list[SessionState]:
        """Returns up to `limit` live sessions behind `commit`, lowest position first."""
        behind = [key for key, position in self._positions.items() if position < commit]
        chosen = nsmallest(limit, behind, key=self._positions.__getitem__)
        return [self._states[key] for key in chosen]

    def update_sessions(self, machine: str, states: Iterable[SessionState]) -> None:
        """Adds or updates sessions of a machine.  States with a lower position are ignored."""
        at_machine = self._machines.setdefault(machine, {})
        positions = self._positions
        for state in states:
            key = (state.name, state.incarnation)
            if key not in at_machine:
                at_machine[key] = None
                self._add_session(key, machine, state)
            previous = positions[key]
            if state.position < previous:
                continue
            positions[key] = state.position
            self._states[key] = state
            if previous == self._min_position:
                self._min_position_valid = False
            if state.refused or key in self._with_refusals:
                self._update_refusals(key, state)

    def end_sessions(self, now: float, machine: str, keys: Iterable[SessionKey]) -> None:
        """Removes ended sessions of a machine."""
        at_machine = self._machines.get(machine, {})
        for key in keys:
            if key not in at_machine:
                continue
            del at_machine[key]
            self._holders[key].discard(machine)
            if not self._holders[key]:
                self._remove_session(now, key)

    def replace_sessions(self, now: float, machine: str, states: tuple[SessionState, ...]) -> None:
        """Replaces all sessions of a machine."""
        named = {(state.name, state.incarnation) for state in states}
        gone = [key for key in self._machines.get(machine, {}) if key not in named]
        self.update_sessions(machine, states)
        self.end_sessions(now, machine, gone)

    def expire_missing(self, now: float) -> None:
        """Drops proxies that have been missing for `MISSING_RETENTION_S`."""
        while self._missing:
            name = next(iter(self._missing))
            if now - self._missing[name].since < MISSING_RETENTION_S:
                return
            del self._missing[name]

    def _add_session(self, key: SessionKey, machine: str, state: SessionState) -> None:
        holders = self._holders.get(key)
        if holders is not None:
            holders.add(machine)
            return
        self._holders[key] = {machine}
        self._states[key] = state
        self._positions[key] = state.position
        self._min_position_valid = False
        self._live_names[state.name] = self._live_names.get(state.name, 0) + 1
        self._missing.pop(state.name, None)

    def _update_refusals(self, key: SessionKey, state: SessionState) -> None:
        if state.refused:
            self._with_refusals[key] = None
        else:
            del self._with_refusals[key]

    def _remove_session(self, now: float, key: SessionKey) -> None:
        state = self._states.pop(key)
        del self._holders[key]
        del self._positions[key]
        self._min_position_valid = False
        self._with_refusals.pop(key, None)
        name = key[0]
        self._live_names[name] -= 1
        if self._live_names[name]:
            return
        del self._live_names[name]
        self._missing[name] = Missing(state, now)
        if len(self._missing) > MAX_MISSING:
            del self._missing[next(iter(self._missing))]
