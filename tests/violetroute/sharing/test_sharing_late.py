"""A process that was stopped or starved reads its answers after the tick that would condemn."""

from __future__ import annotations

import random

import pytest

from tests.violetroute.sharing.test_sharing_talk import One
from violetroute.sharing.members import MAX_HEALTH, Members, Send
from violetroute.sharing.probe import LATE_SHARE, POSTPONE_SHARE, TICK_S, is_late, suspicion_time
from violetroute.sharing.wire import Ack, Nack, Ping, PingRequest, Rumor

PERIOD = 1.0  # s
STOPPED_S = 5.0
TICK = 0.1


class Watcher:
    """One member that knows another, p1, on a clock of its own."""

    def __init__(self) -> None:
        self.now = 0.0
        self.told: list[tuple[str, str]] = []
        self.members = Members(
            "p0",
            "l0",
            1,
            "at0",
            "",
            PERIOD,
            (),
            random.Random(1),
            self.now,
            lambda name, state, was: self.told.append((name, state)),
        )
        self.hears(Rumor("p1", "l1", 1, "a", "at1"))
        self.told.clear()

    def hears(self, *items: Rumor | Ack | PingRequest, name: str = "p1") -> list[Send]:
        return [
            out
            for item in items
            for out in self.members.receive(self.now, name, "l1", 1, item, "at1")
        ]

    def tick(self, after: float = TICK) -> list[Send]:
        self.now += after
        return self.members.tick(self.now)

    def until_probed(self) -> int:
        """Tick until p1 is asked; the probe's number."""
        for _ in range(40):
            for out in self.tick():
                if out.to == "p1" and isinstance(out.items[0], Ping):
                    return out.items[0].number
        raise AssertionError("never probed")

    def state(self) -> str:
        return self.members.members["p1"].state

    def until_dead(self, every: float) -> float:
        """Seconds until p1, which never answers, is dead, with a tick each `every` s."""
        began = self.now
        while self.members.is_up("p1", "l1"):
            self.tick(every)
            assert self.now - began < 1_000.0, "a dead member is never found"
        return self.now - began


def test_a_tick_is_late_beyond_a_share_of_the_period_and_its_own_interval() -> None:
    assert not is_late(TICK_S + LATE_SHARE * PERIOD, PERIOD)
    assert is_late(TICK_S + LATE_SHARE * PERIOD + 0.01, PERIOD)
    assert not is_late(1.9 * TICK_S, 0.05)  # a short period: a tick that jitters is not late


def test_a_late_tick_ends_no_probe_and_the_answer_that_was_not_read_counts() -> None:
    one = Watcher()
    number = one.until_probed()
    one.tick(STOPPED_S)
    assert one.state() == "a" and one.members.health == 1
    one.hears(Ack(number))
    for _ in range(5):
        one.tick()
    assert one.state() == "a" and one.members.health == 0


def test_a_probe_that_was_postponed_asks_helpers_and_ends_once() -> None:
    one = Watcher()
    one.hears(Rumor("p2", "l1", 1, "a", "at2"))
    one.until_probed()
    one.tick(STOPPED_S)
    helped = [item for out in one.tick() for item in out.items if isinstance(item, PingRequest)]
    assert [item.target for item in helped] == ["p1"]
    assert one.state() == "a"
    one.tick(STOPPED_S)  # late again: postponed once is all
    assert one.state() == "s"


def test_a_late_tick_declares_no_suspect_dead_and_its_denial_counts() -> None:
    one = Watcher()
    one.hears(Rumor("p1", "l1", 1, "s", by="p9"), name="p9")
    one.tick(60.0)
    assert one.state() == "s" and one.members.health > 0
    one.hears(Rumor("p1", "l1", 2, "a", "at1"))
    for _ in range(20):
        one.tick()
        assert ("p1", "d") not in one.told


def test_a_late_tick_counts_once_for_the_own_health_whatever_it_postpones() -> None:
    one = Watcher()
    for number in range(1, 6):
        one.hears(Rumor(f"p{number}", "l1", 1, "a", "at"), name="p9")
        one.hears(Rumor(f"p{number}", "l1", 1, "s", by="p9"), name="p9")
    one.tick(200.0)
    assert [member.state for member in one.members.members.values()] == ["s"] * 5
    assert one.members.health == 1


def test_a_suspect_that_does_not_deny_it_is_dead_after_one_postponement() -> None:
    one = Watcher()
    one.hears(Rumor("p1", "l1", 1, "s", by="p9"), name="p9")
    one.tick(200.0)
    assert one.state() == "s"
    one.tick(POSTPONE_SHARE * PERIOD + TICK)
    assert one.state() == "d"


def test_a_twin_is_not_taken_for_dead_by_a_late_tick() -> None:
    one = Watcher()
    one.members.receive(one.now, "p0", "other", 9, Ping(1), "elsewhere")
    assert one.members.duplicate is not None
    one.tick(200.0)
    assert one.members.duplicate is not None
    one.tick(POSTPONE_SHARE * PERIOD + TICK)
    assert one.members.duplicate is None


def test_who_is_late_does_not_say_that_it_is_well_and_heard_nothing() -> None:
    for stopped, nacks in ((0.1, 1), (STOPPED_S, 0)):
        one = Watcher()
        one.hears(PingRequest(7, "p1"), name="p1")
        one.tick(0.3)
        one.tick(0.2)
        said = [item for out in one.tick(stopped) for item in out.items if isinstance(item, Nack)]
        assert len(said) == nacks


@pytest.mark.parametrize("every", [0.1, 0.5, 1.0, 4.0, 10.0])
def test_who_is_always_late_finds_a_dead_member_within_the_stated_bound(every: float) -> None:
    """The bound of docs/design/fleet-sharing.md."""
    slowest = (1 + MAX_HEALTH) * PERIOD
    judged = 2.0 * (every + POSTPONE_SHARE * PERIOD) + 2.0 * every  # a probe's end, a suspect's
    bound = 2.0 * slowest + suspicion_time(2, PERIOD, 0, MAX_HEALTH) + judged
    assert Watcher().until_dead(every) <= bound


def test_a_stopped_process_suspects_nobody_whose_answers_lie_in_its_socket() -> None:
    one = One()
    for _ in range(40):
        one.run(0.1)
        pings = one.said(Ping)
        if pings:
            break
    one.kernel.now += STOPPED_S
    one.run(0.02)  # the tick that was due meanwhile
    one.hears(Ack(pings[-1].number))
    one.run(0.5)
    assert one.sharing.members.members["p1"].state == "a"
    assert not [rumor for rumor in one.said(Rumor) if rumor.state == "s"]
