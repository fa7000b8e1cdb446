"""Soaks of real daemons: fixed seeds violate no rule, and injected bugs are found.

The long run is `limebridge faults soak --seeds 50`.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from limebridge.faults.launch import daemon_command
from limebridge.faults.soak import run_seed
from limebridge.faults.soak_clients import MAX_LATENESS_S, Request, SoakClients
from limebridge.faults.soak_plan import SoakPlan, SoakResult, generate

INJECTED_BUGS = Path(__file__).parent.parent.parent / "planted_in_soaks"
SEEDS = range(100, 114)


@pytest.mark.long
@pytest.mark.parametrize("seed", SEEDS)
def test_a_soak_violates_no_rule(seed: int) -> None:
    result = run_seed(seed)
    assert result.asked > 20
    assert not result.broken, [violation.line() for violation in result.broken]


@pytest.mark.long
@pytest.mark.parametrize(
    ("bug", "seed", "rule"),
    [
        ("drain_ignored", 1, "drain"),  # the removal of a node from service is delayed
        ("long_turn", 0, "lost"),  # incident 65d06d: one update blocks the event loop for seconds
        ("drain_cuts", 0, "lost"),  # a drain drops requests that were read
    ],
)
def test_an_injected_bug_is_found(bug: str, seed: int, rule: str) -> None:
    result = run_seed(seed, daemon_command(str(INJECTED_BUGS / f"{bug}.py")))
    assert rule in {violation.rule for violation in result.broken}


def test_the_plans_contain_every_kind_of_event() -> None:
    plans = [generate(seed) for seed in range(300)]
    assert {event.kind for plan in plans for event in plan.lists} == {
        "drain",
        "gone",
        "whole",
        "back",
        "restart",
        "one_by_one",
        "watch_ends",
    }
    assert max(plan.nodes for plan in plans) == 3200
    assert sum(plan.idle_clients > 0 for plan in plans) > 60, "too few plans have idle clients"
    assert sum(len(plan.signals) > 3 for plan in plans) > 60, (
        "too few plans have a series of signals"
    )
    assert all(_killed_as_early_as_allowed(plan) for plan in plans)


def _killed_as_early_as_allowed(plan: SoakPlan) -> bool:
    return plan.killed_at == plan.ends_at + min(3.0, plan.deadline) + 0.7


def test_an_answer_that_waits_for_the_previous_one_is_not_late() -> None:
    first, second = Request(b"1", 0.0, 1.0), Request(b"2", 0.1, 0.2)
    first.answered_at, second.answered_at = 1.0, 1.0 + MAX_LATENESS_S / 2
    assert second.late_by > MAX_LATENESS_S
    second.previous = first
    assert second.late_by == pytest.approx(MAX_LATENESS_S / 2)


@pytest.mark.parametrize("unread_between", [0, 1, 3])
@pytest.mark.parametrize(
    ("previous_answered_at", "at_a_node", "broken"),
    [(None, False, True), (1.3, False, False), (0.9, False, True), (1.3, True, True)],
)
def test_only_unread_requests_may_be_unanswered_if_the_connection_closes(
    previous_answered_at: float | None, at_a_node: bool, broken: bool, unread_between: int
) -> None:
    """A request that the daemon never read is no violation if the connection closed soon after.

    Found by seed 105: a request was sent after one in service, and the daemon closed the connection
    with the answer to that one.  Up to three more unread requests were sent between the two.
    """
    request = Request(b"2", 1.0, 3.0)
    request.closed_at = 1.301
    last = request
    for _ in range(unread_between):
        last.previous = Request(b"3", 0.9, 3.0)
        last = last.previous
        last.closed_at = 1.301
    if previous_answered_at is not None:
        last.previous = Request(b"1", 0.5, 3.0)
        last.previous.answered_at = previous_answered_at
    clients = SoakClients(generate(105), 0, {b"2": 1} if at_a_node else {})
    result = SoakResult(generate(105))
    clients._check_unanswered(result, request, 1.0, ended_at=5.0)
    assert bool(result.broken) is broken and result.crossed == (not broken)
