"""The order in which the workers of pytest-xdist get the tests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pytest

from tests.support.long_first import order_long_first


@dataclass(frozen=True)
class Item:
    number: int
    long: bool

    def get_closest_marker(self, name: str) -> object:
        return name if self.long and name == "long" else None


def make_items(count: int, long: set[int]) -> list[Any]:
    return [Item(number, number in long) for number in range(count)]


@pytest.mark.parametrize("workers", [1, 2, 3, 8])
@pytest.mark.parametrize("long", [set(), {99}, {50, 51, 52, 53, 54, 55, 56}, set(range(100))])
def test_each_worker_begins_with_its_share_of_long_tests_and_no_test_is_lost(
    workers: int, long: set[int]
) -> None:
    items = make_items(100, long)
    order: list[Any] = order_long_first(items, workers)
    assert sorted(order, key=lambda item: item.number) == items
    short = [item.number for item in order if not item.long]
    assert short == sorted(short)
    begin = 0
    for worker in range(workers):
        run = order[begin : begin + (100 - begin) // (workers - worker)]
        begin += len(run)
        share = len(range(workers - 1 - worker, len(long), workers))
        assert [item.long for item in run] == [True] * share + [False] * (len(run) - share)


@pytest.mark.parametrize("count", [0, 1, 5])
def test_no_test_is_lost_if_workers_outnumber_the_tests(count: int) -> None:
    for long in (set(), {0}, set(range(count))):
        order: list[Any] = order_long_first(make_items(count, long), 8)
        assert sorted(item.number for item in order) == list(range(count))
