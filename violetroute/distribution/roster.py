"""The proxies that the leader knows: live sessions by machine, and those that are missing.  Pure.

A proxy process may have sessions at several machines while it moves; it counts once, with the
greatest position that any of them has reported (positions only rise within an incarnation).  A
process without a session any more is remembered by its name until the name is back, an hour at
most, so that a status can say who is missing and since when.

Cost: a report is O(sessions that it names).  The least position is one `min` over a dict of
integers, after a change that may have raised it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nsmallest

from .messages import SessionState
from .session import SessionKey

MAX_MISSING = 4096
MISSING_RETENTION_S = 3600.0
MAX_REFUSALS = 1024  # refusals that a status names


@dataclass(frozen=True, slots=True)
class Missing:
    """The last session of a name, which ended or was not answered since `since`."""

    state: SessionState
    since: float


class Roster:
    """All live sessions, and the names that are missing.  `now`: the leader's seconds."""

    def __init__(self) -> None:
        self._states: dict[SessionKey, SessionState] = {}
        self._holders: dict[SessionKey, set[str]] = {}  # machines that have the session
        self._positions: dict[SessionKey, int] = {}
        self._least: int | None = None
        self._least_known = True
        self._refusing: dict[SessionKey, None] = {}
        self._live_names: dict[str, int] = {}  # sessions of each name
        self._missing: dict[str, Missing] = {}  # the longest missing first
        self._machines: dict[str, dict[SessionKey, None]] = {}

    def __len__(self) -> int:
        return len(self._states)

    @property
    def missing(self) -> Mapping[str, Missing]:
        """Proxies without a session, by name."""
        return self._missing

    @property
    def min_position(self) -> int | None:
        """Every live session has applied everything up to here; None: there is no session."""
        if not self._least_known:
            self._least = min(self._positions.values(), default=None)
            self._least_known = True
        return self._least

    @property
    def refused(self) -> tuple[tuple[str, int, str], ...]:
        """Proxy, position and reason of refusals, at most `MAX_REFUSALS`."""
        found: list[tuple[str, int, str]] = []
        for key in self._refusing:
            refusals = self._states[key].refused
            found.extend((key[0], position, reason) for position, reason in refusals)
            if len(found) >= MAX_REFUSALS:
                break
        return tuple(found[:MAX_REFUSALS])

    def furthest_behind(self, commit: int, most: int) -> list[SessionState]:
        """Live sessions that have not applied everything up to `commit`, the last ones first."""
        behind = [key for key, position in self._positions.items() if position < commit]
        chosen = nsmallest(most, behind, key=self._positions.__getitem__)
        return [self._states[key] for key in chosen]

    def update(self, machine: str, states: Iterable[SessionState]) -> None:
        """These sessions are at the machine, in these states."""
        at_machine = self._machines.setdefault(machine, {})
        positions = self._positions
        for state in states:
            key = (state.name, state.incarnation)
            if key not in at_machine:
                at_machine[key] = None
                self._join(key, machine, state)
            before = positions[key]
            if state.position < before:
                continue
            positions[key] = state.position
            self._states[key] = state
            if before == self._least:
                self._least_known = False
            if state.refused or key in self._refusing:
                self._note_refusals(key, state)

    def end(self, now: float, machine: str, keys: Iterable[SessionKey]) -> None:
        """These sessions of the machine have ended."""
        at_machine = self._machines.get(machine, {})
        for key in keys:
            if key not in at_machine:
                continue
            del at_machine[key]
            self._holders[key].discard(machine)
            if not self._holders[key]:
                self._remove(now, key)

    def replace(self, now: float, machine: str, states: tuple[SessionState, ...]) -> None:
        """The machine has these sessions and no others."""
        named = {(state.name, state.incarnation) for state in states}
        gone = [key for key in self._machines.get(machine, {}) if key not in named]
        self.update(machine, states)
        self.end(now, machine, gone)

    def forget(self, now: float) -> None:
        """Forget the names that have been missing for `MISSING_RETENTION_S`."""
        while self._missing:
            name = next(iter(self._missing))
            if now - self._missing[name].since < MISSING_RETENTION_S:
                return
            del self._missing[name]

    def _join(self, key: SessionKey, machine: str, state: SessionState) -> None:
        holders = self._holders.get(key)
        if holders is not None:
            holders.add(machine)
            return
        self._holders[key] = {machine}
        self._states[key] = state
        self._positions[key] = state.position
        self._least_known = False
        self._live_names[state.name] = self._live_names.get(state.name, 0) + 1
        self._missing.pop(state.name, None)

    def _note_refusals(self, key: SessionKey, state: SessionState) -> None:
        if state.refused:
            self._refusing[key] = None
        else:
            del self._refusing[key]

    def _remove(self, now: float, key: SessionKey) -> None:
        state = self._states.pop(key)
        del self._holders[key]
        del self._positions[key]
        self._least_known = False
        self._refusing.pop(key, None)
        name = key[0]
        self._live_names[name] -= 1
        if self._live_names[name]:
            return
        del self._live_names[name]
        self._missing[name] = Missing(state, now)
        if len(self._missing) > MAX_MISSING:
            del self._missing[next(iter(self._missing))]
