"""One incarnation of a process in the lease model: its elector, log and steps in progress."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from violetroute.fleet.election import Acquire, LeaderElector, Release, Renew
from violetroute.fleet.lease import FenceGuard, IncarnationId, Lease
from violetroute.fleet.log import FencedLog, Put

ELECTOR_FIELDS = LeaderElector.__slots__


class StoreAnswer(NamedTuple):
    """The store's answer to a call."""

    accepted: bool
    lease: Lease | None  # as it is after the call


class Reading(NamedTuple):
    """The result of reading the lease from the store."""

    asked_at: float  # time of the request, by the clock of the reading process
    lease: Lease | None
    holder_runs: bool


@dataclass
class Incarnation:
    """A process from its start to its end."""

    elector: LeaderElector
    me: IncarnationId
    log: FencedLog
    call: Acquire | Renew | Release | None = None  # sent to the store and not answered yet
    answer: StoreAnswer | None = None  # made by the store, not yet received by the process
    reading: Reading | None = None  # made by the store, not yet received by the process
    put: Put | None = None  # has passed all checks, but is not in the log yet
    claimed: int = 0  # the fence under which this incarnation claimed the log
    stopped: bool = False

    def copy(self) -> Incarnation:
        """A copy that can be changed without changing the original."""
        made = Incarnation.__new__(Incarnation)
        made.__dict__.update(self.__dict__)
        made.elector = LeaderElector.__new__(LeaderElector)
        for name in ELECTOR_FIELDS:
            setattr(made.elector, name, getattr(self.elector, name))
        made.log = FencedLog.__new__(FencedLog)
        made.log.__dict__.update(self.log.__dict__)
        made.log.guard = FenceGuard(self.log.guard.fence, self.log.guard.nonce)
        return made

    def key(self, now: float, end: int, beat: int) -> Any:
        """Everything of its state that later steps depend on.

        `now`: the process's clock.  `end`: the end position of the log.  `beat`: the beat of the
        lease in the store.  Times, positions and beats in the key are relative to these.
        """
        return (
            self._elector_key(now, beat),
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

    def _elector_key(self, now: float, beat: int) -> Any:
        elector = self.elector
        return (
            elector.state,
            elector.fence,
            elector.floor,
            elector._pending_call,
            elector._work_stopped,
            elector._failures,
            _observed_key(elector._observed, beat),
            elector._observed_at is None,
            *(
                round(max(-4.0, at - now), 6)
                for at in (
                    elector.valid_until,
                    elector._available_at,
                    elector._acquire_at,
                    elector._renew_at,
                )
            ),
            round(now - elector._sent_at, 6) if elector._pending_call else 0,
        )

    def _call_key(self, beat: int) -> Any:
        call = self.call
        if call is None:
            return None
        return (
            type(call).__name__,
            call.number == self.elector._number,
            _observed_key(call.expected, beat) if isinstance(call, Acquire) else call.fence,
            getattr(call, "floor", 0),
        )

    def _answer_key(self, beat: int) -> Any:
        answer = self.answer
        return None if answer is None else (answer.accepted, lease_key(answer.lease, beat))

    def _reading_key(self, beat: int) -> Any:
        if self.reading is None:
            return None
        requested_at, lease, holder_runs = self.reading
        return requested_at >= self.elector._gained_at, lease_key(lease, beat), holder_runs


def lease_key(lease: Lease | None, beat: int) -> Any:
    """The part of a lease that later steps depend on; its beat is relative to `beat`."""
    return None if lease is None else (lease.fence, lease.nonce, lease.beat - beat, lease.free)


def _observed_key(observed: Any, beat: int) -> Any:
    return None if observed is None else (observed.fence, observed.nonce, observed.beat - beat)
