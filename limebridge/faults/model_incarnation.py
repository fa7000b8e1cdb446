"""One incarnation in the model of ownership: its owner and log, and its steps under way."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from violetroute.fleet.election import Acquire, LeaderElector, Release, Renew
from violetroute.fleet.lease import FenceGuard, IncarnationId, Lease
from violetroute.fleet.log import FencedLog, Put

FIELDS = LeaderElector.__slots__


class StoreAnswer(NamedTuple):
    """What the store has answered to a call."""

    accepted: bool
    lease: Lease | None  # as it is after the call


class Reading(NamedTuple):
    """What a look at the store has found."""

    asked_at: float  # by the clock of who looks
    lease: Lease | None
    holder_runs: bool


@dataclass
class Incarnation:
    """A process from a start to its end."""

    owner: LeaderElector
    me: IncarnationId
    log: FencedLog
    call: Acquire | Renew | Release | None = None  # to the store, not answered yet
    answer: StoreAnswer | None = None  # on its way back
    reading: Reading | None = None  # on its way back
    put: Put | None = None  # checked, but not in the log yet
    claimed: int = 0  # the fence under which the log was claimed
    stopped: bool = False

    def copy(self) -> Incarnation:
        made = Incarnation.__new__(Incarnation)
        made.__dict__.update(self.__dict__)
        made.owner = LeaderElector.__new__(LeaderElector)
        for name in FIELDS:
            setattr(made.owner, name, getattr(self.owner, name))
        made.log = FencedLog.__new__(FencedLog)
        made.log.__dict__.update(self.log.__dict__)
        made.log.guard = FenceGuard(self.log.guard.fence, self.log.guard.nonce)
        return made

    def key(self, now: float, end: int, beat: int) -> Any:
        """All of its state that later steps depend on.

        `now`: its clock, `end`: of the log, `beat`: of the lease.  Times, positions and beats are
        relative to these.
        """
        return (
            self._owner_key(now, beat),
            self._call_key(beat),
            self._answer_key(beat),
            self._reading_key(beat),
            None if self.put is None else (end - self.put.position, self.put.data),
            self.claimed,
            self.stopped,
            self.me.nonce,
            end - self.log.next_position,
            self.log.guard.fence,
            self.log.guard.nonce,
        )

    def _owner_key(self, now: float, beat: int) -> Any:
        owner = self.owner
        return (
            owner.state,
            owner.fence,
            owner.floor,
            owner._pending_call,
            owner._work_stopped,
            owner._failures,
            _seen_key(owner._observed, beat),
            owner._observed_at is None,
            *(
                round(max(-4.0, at - now), 6)
                for at in (
                    owner.valid_until,
                    owner._available_at,
                    owner._acquire_at,
                    owner._renew_at,
                )
            ),
            round(now - owner._sent_at, 6) if owner._pending_call else 0,
        )

    def _call_key(self, beat: int) -> Any:
        call = self.call
        if call is None:
            return None
        return (
            type(call).__name__,
            call.number == self.owner._number,
            _seen_key(call.expected, beat) if isinstance(call, Acquire) else call.fence,
            getattr(call, "floor", 0),
        )

    def _answer_key(self, beat: int) -> Any:
        answer = self.answer
        return None if answer is None else (answer.accepted, lease_key(answer.lease, beat))

    def _reading_key(self, beat: int) -> Any:
        if self.reading is None:
            return None
        asked_at, lease, holder_runs = self.reading
        return asked_at >= self.owner._gained_at, lease_key(lease, beat), holder_runs


def lease_key(lease: Lease | None, beat: int) -> Any:
    """What later steps depend on of a lease; its beat is relative to `beat`."""
    return None if lease is None else (lease.fence, lease.nonce, lease.beat - beat, lease.free)


def _seen_key(seen: Any, beat: int) -> Any:
    return None if seen is None else (seen.fence, seen.nonce, seen.beat - beat)
