"""Sessions of one control machine: first answers, pacing, reports, and what ends a session."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from violetroute.distribution.messages import (
    BATCHES_PER_REPLY,
    MESSAGE_BYTES,
    Batch,
    LogPoint,
    Poll,
    PollReply,
    PollStatus,
    Report,
    ReportReply,
    Snapshot,
)
from violetroute.distribution.session import SessionSettings
from violetroute.distribution.sessions import PollAnswer, Sessions

DROP_S = SessionSettings().drop_after_s
OK, SNAPSHOT, BEHIND, NOT_READY = PollStatus


class Log:
    """A log of which `kept_from` is the first position that is kept."""

    log = "L"

    def __init__(self, commit: int = 0) -> None:
        self.commit = commit
        self.kept_from = 1
        self.body = b""
        self.asked = 0

    @property
    def base(self) -> LogPoint:
        return LogPoint(1, self.kept_from - 1)

    def after(self, position: int, max_bytes: int) -> list[msgspec.Raw] | None:
        self.asked += 1
        if position + 1 < self.kept_from:
            return None
        found: list[msgspec.Raw] = []
        for number in range(position + 1, self.commit + 1):
            encoded = self.encoded(number)
            max_bytes -= len(encoded)
            if max_bytes < 0:
                break
            found.append(msgspec.Raw(encoded))
        return found

    def bytes_after(self, position: int) -> int | None:
        if position + 1 < self.kept_from:
            return None
        encoded = (self.encoded(number) for number in range(position + 1, self.commit + 1))
        return sum(map(len, encoded))

    def encoded(self, number: int) -> bytes:
        return msgspec.msgpack.encode(Batch(number, 1, 0)) + self.body

    def snapshot_at_commit(self) -> Snapshot:
        return Snapshot(LogPoint(1, self.commit))


class Machine:
    """Sessions with a leader that answers every report, unless a test does it itself."""

    def __init__(self, commit: int = 0, settings: SessionSettings | None = None) -> None:
        self.log = Log(commit)
        self.sessions = Sessions(settings or SessionSettings(), "m", "i", self.log, Random(1), 0.0)
        assert self.sessions.set_ready(0.0, True) == []
        self.tickets = 0

    def poll(
        self, now: float, position: int = 0, name: str = "p", log: str = "L"
    ) -> list[PollAnswer]:
        self.tickets += 1
        poll = Poll(name, "i1", "r", log, position)
        return self.sessions.poll_received(now, self.tickets, poll)

    def report(self, now: float, fence: int = 1) -> Report:
        report = self.sessions.next_report(now, fence)
        assert report is not None
        return report

    def register(
        self, now: float, commit: int | None = None, age_ms: float = 50.0
    ) -> list[PollAnswer]:
        commit = self.log.commit if commit is None else commit
        report = self.report(now)
        return self.sessions.replied(now, report, ReportReply(True, 1, commit, age_ms))

    def commit(self, now: float, commit: int) -> list[PollAnswer]:
        self.log.commit = commit
        return self.sessions.commit_advanced(now)


def one(answers: list[PollAnswer]) -> PollReply:
    (answered,) = answers
    return answered.reply


def started(commit: int = 0) -> Machine:
    """A machine with the session p, which has had its first answer at 0.1."""
    machine = Machine(commit)
    assert machine.poll(0.0, commit) == []
    assert one(machine.register(0.1)).status == OK
    return machine


def named(report: Report) -> list[str]:
    return [state.name for state in report.sessions]


# --- the first answer ---
def test_nobody_is_answered_before_the_leader_has_registered_the_session() -> None:
    machine = Machine(3)
    assert machine.poll(0.0) == [] and machine.commit(0.1, 4) == []
    reply = one(machine.register(0.2))
    assert reply.status == OK and reply.commit == 4 and len(reply.batches) == 4


@pytest.mark.parametrize(
    "reply",
    [None, ReportReply(False, 1), ReportReply(True, 2, 0, 1.0), ReportReply(True, 1, 0, 1.0, True)],
)
def test_no_other_reply_registers_or_gives_an_age(reply: ReportReply | None) -> None:
    machine = Machine()
    machine.poll(0.0)
    assert machine.sessions.replied(0.1, machine.report(0.1), reply) == []
    assert machine.sessions.as_of is None
    assert one(machine.sessions.tick(0.8)).status == NOT_READY


def test_the_first_answer_waits_for_the_commit_of_the_registration() -> None:
    machine = Machine(3)
    machine.poll(0.0)
    assert machine.register(0.1, commit=5) == []
    assert machine.commit(0.2, 4) == []
    assert one(machine.commit(0.3, 5)).commit == 5


def test_the_first_answer_is_not_given_at_the_end_of_the_hold_time_either() -> None:
    machine = Machine(3)
    machine.poll(0.0)
    machine.register(0.1, commit=5)
    assert one(machine.sessions.tick(0.8)).status == NOT_READY
    assert machine.poll(0.9) == [] and one(machine.commit(1.0, 5)).status == OK


def test_the_first_answer_needs_no_news() -> None:
    machine = Machine(3)
    machine.poll(0.0, position=3)
    reply = one(machine.register(0.1))
    assert reply.status == OK and reply.batches == () and reply.age_ms == pytest.approx(50.0)


def test_a_second_incarnation_is_another_session() -> None:
    machine = started()
    poll = Poll("p", "i2", "r", "", 0)
    assert machine.sessions.poll_received(0.2, 99, poll) == [] and len(machine.sessions) == 2
    report = machine.report(0.4)
    assert [(s.name, s.incarnation) for s in report.sessions] == [("p", "i2")]


# --- holding and pacing ---
def test_a_poll_without_news_is_held_until_its_time_is_over() -> None:
    machine = started()
    assert machine.poll(0.2) == [] and machine.sessions.tick(0.85) == []
    reply = one(machine.sessions.tick(1.0))
    assert reply.status == OK and reply.batches == () and machine.sessions.held == 0


def test_news_ends_the_hold_at_once_after_the_pause() -> None:
    machine = started()
    machine.poll(0.2)
    machine.sessions.tick(0.5)
    assert len(one(machine.commit(0.6, 1)).batches) == 1


def test_between_two_answers_lies_the_pause() -> None:
    machine = started()
    machine.poll(0.2)
    assert machine.commit(0.3, 1) == [] and machine.commit(0.4, 2) == []
    assert machine.sessions.next_at <= 0.5 and machine.sessions.tick(0.49) == []
    assert len(one(machine.sessions.tick(0.5)).batches) == 2


def test_a_newer_poll_replaces_an_older_one_which_is_answered_at_once() -> None:
    machine = started()
    machine.poll(0.2)
    (answered,) = machine.poll(0.3)
    assert answered.ticket == 2 and answered.reply.status == NOT_READY
    assert machine.sessions.held == 1
    assert one(machine.sessions.tick(1.2)).status == OK


def test_an_abandoned_poll_is_not_answered() -> None:
    machine = started()
    machine.poll(0.2)
    machine.sessions.abandoned(2)
    machine.sessions.abandoned(2)
    assert machine.commit(0.6, 1) == [] and machine.sessions.tick(2.0) == []


def test_without_a_leader_polls_end_as_not_ready() -> None:
    machine = started()
    machine.sessions.set_ready(0.15, False)
    machine.poll(0.2)
    assert machine.commit(0.7, 1) == []
    assert one(machine.sessions.tick(1.0)).status == NOT_READY
    machine.poll(1.1)
    assert len(one(machine.sessions.set_ready(1.2, True)).batches) == 1


def test_a_proxy_that_is_ahead_waits_and_is_told_so_at_the_end() -> None:
    machine = started(3)
    machine.poll(0.2, position=5)
    assert machine.commit(0.6, 4) == []
    assert one(machine.sessions.tick(1.0)).status == BEHIND
    machine.poll(1.1, position=5)
    assert one(machine.commit(1.3, 6)).commit == 6


def test_the_number_of_sessions_is_bounded() -> None:
    machine = Machine(settings=SessionSettings(max_sessions=2))
    assert machine.poll(0.0, name="a") == [] and machine.poll(0.0, name="b") == []
    assert one(machine.poll(0.0, name="c")).status == NOT_READY and len(machine.sessions) == 2
    with pytest.raises(ValueError, match="max_sessions"):
        SessionSettings(max_sessions=4097)


def test_a_quiet_log_leaves_no_trace_of_ended_polls() -> None:
    machine = started()
    now = 0.2
    for _ in range(2000):
        machine.poll(now)
        machine.sessions.tick(now + 0.5)
        now += 1.0
        machine.sessions.tick(now)
        report = machine.sessions.next_report(now, 1)
        if report is not None:
            machine.sessions.replied(now, report, ReportReply(True, 1, 0, 1.0))
    assert len(machine.sessions._waiting_for_commit) < 200 and len(machine.sessions._timers) < 10


# --- contents ---
def test_batches_are_shared_by_sessions_at_the_same_position() -> None:
    machine = Machine(5)
    for index in range(50):
        machine.poll(0.0, name=f"p{index}")
    answers = machine.register(0.1)
    assert len(answers) == 50 and machine.log.asked == 1
    assert len({id(answered.reply.batches) for answered in answers}) == 1


@pytest.mark.parametrize(("log", "position"), [("L", 2), ("M", 9), ("M", 0)])
def test_a_gap_too_long_or_another_log_gets_a_snapshot(log: str, position: int) -> None:
    machine = Machine(9)
    machine.log.kept_from = 8
    machine.poll(0.0, position=position, log=log)
    reply = one(machine.register(0.1))
    assert reply.status == SNAPSHOT and reply.snapshot == Snapshot(LogPoint(1, 9))


def test_more_than_the_bytes_of_a_delta_gets_a_snapshot() -> None:
    machine = Machine(9)
    machine.log.body = b"x" * 100_000
    machine.poll(0.0, position=1)
    assert one(machine.register(0.1)).status == SNAPSHOT


def test_a_snapshot_leads_to_the_commit_and_is_not_sent_again() -> None:
    machine = Machine(9)
    machine.log.body = b"x" * 100_000
    machine.poll(0.0, position=1)
    reply = one(machine.register(0.1))
    assert reply.status == SNAPSHOT and reply.commit == 9
    assert reply.snapshot == Snapshot(LogPoint(1, 9)) and reply.batches == ()
    machine.poll(0.2, position=9)
    assert one(machine.sessions.tick(1.1)).status == OK


def test_a_long_gap_of_small_batches_gets_a_snapshot_too() -> None:
    machine = Machine(60_000)
    machine.poll(0.0, position=1)
    assert one(machine.register(0.1)).status == SNAPSHOT


def test_a_proxy_that_has_just_started_gets_a_snapshot() -> None:
    """It does not know what it missed, so what others still keep for it has to be voided."""
    machine = Machine(9)
    machine.poll(0.0, log="")
    assert one(machine.register(0.1)).snapshot == Snapshot(LogPoint(1, 9))
    empty = Machine()
    empty.poll(0.0, log="")
    assert one(empty.register(0.1)).status == OK


def paced(commit: int) -> Machine:
    """Batches of 1,000 bytes, 5,000 bytes a second for who catches up."""
    machine = Machine(commit, SessionSettings(catch_up_bytes_per_s=5000.0, spread_s=0.4))
    machine.log.body = b"x" * (1000 - len(machine.log.encoded(1)))
    return machine


def test_who_lacks_what_is_older_than_the_bound_gets_it_at_a_rate() -> None:
    machine = paced(100)
    machine.poll(0.0)
    assert len(one(machine.register(0.1)).batches) == 5  # a second's at the most, at first
    machine.poll(0.2, position=5)
    assert len(one(machine.sessions.tick(0.5)).batches) == 2  # of 0.4 s
    assert len(one(machine.poll(1.1, position=7)).batches) == 3  # of 0.6 s: it asked late


def test_who_catches_up_is_paced_until_it_has_everything() -> None:
    """Also for what is younger than the bound: the last step must not be a leap."""
    machine = paced(7)
    machine.poll(0.0)
    assert len(one(machine.register(0.1)).batches) == 5
    machine.poll(0.2, position=5)
    machine.commit(0.3, 40)
    assert len(one(machine.sessions.tick(0.5)).batches) == 2  # all that was there at its start
    machine.poll(0.6, position=7)
    assert len(one(machine.sessions.tick(0.9)).batches) == 2
    machine.poll(1.0, position=40)
    assert machine.sessions.tick(1.4) == []
    assert len(one(machine.commit(1.5, 60)).batches) == 20


def test_pacing_ends_also_if_something_is_committed_while_the_last_answer_is_on_its_way() -> None:
    """A batch each 0.1 s: a poll finds the commit beyond its position at any time."""
    machine = paced(6)
    machine.poll(0.0)
    assert len(one(machine.register(0.1)).batches) == 5
    machine.poll(0.2, position=5)
    machine.commit(0.45, 7)
    reply = one(machine.sessions.tick(0.5))
    assert (len(reply.batches), reply.commit) == (2, 7)  # it has been sent everything
    machine.commit(0.55, 8)
    machine.poll(0.6, position=7)
    machine.commit(0.65, 40)
    assert len(one(machine.sessions.tick(0.9)).batches) == 33


def test_an_answer_that_left_nothing_out_and_was_lost_does_not_end_the_pacing() -> None:
    machine = paced(3)
    machine.poll(0.0)
    assert len(one(machine.register(0.1)).batches) == 3
    machine.commit(0.15, 40)
    machine.poll(0.2, position=0)
    assert len(one(machine.sessions.tick(0.5)).batches) == 2
    machine.poll(0.6, position=2)
    assert len(one(machine.sessions.tick(0.9)).batches) == 2
    machine.poll(1.0, position=4)
    assert len(one(machine.sessions.tick(1.3)).batches) == 2  # until the next one that is complete


def test_who_catches_up_a_second_time_is_paced_again() -> None:
    machine = paced(3)
    machine.poll(0.0)
    assert len(one(machine.register(0.1)).batches) == 3
    machine.poll(0.2, position=3)
    assert machine.sessions.tick(0.55) == []
    assert len(one(machine.commit(0.6, 40)).batches) == 37  # live; the answer is lost
    assert len(one(machine.poll(3.5, position=3)).batches) == 5
    machine.poll(3.6, position=8)
    assert len(one(machine.sessions.tick(3.9)).batches) == 2


def test_after_a_restart_what_the_leader_names_first_may_be_old() -> None:
    """The disk does not say what is committed; how long it has been is known to the leader."""
    machine = paced(0)
    machine.commit(0.1, 100)
    machine.poll(0.1, position=0)
    assert len(one(machine.register(0.2)).batches) == 5
    machine.poll(0.3, position=5)
    assert len(one(machine.sessions.tick(0.61)).batches) == 2


def test_after_a_cut_all_that_is_learned_may_be_old_until_the_age_is_known_again() -> None:
    machine = paced(0)
    machine.poll(0.0)
    machine.register(0.1)  # as of 0.05
    machine.commit(10.0, 60)  # the log comes in parts
    machine.commit(10.1, 100)
    machine.poll(10.1, position=0, name="q")
    assert len(one(machine.register(10.2)).batches) == 5
    machine.poll(10.3, position=100, name="r")
    machine.commit(10.4, 120)  # young: its age was known at 10.15
    assert len(one(machine.register(10.5)).batches) == 20


def test_what_is_committed_while_the_age_is_known_is_young() -> None:
    """Up to the bound: reports may be late, and a proxy does not know yet that it is stale."""
    machine = paced(0)
    machine.poll(0.0)
    machine.register(0.1)  # as of 0.05
    machine.poll(0.2)
    machine.sessions.tick(0.6)
    assert len(one(machine.commit(2.84, 100)).batches) == 100


def test_a_burst_is_not_paced() -> None:
    machine = Machine(0, SessionSettings(catch_up_bytes_per_s=5000.0))
    machine.log.body = b"x" * 200
    machine.poll(0.0)
    machine.register(0.1)
    machine.poll(0.2)
    assert machine.sessions.tick(0.55) == []
    assert len(one(machine.commit(0.8, 60)).batches) == 60


def test_many_small_batches_are_no_reason_for_a_snapshot() -> None:
    machine = Machine(0)
    machine.poll(0.0)
    machine.register(0.1)
    machine.poll(0.2)
    assert machine.sessions.tick(0.55) == []
    reply = one(machine.commit(0.8, BATCHES_PER_REPLY + 100))
    assert reply.status == OK and len(reply.batches) == BATCHES_PER_REPLY


def test_the_position_in_another_log_is_not_reported_as_applied_in_this_one() -> None:
    machine = Machine(9)
    machine.poll(0.0, position=9, log="M")
    assert machine.report(0.1).sessions[0].position == 0
    machine = started(9)
    machine.poll(0.2, position=12, log="M")
    assert machine.report(0.4).sessions[0].position == 0


# --- ages ---
def test_the_age_counts_from_the_sending_of_the_report() -> None:
    machine = Machine()
    machine.poll(0.0)
    report = machine.report(0.1)
    reply = one(machine.sessions.replied(0.4, report, ReportReply(True, 1, 0, 50.0)))
    assert reply.age_ms == pytest.approx(350.0)


def test_an_age_takes_effect_with_its_commit() -> None:
    machine = started(3)
    first = machine.sessions.as_of
    machine.register(0.4, commit=5)
    assert machine.sessions.as_of == first
    machine.commit(0.5, 4)
    assert machine.sessions.as_of == first
    machine.commit(0.6, 5)
    assert machine.sessions.as_of == pytest.approx(0.35)


def test_a_commit_that_is_always_a_little_ahead_does_not_hold_up_the_age() -> None:
    machine = started(3)
    now = 0.1
    for commit in range(4, 40):
        now += 0.25
        machine.register(now, commit=commit + 1)
        machine.commit(now + 0.1, commit)
    assert machine.sessions.as_of is not None and now - machine.sessions.as_of < 0.4


def test_the_age_only_falls_behind_while_no_report_is_answered() -> None:
    """Fetches may go on being answered: the leader drops the sessions all the same."""
    machine = started()
    for step in range(1, 12):
        machine.poll(0.1 + step * 0.5)
        report = machine.sessions.next_report(0.1 + step * 0.5, 1)
        if report is not None:
            machine.sessions.replied(0.1 + step * 0.5, report, None)
        machine.log.commit = step
        reply = one(
            machine.sessions.tick(0.55 + step * 0.5) or machine.commit(0.55 + step * 0.5, step)
        )
        assert reply.age_ms == pytest.approx((0.5 + step * 0.5) * 1000)


# --- reports ---
def test_reports_are_paced_and_beat_without_a_change() -> None:
    machine = started()
    assert machine.sessions.next_report(0.34, 1) is None
    assert machine.report(0.35).sessions == ()


def test_a_change_is_reported_earlier_than_the_heartbeat() -> None:
    machine = started()
    machine.poll(0.2, position=0, name="q")
    assert machine.sessions.next_report(0.29, 1) is None
    report = machine.report(0.31)
    assert not report.full and named(report) == ["q"] and report.number == 2


def test_only_what_changed_is_named() -> None:
    machine = Machine(5)
    machine.poll(0.0, name="a")
    machine.poll(0.0, name="b")
    assert named(machine.report(0.1)) == ["a", "b"]
    machine.sessions.replied(0.1, Report("m", "i", 1, 1, True), ReportReply(True, 1, 5, 1.0))
    machine.poll(0.2, position=5, name="b")
    report = machine.report(0.4)
    assert named(report) == ["b"] and report.sessions[0].position == 5
    machine.sessions.replied(0.4, report, ReportReply(True, 1, 5, 1.0))
    assert named(machine.report(0.7)) == []


def test_a_lost_report_or_reply_loses_no_change() -> None:
    machine = started()
    machine.poll(0.2, name="q")
    first = machine.report(0.4)
    assert machine.sessions.next_report(5.0, 1) is None  # one on its way
    machine.sessions.replied(0.9, first, None)
    machine.poll(0.9, name="z")
    second = machine.report(1.0)
    assert sorted(named(second)) == ["q", "z"] and second.number == first.number + 1


def test_a_lost_report_loses_no_end() -> None:
    machine = started()
    end = 0.1 + DROP_S + 0.01
    report = machine.report(end)
    assert report.ended == (("p", "i1"),) and len(machine.sessions) == 0
    machine.sessions.replied(end, report, None)
    again = machine.report(end + 0.3)
    assert again.ended == (("p", "i1"),)
    machine.sessions.replied(end + 0.3, again, ReportReply(True, 1, 0, 1.0))
    assert machine.report(end + 0.6).ended == ()


def test_an_ended_session_that_comes_back_is_named_and_registered_anew() -> None:
    machine = started()
    end = 0.1 + DROP_S + 0.01
    lost = machine.report(end)
    machine.poll(end + 0.1)
    assert machine.commit(end + 0.15, 1) == []
    machine.sessions.replied(end + 0.2, lost, None)
    report = machine.report(end + 0.3)
    assert report.ended == () and named(report) == ["p"]


def test_a_full_report_comes_first_on_request_and_for_a_new_leader() -> None:
    machine = started()
    delta = machine.report(0.4)
    assert not delta.full
    machine.sessions.replied(0.4, delta, ReportReply(True, 1, 0, -1.0, True))
    full = machine.report(0.7)
    assert full.full and named(full) == ["p"]
    machine.sessions.replied(0.7, full, ReportReply(True, 1, 0, 1.0))
    other = machine.report(0.71, fence=2)
    assert other.full and other.fence == 2 and named(other) == ["p"]


def test_a_full_report_that_was_lost_is_sent_again_in_full() -> None:
    machine = Machine()
    machine.sessions.replied(0.1, machine.report(0.1), None)
    assert machine.report(0.4).full


def test_the_reply_of_an_earlier_leader_does_not_register() -> None:
    machine = Machine()
    machine.poll(0.0)
    old = machine.report(0.1, fence=1)
    machine.report(0.1, fence=2)
    assert machine.sessions.replied(0.2, old, ReportReply(True, 1, 0, 1.0)) == []
    assert machine.sessions.as_of is None


def test_an_earlier_leader_gets_no_report_any_more() -> None:
    machine = Machine()
    machine.sessions.replied(0.1, machine.report(0.1, fence=2), None)
    assert machine.sessions.next_report(1.0, 1) is None


def test_reports_tell_how_long_the_machine_has_been_running() -> None:
    assert started().report(0.4).running_ms == pytest.approx(400.0)


def test_a_report_of_all_sessions_fits_into_a_message() -> None:
    machine = Machine()
    refused = tuple((number, "r" * 300) for number in range(16))
    for index in range(4096):
        poll = Poll(f"{index:064}", "i" * 64, "r" * 64, "L", 0, refused)
        machine.sessions.poll_received(0.0, index, poll)
    assert len(msgspec.msgpack.encode(machine.report(0.1))) < MESSAGE_BYTES


# --- the end of a session ---
def test_a_session_is_dropped_only_after_the_bound_without_an_answer() -> None:
    machine = started()
    machine.sessions.tick(0.1 + DROP_S - 0.01)
    assert len(machine.sessions) == 1 and machine.sessions.next_at <= 0.1 + DROP_S
    machine.sessions.tick(0.1 + DROP_S + 0.01)
    assert len(machine.sessions) == 0
    assert pytest.approx(2.8 * 1.05 / 0.95) == DROP_S


def test_the_bound_counts_from_the_last_answer() -> None:
    machine = started()
    machine.poll(0.2)
    machine.sessions.tick(1.0)
    machine.sessions.tick(1.0 + DROP_S - 0.01)
    assert len(machine.sessions) == 1
    machine.sessions.tick(1.0 + DROP_S + 0.01)
    assert len(machine.sessions) == 0


def test_an_active_session_does_not_hold_up_the_end_of_a_silent_one() -> None:
    machine = started()
    for step in range(1, 9):
        machine.poll(step * 0.5, name="q")
        machine.sessions.tick(step * 0.5)
    assert len(machine.sessions) == 1
