"""The lease of the leader in the simulated world, also when it misbehaves.

A healthy store renews its holder's lease and gives it to another machine with a higher fence once
the holder has not been reached for a term.  By the plan it also gives the lease to a second machine
while the first still believes in its own, or forgets its fences and hands out low ones.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from .simulation import Simulation

LOOK_S = 0.1  # between two renewals
TERM_S = 0.6  # without a renewal, after which another machine is given the lease
REFUSED_S = 1.0  # for which a machine that gave the lease back is not given it again
BELIEVES_ON = 0.3  # share of lost leases that the holder hears of late
LATE_S = 1.5  # s by which it hears of it then, at most


class Candidate(Protocol):
    """A control machine as the store of the lease knows it."""

    name: str

    @property
    def answers(self) -> bool:
        """Whether it is up and not paused."""

    def renews(self, fence: int) -> bool:
        """Whether its process renews the lease of this fence now."""

    def lead(self, fence: int) -> None: ...
    def step_down(self, fence: int) -> None:
        """The lease of this fence is lost."""


class LeaseStore:
    """Who holds the lease, and under which fence."""

    def __init__(
        self, simulation: Simulation, rng: random.Random, candidates: Sequence[Candidate]
    ) -> None:
        self._simulation, self._rng, self._candidates = simulation, rng, candidates
        self.fence = 0  # the last that was handed out or heard of
        self.holder: Candidate | None = None
        self._holder_fence = 0
        self.unreachable: set[str] = set()  # names that the network keeps from the store
        self.closed = False  # nobody is given the lease
        self._renewed_at = 0.0
        self._refused_until: dict[str, float] = {}

    def start(self) -> None:
        """Look after the lease from now on."""
        self._look()

    def _look(self) -> None:
        self._simulation.after(LOOK_S, self._look)
        now = self._simulation.now
        if self.holder is not None and self._renews(self.holder):
            self._renewed_at = now
            return
        if self.holder is None or now - self._renewed_at > TERM_S:
            self.transfer()

    def _renews(self, holder: Candidate) -> bool:
        return self._reaches(holder) and holder.renews(self._holder_fence)

    def _reaches(self, candidate: Candidate) -> bool:
        return candidate.answers and candidate.name not in self.unreachable

    def transfer(self, notify_after_s: float | None = None) -> None:
        """Take the lease from its holder and give it to someone else under a higher fence.

        `told_after_s`: when the holder hears of it; None: at once, or late by chance.
        """
        old, old_fence = self.holder, self._holder_fence
        ready = [each for each in self._candidates if self._may_hold(each)]
        if self.closed or not ready:
            return
        if notify_after_s is None:
            believes_on = self._rng.random() < BELIEVES_ON
            notify_after_s = LATE_S * self._rng.random() if believes_on else 0.0
        if old is not None:
            lost = old
            self._simulation.after(notify_after_s, lambda: lost.step_down(old_fence))
        self._give(self._rng.choice(ready))

    def _may_hold(self, candidate: Candidate) -> bool:
        if candidate is self.holder or not self._reaches(candidate):
            return False
        return self._refused_until.get(candidate.name, 0.0) <= self._simulation.now

    def _give(self, candidate: Candidate) -> None:
        self.fence += 1
        self.holder, self._renewed_at = candidate, self._simulation.now
        fence = self._holder_fence = self.fence
        self._simulation.after(0.0, lambda: candidate.lead(fence))

    def fenced(self, candidate: Candidate, fence: int) -> None:
        """A machine has heard of this fence: the next one is higher.  Its own lease is over."""
        self.fence = max(self.fence, fence)
        if self.holder is candidate:
            self.holder = None

    def release(self, candidate: Candidate) -> None:
        """The holder gives the lease back."""
        self._refused_until[candidate.name] = self._simulation.now + REFUSED_S
        if self.holder is candidate:
            self.holder = None

    def died(self, candidate: Candidate) -> None:
        """The holder's process has ended: a session that is freed early, by chance."""
        if self.holder is candidate and self._rng.random() < 0.5:
            self.holder = None

    def forget(self) -> None:
        """The store starts again without memory: fences begin anew, and nobody holds the lease."""
        self.fence = 0
        self.transfer()
