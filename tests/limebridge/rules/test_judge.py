"""The rule checker reports each kind of violation, and nothing that only looks like one."""

from __future__ import annotations

from limebridge.rules import RuleChecker, RuleLimits

LIMITS = RuleLimits({"look": "pure", "keyed": "token", "once": "side_effect"})


def checker_with_request(cls: str = "look") -> RuleChecker:
    checker = RuleChecker(LIMITS)
    checker.request_sent(10.0, "r1", cls, 0.6)
    return checker


def violated_rules(checker: RuleChecker) -> list[int]:
    return [found.rule for found in checker.violations]


def test_one_answer_in_time_is_no_violation() -> None:
    checker = checker_with_request()
    checker.arrived(10.1, "n0", "r1", 10.05)
    checker.answered(10.2, "r1", "served")
    checker.finish(20.0)
    assert violated_rules(checker) == []


def test_missing_late_duplicate_and_unexpected_answers_are_violations() -> None:
    lost, late, double, stray, expired = (checker_with_request() for _ in range(5))
    lost.finish(20.0)
    late.answered(10.7, "r1", "served")
    double.answered(10.1, "r1", "served")
    double.answered(10.2, "r1", "served")
    stray.unexpected_answer(10.1, "x")
    expired.expired(10.6, "r1")
    expired.finish(20.0)  # reported once
    assert [violated_rules(one) for one in (lost, late, double, stray, expired)] == [[1]] * 5


def test_sending_after_the_answer_or_after_the_client_is_gone_is_a_violation() -> None:
    after, sent_before, gone = (checker_with_request() for _ in range(3))
    after.answered(10.2, "r1", "served")
    after.arrived(10.3, "n0", "r1", 10.25)
    sent_before.answered(10.2, "r1", "served")
    # The request was sent before the answer, so it may arrive at the node after it.
    sent_before.arrived(10.3, "n0", "r1", 10.15)
    gone.client_gone(10.2, "r1")
    gone.arrived(10.5, "n0", "r1", 10.4)
    assert [violated_rules(one) for one in (after, sent_before, gone)] == [[1], [], [1]]


def test_closing_a_connection_under_a_request_that_a_node_accepted_is_a_violation() -> None:
    accepted, not_accepted = checker_with_request(), checker_with_request()
    accepted.accepted(10.1, "n0", "r1")
    for one in (accepted, not_accepted):
        one.connection_closed(10.2, "r1")
        one.finish(20.0)
    assert (violated_rules(accepted), violated_rules(not_accepted)) == ([1], [])


def test_a_second_effect_of_a_request_that_is_not_pure_is_a_violation() -> None:
    for cls, expected in (("look", []), ("keyed", [2]), ("once", [2])):
        checker = checker_with_request(cls)
        checker.effect(10.1, "n0", "r1")
        checker.effect(10.2, "n1", "r1")
        checker.answered(10.3, "r1", "served")
        assert violated_rules(checker) == expected


def test_an_unsafe_request_that_may_have_run_must_not_be_resent_or_refused() -> None:
    again, refused, rejected_by_node = (checker_with_request("once") for _ in range(3))
    for one in (again, refused):
        one.accepted(10.1, "n0", "r1")
    again.arrived(10.2, "n1", "r1", 10.2)
    refused.answered(10.3, "r1", "refused")
    rejected_by_node.arrived(10.1, "n0", "r1", 10.1)  # the node does not accept the request
    rejected_by_node.arrived(10.2, "n1", "r1", 10.2)
    rejected_by_node.answered(10.3, "r1", "refused")
    assert [violated_rules(one) for one in (again, refused, rejected_by_node)] == [[2], [2], []]


def test_sending_to_a_draining_node_after_the_grace_is_a_violation() -> None:
    for sent, expected in ((10.49, []), (10.51, [3])):
        checker = checker_with_request()
        checker.node_reported(10.0, "n0", False)
        checker.arrived(10.9, "n0", "r1", sent)  # the time of sending counts, not that of arrival
        assert violated_rules(checker) == expected
    checker = checker_with_request()
    checker.node_reported(9.0, "n0", False)
    checker.node_reported(9.5, "n0", True)
    checker.arrived(10.9, "n0", "r1", 10.8)
    assert violated_rules(checker) == []


def test_a_drain_ends_when_its_source_withdraws_it_or_a_later_start_is_reported() -> None:
    reports = {
        "other source": ("b", True, None),
        "own source": ("a", True, None),
        "earlier start": ("b", True, 8.0),
        "later start": ("b", True, 9.2),
    }
    violated = {}
    for case, (source, ready, started_at) in reports.items():
        checker = checker_with_request()
        checker.node_reported(9.0, "n0", False, "a")
        checker.node_reported(9.5, "n0", ready, source, started_at)
        checker.arrived(10.9, "n0", "r1", 10.8)
        violated[case] = violated_rules(checker)
    assert violated == {
        "other source": [3],
        "own source": [],
        "earlier start": [3],
        "later start": [],
    }


def test_a_drain_repeated_by_a_new_watch_starts_no_new_grace() -> None:
    for burst, expected in ((True, [3]), (False, [])):
        checker = checker_with_request()
        checker.node_reported(9.0, "n0", False)
        checker.node_reported(9.4, "n0", True, burst=True)
        checker.node_reported(9.401, "n0", False, burst=burst)
        checker.arrived(9.402, "n0", "r1", 9.4005)  # sent between the two reports
        checker.arrived(9.7, "n0", "r1", 9.6)
        assert violated_rules(checker) == expected


def test_drains_of_old_sources_hold_until_a_new_source_reports() -> None:
    for reports, expected in ((False, [3]), (True, [])):
        checker = checker_with_request()
        checker.node_reported(9.0, "n0", False, "a")
        checker.sources_replaced()
        if reports:
            checker.node_reported(9.4, "n0", True, "b")
        checker.arrived(10.2, "n0", "r1", 10.1)
        assert violated_rules(checker) == expected


def test_a_new_process_is_checked_against_the_list_it_received() -> None:
    checker = checker_with_request()
    checker.node_reported(9.0, "n0", False)
    checker.node_reported(9.0, "n1", False)
    checker.proxy_restarted(9.3, {"n0": True, "n1": False})
    checker.arrived(10.2, "n0", "r1", 10.1)
    checker.arrived(10.2, "n1", "r1", 9.7)
    assert violated_rules(checker) == []
    checker.arrived(10.2, "n1", "r1", 9.81)
    assert violated_rules(checker) == [3]


def test_too_many_requests_to_a_cold_node_are_a_violation() -> None:
    for count, expected in ((20, False), (90, True)):
        checker = checker_with_request()
        checker.started(9.0, "n0", 40.0)
        for number in range(count):
            checker.request_sent(10.0, f"q{number}", "look", 5.0)
            checker.arrived(10.0 + number / 100, "n0", f"q{number}", 10.0)
        assert (4 in violated_rules(checker)) is expected


def test_a_violation_contains_the_trace_of_its_request() -> None:
    checker = checker_with_request("once")
    checker.arrived(10.1, "n0", "r1", 10.05)
    checker.accepted(10.1, "n0", "r1")
    checker.answered(10.3, "r1", "refused")
    assert [step.split(" ", 1)[1] for step in checker.violations[0].trace] == [
        "request sent (once, waits 600 ms)",
        "arrived at n0, sent at 10.050000",
        "accepted by n0",
        "refused",
    ]
