"""Sizes from a placement plan: the caches' shares of the keys, and what a plan doesn't change."""

from __future__ import annotations

from collections import Counter

import pytest

from snowstall import (
    Balancer,
    Effect,
    ListKind,
    Member,
    Outcome,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
)
from snowstall.cache import Cache
from snowstall.hashing import mix
from snowstall.ring import Ring

LOOKUP = RequestClass("lookup", latency_target=300.0, deadline=600.0, effect=Effect.PURE)


class Driver:
    """Drives a balancer whose requests are answered at once, so that only hashing decides."""

    def __init__(self, *members: Member, **settings: float) -> None:
        self.now, self._last_id = 1e6, 0
        self.balancer = Balancer(Settings((LOOKUP,), 4, **settings), 1, self.now)  # type: ignore[arg-type]
        self.balancer.on_list(self.now, ListKind.FULL, members)

    def send(self, key: int) -> int:
        """Send a request with this key; return the cache that it goes to."""
        self.now += 50.0
        self._last_id += 1
        (send,) = [
            a
            for a in self.balancer.on_request(
                self.now, Request(self._last_id, "lookup", self.now + 600.0, key)
            )
            if isinstance(a, Send)
        ]
        self.balancer.on_outcome(
            self.now + 1.0, Outcome(self._last_id, 0, Result.OK, True, 1.0, True)
        )
        self.now += 1.0
        return send.cache_id

    def size(self, sizes: dict[int, float]) -> None:
        self.balancer.on_sizes(self.now, sizes)

    def count_by_cache(self, keys: int = 2_000) -> Counter[int]:
        return Counter(self.send(key) for key in range(1, keys + 1))


def members(count: int) -> list[Member]:
    return [Member(number, kind="ab"[number % 2]) for number in range(1, count + 1)]


def test_caches_get_the_shares_of_the_keys_in_the_plan() -> None:
    driver = Driver(*members(8))
    sizes = {number: 2.0 if number <= 2 else 2 / 3 for number in range(1, 9)}
    driver.size(sizes)
    count_by_cache = driver.count_by_cache(4_000)
    for number, size in sizes.items():  # with 64 points per cache the shares vary by about 12%
        assert count_by_cache[number] / 500 == pytest.approx(size, rel=0.35)
    assert count_by_cache[1] + count_by_cache[2] == pytest.approx(2_000, rel=0.15)


def test_resizing_one_cache_keeps_the_order_of_the_others() -> None:
    caches = [Cache(member, 1.0) for member in members(8)]
    before = Ring()
    before.add(caches)
    orders = [list(before.walk(mix(key))) for key in range(500)]
    third = caches[2]
    third.resize(0.25)
    after = Ring()
    after.add(caches)
    moved = 0
    for key, order in enumerate(orders):
        now = list(after.walk(mix(key)))
        assert [c for c in now if c is not third] == [c for c in order if c is not third]
        moved += now[0] is not order[0]
    assert 20 < moved < 100  # about 3/4 of an eighth of 500


def test_a_cache_of_size_zero_is_the_last_resort() -> None:
    driver = Driver(*members(4))
    driver.size({1: 0.0, 2: 1.0, 3: 1.0, 4: 1.0})
    assert driver.count_by_cache(600)[1] == 0
    driver.balancer.on_list(driver.now, ListKind.FULL, [Member(1, kind="b")])
    assert driver.count_by_cache(50) == {1: 50}
    driver.balancer.on_list(driver.now, ListKind.FULL, members(2))
    assert driver.count_by_cache(50) == {2: 50}


def test_all_sizes_zero_still_serves_every_request() -> None:
    driver = Driver(*members(3))
    driver.size(dict.fromkeys((1, 2, 3), 0.0))
    assert sum(driver.count_by_cache(100).values()) == 100


def test_a_head_key_does_not_go_to_caches_of_size_zero() -> None:
    driver = Driver(*members(6))
    driver.size({1: 0.0, 2: 0.0, 3: 1.5, 4: 1.5, 5: 1.5, 6: 1.5})
    count_by_cache = Counter(driver.send(7) for _ in range(600))
    assert 7 in driver.balancer.head and len(count_by_cache) > 1
    assert not count_by_cache[1] and not count_by_cache[2]
    assert driver.balancer.choices == 4  # all caches that have a size (W-Choices)


def test_a_key_without_usable_candidates_goes_to_a_warm_cache_with_a_size() -> None:
    cold = [Member(number, started_at=1e6) for number in range(5, 13)]
    driver = Driver(*members(4), *cold, warm_time=1e6)
    driver.size({1: 0.0, 2: 0.0, 3: 0.0, 4: 0.1} | dict.fromkeys(range(5, 13), 1.0))
    count_by_cache = driver.count_by_cache(400)
    assert count_by_cache[4] > 200
    assert not count_by_cache[1] + count_by_cache[2] + count_by_cache[3]


def test_a_plan_gives_a_cold_cache_no_more_than_an_even_share() -> None:
    # Rule four limits the requests to a cold cache.  A plan with a wrong size must not break it.
    def cold_share(sizes: dict[int, float]) -> int:
        driver = Driver(*members(7), Member(8, kind="b", started_at=1e6), warm_time=1e6)
        driver.size(sizes)
        return driver.count_by_cache(8_000)[8]

    even = cold_share(dict.fromkeys(range(1, 9), 1.0))
    large = cold_share(dict.fromkeys(range(1, 8), 4 / 7) | {8: 4.0})
    assert even > 20
    assert large <= 1.5 * even


def test_an_ended_plan_has_no_lasting_effect() -> None:
    plain, ended = Driver(*members(6)), Driver(*members(6))
    ended.size({1: 3.0, 2: 0.0})
    ended.size({})
    assert [plain.send(key) for key in range(800)] == [ended.send(key) for key in range(800)]


def test_a_cache_that_joins_later_gets_its_planned_size() -> None:
    driver = Driver(*members(3))
    driver.size({4: 0.0})
    driver.balancer.on_list(driver.now, ListKind.FULL, members(4))
    assert driver.count_by_cache(400)[4] == 0


@pytest.mark.parametrize("size", [float("nan"), -1.0, float("inf")])
def test_an_invalid_size_is_an_error(size: float) -> None:
    driver = Driver(*members(2))
    with pytest.raises(ValueError, match="size"):
        driver.size({1: size})
