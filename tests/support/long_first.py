"""Tests with the mark `long` are each worker's first, so that none is left for the end of a run.

pytest-xdist deals the tests out in as many equal runs as there are workers.  A worker with none
left takes half of another's, by their number.  It can't take the one that runs nor the next: a
long one there would keep a single worker busy when all others have ended.
"""

from __future__ import annotations

from collections.abc import Sequence

import pytest


def dealt(items: Sequence[pytest.Item], workers: int) -> list[pytest.Item]:
    """The items in an order in which each worker's run begins with its share of the long ones.

    The others keep their order, and with it what the tests of a module share.
    """
    long = [item for item in items if item.get_closest_marker("long")]
    others = [item for item in items if not item.get_closest_marker("long")]
    order: list[pytest.Item] = []
    for worker in range(workers):
        run = (len(items) - len(order)) // (workers - worker)
        first = long[workers - 1 - worker :: workers]  # the later runs are the longer ones
        rest = max(0, run - len(first))
        order += first + others[:rest]
        del others[:rest]
    return order + others


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    worker = getattr(config, "workerinput", None)
    if worker is not None:  # of pytest-xdist
        items[:] = dealt(items, worker["workercount"])
