"""The caches in each key's order: consistent hashing.

The range of hashes is cut into equal segments, each a small array of points.  A point and its
cache's slot are packed into one integer, so that sorting a segment sorts both.  Every change costs
in proportion to the caches that change, whatever the size of the ring:

- Adding appends to segments; a segment is sorted when a walk comes to it next.
- Removing empties the cache's slot.  Its points stay and lead nowhere until a sweep drops them.
- A sweep goes over all segments in small steps, taken with what is added and from time to time.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator

from .cache import Cache
from .hashing import mix_sequence

HASH_BITS = 64
SLOT_BITS = 20  # of a packed point; its other bits are the hash's highest
SEGMENT_BITS = 8
SEGMENTS = 1 << SEGMENT_BITS
SWEEP_SHARE = 16  # a sweep begins when one slot in so many is empty
SWEEP_AHEAD = 8  # it ends before a share of 1 / SWEEP_AHEAD of the caches is added anew

_SLOT = (1 << SLOT_BITS) - 1
_TO_SEGMENT = HASH_BITS - SEGMENT_BITS


class Ring:
    """Consistent hashing: a change of one cache moves only that cache's keys."""

    def __init__(self) -> None:
        self.size = 0  # caches that have a point
        self._zone_sizes: Counter[str] = Counter()
        self._segments: list[array[int]] = [array("Q") for _ in range(SEGMENTS)]
        self._append = [segment.append for segment in self._segments]
        self._sorted_lengths = [0] * SEGMENTS  # a segment that has grown since is out of order
        self._slots: list[Cache | None] = []  # by slot; None where the cache was removed
        self._free: list[int] = []  # slots to which no point leads
        self._removed: list[int] = []  # empty slots to which points may lead
        self._swept: list[int] = []  # those of them that the present sweep frees
        self._next_swept = SEGMENTS  # segment; SEGMENTS when no sweep is under way

    def zone_size(self, zone: str) -> int:
        """Caches of this zone that have a point."""
        return self._zone_sizes[zone]

    def add(self, caches: list[Cache]) -> None:
        """Give caches their points; each costs as much as it has points."""
        for cache in caches:
            if not cache.point_count:
                continue
            cache.ring_slot = slot = self._new_slot(cache)
            append = self._append
            for point in mix_sequence(cache.id, cache.point_count, HASH_BITS - SLOT_BITS, slot):
                append[point >> _TO_SEGMENT](point)
            self.size += 1
            self._zone_sizes[cache.zone] += 1
            self.sweep(1 + SWEEP_AHEAD * SEGMENTS // self.size)

    def remove(self, cache: Cache) -> None:
        """Lead no key to this cache any more.  Costs the same for any number of points."""
        if cache.ring_slot is None:
            return
        self._slots[cache.ring_slot] = None
        self._removed.append(cache.ring_slot)
        cache.ring_slot = None
        self.size -= 1
        self._zone_sizes[cache.zone] -= 1

    def resize(self, cache: Cache, before: int) -> None:
        """The cache has another number of points than `before`; only the difference moves."""
        if cache.ring_slot is None or not cache.point_count:
            self.remove(cache)
            self.add([cache])
            return
        most = max(before, cache.point_count)
        points = mix_sequence(cache.id, most, HASH_BITS - SLOT_BITS, cache.ring_slot)
        for point in points[before:]:
            self._append[point >> _TO_SEGMENT](point)
        for point in points[cache.point_count : before]:
            self._take_out(point)

    def _take_out(self, point: int) -> None:
        number = point >> _TO_SEGMENT
        segment = self._segments[number]
        in_order = self._sorted_lengths[number] == len(segment)
        segment.remove(point)
        self._sorted_lengths[number] = len(segment) if in_order else 0

    def walk(self, key_hash: int, zone: str | None = None) -> Iterator[Cache]:
        """The distinct caches in the key's order; with a zone, those of this zone alone."""
        left = self.size if zone is None else self._zone_sizes[zone]
        if not left:
            return
        slots, seen = self._slots, set[int]()
        for points in self._from(key_hash):
            for point in points:
                slot = point & _SLOT
                if slot in seen:
                    continue
                seen.add(slot)
                cache = slots[slot]
                if cache is None or (zone is not None and cache.zone != zone):
                    continue
                yield cache
                left -= 1
                if not left:
                    return

    def _from(self, key_hash: int) -> Iterator[array[int]]:
        """All points in their order, from the key's place round to it."""
        first = key_hash >> _TO_SEGMENT
        points = self._segment(first)
        place = bisect_left(points, key_hash & ~_SLOT)
        yield points[place:]
        for step in range(1, SEGMENTS):
            yield self._segment((first + step) % SEGMENTS)
        yield points[:place]

    def sweep(self, segments: int) -> None:
        """Drop the points of removed caches from so many more segments, if there are enough."""
        if self._next_swept == SEGMENTS:
            if len(self._removed) * SWEEP_SHARE <= self.size:
                return
            self._swept, self._removed = self._removed, []
            self._next_swept = 0
        end = min(SEGMENTS, self._next_swept + segments)
        for number in range(self._next_swept, end):
            segment, slots = self._segments[number], self._slots
            live = [point for point in segment if slots[point & _SLOT] is not None]
            if len(live) < len(segment):
                segment[:] = array("Q", sorted(live))
                self._sorted_lengths[number] = len(live)
        self._next_swept = end
        if end == SEGMENTS:
            self._free += self._swept
            self._swept = []

    def _segment(self, number: int) -> array[int]:
        """The points of a segment in their order."""
        segment = self._segments[number]
        if self._sorted_lengths[number] < len(segment):
            segment[:] = array("Q", sorted(segment))
            self._sorted_lengths[number] = len(segment)
        return segment

    def _new_slot(self, cache: Cache) -> int:
        if self._free:
            slot = self._free.pop()
            self._slots[slot] = cache
            return slot
        if len(self._slots) > _SLOT:
            raise ValueError(f"more than {_SLOT + 1} caches")
        self._slots.append(cache)
        return len(self._slots) - 1
