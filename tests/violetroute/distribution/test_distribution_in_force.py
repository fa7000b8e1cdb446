"""What the leader reports as in force: by time, early, and what keeps it from being early."""

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
    """A term whose first batch, at position 1, is committed at 0."""

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
    """Both machines have reported at 1.0, `a` with these sessions; `position` was committed."""
    term = Term()
    term.committed(0.9, position)
    term.report(1.0, "b")
    term.report(1.0, "a", *states)
    return term


# --- by time ---
def test_the_bound_after_its_commit_a_batch_is_in_force() -> None:
    term = Term()
    term.committed(2.0, 7)
    term.core.tick(BOUND, None)
    assert term.core.in_force == 1
    term.core.tick(2.0 + BOUND - 0.001, None)
    assert term.core.in_force == 1
    assert term.core.next_at <= 2.0 + BOUND
    term.core.tick(2.0 + BOUND, None)
    assert term.core.in_force == 7 and pytest.approx(2.8 * 1.05 / 0.95) == BOUND


def test_earlier_terms_count_from_the_first_commit_of_this_one() -> None:
    core = InForceTracker(InForceSettings(), NAMES, 0.0)
    core.committed(10.0, 500)
    core.tick(10.0 + BOUND - 0.001, 13.0)
    assert core.in_force == 0
    core.tick(10.0 + BOUND, None)
    assert core.in_force == 500


# --- early ---
def test_early_when_all_sessions_have_applied_it() -> None:
    term = running(state("p", 5), state("q", 4))
    assert term.core.in_force == 4 and term.core.applied == 4
    term.report(1.2, "a", state("q", 5), full=False)
    assert term.core.in_force == 5 and term.core.sessions == 2


def test_not_early_while_a_machine_has_not_reported() -> None:
    term = Term()
    term.report(1.0, "a", state("p", 1))
    assert term.core.in_force == 0 and term.core.applied == 1
    term.report(1.1, "b", state("q", 1))
    assert term.core.in_force == 1


def test_a_machine_that_never_reports_counts_for_the_bound_only() -> None:
    term = Term()
    term.report(1.0, "a", state("p", 1))
    term.report(BOUND, "a", full=False)
    term.committed(BOUND, 2)
    term.report(BOUND + 0.1, "a", state("p", 2), full=False)
    assert term.core.in_force == 2


def test_nothing_is_early_before_the_first_commit() -> None:
    core = InForceTracker(InForceSettings(), NAMES, 0.0)
    reply = core.reported(5.0, Report("a", "i", 1, 1, True, running_ms=1e6), 0, 5.0)
    assert not reply.leader
    core.tick(9.0, 9.0)
    assert core.in_force == 0


def test_a_finding_is_reported_once_as_of_has_reached_its_time() -> None:
    term = Term()
    term.report(0.9, "b")
    term.report(1.0, "a", state("p", 1), as_of=0.9)
    assert term.core.in_force == 0
    term.core.tick(1.1, 0.99)
    assert term.core.in_force == 0
    term.core.tick(1.2, 1.0)
    assert term.core.in_force == 1


def test_without_as_of_only_the_time_counts() -> None:
    term = Term()
    for machine in NAMES:
        report = Report(machine, "i", 1, 1, True, running_ms=1e6)
        assert term.core.reported(1.0, report, 1, None) == ReportReply(True, 1, 1, -1.0)
    term.core.tick(2.0, None)
    assert term.core.in_force == 0


def test_a_reply_tells_the_age() -> None:
    assert Term().report(2.0, "a", as_of=1.5) == ReportReply(True, 1, 1, 500.0)


def test_a_finding_is_about_what_was_applied_at_its_time() -> None:
    """A session that comes between the finding and as_of is not held to it."""
    term = Term()
    term.report(0.9, "b")
    term.report(1.0, "a", state("p", 1), as_of=0.5)
    term.report(1.1, "b", state("new", 0), full=False, as_of=0.5)
    term.core.tick(1.2, 1.05)
    assert term.core.in_force == 1  # the new one is answered only from position 1 on


# --- machines that were restarted ---
def test_a_restarted_machine_is_in_doubt_for_the_bound_since_its_start() -> None:
    term = Term()
    term.report(0.5, "b", running_s=0.2)
    term.report(0.6, "a")
    assert term.core.in_force == 0
    term.core.tick(BOUND - 0.01, BOUND)
    assert term.core.in_force == 0


def test_a_machine_that_restarts_within_the_term_is_in_doubt_again() -> None:
    term = running(state("p", 5))
    term.report(1.5, "b", incarnation="j", running_s=0.1)
    term.committed(1.6, 6)
    term.report(1.7, "a", state("p", 6), full=False)
    assert term.core.in_force == 5
    until = 1.0 + BOUND  # the earlier incarnation was answered at 1.0 last
    term.report(until - 0.1, "a", full=False)
    assert term.core.in_force == 5
    term.report(until + 0.01, "a", full=False)
    assert term.core.in_force == 6


def test_a_replaced_incarnation_is_refused() -> None:
    term = running()
    assert term.report(1.5, "b", incarnation="j").leader
    assert not term.report(1.6, "b", state("p", 0), incarnation="i").leader
    assert term.core.sessions == 0


def test_an_unknown_machine_is_refused() -> None:
    assert not Term().report(1.0, "z").leader


# --- reports and their numbers ---
def test_a_missing_report_asks_for_a_full_one_and_changes_nothing() -> None:
    term = running(state("p", 4))
    reply = term.report(1.2, "a", state("p", 5), full=False, number=3)
    assert reply.send_full and reply.age_ms < 0 and term.core.applied == 4
    assert not term.report(1.3, "a", state("p", 5), number=4).send_full
    assert term.core.in_force == 5


def test_a_copy_or_an_overtaken_report_changes_nothing() -> None:
    term = running(state("p", 4))
    term.report(1.2, "a", state("p", 5), state("q", 3), full=False)
    assert term.report(1.3, "a", state("p", 5), number=1).send_full
    assert term.core.sessions == 2 and term.core.applied == 3


def test_the_first_report_of_a_term_has_to_be_full() -> None:
    term = Term()
    assert term.report(1.0, "a", state("p", 1), full=False).send_full
    assert term.core.sessions == 0


def test_a_full_report_replaces_and_an_end_removes() -> None:
    term = running(state("p", 4), state("q", 3))
    term.report(1.2, "a", full=False, ended=(("q", "i"),))
    assert term.core.in_force == 4 and term.core.sessions == 1
    term.report(1.4, "a", state("z", 5))
    assert term.core.in_force == 5 and term.core.sessions == 1


def test_a_session_that_moves_counts_once_with_its_greatest_position() -> None:
    term = running(state("p", 3))
    term.report(1.2, "b", state("p", 5), full=False)
    assert term.core.sessions == 1 and term.core.in_force == 5
    term.report(1.3, "a", full=False, ended=(("p", "i"),))
    assert term.core.sessions == 1 and term.core.stale == 0


def test_an_older_position_of_an_earlier_machine_takes_nothing_back() -> None:
    term = running(state("p", 5))
    term.report(1.2, "b", state("p", 2), full=False)
    assert term.core.applied == 5


def test_two_incarnations_of_a_name_are_two() -> None:
    term = running(state("p", 5), state("p", 2, incarnation="j"))
    assert term.core.sessions == 2 and term.core.in_force == 2


# --- silent machines ---
def test_the_sessions_of_a_silent_machine_are_dropped_after_the_bound() -> None:
    term = running(state("p", 2), position=2)
    term.committed(3.0, 6)
    term.report(1.0 + BOUND - 0.01, "b", full=False)
    assert term.core.in_force == 2 and term.core.sessions == 1
    assert term.core.next_at <= 1.0 + BOUND
    term.core.tick(1.0 + BOUND, 1.0 + BOUND)
    assert term.core.sessions == 0 and term.core.in_force == 6


def test_a_machine_that_was_dropped_has_to_report_in_full() -> None:
    term = running(state("p", 2))
    now = 1.0 + BOUND
    assert term.report(now, "a", full=False).send_full
    assert not term.report(now + 0.1, "a", state("p", 2)).send_full


# --- status ---
def test_who_is_missing_is_remembered_by_name_until_it_is_back() -> None:
    term = running(state("p", 5), state("q", 5))
    term.report(2.0, "a", full=False, ended=(("p", "i"),))
    (entry,) = term.core.lagging(12.0, 100)
    assert entry.name == "p" and entry.stale and entry.behind_s == 10.0 and term.core.stale == 1
    term.report(2.1, "a", state("p", 5, incarnation="j"), full=False)
    assert term.core.stale == 0 and term.core.lagging(12.0, 100) == ()


def test_the_missing_are_forgotten_after_an_hour_and_bounded() -> None:
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


def test_who_lags_is_told_with_how_long() -> None:
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


def test_the_time_of_being_in_force_is_kept_for_a_while() -> None:
    term = running(state("p", 5))
    assert term.core.in_force_at(3) == 1.0 and term.core.in_force_at(6) is None
    for index in range(3 * MAX_HISTORY):
        term.committed(2.0 + index / 1000, 6 + index)
        term.report(2.0 + index / 1000, "a", state("p", 6 + index), full=False)
        if index % 1000 == 0:
            term.report(2.0 + index / 1000, "b", full=False)
    assert term.core.in_force_at(3) is None
    assert term.core.in_force_at(term.commit) == pytest.approx(2.0 + (3 * MAX_HISTORY - 1) / 1000)
