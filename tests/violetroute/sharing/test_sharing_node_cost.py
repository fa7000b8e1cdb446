"""Cost of node health by received and expired reports, and equality of its estimates with a scan.

Times of the first comparison are whole half-lives, so that decay is exact and ties stay ties.
"""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.operation_count import count_operations
from tests.support.reference_node_health import ReferenceNodeHealth
from violetroute.sharing.decaying_outcomes import HALF_LIFE_S
from violetroute.sharing.node_health import NodeHealth
from violetroute.sharing.wire import HealthReport

SMALL, LARGE = 100, 2_000
BAD, MIN_WITNESSES = 10, 6


def busy(nodes: int) -> NodeHealth:
    """Own outcomes and reports about every node; BAD nodes are unhealthy."""
    made = NodeHealth("a")
    for node in range(nodes):
        made.add_node(node, 1.0)
        for _ in range(3):
            made.record_outcome(0.0, node, False)
        for witness in range(MIN_WITNESSES):
            bad = 3.0 if node < BAD else 0.0
            made.merge_report(0.0, f"m{witness}", "a", HealthReport(node, 1, 3.0 - bad, bad), 0.0)
    return made


def test_a_round_costs_the_same_with_many_unchanged_nodes() -> None:
    costs = []
    for nodes in (SMALL, LARGE):
        node_health = busy(nodes)
        for node in range(BAD):
            node_health.record_outcome(0.2, node, True)
        node_health.reports_to_send(0.3)

        def round_(node_health: NodeHealth = node_health) -> None:
            node_health.mark_sent(node_health.reports_to_send(0.5))
            node_health.unhealthy_nodes(0.5)
            node_health.isolated_members(0.5)

        costs.append(count_operations(round_))
    assert costs[1] <= costs[0] * 1.2


def test_removing_a_member_costs_as_much_as_its_reports() -> None:
    costs = []
    for nodes in (SMALL, LARGE):
        node_health = busy(nodes)
        node_health.merge_report(0.0, "x", "a", HealthReport(3, 1, 3.0, 0.0), 0.0)
        costs.append(
            count_operations(lambda node_health=node_health: node_health.forget_member("x"))
        )  # type: ignore[misc]
    assert costs[1] <= costs[0] * 1.2


def test_expiry_state_is_bounded_by_the_kept_reports() -> None:
    node_health = NodeHealth("a")
    node_health.add_node(1, 1.0)
    for number in range(20_000):
        node_health.merge_report(
            number / 1e3, f"m{number % 5}", "a", HealthReport(1, 1, 1e6, 1.0), 0.0
        )
    table = node_health._table
    assert len(table.node) == 5  # one row a member, reused for each report
    assert len(table.expiry._first) == len(table.expiry._order) < 100  # buckets of 20 s of reports


NODES = 7
weights = st.sampled_from([0.0, 0.125, 1.0, 2.0, 3.0, 5.0])
steps = st.lists(
    st.one_of(
        st.tuples(st.just("report"), st.integers(0, 5), st.integers(0, NODES), weights, weights),
        st.tuples(st.just("all"), st.integers(0, 5), weights, weights),
        st.tuples(st.just("met"), st.integers(0, NODES), st.booleans()),
        st.tuples(st.just("time"), st.sampled_from([0, 1, 1, 2, 4, 9])),
        st.tuples(st.just("tell"), st.sampled_from([1, 4, 6, 24]), st.booleans()),
        st.tuples(st.just("left"), st.integers(0, 5)),
        st.tuples(st.just("gone"), st.integers(0, NODES)),
        st.tuples(st.just("listed"), st.integers(0, NODES), st.integers(1, 2)),
    ),
    max_size=100,
)


def apply(health: Any, step: tuple[Any, ...], now: float) -> Any:
    """Apply a step to one of the two implementations."""
    match step:
        case ("report", member, node, good, bad):
            zone = "a" if member < 4 else "b"
            health.merge_report(now, f"m{member}", zone, HealthReport(node, 1, good, bad), 0.0)
        case ("all", member, good, bad):
            for node in range(NODES):
                health.merge_report(now, f"m{member}", "a", HealthReport(node, 1, good, bad), 0.0)
        case ("met", node, bad):
            health.record_outcome(now, node, bad)
        case ("tell", most, sent):
            reports = health.reports_to_send(now, most)
            if sent:
                health.mark_sent(reports)
            return reports
        case ("left", member):
            health.forget_member(f"m{member}")
        case ("gone", node):
            health.remove_node(node)
        case ("listed", node, started):
            health.add_node(node, float(started))
    return None


@settings(max_examples=400, deadline=None)
@given(steps)
def test_estimates_match_a_scan_of_all_nodes(given_steps: list[tuple[Any, ...]]) -> None:
    kept, reference, now = NodeHealth("a"), ReferenceNodeHealth("a"), 0.0
    for node in range(NODES):
        kept.add_node(node, 1.0)
        reference.add_node(node, 1.0)
    for step in given_steps:
        if step[0] == "time":
            now += step[1] * HALF_LIFE_S
            assert kept.unhealthy_nodes(now) == reference.unhealthy_nodes(now)
            assert set(kept.isolated_members(now)) == reference.isolated_members(now)
        else:
            assert apply(kept, step, now) == apply(reference, step, now)


@pytest.mark.parametrize("seed", range(8))
def test_estimates_match_a_scan_of_all_nodes_in_rounds_of_a_fleet(seed: int) -> None:
    rng, kept, reference = random.Random(seed), NodeHealth("a"), ReferenceNodeHealth("a")
    for node in range(40):
        kept.add_node(node, 1.0)
        reference.add_node(node, 1.0)
    unhealthy_count = 0
    for number in range(200):
        now = 0.5 * number
        bad = range(5) if number < 90 else range(0)
        for _ in range(4):
            member = rng.randrange(12)
            zone = "a" if member < 7 else "b"
            for node in rng.sample(range(40), 10):
                wrong = rng.uniform(0.5, 4.0) if node in bad or member == 11 else 0.0
                saw = HealthReport(node, 1, rng.uniform(0.0, 4.0) * (node not in bad), wrong)
                for health in (kept, reference):
                    health.merge_report(now, f"m{member}", zone, saw, 0.0)
        found = kept.unhealthy_nodes(now)
        unhealthy_count += len(found)
        assert found == reference.unhealthy_nodes(now)
        assert set(kept.isolated_members(now)) == reference.isolated_members(now)
    assert unhealthy_count > 100
