"""SpaceSaving, the search for d (the candidates of a head key), hashing and the ring."""

import math
import random
import subprocess
import sys
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snowstall import Member
from snowstall.cache import Cache
from snowstall.hashing import mix, mix_sequence
from snowstall.head import COUNT_HALF_LIFE_MS, SpaceSaving, find_optimal_choices
from snowstall.ring import Ring


@given(st.lists(st.integers(0, 30), min_size=1, max_size=400), st.integers(1, 12))
def test_space_saving_bounds_every_count(keys: list[int], size: int) -> None:
    table = SpaceSaving(size)
    for key in keys:
        table.add(key, 1.0)
    for key, count in Counter(keys).items():
        estimate, error = table.estimate(key)
        if estimate:
            assert estimate - error <= count + 1e-9 <= estimate + 2e-9
        assert error <= len(keys) / size + 1e-9
        if count > len(keys) / size:
            assert estimate, "a key above total/size is always in the table"


def test_space_saving_counts_decay() -> None:
    table = SpaceSaving(8)
    for _ in range(100):
        table.add(1, 1_000.0)
    for _ in range(100):
        table.add(2, 1_000.0 + 6 * COUNT_HALF_LIFE_MS)
    assert table.estimate(1)[0] < 5 < 95 < table.estimate(2)[0] <= 100.0


def test_a_key_with_one_occurrence_is_no_head_key() -> None:
    # Among a few requests the share of one occurrence is far above theta, which can be chance.
    table = SpaceSaving(64)
    for key in range(20):
        table.add(key, 1.0)
    assert table.head(1 / 200) == []
    for _ in range(5):
        table.add(3, 1.0)
    assert [key for _, key in table.head(1 / 200)] == [3]


def is_feasible(head: list[float], n: int, d: int, eps: float) -> bool:
    """Evaluate the paper's inequality directly for every prefix."""
    tail = 1 - sum(head)
    for h in range(1, len(head) + 1):
        b = n - n * ((n - 1) / n) ** (h * d)
        left = sum(head[:h]) + (b / n) ** d * sum(head[h:]) + (b / n) ** 2 * tail
        if left > b * (1 / n + eps):
            return False
    return True


@given(
    st.lists(st.floats(0.002, 0.2), min_size=1, max_size=12).filter(lambda p: sum(p) < 0.95),
    st.integers(3, 60),
)
def test_the_number_of_choices_is_the_least_feasible_one(shares: list[float], n: int) -> None:
    head = sorted(shares, reverse=True)
    start = max(2, math.ceil(head[0] * n))
    expected = next((d for d in range(start, n) if is_feasible(head, n, d, 1e-4)), n)
    choices = find_optimal_choices(head, n)
    assert choices == expected and (choices >= 2)


def test_the_number_of_choices_in_known_cases() -> None:
    assert find_optimal_choices([], 10) == 2
    # One key with half of the traffic on ten caches needs more than half of them.
    assert 5 < find_optimal_choices([0.5], 10) <= 10
    assert find_optimal_choices([0.9, 0.05], 4) == 4  # all caches (W-Choices)


def test_hash_is_the_same_in_every_process() -> None:
    assert mix(0) == 16294208416658607535  # splitmix64 of state 0
    code = "from snowstall.hashing import mix; print(mix(123456789, 7))"
    seen = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={"PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert seen == {f"{mix(123456789, 7)}\n"}


@pytest.mark.parametrize("n", [10, 40])
def test_membership_change_moves_few_keys(n: int) -> None:
    ring, caches = Ring(), [Cache(Member(mix(i) >> 32), 1.0) for i in range(n)]
    for cache in caches:
        ring.add([cache])
    keys = [mix(i, 5) for i in range(2000)]
    before = [next(ring.walk(key)).id for key in keys]
    ring.remove(caches[3])
    after = [next(ring.walk(key)).id for key in keys]
    moved = sum(x != y for x, y in zip(before, after, strict=True))
    assert moved == before.count(caches[3].id), "only the removed cache's keys move"
    ring.add([caches[3]])
    assert [next(ring.walk(key)).id for key in keys] == before


def count_lines(function: Callable[[], object]) -> int:
    """Count the executed lines of Python, a cost that doesn't depend on the machine's speed."""
    count = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(before)
    return count


def test_adding_a_fleet_costs_in_proportion_to_its_points() -> None:
    # Incident i2b776e: 265 caches were inserted point by point, and each insertion moved all
    # points behind it.  211 proxies stalled.
    caches = [Cache(Member(mix(i) >> 32), 1.0) for i in range(265)]
    ring = Ring()
    assert count_lines(lambda: ring.add(caches)) < 8 * 265 * 64
    one_by_one = Ring()
    one_by_one.add(caches[200:])
    one_by_one.add(caches[:200])
    assert [c.id for c in ring.walk(7)] == [c.id for c in one_by_one.walk(7)]


def test_adding_one_cache_does_not_sort_the_whole_ring() -> None:
    caches = [Cache(Member(mix(i) >> 32), 1.0) for i in range(1200)]
    ring = Ring()
    ring.add(caches[1:])
    assert count_lines(lambda: ring.add(caches[:1])) < 10 * 64


def test_the_cost_of_a_batch_does_not_depend_on_the_ring_size() -> None:
    """Incident 65d06d: points of removed caches were deleted one by one from a list of 200,000."""

    def costs(count: int) -> tuple[int, int]:
        caches = [Cache(Member(mix(i) >> 11), 1.0) for i in range(count)]
        ring, batch = Ring(), caches[:100]
        ring.add(caches)
        removing = count_lines(lambda: [ring.remove(cache) for cache in batch])
        return removing, count_lines(lambda: ring.add(batch))

    removing, adding = costs(3200)
    assert removing <= 12 * 100
    assert adding <= 12 * 64 * 100
    assert adding <= 2 * costs(200)[1]


def reference_order(caches: list[Cache], key_hash: int) -> list[Cache]:
    """Return the distinct caches in the key's order by one sort of all points."""
    points = sorted(
        (mix(cache.id, index), cache.id, cache)
        for cache in caches
        for index in range(cache.point_count)
    )
    start = bisect_left(points, (key_hash,))
    return list(dict.fromkeys(cache for _, _, cache in points[start:] + points[:start]))


@pytest.mark.parametrize("seed", range(20))
def test_the_ring_has_the_order_of_one_sort_of_all_points(seed: int) -> None:
    rng = random.Random(seed)
    ring, listed, ids = Ring(), list[Cache](), iter(range(10_000))
    for _ in range(40):
        batch = [
            Cache(Member(mix(next(ids)) >> 11, zone=rng.choice("ab")), rng.uniform(0.25, 4))
            for _ in range(rng.choice((0, 1, 4, 5, 8, 40)))
        ]
        for cache in batch:
            if rng.random() < 0.1:
                cache.resize(0.0)
        ring.add(batch)
        listed += batch
        for _ in range(rng.choice((0, 0, 1, len(listed) // 2))):
            cache = listed.pop(rng.randrange(len(listed)))
            ring.remove(cache)
            if rng.random() < 0.2:  # added again, perhaps with another size
                cache.resize(rng.choice((0.0, 1.0, 2.0)))
                ring.add([cache])
                listed.append(cache)
        if rng.random() < 0.3:
            ring.sweep(rng.randrange(3000))
        key_hash = mix(rng.getrandbits(64))
        expected = reference_order(listed, key_hash)
        assert list(ring.walk(key_hash)) == expected
        assert list(ring.walk(key_hash, "a")) == [c for c in expected if c.zone == "a"]
        assert ring.size == sum(cache.point_count > 0 for cache in listed)
        assert ring.zone_size("a") == sum(c.point_count > 0 for c in listed if c.zone == "a")


def test_points_of_removed_caches_do_not_accumulate() -> None:
    ring = Ring()
    for number in range(200):
        batch = [Cache(Member(mix(number * 50 + i) >> 11), 1.0) for i in range(50)]
        ring.add(batch)
        for cache in batch:
            ring.remove(cache)
    kept = sum(map(len, ring._segments))
    assert kept <= 3 * 50 * 64, "of 10,000 caches that were added and removed"
    assert len(ring._slots) <= 3 * 50


def test_mix_sequence_equals_single_hashes() -> None:
    for value in (0, 1, 12345, (1 << 53) - 1, (1 << 64) - 1):
        for count in (0, 1, 63, 64, 65, 500):
            assert list(mix_sequence(value, count)) == [mix(value, salt) for salt in range(count)]
