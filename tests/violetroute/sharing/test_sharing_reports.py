"""Bytes a second of reports to other proxies: bounded, and no kind of report starves."""

from __future__ import annotations

import itertools
import random

import pytest

from limebridge.scale.measure_judgements import _bytes_per_second
from snowstall import CacheState, LoadSample, Member, Result
from violetroute.sharing.budget import Budget
from violetroute.sharing.gossip import TROUBLE_FANOUT, Report, Rounds
from violetroute.sharing.loans import LoanTerms
from violetroute.sharing.node_health import (
    MAX_EXPIRED_PER_ROUND,
    MAX_OUTCOME_ROWS,
    MIN_ROWS_PER_NODE,
    NodeHealth,
)
from violetroute.sharing.report_budget import ByteBucket, ReportBudget, default_rate
from violetroute.sharing.wire import HealthReport, HeavyHitterReport, Item, LoadReport, SpareReport

ENVELOPE = 160  # bytes
BAD_REQUEST: LoadSample = (True, 1.0, 20.0, 300.0, False)
UP = [f"m{number}" for number in range(2600)]
# Bytes/s for reports: the rate of all control traffic less that of distribution and membership.
TARGET_RATE = 7000.0 - 3900.0 - 2250.0


def reports(rounds: Rounds, seconds: int, bad: int, nodes: int = 1200) -> list[Report]:
    """Reports over `seconds` with `bad` unhealthy nodes and 540 requests a second."""
    rng, found = random.Random(1), list[Report]()
    rounds.update_nodes(
        [Member(node, CacheState.READY, started_at=1.0) for node in range(1, nodes + 1)]
    )
    for half in range(2 * seconds):
        now = 0.5 * half
        for _ in range(270):
            node = rng.randrange(1, nodes + 1)
            rounds.record_attempt(now, node, Result.LATE if node <= bad else Result.OK)
            rounds.record_request(now, f"t{node % 50}", node)
        found += rounds.run_round(now, UP, [BAD_REQUEST] * 9, {}, False).reports
    return found


def all_items(found: list[Report]) -> list[Item]:
    """Items of all reports with a receiver."""
    return [item for report in found if report.to for item in report.items]


@pytest.mark.parametrize("bad", [0, 1, 120])
def test_a_proxy_at_target_size_stays_within_the_rate_left_for_reports(bad: int) -> None:
    assert _bytes_per_second(2600, bad, all_reports=True) < TARGET_RATE


@pytest.mark.parametrize("rate", [300.0, 600.0, 5000.0])
def test_reports_use_their_byte_budget_and_stay_within_it(rate: float) -> None:
    budget = ReportBudget(rate, ENVELOPE, 0.0)
    found = reports(Rounds("a", True, 0.0, random.Random(1), budget), 60, bad=120)
    sent = sum(budget.size(report.items) * len(report.to) for report in found)
    burst = budget.health.burst + budget.load.burst + budget.hitters.burst
    assert 0.5 * rate * 60.0 < sent <= rate * 60.0 + burst


def test_each_kind_of_report_and_each_bad_node_is_reported_within_the_budget() -> None:
    budget = ReportBudget(600.0, ENVELOPE, 0.0)
    items = all_items(reports(Rounds("a", True, 0.0, random.Random(1), budget), 120, bad=120))
    assert {LoadReport, HealthReport, HeavyHitterReport} == {type(item) for item in items}
    assert {item.node for item in items if isinstance(item, HealthReport) and item.bad} == set(
        range(1, 121)
    )


def test_a_member_that_reports_many_unhealthy_nodes_does_not_count_as_isolated() -> None:
    found = reports(Rounds("a", True, 0.0, random.Random(1), None), 10, bad=120)
    items = [item for item in found[-2].items if isinstance(item, HealthReport)]
    assert sum(report.bad > report.good for report in items) == len(items) // 2 > 0


def test_a_proxy_without_trouble_can_report_new_trouble_to_many_at_once() -> None:
    budget = ReportBudget(600.0, ENVELOPE, 0.0)
    rounds = Rounds("a", True, 0.0, random.Random(1), budget)
    reports(rounds, 30, bad=0)
    rounds.record_attempt(30.0, 7, Result.LATE)
    health = rounds.run_round(30.0, UP, [], {}, False).reports[1]
    assert [item.node for item in health.items if isinstance(item, HealthReport) and item.bad] == [
        7
    ]
    assert len(health.to) >= TROUBLE_FANOUT // 2


@pytest.mark.parametrize("urgent", [True, False])
def test_a_report_larger_than_a_bucket_is_sent_when_full_and_charged(
    urgent: bool,
) -> None:
    rate, size = 20.0, 5_000
    bucket = ByteBucket(rate, 0.0)
    assert size > bucket.burst
    sent = [step for step in range(20_000) if bucket.take(0.5 * step, size, 16, urgent)]
    assert sent[0] == 0 and len(sent) > 30
    for first, second in itertools.pairwise(sent):
        assert 0.5 * (second - first) >= size / rate  # the average rate is kept


def test_spare_reports_of_many_budgets_are_sent_at_the_lowest_rate() -> None:
    budget = ReportBudget(20.0, ENVELOPE, 0.0)
    rounds = Rounds("a", True, 0.0, random.Random(1), budget)
    budgets = {
        f"a budget with a long name {number:03}": Budget(
            f"b{number}", 1e6, 2, LoanTerms(1.0, 0.05), 0.1, 0.0, random.Random(1)
        )
        for number in range(64)
    }
    found = [rounds.run_round(5.0 + 0.5 * step, UP, [], budgets, False) for step in range(8)]
    assert len([item for item in found[0].reports[0].items if isinstance(item, SpareReport)]) == 64
    assert [len(round_.reports[0].to) for round_ in found if round_.reports] == [1] + [0] * 7


def test_the_default_rate_bounds_the_sum_for_any_fleet_size() -> None:
    assert default_rate(46) > 30_000.0  # at least what a small fleet sends
    assert default_rate(2600) == default_rate(4000) == 550.0


# --- received reports ---
def kept_reports(node_health: NodeHealth) -> int:
    """Kept reports of all members about all nodes."""
    return sum(len(node.rows) for node in node_health._nodes.values())


def with_reports(members: int, nodes: int, weight: float = 2.6) -> NodeHealth:
    """Node health with a report of each member about each node, without trouble."""
    node_health = NodeHealth("a")
    for node in range(nodes):
        node_health.add_node(node, 1.0)
    for member in range(members):
        for node in range(nodes):
            node_health.merge_report(
                0.0, f"m{member}", "a", HealthReport(node, 1, weight, 0.0), 0.0
            )
    return node_health


def test_without_trouble_a_round_drops_a_bounded_number_of_expired_reports() -> None:
    node_health = with_reports(10, 500)
    assert kept_reports(node_health) == 5000
    before = kept_reports(node_health)
    for number in range(20):
        assert node_health.unhealthy_nodes(30.0 + 0.5 * number) == []
        dropped, before = before - kept_reports(node_health), kept_reports(node_health)
        assert dropped <= MAX_EXPIRED_PER_ROUND < 64 * 10
    assert kept_reports(node_health) == 0


@pytest.mark.parametrize(("members", "nodes"), [(200, 400), (40, 1200), (10, 4096)])
def test_kept_reports_are_bounded_whatever_is_received(members: int, nodes: int) -> None:
    assert kept_reports(with_reports(members, nodes, 1e6)) <= max(
        MAX_OUTCOME_ROWS, MIN_ROWS_PER_NODE * nodes
    )


def test_a_small_fleet_keeps_the_reports_of_all_members() -> None:
    assert kept_reports(with_reports(350, 46)) == 350 * 46


def test_the_newest_reports_of_a_node_are_kept() -> None:
    node_health = with_reports(40, 1200)
    for member in ("x", "y", "z"):
        node_health.merge_report(1.0, member, "a", HealthReport(5, 1, 0.0, 3.0), 0.0)
    node_health.merge_report(1.0, "m39", "a", HealthReport(5, 1, 0.0, 3.0), 0.0)
    assert {"x", "y", "z", "m39"} <= set(node_health._nodes[5].rows)
