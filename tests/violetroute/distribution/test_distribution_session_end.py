"""A process that shuts down ends its session: it stays stale, and nothing waits for it."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from limebridge.child import Child
from limebridge.ports import free_ports
from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from tests.support.session_world import MACHINES, PROXIES, Fault, Plan, World
from tests.violetroute.distribution.test_distribution_freshness import PROXY_NAMES, random_plan
from tests.violetroute.distribution.test_distribution_in_force import Term, state
from tests.violetroute.distribution.test_distribution_service import (
    ScriptedControl,
    ok,
    purges,
    run,
    subscribed,
)
from tests.violetroute.distribution.test_distribution_sessions import (
    NOT_READY,
    Machine,
    answered_machine,
    reply_of,
    reported_names,
)
from tests.violetroute.distribution.test_distribution_subscriber import deliver, raw, subscriber
from tests.violetroute.distribution.test_distribution_subscriber import ok as answer
from violetroute.distribution.messages import Poll, PollReply, PollStatus
from violetroute.distribution.routes import decode_request, encode, path_of
from violetroute.distribution.session import SessionSettings
from violetroute.distribution.sessions import MAX_ENDED_SESSIONS, PollAnswer
from violetroute.distribution.subscriber import SendPoll, WaitUntil

REPORT_S = SessionSettings().report_s
LAST = Poll("p", "i1", "r", "L", 3, ends_session=True)


# --- the subscriber ---
def test_a_process_that_has_ended_its_session_is_never_fresh_again() -> None:
    sub = subscriber()
    deliver(sub, answer(1, raw(1)), 1.0)
    assert sub.fresh(1.1)
    send = sub.next(1.2)
    assert isinstance(send, SendPoll) and not send.poll.ends_session
    last = sub.end()
    assert last == msgspec.structs.replace(send.poll, ends_session=True)
    assert not sub.fresh(1.2) and sub.as_of is None
    late = answer(2, raw(2), age_ms=0.0)  # the answer to the poll that was in flight
    assert sub.replied(1.3, 1.2, send.address, late) == []
    assert not sub.fresh(1.3) and sub.position == 1
    assert sub.next(1.4) == WaitUntil(math.inf) and sub.next_at == math.inf and sub.tick(9.0) == []
    assert sub.end() == last


# --- the control machine ---
def end(machine: Machine, poll: Poll = LAST) -> list[PollAnswer]:
    machine.tickets += 1
    return machine.sessions.poll_received(1.0, machine.tickets, poll)


def test_an_ended_session_is_dropped_at_once_and_included_in_the_next_report() -> None:
    machine = answered_machine(3)
    assert machine.poll(0.5, 3) == []  # the poll is held
    held, last = end(machine)
    assert (held.reply.status, last.reply.status) == (NOT_READY, NOT_READY)
    assert last.reply.age_ms < 0 and held.reply.age_ms < 0  # neither answer makes a proxy fresh
    assert len(machine.sessions) == 0 and machine.sessions.held == 0
    assert machine.sessions.next_at <= 1.0 + REPORT_S
    report = machine.report(1.0 + REPORT_S)
    assert report.ended == (("p", "i1"),) and not report.full and report.sessions == ()


def test_an_end_is_reported_again_after_a_lost_report() -> None:
    machine = answered_machine(3)
    end(machine)
    lost = machine.report(1.3)
    assert machine.sessions.replied(1.4, lost, None) == []
    assert machine.report(1.6).ended == (("p", "i1"),)


def test_the_next_report_removes_a_session_that_ended_while_its_report_was_in_flight() -> None:
    machine = Machine(3)
    assert machine.poll(0.0, 3) == []
    report = machine.report(0.1)
    end(machine)
    # Without a reply the report counts as lost, but the leader may have received it.
    assert machine.sessions.replied(1.1, report, None) == []
    again = machine.report(1.3)
    assert again.sessions == () and (again.full or again.ended == (("p", "i1"),))


def test_duplicate_last_polls_and_delayed_earlier_polls_create_no_session() -> None:
    machine = answered_machine(3)
    end(machine)
    assert reply_of(end(machine)).status == NOT_READY
    assert reply_of(machine.poll(1.1, 2)).status == NOT_READY
    assert len(machine.sessions) == 0
    assert reply_of(end(machine, msgspec.structs.replace(LAST, name="unknown"))).status == NOT_READY
    assert len(machine.sessions) == 0


def test_a_delayed_last_poll_does_not_end_the_session_of_the_next_process() -> None:
    machine = answered_machine(3)
    earlier = msgspec.structs.replace(LAST, incarnation="i0")
    assert reply_of(end(machine, earlier)).status == NOT_READY
    assert len(machine.sessions) == 1
    assert machine.report(1.3).ended == ()


def test_the_number_of_remembered_ended_sessions_is_bounded() -> None:
    machine = Machine()
    for number in range(MAX_ENDED_SESSIONS + 9):
        end(machine, msgspec.structs.replace(LAST, name=f"p{number}"))
    assert len(machine.sessions._ended) == MAX_ENDED_SESSIONS
    assert reported_names(machine.report(1.3)) == []


# --- the leader ---
def test_batches_an_ended_process_lacks_are_in_force_with_the_next_report() -> None:
    term = Term()
    term.committed(0.9, 5)
    term.report(1.0, "b")
    term.report(1.0, "a", state("p", 3), state("q", 5))
    assert term.core.in_force == 3
    term.report(1.2, "a", full=False, ended=(("p", "i"),))
    assert term.core.in_force == 5


def test_a_process_with_sessions_at_two_machines_counts_until_both_are_ended() -> None:
    term = Term()
    term.committed(0.9, 5)
    term.report(1.0, "b", state("p", 3))
    term.report(1.0, "a", state("p", 3))
    term.report(1.2, "a", full=False, ended=(("p", "i"),))
    assert term.core.in_force == 3 and term.core.sessions == 1
    term.report(1.4, "b", full=False, ended=(("p", "i"),))
    assert term.core.in_force == 5 and term.core.sessions == 0


KINDS = (
    ("end", PROXY_NAMES),
    ("end", PROXY_NAMES),
    ("restart", MACHINES),
    ("polls_back", MACHINES),
    ("reports", MACHINES),
)


@settings(max_examples=40)
@given(st.integers(0, 2**32))
def test_no_schedule_with_ended_sessions_reports_in_force_too_early(seed: int) -> None:
    World(random_plan(seed, KINDS)).run()


def max_in_force_delay(start: float, faults: tuple[Fault, ...]) -> float:
    """The longest time in seconds from commit to in force of batches committed after `start`."""
    world = World(Plan(seed=1, lasts=12.0, loss=0.0, faults=faults))
    world.run()
    leader = world.leaders[1]
    return max(
        seconds
        for position, seconds in enumerate(leader.in_force_s, 1)
        if leader._committed_at[position] > start
    )


def test_processes_that_end_their_sessions_delay_nothing_and_killed_ones_do() -> None:
    ends = tuple(Fault(4.0 + 0.3 * number, "end", f"p{number}", 0.1) for number in range(PROXIES))
    kills = tuple(replace(each, kind="restart", lasts=0.0) for each in ends)
    assert max_in_force_delay(4.0, ends) < 1.6
    assert max_in_force_delay(4.0, kills) > 2.5


# --- the service ---
def test_a_leaving_service_sends_its_last_poll_to_the_machine_it_polled() -> None:
    async def scenario() -> None:
        control = ScriptedControl(ok(purges(1, "a")))
        async with subscribed(control) as (service, receiver):
            while len(control.polls) < 2:
                await asyncio.sleep(0.005)
            leaving = service.leave()
            assert not service.subscriber.fresh(asyncio.get_running_loop().time())
            responses = asyncio.ensure_future(leaving)
            while len(control.polls) < 3:
                await asyncio.sleep(0.005)
            control.reply(PollReply(PollStatus.NOT_READY, "log", 1))
            await responses
            assert [poll.ends_session for poll in control.polls] == [False, False, True]
            assert control.polls[-1].position == 1 and receiver.keys == ["a"]

    run(scenario)


def test_a_leaving_service_does_not_wait_longer_than_its_timeout() -> None:
    async def scenario() -> None:
        control = ScriptedControl(ok())
        async with subscribed(control) as (service, _):
            while len(control.polls) < 2:
                await asyncio.sleep(0.005)
            async with asyncio.timeout(10.0):
                await service.leave()  # the last poll is not answered
            async with asyncio.timeout(10.0):
                await service.leave()  # no second poll is sent
            assert [poll.ends_session for poll in control.polls] == [False, False, True]

    run(scenario)


def test_a_daemon_ends_its_session_after_draining(tmp_path: Path) -> None:
    key_file = tmp_path / "key"
    key_file.write_bytes(b"k" * 32)

    async def scenario() -> None:
        control = ScriptedControl(ok())
        lines: list[str] = []
        daemon = Child(tmp_path, "p0", on_log_line=lines.append)
        operator = tmp_path / "p0.toml"
        table = f'controls = ["{control.address}"]\nkey_file = "{key_file}"'
        operator.write_text(f"[distribution]\n{table}\n")
        discovery = await Discovery().start()
        try:
            raw = configuration(discovery.port, []) | {"name": "p0"}
            await daemon.start(raw, free_ports(1)[0], operator)
            async with asyncio.timeout(30.0):
                while len(control.polls) < 2:
                    await asyncio.sleep(0.01)
            control.replies.clear()
            await daemon.term()
            assert [poll.ends_session for poll in control.polls] == [False, False, True]
            assert len({poll.incarnation for poll in control.polls}) == 1
        finally:
            await daemon.kill()
            await discovery.stop()
            control.server.close()

    run(scenario)


# --- adjacent builds ---
def test_the_poll_of_an_older_build_ends_no_session_and_later_fields_are_ignored() -> None:
    fields = msgspec.msgpack.decode(encode(LAST))
    assert len(fields) == 7
    older = decode_request(path_of(LAST), encode(fields[:6]))
    assert older == msgspec.structs.replace(LAST, ends_session=False)
    assert decode_request(path_of(LAST), encode([*fields, "next"])) == LAST
