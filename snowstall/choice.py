"""Chooses the cache for a request by D-Choices ("When Two Choices Are not Enough").

SpaceSaving counts keys.  A tail key has two hashed candidates, a head key has d, and the usable
candidate with the least local load gets the request.
"""

import math
from itertools import islice

from .attempts import Pending
from .cache import Cache
from .hashing import fraction, mix
from .learning import Learning
from .messages import Effect

MAX_COMPARED = 12  # candidates compared per request; of more a random sample
MAX_SAMPLED = 4 * MAX_COMPARED  # candidates checked of a longer list, enough to find usable ones
MAX_FALLBACK_SCAN = 256  # caches scanned if no candidate takes the key; of more a random sample
SPARE_CANDIDATES = 3  # candidates in addition, to replace cold or ejected ones
STICKINESS = 1.2  # load by which a tail key's second cache must be better: a copy costs a fetch
MIN_ZONAL_PRICE = 0.02  # cross-zone price from which another copy of a head key is cheaper
SPEED_POWER = 2.0  # exponent that turns the speeds of two kinds into their shares of the keys
INITIAL_RAMP_SHARE = 0.5  # a starting cache begins with this part of its ramp: all requests miss


class Choice(Learning):
    """Chooses the usable candidate with the least local load."""

    def _is_available(self, cache: Cache, now: float) -> bool:
        """Whether the cache takes requests: on the ring, not excluded or ejected, and not stalled.

        A stalled cache is avoided before any request has failed there.  Drawback: a pause as long
        as a slow answer moves its keys to other caches for that time.
        """
        if not cache.point_count or now < cache.excluded_until or cache.id in self.ejected:
            return False
        return now - cache.unanswered_since <= self._stalled_after

    def _takes_key(self, cache: Cache, key: int, now: float) -> bool:
        """Whether the key may go to this cache: a cold one takes a share that grows as it warms up.

        The key's hash decides, the same at every proxy, so that all proxies together keep to the
        ramp.
        """
        if not self._is_available(cache, now):
            return False
        if cache.cold_since:
            warmth = self._warmth(cache, now)
            if warmth < 1.0:
                if cache.in_flight:  # a cold cache gets one at a time: a burst can overload it
                    return False
                share = warmth * (INITIAL_RAMP_SHARE + (1 - INITIAL_RAMP_SHARE) * warmth)
                # In an overload this share of the load is several times what the cache can serve.
                share *= max(0.0, 1.0 - self._error_share - self._overload_share)
                if self._sizes:  # a plan may be wrong for a new cache: an even share at most
                    share /= max(1.0, cache.weight)
                return fraction(mix(key ^ cache.salt)) < share
        return True

    def _candidates(self, pending: Pending, now: float) -> list[Cache]:
        key = pending.key
        is_head = key in self.head
        count = self.choices if is_head else 2
        zone_size = self._ring.zone_size(self.settings.zone)
        zonal = self.settings.cross_zone_price >= MIN_ZONAL_PRICE and zone_size >= 2
        if is_head and zonal:
            # Unlike the paper: cross-zone traffic has a price, so each zone gets its part of d.
            count = max(2, math.ceil(count * zone_size / self._ring.size))
            order = self._zone_placement(key, count + SPARE_CANDIDATES)
        elif is_head and count >= self._ring.size:  # W-Choices
            order = self._ready
        else:
            order = self._placement(key, count + SPARE_CANDIDATES)
        if count > MAX_SAMPLED and len(candidates := self._sample(order[:count], key, now)) >= 2:
            return candidates
        candidates = list(islice((c for c in order if self._takes_key(c, key, now)), count))
        if len(candidates) > MAX_COMPARED:
            candidates = self._random.sample(candidates, MAX_COMPARED)
        return candidates

    def _sample(self, candidates: list[Cache], key: int, now: float) -> list[Cache]:
        """Return a random sample of usable candidates, without checking every one of many."""
        sample = self._random.sample(candidates, min(MAX_SAMPLED, len(candidates)))
        return list(islice((c for c in sample if self._takes_key(c, key, now)), MAX_COMPARED))

    def _choose(self, pending: Pending, now: float) -> Cache | None:
        """Return the candidate with the lowest cost, or a fallback; None if no cache may run it."""
        if pending.request.write and self._origins:
            return self._cheapest(self._origins, now)
        if self.ejected and (cache := self._choose_probe(pending, now)) is not None:
            return cache
        candidates = self._candidates(pending, now) or self._fallback_candidates(pending, now)
        candidates = [c for c in candidates if pending.may_send(c, now)]
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        is_head = pending.key in self.head
        if not is_head and self._prefers_second(pending.key, candidates[0], candidates[1]):
            candidates[0], candidates[1] = candidates[1], candidates[0]
        best, lowest_cost = None, math.inf
        for position, cache in enumerate(candidates):
            # Ties are random, or new proxies would all send a head key to its first cache.
            tie = self._random.random() - 1.0 if is_head else (0.0 if position == 0 else STICKINESS)
            cost = self._cost(cache, tie, now)
            if cost < lowest_cost:
                best, lowest_cost = cache, cost
        return best

    def _choose_probe(self, pending: Pending, now: float) -> Cache | None:
        """Return an ejected cache to probe with this request: within the budget, and if safe."""
        if self._probes < 1.0 or pending.cls.effect is not Effect.PURE:
            return None
        for cache in self._placement(pending.key, 2):
            may_probe = (
                cache.id in self.ejected and now >= cache.excluded_until and not cache.in_flight
            )
            if may_probe and cache.point_count and self._warmth(cache, now) >= 1.0:
                self._probes -= 1.0
                return cache
        return None

    def _prefers_second(self, key: int, first: Cache, second: Cache) -> bool:
        """Whether a tail key's second cache comes first, by the observed speed of their kinds.

        Counts of sent requests ignore speed.  The key's hash decides, so that proxies agree and
        few keys get copies in both caches.
        """
        if first.kind == second.kind or self._sizes:  # a plan's sizes include speed
            return False
        kinds = [self._kinds.get(cache.kind) for cache in (first, second)]
        first_slowness, second_slowness = (kind.value if kind else 1.0 for kind in kinds)
        share: float = 1.0 / (1.0 + (first_slowness / max(second_slowness, 0.01)) ** SPEED_POWER)
        return fraction(mix(key, 3)) >= share

    def _cost(self, cache: Cache, tie: float, now: float) -> float:
        kind = self._kinds.get(cache.kind)
        slowness = cache.slowness(kind.value if kind else 1.0, now)
        # A cold cache looks idle to every proxy, so scale its load by what it can serve.
        cost = slowness * (tie + 1.0 + cache.load(now)) / self._warmth(cache, now)
        if cache.zone != self.settings.zone:
            cost *= 1.0 + 8.0 * self.settings.cross_zone_price
        return cost

    def _cheapest(self, caches: list[Cache], now: float) -> Cache:
        return min(caches, key=lambda c: self._cost(c, self._random.random(), now))

    def _fallback_candidates(self, pending: Pending, now: float) -> list[Cache]:
        """Return a cache outside the candidates: a warm one, or else any that takes the key."""
        caches = self._ready
        if len(caches) > MAX_FALLBACK_SCAN:
            caches = self._random.sample(caches, MAX_FALLBACK_SCAN)
        warm = [c for c in caches if self._is_available(c, now) and self._warmth(c, now) >= 1.0]
        if not warm:
            warm = [c for c in caches if self._takes_key(c, pending.key, now)]
        if not warm:  # all are excluded or cold: warm ones that failed lately serve more
            warm = [c for c in caches if self._warmth(c, now) >= 1.0]
        return [self._cheapest(warm, now)] if warm else []

    def _owner(self, pending: Pending, cache_id: int | None) -> Cache | None:
        """Return the owner of the key's slot, if the request may go there, else None.

        Any other cache would only redirect to this one.  A cold owner takes keys by its ramp (rule
        four); a redirected request that it doesn't take is refused and sent nowhere else.
        """
        cache = self._caches.get(cache_id) if cache_id is not None else None
        if cache is None or not cache.listed or not self._takes_key(cache, pending.key, self._now):
            return None
        return cache if pending.may_send(cache, self._now) else None
