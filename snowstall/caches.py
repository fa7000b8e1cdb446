"""The listed caches, their order for each key, the hot keys and the latencies of answers."""

import math
import random
from collections.abc import Mapping
from itertools import islice
from operator import attrgetter

from .cache import Cache, Mean
from .hashing import mix
from .head import SpaceSaving, find_optimal_choices
from .messages import RESIZING, Action, CacheState, Member, RequestClass, Settings, Timer, require
from .ring import Ring

HEAD_THRESHOLD_DIVISOR = 5.0  # theta = 1/(5n), the paper's default
HEAD_REFRESH_MS = 1_000.0  # shortest time between two computations of the head and of d
MAX_REMEMBERED_ORDERS = 2_048  # keys whose cache order is remembered, per instance
Orders = dict[int, list[Cache]]  # the caches in a key's order, by key
MAX_RESIZES_PER_TURN = 32  # caches resized in one event: 1 to 6 ms of CPU
MIN_LISTED_WEIGHT, MAX_LISTED_WEIGHT = 0.25, 4.0  # times the usual weight
MAX_SIZE = 8.0  # times an even share of the keys, the most that a plan may give one cache


class Caches:
    """Keeps the state of the caches and the keys.  It makes no decisions."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self._now, self._random = settings, now, random.Random(seed)
        self._caches: dict[int, Cache] = {}
        # Caches that drain: one that returns is the same process, with all that was learned of it.
        self._draining: dict[int, Cache] = {}
        self._origins: list[Cache] = []
        self._ready: list[Cache] = []
        self._ring = Ring()
        # Key shares from a plan, by cache id; empty without a plan.
        self._sizes: dict[int, float] = {}
        self._to_resize: list[Cache] = []  # caches to which changed sizes are yet to be applied
        self._placements: Orders = {}
        self._zone_placements: Orders = {}
        self._key_counts = SpaceSaving()
        self.head: set[int] = set()  # the hot keys
        self.choices = 2  # candidates of a hot key (d); all ready caches means W-Choices
        self._head_due = now
        # Mean latency by class name and whether it was a hit.
        self._latencies: dict[tuple[str, bool], Mean] = {}
        # Caches that failed and have answered nothing since, by id.
        self.ejected: dict[int, Cache] = {}
        self._unit_weight = 1.0

    def _advance_clock(self, now: float) -> None:
        if now < self._now:
            raise ValueError(f"the clock stepped back from {self._now} to {now}")
        self._now = now

    def _leaves(self, member: Member) -> bool:
        """Whether a list entry ends the service of the machine that its id stands for.

        An id that comes back in another cell or zone is another machine, and gets a new record: the
        attempts keep the old one, with the cell and zone in which they may have run.
        """
        cache = self._caches.get(member.id)
        return member.state is not CacheState.READY or (
            cache is not None and not _is_same_machine(cache, member)
        )

    def _remove_leaving(self, listed: Mapping[int, Member], whole: bool) -> None:
        """Remove caches that drain, are gone, or are another machine now.

        `whole`: also those that are not listed.
        """
        leaving = [member.id for member in listed.values() if self._leaves(member)]
        if whole:
            leaving += (self._caches.keys() | self._draining.keys()) - listed.keys()
        caches = [self._caches[cache_id] for cache_id in leaving if cache_id in self._caches]
        self._drop(caches)
        drains = {m.id for m in listed.values() if m.state is CacheState.DRAINING}
        for cache_id in leaving:
            if cache_id not in drains:
                self._draining.pop(cache_id, None)
        self._draining |= {cache.id: cache for cache in caches if cache.id in drains}

    def _update(self, member: Member) -> Cache | None:
        """Apply the list entry of a ready cache; return it if it must be added to the ring."""
        cache = self._caches.get(member.id)
        if cache is None:
            cache = self._returning(member) or self._new_cache(member)
            self._caches[cache.id] = cache
            if member.kind == self.settings.origin_kind:
                self._origins.append(cache)
                return None
            return cache
        self._note_start(cache, member.started_at)
        return None

    def _new_cache(self, member: Member) -> Cache:
        cache = Cache(member, self._listed_weight(member))
        if cache.id in self._sizes:
            cache.resize(self._sizes[cache.id])
        return cache

    def _returning(self, member: Member) -> Cache | None:
        """Return the record of a cache that was draining, unless this is another machine."""
        cache = self._draining.pop(member.id, None)
        if cache is None or not _is_same_machine(cache, member):
            return None
        cache.listed, cache.listed_weight = True, self._listed_weight(member)
        cache.resize(self._sizes.get(cache.id, cache.listed_weight))
        self._note_start(cache, member.started_at)
        return cache

    def _listed_weight(self, member: Member) -> float:
        weight = member.weight / self._unit_weight if self.settings.weighted else 1.0
        return min(MAX_LISTED_WEIGHT, max(MIN_LISTED_WEIGHT, weight))

    def _note_start(self, cache: Cache, started_at: float) -> None:
        """Note the listed start of a cache; after a restart it is empty and cold again."""
        if started_at > cache.started_at:
            cache.started_at = cache.cold_since = started_at
            cache.maybe_restarted, cache.excluded_until = False, 0.0
            self.ejected.pop(cache.id, None)
            cache.slow_weight = cache.slow_sum = 0.0

    def _join(self, caches: list[Cache]) -> None:
        """Add new caches to the ring and forget the remembered orders."""
        if caches:
            self._ready += caches
            self._ready.sort(key=attrgetter("id"))
            self._ring.add(caches)
            self._forget_orders()
        self._head_due = self._now

    def _drop(self, caches: list[Cache]) -> None:
        """Remove caches that drain, are gone or are no longer listed; they get no more requests."""
        for cache in caches:
            del self._caches[cache.id]
            cache.listed = False
            self.ejected.pop(cache.id, None)
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

        A cache without a size keeps its listed weight; one of size 0 is only a last resort.  Raises
        ValueError for a size that is negative or not finite.
        """
        self._advance_clock(now)
        require(
            all(0.0 <= size < math.inf for size in sizes.values()),
            "a size must be finite and not negative",
        )
        self._sizes = {name: min(MAX_SIZE, size) for name, size in sizes.items()}
        self._to_resize = list(self._ready)
        return self._resize_some()

    def _resize_some(self) -> list[Action]:
        """Resize some caches, and return a timer for the rest if any are left."""
        moved = 0
        while self._to_resize and moved < MAX_RESIZES_PER_TURN:
            cache = self._to_resize.pop()
            old_count = cache.point_count
            cache.resize(self._sizes.get(cache.id, cache.listed_weight))
            if cache.point_count != old_count and cache.listed:
                self._ring.resize(cache, old_count)
                moved += 1
        if moved:
            self._forget_orders()
            self._head_due = self._now
        return [Timer(0.0, RESIZING)] if self._to_resize else []

    def _refresh_head(self, now: float) -> None:
        self._head_due = now + HEAD_REFRESH_MS
        n = self._ring.size
        if not n:
            return
        head = self._key_counts.head(1.0 / (HEAD_THRESHOLD_DIVISOR * n))
        self.head = {key for _, key in head}
        self.choices = find_optimal_choices([share for share, _ in head], n)

    def _placement(self, key: int, count: int) -> list[Cache]:
        """Return the first `count` caches in the key's order, which has all its candidates."""
        count = min(count, self._ring.size)
        order = self._placements.get(key)
        if order is None or len(order) < count:
            order = list(islice(self._ring.walk(mix(key)), count))
            _remember(self._placements, key, order)
        return order

    def _zone_placement(self, key: int, count: int) -> list[Cache]:
        """Return the first `count` caches of this proxy's zone in the key's order."""
        zone = self.settings.zone
        count = min(count, self._ring.zone_size(zone))
        order = self._zone_placements.get(key)
        if order is None or len(order) < count:
            order = list(islice(self._ring.walk(mix(key), zone), count))
            _remember(self._zone_placements, key, order)
        return order

    def _warmth(self, cache: Cache, now: float) -> float:
        """Return the share of its full load that a cache can take, by the guaranteed ramp."""
        settings = self.settings
        if not cache.cold_since or settings.warm_time <= 0:
            return 1.0
        progress = (now - cache.cold_since) / settings.warm_time
        return min(1.0, settings.cold_share + (1 - settings.cold_share) * max(0.0, progress))

    def _mean(self, cls: RequestClass, hit: bool) -> Mean:
        key = (cls.name, hit)
        mean = self._latencies.get(key)
        if mean is None:
            mean = self._latencies[key] = Mean(cls.latency_target / 2)
        return mean


def _is_same_machine(cache: Cache, member: Member) -> bool:
    return (member.zone, member.cell) == (cache.zone, cache.cell)


def _remember(orders: Orders, key: int, order: list[Cache]) -> None:
    if len(orders) >= MAX_REMEMBERED_ORDERS:
        orders.clear()
    orders[key] = order
