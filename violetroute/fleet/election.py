"""What one incarnation knows of one work: whether it owns it, until when, what to ask next.  Pure.

Time.  A term is reckoned from before the asking was sent, by the asker's monotonic clock, and ends
there `kept_s` later; nobody else takes a lease before its record has stood unchanged before his own
eyes for `term_s` by his own clock.  With two clocks whose rates are wrong by `drift` at most,
kept_s = term_s * (1 - drift) / (1 + drift) ends first whatever each of them does: the record was
written after the asking, and seen after it was written.  Of a session's TTL the same holds, since
the server reckons from when the renewal came.

That is for who runs.  A process can be stopped between a check and its effect for longer than any
term, so what is here is never the proof of ownership; it keeps two owners from working side by side
for long, and the fence keeps the late one's effect out.  Nothing else may depend on `may`.

One call is under way at a time.  Its answer is known by its number: one that comes after it was
given up says nothing, and what the store did for it is seen at the next look (a record of our own
nonce is taken over at once, under a new fence).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol

from .lease import MAX_FENCE, Lease, LeaseVersion, version_of

RENEW_FRACTION = 1.0 / 3.0  # of the kept time after which a renewal is sent: two may be lost
JITTER = 0.2  # of a wait
INFINITE = float("inf")
FIRST_BACKOFF = 0.1  # of a term, after a call that failed; doubles
MAX_BACKOFF = 1.0  # of a term: a store that is back is met again within that


class RandomSource(Protocol):
    """random.Random, or a test's constant."""

    def random(self) -> float:
        """A number in [0, 1)."""


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Seconds.  `step_s`: by which each place in the order of those who wait asks later.

    `vouches`: the store itself ends a lease whose owner is silent, so nobody else reckons it.
    """

    term_s: float
    drift: float
    step_s: float
    expires_leases: bool = False

    @property
    def hold_s(self) -> float:
        """For which an owner believes itself one, from before it asked."""
        return self.term_s * (1.0 - self.drift) / (1.0 + self.drift)


@dataclass(frozen=True, slots=True)
class Acquire:
    """Take the lease if it is free or its record still has the stamp `over`."""

    work: str
    number: int
    floor: int
    expected: LeaseVersion | None


@dataclass(frozen=True, slots=True)
class Renew:
    """Extend the lease that is held under `fence`; `number` identifies the call."""

    work: str
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class Release:
    """Free the lease that is held under `fence`; `number` identifies the call."""

    work: str
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class TermBegan:
    """The work may begin under this fence."""

    work: str
    fence: int


@dataclass(frozen=True, slots=True)
class TermEnded:
    """Nothing more may be begun under this fence."""

    work: str
    fence: int
    why: Literal["lapsed", "lost", "fenced", "resigned"]


Action = Acquire | Renew | Release | TermBegan | TermEnded


class LeaderElector:
    """One lease as one candidate sees it.

    `now` is in seconds of this process's monotonic clock in every call.  A method that returns a
    list returns the actions to carry out, in order.
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
        "_terms",
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

    def __init__(self, work: str, nonce: str, terms: LeaseTiming, chance: RandomSource) -> None:
        self.work, self._nonce, self._terms, self._random = work, nonce, terms, chance
        self.state: Literal["waiting", "owner", "resigning"] = "waiting"
        self.is_candidate = False
        self.rank = 0  # place among those who wait: the first asks first
        self.fence = 0  # of the term at hand
        self.valid_until = 0.0  # and its end
        self.floor = 0  # the highest fence heard of, from wherever
        self.late_margin_s = 0.0  # s that were left when the last renewal was answered, where few
        self._observed: LeaseVersion | None = None
        self._observed_at: float | None = None  # since when it stands so; None before a first look
        self._available_at = 0.0  # from when on the lease may be taken, as far as we have seen
        self._acquire_at = self._renew_at = self._gained_at = self._sent_at = 0.0
        self._pending_call = ""  # what is under way
        self._number = self._failures = 0
        self._work_stopped = True  # nothing that was begun is under way

    # --- what an owner may do ---
    def valid_fence(self, now: float, duration: float = 0.0) -> int:
        """The fence under which an effect that takes `need` seconds may begin; 0 if none may."""
        return self.fence if self.state == "owner" and now + duration < self.valid_until else 0

    @property
    def next_at(self) -> float:
        """When `tick` has something to do if nothing happens before."""
        if self.state == "owner":
            if not self.is_candidate:
                return self._gained_at
            return self.valid_until if self._pending_call else min(self.valid_until, self._renew_at)
        if self.state == "resigning":
            held = self._pending_call or not self._work_stopped
            return self.valid_until if held else min(self.valid_until, self._renew_at)
        if (
            not self.is_candidate
            or self._pending_call
            or not self._work_stopped
            or self._observed_at is None
        ):
            return INFINITE
        return self._acquire_due_at()

    # --- from whoever decides who should work ---
    def set_candidate(self, on: bool, rank: int = 0) -> None:
        """Set whether this process is a candidate, and its rank (0 asks first)."""
        self.is_candidate, self.rank = on, rank

    def work_stopped(self) -> None:
        """What had been begun has ended: a lease that is handed back may go."""
        self._work_stopped = True

    # --- time ---
    def tick(self, now: float) -> list[Action]:
        """End a term that is over; send the request, renewal or release that is due."""
        actions: list[Action] = []
        if self.state == "owner":
            if now >= self.valid_until:
                actions += self._end_term("lapsed", now)
            elif not self.is_candidate:
                actions += self._end_term("resigned", now)
        if self.state == "resigning":
            if now >= self.valid_until:
                self.state = "waiting"  # others see it stand still, as if we had died
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
                Acquire(self.work, self._start_call("ask", now), self.floor, self._observed)
            )
        return actions

    def renew_early(self, now: float) -> list[Action]:
        """A renewal is sent for another work: this one's goes with it, if it is half due."""
        if (
            self.state != "owner"
            or self._pending_call
            or now >= self.valid_until
            or now < self._renew_at - self._terms.hold_s * RENEW_FRACTION / 2.0
        ):
            return []
        return [Renew(self.work, self._start_call("renew", now), self.fence)]

    def step_down(self, now: float) -> list[Action]:
        """Give it up though it is wanted: another should have it."""
        return self._end_term("resigned", now) if self.state == "owner" else []

    def _acquire_due_at(self) -> float:
        """When to ask.  Each place in the order waits a step longer; nobody waits for good."""
        return max(self._acquire_at, self._available_at + self.rank * self._terms.step_s)

    def _start_call(self, what: str, now: float) -> int:
        self._pending_call, self._sent_at = what, now
        self._number += 1
        return self._number

    # --- from the store ---
    def observe(
        self, now: float, requested_at: float, lease: Lease | None, alive: bool
    ) -> list[Action]:
        """The record as it stood after `asked_at`; `alive`: its process may still run."""
        here = version_of(lease)
        if lease is not None:
            self.floor = max(self.floor, lease.fence)
        if here != self._observed or self._observed_at is None:
            self._observed, self._observed_at = here, now
            self._available_at = now
            if here is not None and here.nonce != self._nonce:
                self._available_at = (
                    INFINITE if self._terms.expires_leases else now + self._terms.term_s
                )
        if here is not None and not alive:
            self._available_at = min(self._available_at, now)
        if (
            self.state == "owner"
            and requested_at >= self._gained_at
            and not self._pending_call
            and (here is None or (here.fence, here.nonce) != (self.fence, self._nonce))
        ):
            return self._end_term("lost", now)
        return []

    def unreadable(self) -> None:
        """The record is garbage or a later version's: nothing is asked until one can be read."""
        self._observed, self._observed_at = None, None

    def granted(self, now: float, number: int, fence: int) -> list[Action]:
        """The store granted the lease.  The term counts from when the request was sent.

        Nothing begins if that term is over already, or if this process is no candidate any more.
        """
        if not self._complete_call("ask", number):
            return []
        self._failures = 0
        self.floor = max(self.floor, fence)
        self.fence, self.valid_until = fence, self._sent_at + self._terms.hold_s
        self._observed, self._observed_at = LeaseVersion(fence, self._nonce, 0), now
        self._available_at = self._acquire_at = now
        if (
            now >= self.valid_until or not self.is_candidate
        ):  # the next term, or nobody's, goes over it
            self.state = "waiting" if now >= self.valid_until else "resigning"
            self._renew_at = now
            return []
        self.state, self._gained_at, self._work_stopped = "owner", now, False
        self._renew_at = self._sent_at + self._with_jitter(self._terms.hold_s * RENEW_FRACTION)
        return [TermBegan(self.work, fence)]

    def denied(self, now: float, number: int, lease: Lease | None) -> list[Action]:
        """Another process holds the lease, or its record changed since the last read."""
        if not self._complete_call("ask", number):
            return []
        self._failures = 0
        actions = self.observe(now, now, lease, True)
        self._acquire_at = now + self._with_jitter(self._terms.term_s * FIRST_BACKOFF)
        return actions

    def renewed(self, now: float, number: int) -> list[Action]:
        """The store renewed the lease.  The term counts from when the renewal was sent."""
        if not self._complete_call("renew", number) or self.state != "owner":
            return []
        left, self._failures = self.valid_until - now, 0
        self.late_margin_s = left if left < self._terms.hold_s * RENEW_FRACTION else 0.0
        self.valid_until = self._sent_at + self._terms.hold_s
        self._renew_at = self._sent_at + self._with_jitter(self._terms.hold_s * RENEW_FRACTION)
        return self.tick(now) if now >= self.valid_until else []

    def lost(self, now: float, number: int, lease: Lease | None) -> list[Action]:
        """A renewal or release met another's record, or none."""
        if not self._complete_call("renew", number) and not self._complete_call("release", number):
            return []
        actions = self._end_term("lost", now) if self.state == "owner" else []
        if self.state == "resigning":
            self.state = "waiting"
        return actions + self.observe(now, now, lease, True)

    def released(self, now: float, number: int) -> list[Action]:
        """The store freed the lease.  This process does not ask again for one term."""
        if not self._complete_call("release", number):
            return []
        self.state, self._failures = "waiting", 0
        self._observed, self._observed_at, self._available_at = None, now, now
        self._acquire_at = now + self._terms.term_s  # who hands it on lets the others come first
        return []

    def failed(self, now: float, number: int) -> list[Action]:
        """The call failed; the store may have applied it.  The wait doubles up to one term."""
        if number != self._number or not self._pending_call:
            return []
        self._pending_call = ""
        wait = self._with_jitter(
            min(MAX_BACKOFF, FIRST_BACKOFF * 2.0 ** min(self._failures, 10)) * self._terms.term_s
        )
        self._failures += 1
        self._acquire_at = now + wait
        self._renew_at = now + min(wait, self._terms.hold_s * RENEW_FRACTION / 2.0)
        return []

    def _complete_call(self, what: str, number: int) -> bool:
        if number != self._number or self._pending_call != what:
            return False
        self._pending_call = ""
        return True

    # --- from the effect ---
    def fenced(self, now: float, floor: int) -> list[Action]:
        """An effect was refused; `floor` is the highest fence that its place has met.

        The next term begins above it, if the store still has this incarnation for its owner.  A
        floor beyond all sense is heard and not followed, or one broken place would use up the
        fences.
        """
        if floor < MAX_FENCE:
            self.floor = max(self.floor, floor)
        if self.state != "owner":
            return []
        self._acquire_at = now + self._with_jitter(self._terms.term_s * FIRST_BACKOFF)
        return self._end_term("fenced", now)

    def _end_term(
        self, why: Literal["lapsed", "lost", "fenced", "resigned"], now: float
    ) -> list[Action]:
        self.state = "resigning" if why == "resigned" else "waiting"
        self._renew_at = now
        return [TermEnded(self.work, self.fence, why)]

    def _with_jitter(self, seconds: float) -> float:
        """With jitter towards earlier: a bound stays one."""
        return seconds * (1.0 - JITTER * self._random.random())
