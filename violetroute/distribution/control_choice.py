"""Selection of the control machine that a proxy polls, with failover and failback.  No I/O.

Machines of the proxy's own region come first, then all others.  Each group is ordered by rendezvous
hashing of the proxy's name (Thaler and Ravishankar, 1998), so the proxies of a failed machine
spread evenly over the others.  After a first failure the next machine is polled at once, after
further consecutive failures with jittered exponential backoff.  A proxy that is not at its first
choice tries the preferred machines periodically, and less often after each failed round of trials.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

FIRST_TRIAL_DELAY_S = 5.0  # time at a less preferred machine before the first trial
MAX_TRIAL_DELAY_S = 60.0  # maximum time between two trials, before jitter
TRIAL_TIMEOUT_FRACTION = 0.5  # share of `timeout_s`: a failed trial does not make the proxy stale


@dataclass(frozen=True, slots=True)
class ControlEndpoint:
    """Address ("HOST:PORT") and region of a control machine."""

    address: str
    region: str


@dataclass(frozen=True, slots=True)
class SubscriberSettings:
    """Identity, control machines and times of a proxy.  Times are seconds of its own clock.

    `drift` is the maximum relative rate error of any clock.  It is unused on the proxy's side,
    since the leader's bound already includes it (see `subscriber.py`).  It is here because both
    sides are configured together.
    """

    name: str
    region: str
    controls: tuple[ControlEndpoint, ...]
    stale_after_s: float = 2.8
    drift: float = 0.05
    timeout_s: float = 1.5
    hold_s: float = 0.8
    retry_first_s: float = 0.1
    max_retry_s: float = 1.0


def preference(
    name: str, region: str, controls: Sequence[ControlEndpoint]
) -> tuple[ControlEndpoint, ...]:
    """Returns a proxy's order of preference; control machines of its region come first."""

    def rank(control: ControlEndpoint) -> tuple[bool, bytes]:
        key = f"{name}\0{control.address}".encode("utf-8", "surrogatepass")
        return control.region != region, blake2b(key, digest_size=8).digest()

    return tuple(sorted(controls, key=rank))


class ControlSelector:
    """Tracks the current control machine, its failures and trials of preferred ones."""

    def __init__(self, settings: SubscriberSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        order = preference(settings.name, settings.region, settings.controls)
        self._order = tuple(control.address for control in order)
        self._current = 0  # index in `_order`
        self._failures = 0  # consecutive failures, across current machines
        self._trial_index = 0  # index in `_order` of the preferred machine that is tried next
        self._trial_delay_s = FIRST_TRIAL_DELAY_S
        self._trial_at = math.inf
        self._returned_at: float | None = None  # time of the last successful trial
        self.retry_at = -math.inf

    def knows(self, address: str) -> bool:
        """Whether this address is one of the configured control machines."""
        return address in self._order

    def target(self, now: float) -> tuple[str, float]:
        """Returns the address to poll and the timeout in seconds."""
        if self._current and not self._failures and now >= self._trial_at:
            return self._order[self._trial_index], self._settings.timeout_s * TRIAL_TIMEOUT_FRACTION
        return self._order[self._current], self._settings.timeout_s

    def succeeded(self, now: float, address: str) -> None:
        """Records a usable answer of the machine at `address`."""
        index = self._order.index(address)
        if index != self._current:
            self._returned_at = now
            self._current = index
            self._trial_index = 0
            self._schedule_trial(now)
        elif self._failures and self._current:
            self._schedule_trial(now)
        self._failures = 0
        self._reset_trial_delay(now)

    def failed(self, now: float, address: str) -> None:
        """Records a missing or unusable answer of the machine at `address`."""
        if address != self._order[self._current]:
            self._trial_failed(now)
            return
        if self._returned_at is not None:  # failed soon after failback: try it less often
            self._returned_at = None
            self._double_trial_delay()
        self._failures += 1
        self._current = (self._current + 1) % len(self._order)
        self._trial_index = 0
        self.retry_at = now + self._backoff()

    def _trial_failed(self, now: float) -> None:
        self._trial_index = (self._trial_index + 1) % max(1, self._current)
        if self._trial_index == 0:
            self._double_trial_delay()
        self._schedule_trial(now)

    def _backoff(self) -> float:
        """Returns the delay in seconds: 0 after the first failure, then exponential with jitter."""
        if self._failures == 1 and len(self._order) > 1:
            return 0.0
        exponent = min(self._failures - 1, 16)
        max_delay_s = min(self._settings.retry_first_s * 2.0**exponent, self._settings.max_retry_s)
        return max_delay_s * self._random.uniform(0.5, 1.0)

    def _double_trial_delay(self) -> None:
        self._trial_delay_s = min(self._trial_delay_s * 2, MAX_TRIAL_DELAY_S)

    def _reset_trial_delay(self, now: float) -> None:
        """Resets the trial delay after `MAX_TRIAL_DELAY_S` without a failure since failback."""
        if self._returned_at is not None and now - self._returned_at >= MAX_TRIAL_DELAY_S:
            self._returned_at = None
            self._trial_delay_s = FIRST_TRIAL_DELAY_S

    def _schedule_trial(self, now: float) -> None:
        self._trial_at = now + self._trial_delay_s * self._random.uniform(0.5, 1.5)
