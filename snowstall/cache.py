"""What one proxy knows of one cache, and of each attempt there."""

from __future__ import annotations

import math

from .hashing import mix
from .messages import Member

POINTS_PER_CACHE = 64  # ring points: about 12% spread of key space between caches
SENT_DECAY = 4_000.0  # sent counts fade over this, or one slow spell would be forever
SLOWNESS_DECAY = 8_000.0  # old observations of a cache fade over this
SLOWNESS_PRIOR = 1.0  # observations' worth of belief that a cache is like its kind
MEAN_GAIN = 0.05  # gain of the running means per class
SIZE_LEAST = 0.25  # the least size that a load is divided by, or nothing would go there again
RATIO_CAP = 6.0  # one freak answer is not proof of a slow cache
OTHERS_ERRORS, UNKNOWN_ERRORS = 0.05, 0.06  # a cache that has shown nothing yet is no proof


class Attempt:
    __slots__ = ("cache", "lost", "out", "overtaken", "own_error", "ran", "sent_at", "stood")

    def __init__(self, cache: Cache, now: float) -> None:
        self.cache, self.sent_at, self.out = cache, now, True
        self.overtaken = False  # what was sent there later came back quickly
        self.stood = 0.0  # ms in which this process stood still while it was out
        self.lost = False  # swallowed, by all that can be seen
        self.own_error = False  # an error for which the cache and not the origin is to blame
        self.ran = True  # may have run, until an outcome proves that it did not


class Cache:
    """What this proxy knows of one cache server."""

    __slots__ = (
        "absent_until",
        "cell",
        "cold_since",
        "errors",
        "id",
        "kind",
        "listed",
        "listed_weight",
        "out",
        "owing_since",
        "point_count",
        "ring_slot",
        "salt",
        "sent",
        "sent_at",
        "served_at",
        "slow_at",
        "slow_sum",
        "slow_weight",
        "started_at",
        "suspect",
        "weight",
        "zone",
    )

    def __init__(self, member: Member, weight: float) -> None:
        self.id, self.zone, self.kind, self.cell = member.id, member.zone, member.kind, member.cell
        self.started_at = self.cold_since = member.started_at
        self.listed_weight = weight
        self.ring_slot: int | None = None  # where it stands on the ring, as the ring knows it
        self.resize(weight)
        self.salt = mix(member.id, 1 << 20)
        self.listed = True
        self.out: dict[Attempt, None] = {}  # in the order in which they were sent
        self.errors = UNKNOWN_ERRORS  # share of errors among what it answered lately
        self.served_at = -math.inf
        self.owing_since = math.inf  # it has had something to answer and has answered nothing
        self.sent = self.sent_at = self.absent_until = 0.0
        self.slow_sum = self.slow_weight = self.slow_at = 0.0
        self.suspect = False  # gone away unlisted: cold when it answers again

    def resize(self, weight: float) -> None:
        """Take this share of the keys, 1 being even, 0 none; only the difference moves."""
        self.weight = max(SIZE_LEAST, weight)
        self.point_count = max(1, round(POINTS_PER_CACHE * weight)) if weight else 0

    def load(self, now: float) -> float:
        """Own requests in flight and sent lately, for its size."""
        fade = math.exp((self.sent_at - now) / SENT_DECAY) if self.sent else 0.0
        return (len(self.out) + self.sent * fade) / self.weight

    def count_send(self, attempt: Attempt, now: float) -> None:
        fade = math.exp((self.sent_at - now) / SENT_DECAY) if self.sent else 0.0
        self.sent, self.sent_at = self.sent * fade + 1.0, now
        self.owing_since = min(self.owing_since, now)
        self.out[attempt] = None

    def observe(self, ratio: float, now: float) -> None:
        """Learn from one answer how slow this cache is, 1 being what its class takes."""
        fade = math.exp((self.slow_at - now) / SLOWNESS_DECAY) if self.slow_weight else 0.0
        self.slow_sum = self.slow_sum * fade + min(ratio, RATIO_CAP)
        self.slow_weight, self.slow_at = self.slow_weight * fade + 1.0, now

    def slowness(self, prior: float, now: float) -> float:
        fade = math.exp((self.slow_at - now) / SLOWNESS_DECAY) if self.slow_weight else 0.0
        weight = self.slow_weight * fade
        return (self.slow_sum * fade + SLOWNESS_PRIOR * prior) / (weight + SLOWNESS_PRIOR)


class Mean:
    """A running mean and deviation, quick at first and steady later."""

    __slots__ = ("count", "deviation", "value")

    def __init__(self, value: float) -> None:
        self.value, self.deviation, self.count = value, value / 2, 0

    def add(self, value: float) -> None:
        self.count += 1
        gain = max(MEAN_GAIN, 1.0 / self.count)
        error = value - self.value
        self.value += gain * error
        self.deviation += gain * (abs(error) - self.deviation) if self.count > 1 else 0.0
