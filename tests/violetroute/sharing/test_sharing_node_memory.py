"""Worst-case memory of node health per kept report.

The bound follows from the limits: control may take 64 MB of a proxy, and node health, one of its
smaller parts, a twentieth of that.  At MAX_OUTCOME_ROWS reports this is 195 bytes for each, with
all indexes: by node, by member and by expiry.
"""

from __future__ import annotations

import gc
import random
import tracemalloc
from collections.abc import Callable, Iterator
from itertools import islice

import pytest

from tests.support.operation_count import count_operations
from violetroute.sharing.expiry_queue import ExpiryQueue
from violetroute.sharing.node_health import MAX_EXPIRED_PER_ROUND, MAX_OUTCOME_ROWS, NodeHealth
from violetroute.sharing.row_lists import NO_ROW, RowLists
from violetroute.sharing.wire import HealthReport

# Bytes of a proxy's memory for control data, in a fleet of the target size.
PROXY_BYTES = 64_000_000
SHARE = 1 / 20
MAX_REPORT_BYTES = PROXY_BYTES * SHARE / MAX_OUTCOME_ROWS
NODES = 1_200
ReceivedReport = tuple[float, str, HealthReport]


def few_members() -> Iterator[ReceivedReport]:
    """Each member reports every node: more than are kept, so each report evicts another."""
    for member in range(40):
        for node in range(NODES):
            yield 0.0, f"proxy-{member}", HealthReport(node, 1, 2.6, 0.0)


def many_members() -> Iterator[ReceivedReport]:
    """As at target size: each datagram is of another member and about 24 nodes with trouble."""
    rng = random.Random(1)
    for datagram in range(2_000):
        member = f"proxy-{rng.randrange(2_600)}"
        for node in rng.sample(range(NODES), 24):
            good, bad = rng.uniform(0.0, 4.0), rng.uniform(0.1, 4.0)
            yield datagram * 1e-3, member, HealthReport(node, 1, good, bad)


def falling_weights() -> Iterator[ReceivedReport]:
    """Repeated reports with falling weight, so that each expires before the previous one."""
    for turn in range(4):
        for member in range(MAX_OUTCOME_ROWS // NODES):
            for node in range(NODES):
                yield turn * 0.5, f"proxy-{member}", HealthReport(node, 1, 80.0 / 8**turn, 0.1)


def measure(patterns: Iterator[ReceivedReport]) -> tuple[float, int]:
    """The bytes that the reports take, and the number of kept reports."""
    node_health = NodeHealth("a")
    for node in range(NODES):
        node_health.add_node(node, 1.0)
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for now, member, report in patterns:
            # Each datagram from the wire holds its own copy of the name.
            node_health.merge_report(now, member[:1] + member[1:], "a", report, 0.0)
        del report
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before, kept_reports(node_health)


@pytest.mark.parametrize("patterns", [few_members, many_members, falling_weights])
def test_memory_of_a_report_with_its_indexes(
    patterns: Callable[[], Iterator[ReceivedReport]],
) -> None:
    size, reports = measure(patterns())
    assert reports > 0.9 * MAX_OUTCOME_ROWS
    assert size / reports <= MAX_REPORT_BYTES


def kept_reports(node_health: NodeHealth) -> int:
    return sum(len(node.rows) for node in node_health._nodes.values())


def test_rounds_without_trouble_drop_expired_reports_in_bounded_steps() -> None:
    """A few nodes have many reports each, which all expire at the same time."""
    costs = []
    for members in (300, 1_200):
        node_health = NodeHealth("a")
        for node in range(8):
            node_health.add_node(node, 1.0)
            for member in range(members):
                report = HealthReport(node, 1, 1.0 + member, 0.0)
                node_health.merge_report(0.0, f"m{member}", "a", report, 0.0)
        before = kept_reports(node_health)
        costs.append(
            count_operations(lambda node_health=node_health: node_health.unhealthy_nodes(1e6))
        )  # type: ignore[misc]
        assert 0 < before - kept_reports(node_health) <= MAX_EXPIRED_PER_ROUND
        for _ in range(8 * members // MAX_EXPIRED_PER_ROUND + 8):
            node_health.unhealthy_nodes(1e6)
        assert kept_reports(node_health) == 0 == len(node_health._table)
        assert not node_health._witnesses and not node_health._table.expiry._first
    assert costs[1] < costs[0] * 1.2


def test_in_trouble_no_expired_report_is_kept() -> None:
    """The reports have random weights, so that later ones often expire first."""
    rng, node_health, now = random.Random(1), NodeHealth("a"), 100.0
    for node in range(6):
        node_health.add_node(node, 1.0)
    for _ in range(300):
        now += rng.choice([0.0, 0.1, 0.5, 3.0])
        for _ in range(rng.randrange(8)):
            good, node = rng.choice([0.1, 0.3, 1.0, 50.0, 1e6]), rng.randrange(6)
            report = HealthReport(node, 1, good, rng.choice([0.0, 1.0]))
            node_health.merge_report(now, f"m{rng.randrange(9)}", "a", report, 0.0)
        node_health._troubled_until = now + 1.0
        node_health.isolated_members(now)
        table = node_health._table
        rows = [row for node in node_health._nodes.values() for row in node.rows.values()]
        assert all(table.until[row] >= now for row in rows)
        assert len(rows) == len(table) == sum(w.nodes for w in node_health._witnesses.values())


def test_row_lists_match_a_model_after_removals() -> None:
    rng, lists = random.Random(1), RowLists()
    first = [NO_ROW] * 4
    kept: list[list[int]] = [[] for _ in first]
    free = list(range(50))
    for _ in free:
        lists.append_row()
    for _ in range(2_000):
        chosen = rng.randrange(4)
        if kept[chosen] and (not free or rng.random() < 0.5):
            row = kept[chosen].pop(rng.randrange(len(kept[chosen])))
            first[chosen] = lists.remove(row, first[chosen])
            free.append(row)
        elif free:
            kept[chosen].append(free.pop(0))
            first[chosen] = lists.insert(kept[chosen][-1], first[chosen])
        for begin, rows in zip(first, kept, strict=True):
            assert sorted(islice(lists.rows(begin), 51)) == sorted(rows)


def test_the_expiry_queue_yields_expired_rows_and_forgets_removed_ones() -> None:
    queue = ExpiryQueue()
    for row, until in enumerate([7.0, 1.0, 30.0, 1.2, 6.8]):
        queue.append_row()
        queue.add(row, until)
    queue.remove(3)
    assert list(queue.due(0.4)) == []
    given = []
    for row in queue.due(7.1):  # rows 0 and 4 are in one bucket or in adjacent ones
        given.append(row)
        queue.remove(row)
    assert sorted(given) == [0, 1, 4]
    assert list(queue.due(29.0)) == [] and queue._order == [60]
    assert list(queue.due(30.1)) == [2] == list(queue.due(30.1))  # yielded until it is removed
    queue.remove(2)
    assert list(queue.due(1e9)) == [] == queue._order and not queue._first
