"""Which control machine a proxy asks, and when a better one is tried again.  Pure.

The machines of the proxy's own region come first, then all others,
each group by rendezvous hashing of the proxy's name (Thaler and Ravishankar, 1998): the proxies of
a machine that fails spread evenly over the others.  After a failure the next machine is asked at
once, after further ones in a row with a jittered exponential backoff.  A proxy that is not at its
first choice tries the better ones now and then, more rarely after each failed trial.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

FIRST_TRIAL_DELAY_S = 5.0  # s at a lesser machine before a better one is tried
MAX_TRIAL_DELAY_S = 60.0  # s between two trials at most, before jitter
TRIAL_TIMEOUT_FRACTION = 0.5  # of `timeout_s`: a failed trial must not make the proxy stale


@dataclass(frozen=True, slots=True)
class ControlEndpoint:
    """A control machine: "HOST:PORT" and its region."""

    address: str
    region: str


@dataclass(frozen=True, slots=True)
class SubscriberSettings:
    """Who this proxy is and whom it may ask; times in seconds of its own clock.

    `drift`: the largest relative error of any clock.  The leader's bound has it, this module does
    not need it (see the module's text); it is here since both ends are configured together.
    """

    name: str
    region: str
    controls: tuple[ControlEndpoint, ...]
    stale_after_s: float = 2.8
    drift: float = 0.05
    timeout_s: float = 1.5
    hold_s: float = 0.8
    retry_first_s: float = 0.1
    retry_most_s: float = 1.0


def preference(
    name: str, region: str, controls: Sequence[ControlEndpoint]
) -> tuple[ControlEndpoint, ...]:
    """The order in which a proxy asks control machines: those of its region first."""

    def rank(control: ControlEndpoint) -> tuple[bool, bytes]:
        key = f"{name}\0{control.address}".encode("utf-8", "surrogatepass")
        return control.region != region, blake2b(key, digest_size=8).digest()

    return tuple(sorted(controls, key=rank))


class ControlSelector:
    """Which control machine is asked, when, and when a better one is tried again."""

    def __init__(self, settings: SubscriberSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        order = preference(settings.name, settings.region, settings.controls)
        self._order = tuple(control.address for control in order)
        self._current = 0  # index in the order
        self._failures = 0  # in a row, at current machines
        self._trial = 0  # index of the better machine that is tried next
        self._trial_pause_s = FIRST_TRIAL_DELAY_S
        self._trial_at = math.inf
        self._returned_at: float | None = None  # when a trial succeeded last
        self.retry_at = -math.inf

    def knows(self, address: str) -> bool:
        """Whether this machine is one of the choice."""
        return address in self._order

    def target(self, now: float) -> tuple[str, float]:
        """The address to ask and how long to wait for its answer."""
        if self._current and not self._failures and now >= self._trial_at:
            return self._order[self._trial], self._settings.timeout_s * TRIAL_TIMEOUT_FRACTION
        return self._order[self._current], self._settings.timeout_s

    def succeeded(self, now: float, address: str) -> None:
        """The machine gave a useful answer."""
        index = self._order.index(address)
        if index != self._current:
            self._returned_at = now
            self._current = index
            self._trial = 0
            self._plan_trial(now)
        elif self._failures and self._current:
            self._plan_trial(now)
        self._failures = 0
        self._forgive(now)

    def failed(self, now: float, address: str) -> None:
        """The machine gave no answer, or one that is of no use."""
        if address != self._order[self._current]:
            self._trial_failed(now)
            return
        if self._returned_at is not None:  # it was not well for long: try it more rarely
            self._returned_at = None
            self._lengthen_pause()
        self._failures += 1
        self._current = (self._current + 1) % len(self._order)
        self._trial = 0
        self.retry_at = now + self._backoff()

    def _trial_failed(self, now: float) -> None:
        self._trial = (self._trial + 1) % max(1, self._current)
        if self._trial == 0:
            self._lengthen_pause()
        self._plan_trial(now)

    def _backoff(self) -> float:
        """Nothing after the first failure, then exponential with jitter; seconds."""
        if self._failures == 1 and len(self._order) > 1:
            return 0.0
        exponent = min(self._failures - 1, 16)
        longest = min(self._settings.retry_first_s * 2.0**exponent, self._settings.retry_most_s)
        return longest * self._random.uniform(0.5, 1.0)

    def _lengthen_pause(self) -> None:
        self._trial_pause_s = min(self._trial_pause_s * 2, MAX_TRIAL_DELAY_S)

    def _forgive(self, now: float) -> None:
        """Back for a whole longest pause without a failure: the next absence is a new one."""
        if self._returned_at is not None and now - self._returned_at >= MAX_TRIAL_DELAY_S:
            self._returned_at = None
            self._trial_pause_s = FIRST_TRIAL_DELAY_S

    def _plan_trial(self, now: float) -> None:
        self._trial_at = now + self._trial_pause_s * self._random.uniform(0.5, 1.5)
