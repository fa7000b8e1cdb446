"""The caches of the list, their places on the rings, the hot keys, what answers take."""

import math
import random
from collections.abc import Mapping
from itertools import islice

from .cache import Cache, Mean
from .hashing import mix
from .head import SpaceSaving, find_optimal_choices
from .messages import Action, CacheState, Member, RequestClass, Settings, require
from .ring import Ring

HEAD_FRACTION = 5.0  # theta = 1/(5n), the paper's default
HEAD_REFRESH = 1_000.0  # the head and d are recomputed at most once in this time
PLACEMENTS = 2_048  # placements remembered per instance
Orders = dict[int, list[Cache]]  # by key
SIZE_MOST = 8.0  # times an even share: a plan may give a cache no more of the keys


class Caches:
    """The caches and the keys, as far as they are known; nothing is decided here."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self._now, self._random = settings, now, random.Random(seed)
        self._caches: dict[int, Cache] = {}
        self._origins: list[Cache] = []
        self._ready: list[Cache] = []
        self._ring, self._zone_ring = Ring(), Ring()
        self._sizes: dict[int, float] = {}  # a plan's, by cache; empty without one
        self._placements: Orders = {}
        self._zone_placements: Orders = {}
        self._table = SpaceSaving()
        self.head: set[int] = set()  # keys that are hot now
        self.choices = 2  # candidates of these; the number of ready caches means W-Choices
        self._head_due = now
        self._times: dict[tuple[str, bool], Mean] = {}  # of answers by class, hit or miss
        self.unproven: dict[int, Cache] = {}  # sent away, and have served nothing since
        self._unit_weight = 1.0

    def _tick(self, now: float) -> None:
        if now < self._now:
            raise ValueError(f"the clock stepped back from {self._now} to {now}")
        self._now = now

    def _update(self, member: Member) -> Cache | None:
        """Take in one entry; a cache that is new to the ring comes back."""
        cache = self._caches.get(member.id)
        if member.state is not CacheState.READY:
            if cache is not None:
                self._drop(cache)
            return None
        if cache is None:
            weight = member.weight / self._unit_weight if self.settings.weighted else 1.0
            cache = Cache(member, min(4.0, max(0.25, weight)))
            if cache.id in self._sizes:
                cache.resize(self._sizes[cache.id])
            self._caches[cache.id] = cache
            if member.kind == self.settings.origin_kind:
                self._origins.append(cache)
                return None
            return cache
        if member.started_at > cache.started_at:  # restarted: empty and cold again
            cache.started_at = cache.cold_since = member.started_at
            cache.suspect, cache.absent_until = False, 0.0
            self.unproven.pop(cache.id, None)
            cache.slow_weight = cache.slow_sum = 0.0
        return None

    def _join(self, fresh: list[Cache]) -> None:
        """Give new caches their share of the keys; orders that were remembered are void."""
        self._ready = sorted(self._ready + fresh, key=lambda c: c.id)
        self._ring.add(fresh)
        self._zone_ring.add([c for c in fresh if c.zone == self.settings.zone])
        self._placements.clear()
        self._zone_placements.clear()
        self._head_due = self._now

    def _drop(self, cache: Cache) -> None:
        """Draining, gone or no longer listed: nothing new goes there from now on."""
        del self._caches[cache.id]
        cache.listed = False
        if cache in self._origins:
            self._origins.remove(cache)
            return
        self._ready.remove(cache)
        self.unproven.pop(cache.id, None)
        self._ring.remove(cache)
        if cache.zone == self.settings.zone:
            self._zone_ring.remove(cache)

    def _rebuild(self) -> None:
        """The rings anew; what is out goes on where it is."""
        self._ring, self._zone_ring = Ring(), Ring()
        ready, self._ready = self._ready, []
        self._join(ready)

    def on_sizes(self, now: float, sizes: Mapping[int, float]) -> list[Action]:
        """Set each cache's share of the keys from a plan; 1 is an even share.

        A cache without a size keeps its listed weight; one of size 0 is asked as a last resort.
        """
        self._tick(now)
        require(all(0.0 <= size < math.inf for size in sizes.values()), "a size is no number")
        self._sizes = {name: min(SIZE_MOST, size) for name, size in sizes.items()}
        moved = False
        for cache in self._ready:
            before = len(cache.points)
            cache.resize(self._sizes.get(cache.id, cache.listed_weight))
            moved = moved or len(cache.points) != before
        if moved:
            self._rebuild()
        return []

    def _refresh_head(self, now: float) -> None:
        self._head_due = now + HEAD_REFRESH
        n = self._ring.size
        if not n:
            return
        head = self._table.head(1.0 / (HEAD_FRACTION * n))
        self.head = {key for _, key in head}
        self.choices = find_optimal_choices([share for share, _ in head], n)

    def _placement(self, key: int, count: int) -> list[Cache]:
        """The first caches in the key's order; candidates are nested in it."""
        return self._in_order(self._placements, self._ring, key, count)

    def _in_order(self, known: Orders, ring: Ring, key: int, count: int) -> list[Cache]:
        order = known.get(key)
        count = min(count, ring.size)
        if order is None or len(order) < count:
            order = list(islice(ring.walk(mix(key)), count))
            if len(known) >= PLACEMENTS:
                known.clear()
            known[key] = order
        return order

    def _warmth(self, cache: Cache, now: float) -> float:
        """The share of its work a cache can surely do, by the stated ramp."""
        settings = self.settings
        if not cache.cold_since or settings.warm_time <= 0:
            return 1.0
        done = (now - cache.cold_since) / settings.warm_time
        return min(1.0, settings.cold_share + (1 - settings.cold_share) * max(0.0, done))

    def _mean(self, cls: RequestClass, hit: bool) -> Mean:
        place = (cls.name, hit)
        mean = self._times.get(place)
        if mean is None:
            mean = self._times[place] = Mean(cls.aim / 2)
        return mean
