"""Soaks of real daemons: fixed seeds stay clean, and planted faults are found by some of them.

The long run is `limebridge faults soak --seeds 50`.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from limebridge.faults.launch import daemon_command
from limebridge.faults.soak import play
from limebridge.faults.soak_clients import LATE, Question, SoakClients
from limebridge.faults.soak_plan import SoakPlan, SoakResult, draw

PLANTED = Path(__file__).parent.parent.parent / "planted_in_soaks"
SEEDS = range(100, 114)


@pytest.mark.long
@pytest.mark.parametrize("seed", SEEDS)
def test_a_soak_breaks_nothing(seed: int) -> None:
    result = play(seed)
    assert result.asked > 20
    assert not result.broken, [violation.line() for violation in result.broken]


@pytest.mark.long
@pytest.mark.parametrize(
    ("plant", "seed", "rule"),
    [
        ("drain_ignored", 1, "drain"),  # what leaves service waits
        ("long_turn", 0, "lost"),  # incident 65d06d
        ("drain_cuts", 0, "lost"),  # a drain that drops what was read
    ],
)
def test_a_planted_fault_is_found(plant: str, seed: int, rule: str) -> None:
    result = play(seed, daemon_command(str(PLANTED / f"{plant}.py")))
    assert rule in {violation.rule for violation in result.broken}


def test_the_plans_draw_every_kind_of_thing() -> None:
    plans = [draw(seed) for seed in range(300)]
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
    assert sum(plan.idle_clients > 0 for plan in plans) > 60, "some with a crowd"
    assert sum(len(plan.signals) > 3 for plan in plans) > 60, "series of signals"
    assert all(_killed_as_early_as_allowed(plan) for plan in plans)


def _killed_as_early_as_allowed(plan: SoakPlan) -> bool:
    return plan.killed_at == plan.ends_at + min(3.0, plan.deadline) + 0.7


def test_waiting_for_the_answer_before_it_makes_no_answer_late() -> None:
    first, second = Question(b"1", 0.0, 1.0), Question(b"2", 0.1, 0.2)
    first.answered_at, second.answered_at = 1.0, 1.0 + LATE / 2
    assert second.late_by > LATE
    second.before = first
    assert second.late_by == pytest.approx(LATE / 2)


@pytest.mark.parametrize("unread_between", [0, 1, 3])
@pytest.mark.parametrize(
    ("before_answered_at", "at_a_node", "broken"),
    [(None, False, True), (1.3, False, False), (0.9, False, True), (1.3, True, True)],
)
def test_only_what_was_never_read_behind_the_last_answer_may_cross_a_close(
    before_answered_at: float | None, at_a_node: bool, broken: bool, unread_between: int
) -> None:
    """Seed 105: unread behind one in service, the connection ended with that one's answer.

    Up to three others, unread too, were written between the two.
    """
    question = Question(b"2", 1.0, 3.0)
    question.closed_at = 1.301
    last = question
    for _ in range(unread_between):
        last.before = Question(b"3", 0.9, 3.0)
        last = last.before
        last.closed_at = 1.301
    if before_answered_at is not None:
        last.before = Question(b"1", 0.5, 3.0)
        last.before.answered_at = before_answered_at
    clients = SoakClients(draw(105), 0, {b"2": 1} if at_a_node else {})
    result = SoakResult(draw(105))
    clients._judge_unanswered(result, question, 1.0, ended_at=5.0)
    assert bool(result.broken) is broken and result.crossed == (not broken)
