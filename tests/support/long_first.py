"""Pytest plugin: each worker starts with its share of the tests marked `long`.

pytest-xdist divides the tests into as many consecutive runs of equal length as there are workers.
An idle worker takes over half of the tests that another one has left, by their number, but not the
one that is running nor the next one.  A long test there, at the end of the suite, would keep one
worker busy while all others are idle.
"""

from __future__ import annotations

from collections.abc import Sequence

import pytest


def order_long_first(items: Sequence[pytest.Item], workers: int) -> list[pytest.Item]:
    """The items ordered so that the run of each worker begins with its share of the long tests.

    The other tests keep their order, so that tests of a module still run together and share its
    fixtures.
    """
    long = [item for item in items if item.get_closest_marker("long")]
    others = [item for item in items if not item.get_closest_marker("long")]
    order: list[pytest.Item] = []
    for worker in range(workers):
        run = (len(items) - len(order)) // (workers - worker)
        # The runs of later workers are longer if the items do not divide evenly.
        run_long = long[workers - 1 - worker :: workers]
        short_count = max(0, run - len(run_long))
        order += run_long + others[:short_count]
        del others[:short_count]
    return order + others


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    worker = getattr(config, "workerinput", None)
    if worker is not None:  # in a worker of pytest-xdist
        items[:] = order_long_first(items, worker["workercount"])
