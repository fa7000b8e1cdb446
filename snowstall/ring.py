"""A consistent-hash ring, which gives the order of the caches for each key.

The hash range is divided into equal segments, each a small array of points.  A point and the slot
number of its cache are packed into one integer, so that sorting a segment sorts both.  The cost of
a change depends on the number of caches that change, not on the size of the ring:

- Adding a cache appends points to segments; a segment is sorted when a walk reaches it next.
- Removing a cache empties its slot.  Its points stay, and are skipped until a sweep deletes them.
- A sweep goes over all segments in small steps, which are taken as caches are added.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator

from .cache import Cache
from .hashing import mix_sequence

HASH_BITS = 64
SLOT_BITS = 20  # low bits of a packed point; the others are the hash's highest bits
SEGMENT_BITS = 8
SEGMENTS = 1 << SEGMENT_BITS
SWEEP_SHARE = 16  # a sweep begins when 1 / SWEEP_SHARE of the slots are empty
SWEEP_AHEAD = 8  # a sweep ends before size / SWEEP_AHEAD more caches have been added

_SLOT = (1 << SLOT_BITS) - 1
_TO_SEGMENT = HASH_BITS - SEGMENT_BITS


class Ring:
    """Consistent hashing: a change of one cache moves only that cache's keys."""

    def __init__(self) -> None:
        self.size = 0  # caches that have points
        self._zone_sizes: Counter[str] = Counter()
        self._segments: list[array[int]] = [array("Q") for _ in range(SEGMENTS)]
        self._appenders = [segment.append for segment in self._segments]
        self._sorted_lengths = [0] * SEGMENTS  # at the last sort; longer segments are unsorted
        self._slots: list[Cache | None] = []  # the cache in each slot; None where it was removed
        self._free_slots: list[int] = []  # slots without points
        self._removed_slots: list[int] = []  # empty slots that may still have points
        self._sweeping_slots: list[int] = []  # removed slots that the current sweep will free
        self._next_segment = SEGMENTS  # next segment to sweep; SEGMENTS while no sweep is running

    def zone_size(self, zone: str) -> int:
        """Return the number of caches of this zone that have points."""
        return self._zone_sizes[zone]

    def add(self, caches: list[Cache]) -> None:
        """Add the points of these caches; the cost is in proportion to the points."""
        for cache in caches:
            if not cache.point_count:
                continue
            cache.ring_slot = slot = self._new_slot(cache)
            append = self._appenders
            for point in mix_sequence(cache.id, cache.point_count, HASH_BITS - SLOT_BITS, slot):
                append[point >> _TO_SEGMENT](point)
            self.size += 1
            self._zone_sizes[cache.zone] += 1
            self.sweep(1 + SWEEP_AHEAD * SEGMENTS // self.size)

    def remove(self, cache: Cache) -> None:
        """Remove a cache from every key's order, at a cost independent of its points."""
        if cache.ring_slot is None:
            return
        self._slots[cache.ring_slot] = None
        self._removed_slots.append(cache.ring_slot)
        cache.ring_slot = None
        self.size -= 1
        self._zone_sizes[cache.zone] -= 1

    def resize(self, cache: Cache, before: int) -> None:
        """Apply a changed number of points (`before`: the old one); only the difference moves."""
        if cache.ring_slot is None or not cache.point_count:
            self.remove(cache)
            self.add([cache])
            return
        larger = max(before, cache.point_count)
        points = mix_sequence(cache.id, larger, HASH_BITS - SLOT_BITS, cache.ring_slot)
        for point in points[before:]:
            self._appenders[point >> _TO_SEGMENT](point)
        for point in points[cache.point_count : before]:
            self._remove_point(point)

    def _remove_point(self, point: int) -> None:
        number = point >> _TO_SEGMENT
        segment = self._segments[number]
        in_order = self._sorted_lengths[number] == len(segment)
        segment.remove(point)
        self._sorted_lengths[number] = len(segment) if in_order else 0

    def walk(self, key_hash: int, zone: str | None = None) -> Iterator[Cache]:
        """Yield the distinct caches in the key's order; with a zone only those of that zone."""
        remaining = self.size if zone is None else self._zone_sizes[zone]
        if not remaining:
            return
        slots, seen = self._slots, set[int]()
        for points in self._points_from(key_hash):
            for point in points:
                slot = point & _SLOT
                if slot in seen:
                    continue
                seen.add(slot)
                cache = slots[slot]
                if cache is None or (zone is not None and cache.zone != zone):
                    continue
                yield cache
                remaining -= 1
                if not remaining:
                    return

    def _points_from(self, key_hash: int) -> Iterator[array[int]]:
        """Yield all points in ring order, starting at the key's position."""
        first = key_hash >> _TO_SEGMENT
        points = self._sorted_segment(first)
        place = bisect_left(points, key_hash & ~_SLOT)
        yield points[place:]
        for step in range(1, SEGMENTS):
            yield self._sorted_segment((first + step) % SEGMENTS)
        yield points[:place]

    def sweep(self, segments: int) -> None:
        """Sweep this many more segments, if enough slots are empty to begin or go on."""
        if self._next_segment == SEGMENTS:
            if len(self._removed_slots) * SWEEP_SHARE <= self.size:
                return
            self._sweeping_slots, self._removed_slots = self._removed_slots, []
            self._next_segment = 0
        end = min(SEGMENTS, self._next_segment + segments)
        for number in range(self._next_segment, end):
            segment, slots = self._segments[number], self._slots
            live = [point for point in segment if slots[point & _SLOT] is not None]
            if len(live) < len(segment):
                segment[:] = array("Q", sorted(live))
                self._sorted_lengths[number] = len(live)
        self._next_segment = end
        if end == SEGMENTS:
            self._free_slots += self._sweeping_slots
            self._sweeping_slots = []

    def _sorted_segment(self, number: int) -> array[int]:
        """Return a segment, sorted."""
        segment = self._segments[number]
        if self._sorted_lengths[number] < len(segment):
            segment[:] = array("Q", sorted(segment))
            self._sorted_lengths[number] = len(segment)
        return segment

    def _new_slot(self, cache: Cache) -> int:
        if self._free_slots:
            slot = self._free_slots.pop()
            self._slots[slot] = cache
            return slot
        if len(self._slots) > _SLOT:
            raise ValueError(f"more than {_SLOT + 1} caches")
        self._slots.append(cache)
        return len(self._slots) - 1
