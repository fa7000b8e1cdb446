"""Leader election for one work, as seen by one incarnation of a proxy.  Pure.

The holder counts its term from the time just before it sent the request, on its own monotonic
clock, and stops `hold_s` later.  Another candidate takes the lease only after it has seen the
record unchanged for `term_s` on its own clock.  The record is written after the request was sent
and is observed after it was written.  So if each clock's rate is wrong by at most `drift`, a holder
with hold_s = term_s * (1 - drift) / (1 + drift) always stops first.  The same holds for the TTL of
a session, since the server counts it from the arrival of the renewal.

The lease alone is no proof of ownership: a process can be suspended between a check and its effect
for longer than any term.  The lease keeps the time short in which two owners work in parallel; the
fencing token rejects the effects of the late one.  `valid_fence` must not be relied on for more.

At most one call to the store is pending.  Its response carries the number of the call, and the
response to an abandoned call is ignored.  If the store applied that call all the same, the next
poll shows it: a record with this incarnation's own nonce is taken over at once, with a new fence.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol

from .lease import MAX_FENCE, Lease, LeaseVersion, version_of

RENEW_FRACTION = 1.0 / 3.0  # fraction of hold_s after which a renewal is sent: two may be lost
JITTER = 0.2  # max fraction by which a wait is shortened
INFINITE = float("inf")
FIRST_BACKOFF = 0.1  # fraction of a term, after the first failed call; doubles
MAX_BACKOFF = 1.0  # fraction of a term: a recovered store is called again within one term


class RandomSource(Protocol):
    """A random.Random, or a constant in tests."""

    def random(self) -> float:
        """A number in [0, 1)."""


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Timing of a lease; `term_s` and `step_s` in seconds.

    `drift`: max relative error of a clock's rate.  `step_s`: extra wait of a candidate per rank.
    `expires_leases`: the store itself expires a lease that is not renewed, so candidates do not.
    """

    term_s: float
    drift: float
    step_s: float
    expires_leases: bool = False

    @property
    def hold_s(self) -> float:
        """Seconds for which a holder uses the lease, from before it sent the request."""
        return self.term_s * (1.0 - self.drift) / (1.0 + self.drift)


@dataclass(frozen=True, slots=True)
class Acquire:
    """Acquire the lease by compare-and-set: if it is free or its version is `expected`.

    The new fence is above `floor`.
    """

    work: str
    number: int
    floor: int
    expected: LeaseVersion | None


@dataclass(frozen=True, slots=True)
class Renew:
    """Renew the lease held with `fence`; `number` identifies the call."""

    work: str
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class Release:
    """Release the lease held with `fence`; `number` identifies the call."""

    work: str
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class TermBegan:
    """A term began: the work may start with this fence."""

    work: str
    fence: int


@dataclass(frozen=True, slots=True)
class TermEnded:
    """The term ended: no new effect may start with this fence."""

    work: str
    fence: int
    reason: Literal["lapsed", "lost", "fenced", "resigned"]


Action = Acquire | Renew | Release | TermBegan | TermEnded


class LeaderElector:
    """Decides when one candidate acquires, renews, uses and releases the lease of one work.

    `now` is in seconds of this process's monotonic clock in every method.  A method that returns a
    list returns the actions that the caller must perform, in order.
    """

    __slots__ = (
        "_acquire_at",
        "_available_at",
        "_failures",
        "_gained_at",
        "_nonce",
        "_number",
        "_observed",
        "_observed_at",
        "_pending_call",
        "_random",
        "_renew_at",
        "_sent_at",
        "_timing",
        "_work_stopped",
        "fence",
        "floor",
        "is_candidate",
        "late_margin_s",
        "rank",
        "state",
        "valid_until",
        "work",
    )

    def __init__(self, work: str, nonce: str, timing: LeaseTiming, rng: RandomSource) -> None:
        self.work, self._nonce, self._timing, self._random = work, nonce, timing, rng
        self.state: Literal["waiting", "owner", "resigning"] = "waiting"
        self.is_candidate = False
        self.rank = 0  # place among the candidates; rank 0 acquires first
        self.fence = 0  # fence of the current or last term
        self.valid_until = 0.0  # end of that term (s)
        self.floor = 0  # the highest fence known from any source
        # Seconds left when a late renewal was confirmed; 0 if it was in time.
        self.late_margin_s = 0.0
        self._observed: LeaseVersion | None = None
        self._observed_at: float | None = None  # when it was first seen; None: not read yet
        self._available_at = 0.0  # earliest time at which the lease may be acquired
        self._acquire_at = self._renew_at = self._gained_at = self._sent_at = 0.0
        self._pending_call = ""  # acquire, renew, release or none
        self._number = self._failures = 0
        self._work_stopped = True  # no effect of an ended term is in progress

    # --- permission for effects ---
    def valid_fence(self, now: float, duration: float = 0.0) -> int:
        """The fence with which an effect that takes `duration` seconds may start; 0: none may."""
        return self.fence if self.state == "owner" and now + duration < self.valid_until else 0

    @property
    def next_at(self) -> float:
        """Time of the next `tick` that has something to do, unless another event comes first."""
        if self.state == "owner":
            if not self.is_candidate:
                return self._gained_at
            return self.valid_until if self._pending_call else min(self.valid_until, self._renew_at)
        if self.state == "resigning":
            waiting = self._pending_call or not self._work_stopped
            return self.valid_until if waiting else min(self.valid_until, self._renew_at)
        if (
            not self.is_candidate
            or self._pending_call
            or not self._work_stopped
            or self._observed_at is None
        ):
            return INFINITE
        return self._acquire_due_at()

    # --- candidacy ---
    def set_candidate(self, is_candidate: bool, rank: int = 0) -> None:
        """Set whether this process is a candidate, and its rank (rank 0 acquires first)."""
        self.is_candidate, self.rank = is_candidate, rank

    def work_stopped(self) -> None:
        """All effects of the ended term are over, so the lease may be released."""
        self._work_stopped = True

    # --- time ---
    def tick(self, now: float) -> list[Action]:
        """End an expired term; return the call to the store that is due."""
        actions: list[Action] = []
        if self.state == "owner":
            if now >= self.valid_until:
                actions += self._end_term("lapsed", now)
            elif not self.is_candidate:
                actions += self._end_term("resigned", now)
        if self.state == "resigning":
            if now >= self.valid_until:
                self.state = "waiting"  # not released: it expires for the others
            elif self._work_stopped and not self._pending_call and now >= self._renew_at:
                actions.append(Release(self.work, self._start_call("release", now), self.fence))
        elif self.state == "owner":
            if not self._pending_call and now >= self._renew_at:
                actions.append(Renew(self.work, self._start_call("renew", now), self.fence))
        elif (
            self.is_candidate
            and self._work_stopped
            and not self._pending_call
            and self._observed_at is not None
            and now >= self._acquire_due_at()
        ):
            actions.append(
                Acquire(self.work, self._start_call("acquire", now), self.floor, self._observed)
            )
        return actions

    def renew_early(self, now: float) -> list[Action]:
        """A renewal to send together with another work's, if half of the wait for it is over."""
        if (
            self.state != "owner"
            or self._pending_call
            or now >= self.valid_until
            or now < self._renew_at - self._timing.hold_s * RENEW_FRACTION / 2.0
        ):
            return []
        return [Renew(self.work, self._start_call("renew", now), self.fence)]

    def step_down(self, now: float) -> list[Action]:
        """Step down while remaining a candidate, so that another process can take over."""
        return self._end_term("resigned", now) if self.state == "owner" else []

    def _acquire_due_at(self) -> float:
        """When to acquire.  Each rank waits `step_s` longer; the wait is bounded, as ranks are."""
        return max(self._acquire_at, self._available_at + self.rank * self._timing.step_s)

    def _start_call(self, kind: str, now: float) -> int:
        self._pending_call, self._sent_at = kind, now
        self._number += 1
        return self._number

    # --- responses of the store ---
    def observe(
        self, now: float, requested_at: float, lease: Lease | None, alive: bool
    ) -> list[Action]:
        """Process the record as read by a poll sent at `requested_at`.

        `alive`: the holder's process may still run.  Ends the term if the record names another.
        """
        version = version_of(lease)
        if lease is not None:
            self.floor = max(self.floor, lease.fence)
        if version != self._observed or self._observed_at is None:
            self._observed, self._observed_at = version, now
            self._available_at = now
            if version is not None and version.nonce != self._nonce:
                self._available_at = (
                    INFINITE if self._timing.expires_leases else now + self._timing.term_s
                )
        if version is not None and not alive:
            self._available_at = min(self._available_at, now)
        if (
            self.state == "owner"
            and requested_at >= self._gained_at
            and not self._pending_call
            and (version is None or (version.fence, version.nonce) != (self.fence, self._nonce))
        ):
            return self._end_term("lost", now)
        return []

    def unreadable(self) -> None:
        """The record is malformed or of a later version: acquire nothing until it is readable."""
        self._observed, self._observed_at = None, None

    def granted(self, now: float, number: int, fence: int) -> list[Action]:
        """The store granted the lease.  The term counts from the sending of the request.

        No term begins if it is over already or if this process is no longer a candidate.
        """
        if not self._complete_call("acquire", number):
            return []
        self._failures = 0
        self.floor = max(self.floor, fence)
        self.fence, self.valid_until = fence, self._sent_at + self._timing.hold_s
        self._observed, self._observed_at = LeaseVersion(fence, self._nonce, 0), now
        self._available_at = self._acquire_at = now
        # A grant that is not used is acquired again with a new fence, or released.
        if now >= self.valid_until or not self.is_candidate:
            self.state = "waiting" if now >= self.valid_until else "resigning"
            self._renew_at = now
            return []
        self.state, self._gained_at, self._work_stopped = "owner", now, False
        self._renew_at = self._sent_at + self._with_jitter(self._timing.hold_s * RENEW_FRACTION)
        return [TermBegan(self.work, fence)]

    def denied(self, now: float, number: int, lease: Lease | None) -> list[Action]:
        """The compare-and-set failed: `lease` is the record that the store has."""
        if not self._complete_call("acquire", number):
            return []
        self._failures = 0
        actions = self.observe(now, now, lease, True)
        self._acquire_at = now + self._with_jitter(self._timing.term_s * FIRST_BACKOFF)
        return actions

    def renewed(self, now: float, number: int) -> list[Action]:
        """The store renewed the lease.  The term counts from the sending of the renewal."""
        if not self._complete_call("renew", number) or self.state != "owner":
            return []
        left, self._failures = self.valid_until - now, 0
        self.late_margin_s = left if left < self._timing.hold_s * RENEW_FRACTION else 0.0
        self.valid_until = self._sent_at + self._timing.hold_s
        self._renew_at = self._sent_at + self._with_jitter(self._timing.hold_s * RENEW_FRACTION)
        return self.tick(now) if now >= self.valid_until else []

    def lost(self, now: float, number: int, lease: Lease | None) -> list[Action]:
        """A renewal or release failed: the store has another holder's record, or none."""
        if not self._complete_call("renew", number) and not self._complete_call("release", number):
            return []
        actions = self._end_term("lost", now) if self.state == "owner" else []
        if self.state == "resigning":
            self.state = "waiting"
        return actions + self.observe(now, now, lease, True)

    def released(self, now: float, number: int) -> list[Action]:
        """The store released the lease.  This process does not acquire it again for one term."""
        if not self._complete_call("release", number):
            return []
        self.state, self._failures = "waiting", 0
        self._observed, self._observed_at, self._available_at = None, now, now
        self._acquire_at = now + self._timing.term_s  # lets other candidates acquire it first
        return []

    def failed(self, now: float, number: int) -> list[Action]:
        """The call failed, though the store may have applied it.  Backs off up to one term."""
        if number != self._number or not self._pending_call:
            return []
        self._pending_call = ""
        wait = self._with_jitter(
            min(MAX_BACKOFF, FIRST_BACKOFF * 2.0 ** min(self._failures, 10)) * self._timing.term_s
        )
        self._failures += 1
        self._acquire_at = now + wait
        self._renew_at = now + min(wait, self._timing.hold_s * RENEW_FRACTION / 2.0)
        return []

    def _complete_call(self, kind: str, number: int) -> bool:
        if number != self._number or self._pending_call != kind:
            return False
        self._pending_call = ""
        return True

    # --- from the target of an effect ---
    def fenced(self, now: float, floor: int) -> list[Action]:
        """An effect was rejected; `floor` is the highest fence that its target has seen.

        If the store still names this incarnation, its next term gets a higher fence.  A floor of
        MAX_FENCE or above is ignored, or one faulty target would use up all fences.
        """
        if floor < MAX_FENCE:
            self.floor = max(self.floor, floor)
        if self.state != "owner":
            return []
        self._acquire_at = now + self._with_jitter(self._timing.term_s * FIRST_BACKOFF)
        return self._end_term("fenced", now)

    def _end_term(
        self, reason: Literal["lapsed", "lost", "fenced", "resigned"], now: float
    ) -> list[Action]:
        self.state = "resigning" if reason == "resigned" else "waiting"
        self._renew_at = now
        return [TermEnded(self.work, self.fence, reason)]

    def _with_jitter(self, seconds: float) -> float:
        """Shorten by a random part up to JITTER: `seconds` remains an upper bound."""
        return seconds * (1.0 - JITTER * self._random.random())
