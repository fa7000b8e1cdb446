"""Sessions at one control machine: first answers, pacing, reports, and the end of a session."""

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
    """A log that still has the batches from position `kept_from` on."""

    log = "L"

    def __init__(self, commit: int = 0) -> None:
        self.commit = commit
        self.kept_from = 1
        self.body = b""
        self.reads = 0

    @property
    def base(self) -> LogPoint:
        return LogPoint(1, self.kept_from - 1)

    def after(self, position: int, max_bytes: int) -> list[msgspec.Raw] | None:
        self.reads += 1
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
    """A control machine's sessions, its log, and the leader's answers to its reports."""

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


def reply_of(answers: list[PollAnswer]) -> PollReply:
    (poll_answer,) = answers
    return poll_answer.reply


def answered_machine(commit: int = 0) -> Machine:
    """A machine with the session p, which got its first answer at 0.1 s."""
    machine = Machine(commit)
    assert machine.poll(0.0, commit) == []
    assert reply_of(machine.register(0.1)).status == OK
    return machine


def reported_names(report: Report) -> list[str]:
    return [state.name for state in report.sessions]


# --- the first answer ---
def test_a_session_is_not_answered_before_the_leader_has_registered_it() -> None:
    machine = Machine(3)
    assert machine.poll(0.0) == [] and machine.commit(0.1, 4) == []
    reply = reply_of(machine.register(0.2))
    assert reply.status == OK and reply.commit == 4 and len(reply.batches) == 4


@pytest.mark.parametrize(
    "reply",
    [None, ReportReply(False, 1), ReportReply(True, 2, 0, 1.0), ReportReply(True, 1, 0, 1.0, True)],
)
def test_only_a_valid_reply_registers_sessions_and_gives_an_age(reply: ReportReply | None) -> None:
    machine = Machine()
    machine.poll(0.0)
    assert machine.sessions.replied(0.1, machine.report(0.1), reply) == []
    assert machine.sessions.as_of is None
    assert reply_of(machine.sessions.tick(0.8)).status == NOT_READY


def test_the_first_answer_waits_for_the_commit_of_the_registration() -> None:
    machine = Machine(3)
    machine.poll(0.0)
    assert machine.register(0.1, commit=5) == []
    assert machine.commit(0.2, 4) == []
    assert reply_of(machine.commit(0.3, 5)).commit == 5


def test_the_first_answer_is_not_sent_early_at_the_end_of_the_hold_time() -> None:
    machine = Machine(3)
    machine.poll(0.0)
    machine.register(0.1, commit=5)
    assert reply_of(machine.sessions.tick(0.8)).status == NOT_READY
    assert machine.poll(0.9) == [] and reply_of(machine.commit(1.0, 5)).status == OK


def test_the_first_answer_needs_no_new_data() -> None:
    machine = Machine(3)
    machine.poll(0.0, position=3)
    reply = reply_of(machine.register(0.1))
    assert reply.status == OK and reply.batches == () and reply.age_ms == pytest.approx(50.0)


def test_a_second_incarnation_is_another_session() -> None:
    machine = answered_machine()
    poll = Poll("p", "i2", "r", "", 0)
    assert machine.sessions.poll_received(0.2, 99, poll) == [] and len(machine.sessions) == 2
    report = machine.report(0.4)
    assert [(s.name, s.incarnation) for s in report.sessions] == [("p", "i2")]


# --- holding and pacing ---
def test_a_poll_without_new_data_is_held_until_its_hold_time_ends() -> None:
    machine = answered_machine()
    assert machine.poll(0.2) == [] and machine.sessions.tick(0.85) == []
    reply = reply_of(machine.sessions.tick(1.0))
    assert reply.status == OK and reply.batches == () and machine.sessions.held == 0


def test_new_data_ends_the_hold_at_once_after_the_minimum_interval() -> None:
    machine = answered_machine()
    machine.poll(0.2)
    machine.sessions.tick(0.5)
    assert len(reply_of(machine.commit(0.6, 1)).batches) == 1


def test_answers_with_batches_keep_the_minimum_interval() -> None:
    machine = answered_machine()
    machine.poll(0.2)
    assert machine.commit(0.3, 1) == [] and machine.commit(0.4, 2) == []
    assert machine.sessions.next_at <= 0.5 and machine.sessions.tick(0.49) == []
    assert len(reply_of(machine.sessions.tick(0.5)).batches) == 2


def test_a_newer_poll_replaces_an_older_one_which_is_answered_at_once() -> None:
    machine = answered_machine()
    machine.poll(0.2)
    (poll_answer,) = machine.poll(0.3)
    assert poll_answer.ticket == 2 and poll_answer.reply.status == NOT_READY
    assert machine.sessions.held == 1
    assert reply_of(machine.sessions.tick(1.2)).status == OK


def test_an_abandoned_poll_is_not_answered() -> None:
    machine = answered_machine()
    machine.poll(0.2)
    machine.sessions.abandoned(2)
    machine.sessions.abandoned(2)
    assert machine.commit(0.6, 1) == [] and machine.sessions.tick(2.0) == []


def test_polls_without_a_leader_are_answered_not_ready() -> None:
    machine = answered_machine()
    machine.sessions.set_ready(0.15, False)
    machine.poll(0.2)
    assert machine.commit(0.7, 1) == []
    assert reply_of(machine.sessions.tick(1.0)).status == NOT_READY
    machine.poll(1.1)
    assert len(reply_of(machine.sessions.set_ready(1.2, True)).batches) == 1


def test_a_proxy_ahead_of_the_commit_is_held_and_then_answered_behind() -> None:
    machine = answered_machine(3)
    machine.poll(0.2, position=5)
    assert machine.commit(0.6, 4) == []
    assert reply_of(machine.sessions.tick(1.0)).status == BEHIND
    machine.poll(1.1, position=5)
    assert reply_of(machine.commit(1.3, 6)).commit == 6


def test_the_number_of_sessions_is_bounded() -> None:
    machine = Machine(settings=SessionSettings(max_sessions=2))
    assert machine.poll(0.0, name="a") == [] and machine.poll(0.0, name="b") == []
    assert reply_of(machine.poll(0.0, name="c")).status == NOT_READY and len(machine.sessions) == 2
    with pytest.raises(ValueError, match="max_sessions"):
        SessionSettings(max_sessions=4097)


def test_ended_polls_do_not_accumulate_without_commits() -> None:
    machine = answered_machine()
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
    assert len(answers) == 50 and machine.log.reads == 1
    assert len({id(poll_answer.reply.batches) for poll_answer in answers}) == 1


@pytest.mark.parametrize(("log", "position"), [("L", 2), ("M", 9), ("M", 0)])
def test_too_long_a_gap_or_another_log_gets_a_snapshot(log: str, position: int) -> None:
    machine = Machine(9)
    machine.log.kept_from = 8
    machine.poll(0.0, position=position, log=log)
    reply = reply_of(machine.register(0.1))
    assert reply.status == SNAPSHOT and reply.snapshot == Snapshot(LogPoint(1, 9))


def test_a_proxy_that_lacks_more_than_delta_bytes_gets_a_snapshot() -> None:
    machine = Machine(9)
    machine.log.body = b"x" * 100_000
    machine.poll(0.0, position=1)
    assert reply_of(machine.register(0.1)).status == SNAPSHOT


def test_a_snapshot_leads_to_the_commit_and_is_not_sent_again() -> None:
    machine = Machine(9)
    machine.log.body = b"x" * 100_000
    machine.poll(0.0, position=1)
    reply = reply_of(machine.register(0.1))
    assert reply.status == SNAPSHOT and reply.commit == 9
    assert reply.snapshot == Snapshot(LogPoint(1, 9)) and reply.batches == ()
    machine.poll(0.2, position=9)
    assert reply_of(machine.sessions.tick(1.1)).status == OK


def test_a_long_gap_of_small_batches_gets_a_snapshot_too() -> None:
    machine = Machine(60_000)
    machine.poll(0.0, position=1)
    assert reply_of(machine.register(0.1)).status == SNAPSHOT


def test_a_proxy_that_has_just_started_gets_a_snapshot() -> None:
    """It does not know which purges it missed, so everything cached for it must be invalidated."""
    machine = Machine(9)
    machine.poll(0.0, log="")
    assert reply_of(machine.register(0.1)).snapshot == Snapshot(LogPoint(1, 9))
    empty = Machine()
    empty.poll(0.0, log="")
    assert reply_of(empty.register(0.1)).status == OK


def paced_machine(commit: int) -> Machine:
    """A machine with batches of 1,000 bytes and a catch-up rate of 5,000 bytes a second."""
    machine = Machine(commit, SessionSettings(catch_up_bytes_per_s=5000.0, spread_s=0.4))
    machine.log.body = b"x" * (1000 - len(machine.log.encoded(1)))
    return machine


def test_old_batches_are_sent_at_the_catch_up_rate() -> None:
    machine = paced_machine(100)
    machine.poll(0.0)
    assert len(reply_of(machine.register(0.1)).batches) == 5  # at most the bytes of one second
    machine.poll(0.2, position=5)
    assert len(reply_of(machine.sessions.tick(0.5)).batches) == 2  # the bytes of 0.4 s
    # After a late poll, the bytes of 0.6 s.
    assert len(reply_of(machine.poll(1.1, position=7)).batches) == 3


def test_catch_up_is_paced_until_the_proxy_has_everything() -> None:
    """Recent batches are paced too, so that the last answer of a catch-up is not a burst."""
    machine = paced_machine(7)
    machine.poll(0.0)
    assert len(reply_of(machine.register(0.1)).batches) == 5
    machine.poll(0.2, position=5)
    machine.commit(0.3, 40)
    # The rest of the first seven batches.
    assert len(reply_of(machine.sessions.tick(0.5)).batches) == 2
    machine.poll(0.6, position=7)
    assert len(reply_of(machine.sessions.tick(0.9)).batches) == 2
    machine.poll(1.0, position=40)
    assert machine.sessions.tick(1.4) == []
    assert len(reply_of(machine.commit(1.5, 60)).batches) == 20


def test_pacing_ends_although_a_commit_advances_while_the_complete_answer_is_in_flight() -> None:
    """With a commit every 0.1 s, the commit is beyond the position of each poll.

    Pacing must still end once the proxy has applied a complete answer.
    """
    machine = paced_machine(6)
    machine.poll(0.0)
    assert len(reply_of(machine.register(0.1)).batches) == 5
    machine.poll(0.2, position=5)
    machine.commit(0.45, 7)
    reply = reply_of(machine.sessions.tick(0.5))
    assert (len(reply.batches), reply.commit) == (2, 7)  # complete: all up to the commit
    machine.commit(0.55, 8)
    machine.poll(0.6, position=7)
    machine.commit(0.65, 40)
    assert len(reply_of(machine.sessions.tick(0.9)).batches) == 33


def test_a_lost_complete_answer_does_not_end_the_pacing() -> None:
    machine = paced_machine(3)
    machine.poll(0.0)
    assert len(reply_of(machine.register(0.1)).batches) == 3
    machine.commit(0.15, 40)
    machine.poll(0.2, position=0)
    assert len(reply_of(machine.sessions.tick(0.5)).batches) == 2
    machine.poll(0.6, position=2)
    assert len(reply_of(machine.sessions.tick(0.9)).batches) == 2
    machine.poll(1.0, position=4)
    assert len(reply_of(machine.sessions.tick(1.3)).batches) == 2  # still paced


def test_a_second_catch_up_is_paced_again() -> None:
    machine = paced_machine(3)
    machine.poll(0.0)
    assert len(reply_of(machine.register(0.1)).batches) == 3
    machine.poll(0.2, position=3)
    assert machine.sessions.tick(0.55) == []
    assert len(reply_of(machine.commit(0.6, 40)).batches) == 37  # not paced; the answer is lost
    assert len(reply_of(machine.poll(3.5, position=3)).batches) == 5
    machine.poll(3.6, position=8)
    assert len(reply_of(machine.sessions.tick(3.9)).batches) == 2


def test_after_a_restart_the_first_known_commit_counts_as_old() -> None:
    """The disk does not record the commit, and only the leader knows how old the commits are."""
    machine = paced_machine(0)
    machine.commit(0.1, 100)
    machine.poll(0.1, position=0)
    assert len(reply_of(machine.register(0.2)).batches) == 5
    machine.poll(0.3, position=5)
    assert len(reply_of(machine.sessions.tick(0.61)).batches) == 2


def test_after_a_partition_commits_count_as_old_until_the_age_is_known_again() -> None:
    machine = paced_machine(0)
    machine.poll(0.0)
    machine.register(0.1)  # the age is known as of 0.05
    machine.commit(10.0, 60)  # after the partition the log is copied in parts
    machine.commit(10.1, 100)
    machine.poll(10.1, position=0, name="q")
    assert len(reply_of(machine.register(10.2)).batches) == 5
    machine.poll(10.3, position=100, name="r")
    machine.commit(10.4, 120)  # counts as recent, since the age was known as of 10.15
    assert len(reply_of(machine.register(10.5)).batches) == 20


def test_commits_count_as_recent_while_the_age_is_known() -> None:
    """Reports may be late by up to `stale_after_s`: until then no proxy considers itself stale."""
    machine = paced_machine(0)
    machine.poll(0.0)
    machine.register(0.1)  # the age is known as of 0.05
    machine.poll(0.2)
    machine.sessions.tick(0.6)
    assert len(reply_of(machine.commit(2.84, 100)).batches) == 100


def test_a_burst_is_not_paced() -> None:
    machine = Machine(0, SessionSettings(catch_up_bytes_per_s=5000.0))
    machine.log.body = b"x" * 200
    machine.poll(0.0)
    machine.register(0.1)
    machine.poll(0.2)
    assert machine.sessions.tick(0.55) == []
    assert len(reply_of(machine.commit(0.8, 60)).batches) == 60


def test_many_small_batches_do_not_cause_a_snapshot() -> None:
    machine = Machine(0)
    machine.poll(0.0)
    machine.register(0.1)
    machine.poll(0.2)
    assert machine.sessions.tick(0.55) == []
    reply = reply_of(machine.commit(0.8, BATCHES_PER_REPLY + 100))
    assert reply.status == OK and len(reply.batches) == BATCHES_PER_REPLY


def test_the_position_in_another_log_is_not_reported_as_applied_in_this_one() -> None:
    machine = Machine(9)
    machine.poll(0.0, position=9, log="M")
    assert machine.report(0.1).sessions[0].position == 0
    machine = answered_machine(9)
    machine.poll(0.2, position=12, log="M")
    assert machine.report(0.4).sessions[0].position == 0


# --- ages ---
def test_the_age_counts_from_the_sending_of_the_report() -> None:
    machine = Machine()
    machine.poll(0.0)
    report = machine.report(0.1)
    reply = reply_of(machine.sessions.replied(0.4, report, ReportReply(True, 1, 0, 50.0)))
    assert reply.age_ms == pytest.approx(350.0)


def test_an_age_takes_effect_with_its_commit() -> None:
    machine = answered_machine(3)
    first = machine.sessions.as_of
    machine.register(0.4, commit=5)
    assert machine.sessions.as_of == first
    machine.commit(0.5, 4)
    assert machine.sessions.as_of == first
    machine.commit(0.6, 5)
    assert machine.sessions.as_of == pytest.approx(0.35)


def test_a_commit_that_always_lags_slightly_does_not_delay_the_age() -> None:
    machine = answered_machine(3)
    now = 0.1
    for commit in range(4, 40):
        now += 0.25
        machine.register(now, commit=commit + 1)
        machine.commit(now + 0.1, commit)
    assert machine.sessions.as_of is not None and now - machine.sessions.as_of < 0.4


def test_the_age_grows_while_no_report_is_answered() -> None:
    """Answers to fetches do not count: without reports the leader drops the sessions."""
    machine = answered_machine()
    for step in range(1, 12):
        machine.poll(0.1 + step * 0.5)
        report = machine.sessions.next_report(0.1 + step * 0.5, 1)
        if report is not None:
            machine.sessions.replied(0.1 + step * 0.5, report, None)
        machine.log.commit = step
        reply = reply_of(
            machine.sessions.tick(0.55 + step * 0.5) or machine.commit(0.55 + step * 0.5, step)
        )
        assert reply.age_ms == pytest.approx((0.5 + step * 0.5) * 1000)


# --- reports ---
def test_reports_are_paced_and_sent_as_heartbeats_without_changes() -> None:
    machine = answered_machine()
    assert machine.sessions.next_report(0.34, 1) is None
    assert machine.report(0.35).sessions == ()


def test_a_change_is_reported_earlier_than_the_heartbeat() -> None:
    machine = answered_machine()
    machine.poll(0.2, position=0, name="q")
    assert machine.sessions.next_report(0.29, 1) is None
    report = machine.report(0.31)
    assert not report.full and reported_names(report) == ["q"] and report.number == 2


def test_a_report_includes_only_changed_sessions() -> None:
    machine = Machine(5)
    machine.poll(0.0, name="a")
    machine.poll(0.0, name="b")
    assert reported_names(machine.report(0.1)) == ["a", "b"]
    machine.sessions.replied(0.1, Report("m", "i", 1, 1, True), ReportReply(True, 1, 5, 1.0))
    machine.poll(0.2, position=5, name="b")
    report = machine.report(0.4)
    assert reported_names(report) == ["b"] and report.sessions[0].position == 5
    machine.sessions.replied(0.4, report, ReportReply(True, 1, 5, 1.0))
    assert reported_names(machine.report(0.7)) == []


def test_a_lost_report_or_reply_loses_no_change() -> None:
    machine = answered_machine()
    machine.poll(0.2, name="q")
    first = machine.report(0.4)
    assert machine.sessions.next_report(5.0, 1) is None  # one is in flight
    machine.sessions.replied(0.9, first, None)
    machine.poll(0.9, name="z")
    second = machine.report(1.0)
    assert sorted(reported_names(second)) == ["q", "z"] and second.number == first.number + 1


def test_a_lost_report_loses_no_end() -> None:
    machine = answered_machine()
    end = 0.1 + DROP_S + 0.01
    report = machine.report(end)
    assert report.ended == (("p", "i1"),) and len(machine.sessions) == 0
    machine.sessions.replied(end, report, None)
    again = machine.report(end + 0.3)
    assert again.ended == (("p", "i1"),)
    machine.sessions.replied(end + 0.3, again, ReportReply(True, 1, 0, 1.0))
    assert machine.report(end + 0.6).ended == ()


def test_a_dropped_session_that_returns_is_reported_and_registered_again() -> None:
    machine = answered_machine()
    end = 0.1 + DROP_S + 0.01
    lost = machine.report(end)
    machine.poll(end + 0.1)
    assert machine.commit(end + 0.15, 1) == []
    machine.sessions.replied(end + 0.2, lost, None)
    report = machine.report(end + 0.3)
    assert report.ended == () and reported_names(report) == ["p"]


def test_a_full_report_comes_first_on_request_and_for_a_new_leader() -> None:
    machine = answered_machine()
    delta = machine.report(0.4)
    assert not delta.full
    machine.sessions.replied(0.4, delta, ReportReply(True, 1, 0, -1.0, True))
    full = machine.report(0.7)
    assert full.full and reported_names(full) == ["p"]
    machine.sessions.replied(0.7, full, ReportReply(True, 1, 0, 1.0))
    other = machine.report(0.71, fence=2)
    assert other.full and other.fence == 2 and reported_names(other) == ["p"]


def test_a_full_report_that_was_lost_is_sent_again_in_full() -> None:
    machine = Machine()
    machine.sessions.replied(0.1, machine.report(0.1), None)
    assert machine.report(0.4).full


def test_the_reply_of_an_older_leader_registers_no_session() -> None:
    machine = Machine()
    machine.poll(0.0)
    old = machine.report(0.1, fence=1)
    machine.report(0.1, fence=2)
    assert machine.sessions.replied(0.2, old, ReportReply(True, 1, 0, 1.0)) == []
    assert machine.sessions.as_of is None


def test_an_older_leader_gets_no_more_reports() -> None:
    machine = Machine()
    machine.sessions.replied(0.1, machine.report(0.1, fence=2), None)
    assert machine.sessions.next_report(1.0, 1) is None


def test_reports_include_the_uptime_of_the_machine() -> None:
    assert answered_machine().report(0.4).running_ms == pytest.approx(400.0)


def test_a_report_of_all_sessions_fits_into_a_message() -> None:
    machine = Machine()
    refused = tuple((number, "r" * 300) for number in range(16))
    for index in range(4096):
        poll = Poll(f"{index:064}", "i" * 64, "r" * 64, "L", 0, refused)
        machine.sessions.poll_received(0.0, index, poll)
    assert len(msgspec.msgpack.encode(machine.report(0.1))) < MESSAGE_BYTES


# --- the end of a session ---
def test_a_session_is_dropped_only_after_the_timeout_without_an_answer() -> None:
    machine = answered_machine()
    machine.sessions.tick(0.1 + DROP_S - 0.01)
    assert len(machine.sessions) == 1 and machine.sessions.next_at <= 0.1 + DROP_S
    machine.sessions.tick(0.1 + DROP_S + 0.01)
    assert len(machine.sessions) == 0
    assert pytest.approx(2.8 * 1.05 / 0.95) == DROP_S


def test_the_timeout_counts_from_the_last_answer() -> None:
    machine = answered_machine()
    machine.poll(0.2)
    machine.sessions.tick(1.0)
    machine.sessions.tick(1.0 + DROP_S - 0.01)
    assert len(machine.sessions) == 1
    machine.sessions.tick(1.0 + DROP_S + 0.01)
    assert len(machine.sessions) == 0


def test_an_active_session_does_not_delay_the_end_of_an_unresponsive_one() -> None:
    machine = answered_machine()
    for step in range(1, 9):
        machine.poll(step * 0.5, name="q")
        machine.sessions.tick(step * 0.5)
    assert len(machine.sessions) == 1
