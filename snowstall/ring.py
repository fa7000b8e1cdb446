"""The caches in each key's order: consistent hashing."""

from bisect import bisect, bisect_left
from collections.abc import Iterator

from .cache import Cache

INSERTED_MOST = 4  # caches: for more, one sort of all points takes less CPU


class Ring:
    """Consistent hashing: a change of one cache moves only that cache's keys."""

    def __init__(self) -> None:
        self._points: list[int] = []
        self._owners: list[Cache] = []
        self.size = 0

    def add(self, caches: list[Cache]) -> None:
        """Insert the points of few caches; for many, one sort takes less CPU than all inserts."""
        if len(caches) <= INSERTED_MOST:
            for point, owner in [(point, cache) for cache in caches for point in cache.points]:
                place = bisect(self._points, point)  # behind equal points, as a stable sort does
                self._points.insert(place, point)
                self._owners.insert(place, owner)
        else:
            points = self._points + [point for cache in caches for point in cache.points]
            owners = self._owners + [cache for cache in caches for _ in cache.points]
            order = sorted(range(len(points)), key=points.__getitem__)
            self._points = [points[place] for place in order]
            self._owners = [owners[place] for place in order]
        self.size += sum(bool(cache.points) for cache in caches)

    def remove(self, cache: Cache) -> None:
        for point in cache.points:
            place = self._owners.index(cache, bisect_left(self._points, point))
            del self._points[place], self._owners[place]
        self.size -= bool(cache.points)

    def walk(self, key_hash: int) -> Iterator[Cache]:
        """The distinct caches in the key's order."""
        seen: set[int] = set()
        length = len(self._points)
        place = bisect_left(self._points, key_hash)
        for step in range(length):
            cache = self._owners[(place + step) % length]
            if cache.id not in seen:
                seen.add(cache.id)
                yield cache
                if len(seen) == self.size:
                    return
