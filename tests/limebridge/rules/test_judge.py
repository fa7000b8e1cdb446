"""The judge bites: each way of breaking a rule is told, and what only looks like one is not."""

from __future__ import annotations

from limebridge.rules import RuleChecker, RuleLimits

TERMS = RuleLimits({"look": "pure", "keyed": "token", "once": "side_effect"})


def judged(cls: str = "look") -> RuleChecker:
    judge = RuleChecker(TERMS)
    judge.request_sent(10.0, "r1", cls, 0.6)
    return judge


def rules(judge: RuleChecker) -> list[int]:
    return [found.rule for found in judge.violations]


def test_one_answer_in_time_is_what_is_owed() -> None:
    judge = judged()
    judge.arrived(10.1, "n0", "r1", 10.05)
    judge.answered(10.2, "r1", "served")
    judge.finish(20.0)
    assert rules(judge) == []


def test_lost_late_double_and_stray_answers() -> None:
    lost, late, double, stray, expired = (judged() for _ in range(5))
    lost.finish(20.0)
    late.answered(10.7, "r1", "served")
    double.answered(10.1, "r1", "served")
    double.answered(10.2, "r1", "served")
    stray.unexpected_answer(10.1, "x")
    expired.expired(10.6, "r1")
    expired.finish(20.0)  # told once
    assert [rules(one) for one in (lost, late, double, stray, expired)] == [[1]] * 5


def test_nothing_is_sent_after_the_answer_or_for_one_that_has_gone() -> None:
    after, crossed, gone = (judged() for _ in range(3))
    after.answered(10.2, "r1", "served")
    after.arrived(10.3, "n0", "r1", 10.25)
    crossed.answered(10.2, "r1", "served")
    crossed.arrived(10.3, "n0", "r1", 10.15)  # sent before, so it may come after
    gone.client_gone(10.2, "r1")
    gone.arrived(10.5, "n0", "r1", 10.4)
    assert [rules(one) for one in (after, crossed, gone)] == [[1], [], [1]]


def test_a_connection_closed_under_a_request_that_was_sent_on() -> None:
    taken, untaken = judged(), judged()
    taken.accepted(10.1, "n0", "r1")
    for one in (taken, untaken):
        one.connection_closed(10.2, "r1")
        one.finish(20.0)
    assert (rules(taken), rules(untaken)) == ([1], [])


def test_effects_happen_once() -> None:
    for cls, expected in (("look", []), ("keyed", [2]), ("once", [2])):
        judge = judged(cls)
        judge.effect(10.1, "n0", "r1")
        judge.effect(10.2, "n1", "r1")
        judge.answered(10.3, "r1", "served")
        assert rules(judge) == expected


def test_an_unsafe_one_that_may_have_run_is_not_sent_again_or_refused() -> None:
    again, refused, turned_away = (judged("once") for _ in range(3))
    for one in (again, refused):
        one.accepted(10.1, "n0", "r1")
    again.arrived(10.2, "n1", "r1", 10.2)
    refused.answered(10.3, "r1", "refused")
    turned_away.arrived(10.1, "n0", "r1", 10.1)  # and not accepted there
    turned_away.arrived(10.2, "n1", "r1", 10.2)
    turned_away.answered(10.3, "r1", "refused")
    assert [rules(one) for one in (again, refused, turned_away)] == [[2], [2], []]


def test_drains_are_kept_within_the_grace() -> None:
    for sent, expected in ((10.49, []), (10.51, [3])):
        judge = judged()
        judge.node_reported(10.0, "n0", False)
        judge.arrived(10.9, "n0", "r1", sent)  # when it came says nothing
        assert rules(judge) == expected
    judge = judged()
    judge.node_reported(9.0, "n0", False)
    judge.node_reported(9.5, "n0", True)
    judge.arrived(10.9, "n0", "r1", 10.8)
    assert rules(judge) == []


def test_a_drain_ends_when_its_source_takes_it_back_or_a_later_start_is_told() -> None:
    told = {
        "other source": ("b", True, None),
        "own source": ("a", True, None),
        "earlier start": ("b", True, 8.0),
        "later start": ("b", True, 9.2),
    }
    broken = {}
    for case, (source, ready, started_at) in told.items():
        judge = judged()
        judge.node_reported(9.0, "n0", False, "a")
        judge.node_reported(9.5, "n0", ready, source, started_at)
        judge.arrived(10.9, "n0", "r1", 10.8)
        broken[case] = rules(judge)
    assert broken == {
        "other source": [3],
        "own source": [],
        "earlier start": [3],
        "later start": [],
    }


def test_what_a_new_watch_says_again_is_no_new_telling() -> None:
    for burst, expected in ((True, [3]), (False, [])):
        judge = judged()
        judge.node_reported(9.0, "n0", False)
        judge.node_reported(9.4, "n0", True, burst=True)
        judge.node_reported(9.401, "n0", False, burst=burst)
        judge.arrived(9.402, "n0", "r1", 9.4005)  # in between it was ready
        judge.arrived(9.7, "n0", "r1", 9.6)
        assert rules(judge) == expected


def test_what_old_sources_told_holds_until_a_new_one_speaks() -> None:
    for speaks, expected in ((False, [3]), (True, [])):
        judge = judged()
        judge.node_reported(9.0, "n0", False, "a")
        judge.sources_replaced()
        if speaks:
            judge.node_reported(9.4, "n0", True, "b")
        judge.arrived(10.2, "n0", "r1", 10.1)
        assert rules(judge) == expected


def test_a_new_process_knows_the_list_that_it_was_handed() -> None:
    judge = judged()
    judge.node_reported(9.0, "n0", False)
    judge.node_reported(9.0, "n1", False)
    judge.proxy_restarted(9.3, {"n0": True, "n1": False})
    judge.arrived(10.2, "n0", "r1", 10.1)
    judge.arrived(10.2, "n1", "r1", 9.7)
    assert rules(judge) == []
    judge.arrived(10.2, "n1", "r1", 9.81)
    assert rules(judge) == [3]


def test_a_cold_node_is_not_pushed_over() -> None:
    for count, expected in ((20, False), (90, True)):
        judge = judged()
        judge.started(9.0, "n0", 40.0)
        for number in range(count):
            judge.request_sent(10.0, f"q{number}", "look", 5.0)
            judge.arrived(10.0 + number / 100, "n0", f"q{number}", 10.0)
        assert (4 in rules(judge)) is expected


def test_a_break_brings_the_story_of_its_request() -> None:
    judge = judged("once")
    judge.arrived(10.1, "n0", "r1", 10.05)
    judge.accepted(10.1, "n0", "r1")
    judge.answered(10.3, "r1", "refused")
    assert [step.split(" ", 1)[1] for step in judge.violations[0].trace] == [
        "asked (once, waits 600 ms)",
        "came to n0, sent at 10.050000",
        "accepted by n0",
        "refused",
    ]
