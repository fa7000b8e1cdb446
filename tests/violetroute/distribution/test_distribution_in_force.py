"""The leader's in-force position: time rule, early rule and what delays the early rule."""

from __future__ import annotations

import pytest

from violetroute.distribution.in_force import MAX_HISTORY, InForceSettings, InForceTracker
from violetroute.distribution.messages import Report, ReportReply, SessionState
from violetroute.distribution.roster import MAX_MISSING, MISSING_RETENTION_S

BOUND = InForceSettings().drop_after_s
NAMES = ("a", "b")


def state(name: str, position: int, incarnation: str = "i", refused: str = "") -> SessionState:
    refusals = ((position, refused),) if refused else ()
    return SessionState(name, incarnation, "r", position, refusals)


class Term:
    """A term whose first batch, at position 1, is committed at time 0."""

    def __init__(self, names: tuple[str, ...] = NAMES) -> None:
        self.core = InForceTracker(InForceSettings(), names, 0.0)
        self.core.committed(0.0, 1)
        self.numbers: dict[tuple[str, str], int] = {}
        self.commit = 1

    def report(
        self,
        now: float,
        machine: str,
        *states: SessionState,
        full: bool = True,
        ended: tuple[tuple[str, str], ...] = (),
        incarnation: str = "i",
        running_s: float = 100.0,
        number: int | None = None,
        as_of: float | None = None,
    ) -> ReportReply:
        key = machine, incarnation
        self.numbers[key] = self.numbers.get(key, 0) + 1 if number is None else number
        report = Report(
            machine, incarnation, 1, self.numbers[key], full, states, ended, running_s * 1000
        )
        return self.core.reported(now, report, self.commit, now if as_of is None else as_of)

    def committed(self, now: float, position: int) -> None:
        self.commit = position
        self.core.committed(now, position)


def running(*states: SessionState, position: int = 5) -> Term:
    """Returns a term with `position` committed and reports of both machines; `a` has `states`."""
    term = Term()
    term.committed(0.9, position)
    term.report(1.0, "b")
    term.report(1.0, "a", *states)
    return term


# --- time rule ---
def test_batch_is_in_force_by_time_after_drop_after_s() -> None:
    term = Term()
    term.committed(2.0, 7)
    term.core.tick(BOUND, None)
    assert term.core.in_force == 1
    term.core.tick(2.0 + BOUND - 0.001, None)
    assert term.core.in_force == 1
    assert term.core.next_at <= 2.0 + BOUND
    term.core.tick(2.0 + BOUND, None)
    assert term.core.in_force == 7 and pytest.approx(2.8 * 1.05 / 0.95) == BOUND


def test_positions_of_earlier_terms_count_from_the_first_commit() -> None:
    core = InForceTracker(InForceSettings(), NAMES, 0.0)
    core.committed(10.0, 500)
    core.tick(10.0 + BOUND - 0.001, 13.0)
    assert core.in_force == 0
    core.tick(10.0 + BOUND, None)
    assert core.in_force == 500


# --- early rule ---
def test_position_is_early_in_force_once_all_sessions_applied_it() -> None:
    term = running(state("p", 5), state("q", 4))
    assert term.core.in_force == 4 and term.core.applied == 4
    term.report(1.2, "a", state("q", 5), full=False)
    assert term.core.in_force == 5 and term.core.sessions == 2


def test_early_rule_waits_for_reports_of_all_machines() -> None:
    term = Term()
    term.report(1.0, "a", state("p", 1))
    assert term.core.in_force == 0 and term.core.applied == 1
    term.report(1.1, "b", state("q", 1))
    assert term.core.in_force == 1


def test_machine_without_report_delays_early_rule_only_for_drop_after_s() -> None:
    term = Term()
    term.report(1.0, "a", state("p", 1))
    term.report(BOUND, "a", full=False)
    term.committed(BOUND, 2)
    term.report(BOUND + 0.1, "a", state("p", 2), full=False)
    assert term.core.in_force == 2


def test_report_before_first_commit_is_refused() -> None:
    core = InForceTracker(InForceSettings(), NAMES, 0.0)
    reply = core.reported(5.0, Report("a", "i", 1, 1, True, running_ms=1e6), 0, 5.0)
    assert not reply.leader
    core.tick(9.0, 9.0)
    assert core.in_force == 0


def test_early_position_waits_until_as_of_reaches_its_time() -> None:
    term = Term()
    term.report(0.9, "b")
    term.report(1.0, "a", state("p", 1), as_of=0.9)
    assert term.core.in_force == 0
    term.core.tick(1.1, 0.99)
    assert term.core.in_force == 0
    term.core.tick(1.2, 1.0)
    assert term.core.in_force == 1


def test_early_rule_needs_as_of() -> None:
    term = Term()
    for machine in NAMES:
        report = Report(machine, "i", 1, 1, True, running_ms=1e6)
        assert term.core.reported(1.0, report, 1, None) == ReportReply(True, 1, 1, -1.0)
    term.core.tick(2.0, None)
    assert term.core.in_force == 0


def test_report_reply_has_age_of_as_of() -> None:
    assert Term().report(2.0, "a", as_of=1.5) == ReportReply(True, 1, 1, 500.0)


def test_later_session_does_not_delay_an_early_position() -> None:
    """A session that joins later does not delay a position that all had applied."""
    term = Term()
    term.report(0.9, "b")
    term.report(1.0, "a", state("p", 1), as_of=0.5)
    term.report(1.1, "b", state("new", 0), full=False, as_of=0.5)
    term.core.tick(1.2, 1.05)
    assert term.core.in_force == 1  # the new session gets its first answer at position 1 or later


# --- machines that were restarted ---
def test_restarted_machine_blocks_early_rule_until_drop_after_s_of_uptime() -> None:
    term = Term()
    term.report(0.5, "b", running_s=0.2)
    term.report(0.6, "a")
    assert term.core.in_force == 0
    term.core.tick(BOUND - 0.01, BOUND)
    assert term.core.in_force == 0


def test_machine_restart_within_the_term_blocks_early_rule_again() -> None:
    term = running(state("p", 5))
    term.report(1.5, "b", incarnation="j", running_s=0.1)
    term.committed(1.6, 6)
    term.report(1.7, "a", state("p", 6), full=False)
    assert term.core.in_force == 5
    until = 1.0 + BOUND  # the earlier incarnation was last answered at 1.0
    term.report(until - 0.1, "a", full=False)
    assert term.core.in_force == 5
    term.report(until + 0.01, "a", full=False)
    assert term.core.in_force == 6


def test_a_replaced_incarnation_is_refused() -> None:
    term = running()
    assert term.report(1.5, "b", incarnation="j").leader
    assert not term.report(1.6, "b", state("p", 0), incarnation="i").leader
    assert term.core.sessions == 0


def test_report_of_unknown_machine_is_refused() -> None:
    assert not Term().report(1.0, "z").leader


# --- reports and their numbers ---
def test_gap_in_report_numbers_requests_full_report() -> None:
    term = running(state("p", 4))
    reply = term.report(1.2, "a", state("p", 5), full=False, number=3)
    assert reply.send_full and reply.age_ms < 0 and term.core.applied == 4
    assert not term.report(1.3, "a", state("p", 5), number=4).send_full
    assert term.core.in_force == 5


def test_duplicate_or_reordered_report_is_ignored() -> None:
    term = running(state("p", 4))
    term.report(1.2, "a", state("p", 5), state("q", 3), full=False)
    assert term.report(1.3, "a", state("p", 5), number=1).send_full
    assert term.core.sessions == 2 and term.core.applied == 3


def test_first_report_of_a_term_must_be_full() -> None:
    term = Term()
    assert term.report(1.0, "a", state("p", 1), full=False).send_full
    assert term.core.sessions == 0


def test_full_report_replaces_and_end_removes_sessions() -> None:
    term = running(state("p", 4), state("q", 3))
    term.report(1.2, "a", full=False, ended=(("q", "i"),))
    assert term.core.in_force == 4 and term.core.sessions == 1
    term.report(1.4, "a", state("z", 5))
    assert term.core.in_force == 5 and term.core.sessions == 1


def test_moving_session_counts_once_with_its_greatest_position() -> None:
    term = running(state("p", 3))
    term.report(1.2, "b", state("p", 5), full=False)
    assert term.core.sessions == 1 and term.core.in_force == 5
    term.report(1.3, "a", full=False, ended=(("p", "i"),))
    assert term.core.sessions == 1 and term.core.stale == 0


def test_older_position_from_another_machine_is_ignored() -> None:
    term = running(state("p", 5))
    term.report(1.2, "b", state("p", 2), full=False)
    assert term.core.applied == 5


def test_two_incarnations_of_a_name_are_two() -> None:
    term = running(state("p", 5), state("p", 2, incarnation="j"))
    assert term.core.sessions == 2 and term.core.in_force == 2


# --- machines without reports ---
def test_sessions_of_unresponsive_machine_are_dropped_after_drop_after_s() -> None:
    term = running(state("p", 2), position=2)
    term.committed(3.0, 6)
    term.report(1.0 + BOUND - 0.01, "b", full=False)
    assert term.core.in_force == 2 and term.core.sessions == 1
    assert term.core.next_at <= 1.0 + BOUND
    term.core.tick(1.0 + BOUND, 1.0 + BOUND)
    assert term.core.sessions == 0 and term.core.in_force == 6


def test_dropped_machine_must_send_full_report() -> None:
    term = running(state("p", 2))
    now = 1.0 + BOUND
    assert term.report(now, "a", full=False).send_full
    assert not term.report(now + 0.1, "a", state("p", 2)).send_full


# --- status ---
def test_missing_proxy_is_listed_until_it_reconnects() -> None:
    term = running(state("p", 5), state("q", 5))
    term.report(2.0, "a", full=False, ended=(("p", "i"),))
    (entry,) = term.core.lagging(12.0, 100)
    assert entry.name == "p" and entry.stale and entry.behind_s == 10.0 and term.core.stale == 1
    term.report(2.1, "a", state("p", 5, incarnation="j"), full=False)
    assert term.core.stale == 0 and term.core.lagging(12.0, 100) == ()


def test_missing_proxies_expire_after_an_hour_and_are_bounded() -> None:
    term = running(state("p", 5))
    term.report(2.0, "a", full=False, ended=(("p", "i"),))
    term.core.tick(2.0 + MISSING_RETENTION_S - 1, None)
    assert term.core.stale == 1
    term.core.tick(2.0 + MISSING_RETENTION_S, None)
    assert term.core.stale == 0
    other = running(*(state(f"p{index}", 5) for index in range(4000)))
    other.report(1.1, "a", *(state(f"q{index}", 5) for index in range(4000)))
    other.report(1.2, "a")
    assert other.core.stale == MAX_MISSING


def test_lagging_proxies_are_listed_with_their_lag() -> None:
    term = running(state("p", 5), state("q", 3), state("z", 5))
    term.committed(2.0, 6)
    term.committed(3.0, 7)
    first, second = term.core.lagging(4.0, 2)
    assert (first.name, first.position, first.behind_s) == ("q", 3, pytest.approx(3.1))
    assert second.behind_s == pytest.approx(2.0) and not second.stale


def test_refusals_are_told_until_the_proxy_has_none_any_more() -> None:
    term = running(state("p", 5, refused="bad table"))
    assert term.core.refused == (("p", 5, "bad table"),)
    term.report(1.2, "a", state("p", 6), full=False)
    assert term.core.refused == ()


def test_in_force_times_are_kept_for_a_bounded_history() -> None:
    term = running(state("p", 5))
    assert term.core.in_force_at(3) == 1.0 and term.core.in_force_at(6) is None
    for index in range(3 * MAX_HISTORY):
        term.committed(2.0 + index / 1000, 6 + index)
        term.report(2.0 + index / 1000, "a", state("p", 6 + index), full=False)
        if index % 1000 == 0:
            term.report(2.0 + index / 1000, "b", full=False)
    assert term.core.in_force_at(3) is None
    assert term.core.in_force_at(term.commit) == pytest.approx(2.0 + (3 * MAX_HISTORY - 1) / 1000)
