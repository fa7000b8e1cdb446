"""The store of the leader's lease in the simulated world, which the plan can make misbehave.

A correct store renews the holder's lease, and grants it to another machine under a higher fence if
it was not renewed for a term.  Faults of the plan make it grant the lease to a second machine while
the first still assumes that it holds it, or restart from fence 0 and hand out lower fences.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from .simulation import Simulation

RENEW_INTERVAL_S = 0.1
LEASE_TERM_S = 0.6  # time without a renewal after which another machine is granted the lease
RELEASE_COOLDOWN_S = 1.0  # a machine that released the lease is not granted it for this time
LATE_NOTICE_SHARE = 0.3  # share of lost leases of which the holder is notified late
MAX_NOTICE_DELAY_S = 1.5  # maximum delay of a late notice


class Candidate(Protocol):
    """A control machine from the point of view of the lease store."""

    name: str

    @property
    def responsive(self) -> bool:
        """Whether its process is up and not paused."""

    def renews_lease(self, fence: int) -> bool:
        """Whether its process renews the lease of this fence now."""

    def lead(self, fence: int) -> None:
        """Notifies it that it holds the lease under this fence."""
        ...

    def step_down(self, fence: int) -> None:
        """Notifies it that the lease of this fence is lost."""


class LeaseStore:
    """The holder of the lease and its fence; `candidates` can be granted the lease."""

    def __init__(
        self, simulation: Simulation, rng: random.Random, candidates: Sequence[Candidate]
    ) -> None:
        self._simulation, self._rng, self._candidates = simulation, rng, candidates
        self.fence = 0  # the last fence that was granted or reported by a machine
        self.holder: Candidate | None = None
        self._holder_fence = 0
        self.unreachable: set[str] = set()  # machines that the network cuts off from the store
        self.suspended = False  # no lease is granted
        self._renewed_at = 0.0
        self._ineligible_until: dict[str, float] = {}

    def start(self) -> None:
        """Starts the periodic renewal."""
        self._renew_or_transfer()

    def _renew_or_transfer(self) -> None:
        self._simulation.schedule_after(RENEW_INTERVAL_S, self._renew_or_transfer)
        now = self._simulation.now
        if self.holder is not None and self._holder_renews(self.holder):
            self._renewed_at = now
            return
        if self.holder is None or now - self._renewed_at > LEASE_TERM_S:
            self.transfer()

    def _holder_renews(self, holder: Candidate) -> bool:
        return self._reachable(holder) and holder.renews_lease(self._holder_fence)

    def _reachable(self, candidate: Candidate) -> bool:
        return candidate.responsive and candidate.name not in self.unreachable

    def transfer(self, notify_after_s: float | None = None) -> None:
        """Grants the lease to another machine at random, under a higher fence.

        `notify_after_s` is the delay until the holder is notified of the loss; None: a random share
        of the notices is late, the others are immediate.  Nothing happens if no other machine is
        eligible.
        """
        holder, holder_fence = self.holder, self._holder_fence
        eligible = [candidate for candidate in self._candidates if self._eligible(candidate)]
        if self.suspended or not eligible:
            return
        if notify_after_s is None:
            late = self._rng.random() < LATE_NOTICE_SHARE
            notify_after_s = MAX_NOTICE_DELAY_S * self._rng.random() if late else 0.0
        if holder is not None:
            previous_holder = holder
            self._simulation.schedule_after(
                notify_after_s, lambda: previous_holder.step_down(holder_fence)
            )
        self._grant(self._rng.choice(eligible))

    def _eligible(self, candidate: Candidate) -> bool:
        if candidate is self.holder or not self._reachable(candidate):
            return False
        return self._ineligible_until.get(candidate.name, 0.0) <= self._simulation.now

    def _grant(self, candidate: Candidate) -> None:
        self.fence += 1
        self.holder, self._renewed_at = candidate, self._simulation.now
        fence = self._holder_fence = self.fence
        self._simulation.schedule_after(0.0, lambda: candidate.lead(fence))

    def fenced(self, candidate: Candidate, fence: int) -> None:
        """Records a fence that a machine has seen: the next grant is above it.

        The machine no longer holds the lease.
        """
        self.fence = max(self.fence, fence)
        if self.holder is candidate:
            self.holder = None

    def release(self, candidate: Candidate) -> None:
        """Releases the lease of the holder, which is not eligible again for a while."""
        self._ineligible_until[candidate.name] = self._simulation.now + RELEASE_COOLDOWN_S
        if self.holder is candidate:
            self.holder = None

    def process_ended(self, candidate: Candidate) -> None:
        """Handles the end of a process.

        Half of the time the holder's lease is freed at once, as if the store ended its session
        early.
        """
        if self.holder is candidate and self._rng.random() < 0.5:
            self.holder = None

    def reset_fences(self) -> None:
        """Restarts the store without its state: fences start at 1 again.

        The lease goes to another machine, if one is eligible.
        """
        self.fence = 0
        self.transfer()
