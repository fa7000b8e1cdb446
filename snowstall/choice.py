"""Which cache gets a request: the design's candidates, and who of them may be asked."""

import math
from itertools import islice

from .attempts import Pending
from .cache import Cache
from .hashing import fraction, mix
from .learning import Learning
from .messages import Effect

SCAN_LIMIT = 12  # candidates compared per request; beyond it a random sample
DRAWN = 4 * SCAN_LIMIT  # drawn of more candidates than that, so that enough may be asked
FALLBACK_SCAN = 256  # caches looked at where no candidate takes a key; beyond it a random sample
SPARE_CANDIDATES = 3  # candidates kept behind the chosen ones, for cold or ejected ones
STICKINESS = 1.2  # loads by which a tail key's second cache must be better: a copy costs a fetch
ZONE_PRICE = 0.02  # crossings at this price or more outweigh a further copy of a head key
SPEED_POWER = 2.0  # of two kinds' speeds, this power splits keys by what the kinds can do
COLD_CAUTION = 0.5  # a starting cache gets this share of its ramp at first: all it gets misses


class Choice(Learning):
    """Candidates by the head and the rings, the least local load among those that are sound."""

    def _sound(self, cache: Cache, now: float) -> bool:
        """Whether it may be asked like any other: it has a place, and nothing speaks against it.

        Who owes answers and gives none while the others do is left alone before a request fails.
        Harm: a pause as long as a slow answer turns its keys to others for that time.
        """
        if not cache.point_count or now < cache.absent_until or cache.id in self.unproven:
            return False
        return now - cache.owing_since <= self._silence

    def _admits(self, cache: Cache, key: int, now: float) -> bool:
        """Whether the key may go there: cold caches take keys in step with their ramp.

        The key's own hash decides, alike at every proxy: all together keep to the ramp.
        """
        if not self._sound(cache, now):
            return False
        if cache.cold_since:
            warmth = self._warmth(cache, now)
            if warmth < 1.0:
                if cache.out:  # never two at once from one proxy: a burst is enough
                    return False
                take = warmth * (COLD_CAUTION + (1 - COLD_CAUTION) * warmth)
                # In an overload a share of what is asked is several times what caches carry.
                take *= max(0.0, 1.0 - self._errors - self._overloads)
                if self._sizes:  # a plan may be wrong of a new cache: no more than an even share
                    take /= max(1.0, cache.weight)
                return fraction(mix(key ^ cache.salt)) < take
        return True

    def _candidates(self, pending: Pending, now: float) -> list[Cache]:
        key = pending.key
        is_head = key in self.head
        count = self.choices if is_head else 2
        zone_size = self._ring.zone_size(self.settings.zone)
        zonal = self.settings.cross_zone_price >= ZONE_PRICE and zone_size >= 2
        if is_head and zonal:
            # Departure: crossings are priced, so each zone keeps its part of the d copies.
            count = max(2, math.ceil(count * zone_size / self._ring.size))
            order = self._zone_placement(key, count + SPARE_CANDIDATES)
        elif is_head and count >= self._ring.size:  # W-Choices
            order = self._ready
        else:
            order = self._placement(key, count + SPARE_CANDIDATES)
        if count > DRAWN and len(found := self._drawn(order[:count], key, now)) >= 2:
            return found
        found = list(islice((c for c in order if self._admits(c, key, now)), count))
        if len(found) > SCAN_LIMIT:
            found = self._random.sample(found, SCAN_LIMIT)
        return found

    def _drawn(self, candidates: list[Cache], key: int, now: float) -> list[Cache]:
        """Some candidates that may be asked, without a look at each of many."""
        drawn = self._random.sample(candidates, min(DRAWN, len(candidates)))
        return list(islice((c for c in drawn if self._admits(c, key, now)), SCAN_LIMIT))

    def _choose(self, pending: Pending, now: float) -> Cache | None:
        """The candidate with the least local load, scaled by how slow it has been."""
        if pending.request.write and self._origins:
            return self._least(self._origins, now)
        if self.unproven and (cache := self._probed(pending, now)) is not None:
            return cache
        found = self._candidates(pending, now) or self._fallback(pending, now)
        found = [c for c in found if pending.may_send(c, now)]
        if len(found) < 2:
            return found[0] if found else None
        is_head = pending.key in self.head
        if not is_head and self._prefers_second(pending.key, found[0], found[1]):
            found[0], found[1] = found[1], found[0]
        best, least = None, math.inf
        for place, cache in enumerate(found):
            # Random ties: proxies that know little would herd onto a head key's first cache.
            tie = self._random.random() - 1.0 if is_head else (0.0 if place == 0 else STICKINESS)
            cost = self._cost(cache, tie, now)
            if cost < least:
                best, least = cache, cost
        return best

    def _probed(self, pending: Pending, now: float) -> Cache | None:
        """One of the key's caches that is to show whether it is back: few, and harmless ones."""
        if self._probes < 1.0 or pending.cls.effect is not Effect.PURE:
            return None
        for cache in self._placement(pending.key, 2):
            due = cache.id in self.unproven and now >= cache.absent_until and not cache.out
            if due and cache.point_count and self._warmth(cache, now) >= 1.0:
                self._probes -= 1.0
                return cache
        return None

    def _prefers_second(self, key: int, first: Cache, second: Cache) -> bool:
        """Which of a tail key's two caches comes first, by their kinds' observed speed.

        Sent counts ignore speed.  The key's hash decides, so that proxies agree, copies are few.
        """
        if first.kind == second.kind or self._sizes:  # a plan's sizes hold the speeds already
            return False
        kinds = [self._kinds.get(cache.kind) for cache in (first, second)]
        one, two = (kind.value if kind else 1.0 for kind in kinds)
        share: float = 1.0 / (1.0 + (one / max(two, 0.01)) ** SPEED_POWER)
        return fraction(mix(key, 3)) >= share

    def _cost(self, cache: Cache, tie: float, now: float) -> float:
        kind = self._kinds.get(cache.kind)
        slowness = cache.slowness(kind.value if kind else 1.0, now)
        # A cold cache looks idle, and every proxy sees it so: scale by what it can do.
        cost = slowness * (tie + 1.0 + cache.load(now)) / self._warmth(cache, now)
        if cache.zone != self.settings.zone:
            cost *= 1.0 + 8.0 * self.settings.cross_zone_price
        return cost

    def _least(self, caches: list[Cache], now: float) -> Cache:
        return min(caches, key=lambda c: self._cost(c, self._random.random(), now))

    def _fallback(self, pending: Pending, now: float) -> list[Cache]:
        """No candidate takes the key: any warm cache, else any at all."""
        caches = self._ready
        if len(caches) > FALLBACK_SCAN:
            caches = self._random.sample(caches, FALLBACK_SCAN)
        warm = [c for c in caches if self._sound(c, now) and self._warmth(c, now) >= 1.0]
        if not warm:
            warm = [c for c in caches if self._admits(c, pending.key, now)]
        if not warm:  # all are away or cold: those that failed lately can still carry more
            warm = [c for c in caches if self._warmth(c, now) >= 1.0]
        return [self._least(warm, now)] if warm else []

    def _owner(self, pending: Pending, cache_id: int | None) -> Cache | None:
        """The cache that owns the key's slot, as far as the rules let it have the request.

        Any other would only name this one.  A cold one takes keys in step with its ramp (rule
        four); what it may not take is sent to nobody else on its behalf, but refused.
        """
        cache = self._caches.get(cache_id) if cache_id is not None else None
        if cache is None or not cache.listed or not self._admits(cache, pending.key, self._now):
            return None
        return cache if pending.may_send(cache, self._now) else None
