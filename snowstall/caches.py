"""The caches of the list, their places on the rings, the hot keys, what answers take."""

import math
import random
from collections.abc import Mapping
from itertools import islice
from operator import attrgetter

from .cache import Cache, Mean
from .hashing import mix
from .head import SpaceSaving, find_optimal_choices
from .messages import RESIZING, Action, Member, RequestClass, Settings, Timer, require
from .ring import Ring

HEAD_FRACTION = 5.0  # theta = 1/(5n), the paper's default
HEAD_REFRESH = 1_000.0  # the head and d are recomputed at most once in this time
PLACEMENTS = 2_048  # placements remembered per instance
Orders = dict[int, list[Cache]]  # by key
RESIZED_AT_ONCE = 32  # caches in one turn: 1 to 6 ms of CPU
SIZE_MOST = 8.0  # times an even share: a plan may give a cache no more of the keys


class Caches:
    """The caches and the keys, as far as they are known; nothing is decided here."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self._now, self._random = settings, now, random.Random(seed)
        self._caches: dict[int, Cache] = {}
        self._origins: list[Cache] = []
        self._ready: list[Cache] = []
        self._ring = Ring()
        self._sizes: dict[int, float] = {}  # a plan's, by cache; empty without one
        self._unsized: list[Cache] = []  # whose sizes have not been looked at since they changed
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
        """Take in the entry of a ready cache; one that is new to the ring comes back."""
        cache = self._caches.get(member.id)
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
        if fresh:
            self._ready += fresh
            self._ready.sort(key=attrgetter("id"))
            self._ring.add(fresh)
            self._forget_orders()
        self._head_due = self._now

    def _drop(self, caches: list[Cache]) -> None:
        """Draining, gone or no longer listed: nothing new goes there from now on."""
        for cache in caches:
            del self._caches[cache.id]
            cache.listed = False
            self.unproven.pop(cache.id, None)
            self._ring.remove(cache)
        if caches:
            self._ready = [cache for cache in self._ready if cache.listed]
            self._origins = [cache for cache in self._origins if cache.listed]
            self._forget_orders()

    def _forget_orders(self) -> None:
        self._placements.clear()
        self._zone_placements.clear()

    def on_sizes(self, now: float, sizes: Mapping[int, float]) -> list[Action]:
        """Set each cache's share of the keys from a plan; 1 is an even share.

        A cache without a size keeps its listed weight; one of size 0 is asked as a last resort.
        """
        self._tick(now)
        require(all(0.0 <= size < math.inf for size in sizes.values()), "a size is no number")
        self._sizes = {name: min(SIZE_MOST, size) for name, size in sizes.items()}
        self._unsized = list(self._ready)
        return self._resize_some()

    def _resize_some(self) -> list[Action]:
        """Give the next caches their sizes; a timer is asked for where more are left."""
        moved = 0
        while self._unsized and moved < RESIZED_AT_ONCE:
            cache = self._unsized.pop()
            before = cache.point_count
            cache.resize(self._sizes.get(cache.id, cache.listed_weight))
            if cache.point_count != before and cache.listed:
                self._ring.resize(cache, before)
                moved += 1
        if moved:
            self._forget_orders()
            self._head_due = self._now
        return [Timer(0.0, RESIZING)] if self._unsized else []

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
        count = min(count, self._ring.size)
        order = self._placements.get(key)
        if order is None or len(order) < count:
            order = list(islice(self._ring.walk(mix(key)), count))
            _remember(self._placements, key, order)
        return order

    def _zone_placement(self, key: int, count: int) -> list[Cache]:
        """The first caches of this proxy's zone in the key's order."""
        zone = self.settings.zone
        count = min(count, self._ring.zone_size(zone))
        order = self._zone_placements.get(key)
        if order is None or len(order) < count:
            order = list(islice(self._ring.walk(mix(key), zone), count))
            _remember(self._zone_placements, key, order)
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


def _remember(orders: Orders, key: int, order: list[Cache]) -> None:
    if len(orders) >= PLACEMENTS:
        orders.clear()
    orders[key] = order
