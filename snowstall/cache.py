"""The state that one proxy keeps of a cache, and of each attempt there."""

from __future__ import annotations

import math

from .hashing import mix
from .messages import Member

POINTS_PER_CACHE = 64  # ring points; the caches' shares of the keys differ by about 12%
SENT_DECAY_MS = 4_000.0  # time constant of sent counts, so that a slow spell is forgotten
SLOWNESS_DECAY_MS = 8_000.0  # time constant of the observed slowness of a cache
PRIOR_WEIGHT = 1.0  # weight, in observations, of the assumption that a cache is like its kind
MEAN_GAIN = 0.05  # gain of the running means per class
MIN_LOAD_WEIGHT = 0.25  # loads are divided by at least this, or tiny caches would get no requests
MAX_LATENCY_RATIO = 6.0  # one very slow answer doesn't prove a slow cache
# Error shares up to which a cache counts as healthy, and of a cache that has answered nothing yet,
# which must not count as healthy.
HEALTHY_ERROR_SHARE, INITIAL_ERROR_SHARE = 0.05, 0.06


class Attempt:
    """One sending of a request to a cache."""

    __slots__ = (
        "cache",
        "cache_error",
        "cache_fault",
        "in_flight",
        "overtaken",
        "paused_ms",
        "ran",
        "sent_at",
    )

    def __init__(self, cache: Cache, now: float) -> None:
        self.cache, self.sent_at, self.in_flight = cache, now, True
        self.overtaken = False  # whether a request sent there later was answered quickly
        self.paused_ms = 0.0  # time that this process was paused while it was in flight
        # Whether its failure is evidence against the cache, not of overload.
        self.cache_fault = False
        self.cache_error = False  # whether it failed with an error of the cache, not of the origin
        self.ran = True  # whether it may have run; False once an outcome proves that it did not


class Cache:
    """A cache server as this proxy sees it: its listed data, its load, its speed, its faults."""

    __slots__ = (
        "cell",
        "cold_since",
        "error_share",
        "excluded_until",
        "id",
        "in_flight",
        "kind",
        "listed",
        "listed_weight",
        "maybe_restarted",
        "point_count",
        "ring_slot",
        "salt",
        "sent_at",
        "sent_count",
        "served_at",
        "slow_at",
        "slow_sum",
        "slow_weight",
        "started_at",
        "unanswered_since",
        "weight",
        "zone",
    )

    def __init__(self, member: Member, weight: float) -> None:
        self.id, self.zone, self.kind, self.cell = member.id, member.zone, member.kind, member.cell
        self.started_at = self.cold_since = member.started_at
        self.listed_weight = weight
        # Slot number in the ring; None while it has no points there.
        self.ring_slot: int | None = None
        self.resize(weight)
        self.salt = mix(member.id, 1 << 20)
        self.listed = True
        self.in_flight: dict[Attempt, None] = {}  # attempts in flight, in the order of sending
        self.error_share = INITIAL_ERROR_SHARE  # share of errors in its recent answers
        self.served_at = -math.inf
        # Start of a period without an answer while attempts are in flight.
        self.unanswered_since = math.inf
        self.sent_count = self.sent_at = self.excluded_until = 0.0
        self.slow_sum = self.slow_weight = self.slow_at = 0.0
        self.maybe_restarted = False  # was down while listed, so it may be cold afterwards

    def resize(self, weight: float) -> None:
        """Set the share of the keys: 1 is an even share, 0 none.  Only the difference moves."""
        self.weight = max(MIN_LOAD_WEIGHT, weight)
        self.point_count = max(1, round(POINTS_PER_CACHE * weight)) if weight else 0

    def load(self, now: float) -> float:
        """Return this proxy's requests in flight and recently sent there, relative to its size."""
        fade = math.exp((self.sent_at - now) / SENT_DECAY_MS) if self.sent_count else 0.0
        return (len(self.in_flight) + self.sent_count * fade) / self.weight

    def count_send(self, attempt: Attempt, now: float) -> None:
        """Count an attempt that is sent now, as in flight and as recently sent."""
        fade = math.exp((self.sent_at - now) / SENT_DECAY_MS) if self.sent_count else 0.0
        self.sent_count, self.sent_at = self.sent_count * fade + 1.0, now
        self.unanswered_since = min(self.unanswered_since, now)
        self.in_flight[attempt] = None

    def observe(self, ratio: float, now: float) -> None:
        """Learn from the latency of one answer; `ratio` is 1 for the mean of its class."""
        fade = math.exp((self.slow_at - now) / SLOWNESS_DECAY_MS) if self.slow_weight else 0.0
        self.slow_sum = self.slow_sum * fade + min(ratio, MAX_LATENCY_RATIO)
        self.slow_weight, self.slow_at = self.slow_weight * fade + 1.0, now

    def slowness(self, prior: float, now: float) -> float:
        """Return the mean ratio of recent answers; `prior`: that of the cache's kind."""
        fade = math.exp((self.slow_at - now) / SLOWNESS_DECAY_MS) if self.slow_weight else 0.0
        weight = self.slow_weight * fade
        return (self.slow_sum * fade + PRIOR_WEIGHT * prior) / (weight + PRIOR_WEIGHT)


class Mean:
    """A running mean and mean deviation: an average at first, exponentially weighted later."""

    __slots__ = ("count", "deviation", "value")

    def __init__(self, value: float) -> None:
        self.value, self.deviation, self.count = value, value / 2, 0

    def add(self, value: float) -> None:
        """Take in one more value."""
        self.count += 1
        gain = max(MEAN_GAIN, 1.0 / self.count)
        error = value - self.value
        self.value += gain * error
        self.deviation += gain * (abs(error) - self.deviation) if self.count > 1 else 0.0
