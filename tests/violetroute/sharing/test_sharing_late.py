"""Late ticks: a process that was stopped or starved must not suspect members whose acks are unread.

A tick that runs after a stop comes before the acks in the socket are read.  Without a postponement
it would fail probes and declare suspects dead.
"""

from __future__ import annotations

import random

import pytest

from tests.violetroute.sharing.test_sharing_talk import GossipProxy
from violetroute.sharing.members import MAX_HEALTH, Members, Send
from violetroute.sharing.probe import LATE_SHARE, POSTPONE_SHARE, TICK_S, is_late, suspicion_time
from violetroute.sharing.wire import Ack, Nack, Ping, PingRequest, Rumor

PERIOD = 1.0  # s; length of a probe period
STOPPED_S = 5.0
TICK = 0.1


class Observer:
    """GossipProxy member that knows another one, p1, on a virtual clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.changes: list[tuple[str, str]] = []
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
            lambda name, state, was: self.changes.append((name, state)),
        )
        self.deliver(Rumor("p1", "l1", 1, "a", "at1"))
        self.changes.clear()

    def deliver(self, *items: Rumor | Ack | PingRequest, name: str = "p1") -> list[Send]:
        return [
            out
            for item in items
            for out in self.members.receive(self.now, name, "l1", 1, item, "at1")
        ]

    def tick(self, after: float = TICK) -> list[Send]:
        self.now += after
        return self.members.tick(self.now)

    def until_probed(self) -> int:
        """Tick until p1 is probed; returns the number of the probe."""
        for _ in range(40):
            for out in self.tick():
                if out.to == "p1" and isinstance(out.items[0], Ping):
                    return out.items[0].number
        raise AssertionError("never probed")

    def state(self) -> str:
        return self.members.members["p1"].state

    def until_dead(self, every: float) -> float:
        """Seconds until p1, which never answers, is declared dead, with a tick each `every` s."""
        began = self.now
        while self.members.is_up("p1", "l1"):
            self.tick(every)
            assert self.now - began < 1_000.0, "a dead member is never found"
        return self.now - began


def test_a_tick_is_late_beyond_a_share_of_the_period_and_its_own_interval() -> None:
    assert not is_late(TICK_S + LATE_SHARE * PERIOD, PERIOD)
    assert is_late(TICK_S + LATE_SHARE * PERIOD + 0.01, PERIOD)
    assert not is_late(1.9 * TICK_S, 0.05)  # with a short period, jitter of a tick is not late


def test_no_probe_fails_by_a_late_tick_and_an_unread_ack_counts() -> None:
    one = Observer()
    number = one.until_probed()
    one.tick(STOPPED_S)
    assert one.state() == "a" and one.members.health == 1
    one.deliver(Ack(number))
    for _ in range(5):
        one.tick()
    assert one.state() == "a" and one.members.health == 0


def test_a_postponed_probe_uses_helpers_and_fails_once() -> None:
    one = Observer()
    one.deliver(Rumor("p2", "l1", 1, "a", "at2"))
    one.until_probed()
    one.tick(STOPPED_S)
    helped = [item for out in one.tick() for item in out.items if isinstance(item, PingRequest)]
    assert [item.target for item in helped] == ["p1"]
    assert one.state() == "a"
    one.tick(STOPPED_S)  # the tick is late again, but the probe is not postponed twice
    assert one.state() == "s"


def test_a_late_tick_declares_no_suspect_dead_and_its_refutation_counts() -> None:
    one = Observer()
    one.deliver(Rumor("p1", "l1", 1, "s", by="p9"), name="p9")
    one.tick(60.0)
    assert one.state() == "s" and one.members.health > 0
    one.deliver(Rumor("p1", "l1", 2, "a", "at1"))
    for _ in range(20):
        one.tick()
        assert ("p1", "d") not in one.changes


def test_a_late_tick_lowers_the_local_health_once() -> None:
    one = Observer()
    for number in range(1, 6):
        one.deliver(Rumor(f"p{number}", "l1", 1, "a", "at"), name="p9")
        one.deliver(Rumor(f"p{number}", "l1", 1, "s", by="p9"), name="p9")
    one.tick(200.0)
    assert [member.state for member in one.members.members.values()] == ["s"] * 5
    assert one.members.health == 1


def test_a_suspect_without_refutation_is_dead_after_one_postponement() -> None:
    one = Observer()
    one.deliver(Rumor("p1", "l1", 1, "s", by="p9"), name="p9")
    one.tick(200.0)
    assert one.state() == "s"
    one.tick(POSTPONE_SHARE * PERIOD + TICK)
    assert one.state() == "d"


def test_a_late_tick_does_not_declare_the_duplicate_dead() -> None:
    one = Observer()
    one.members.receive(one.now, "p0", "other", 9, Ping(1), "elsewhere")
    assert one.members.duplicate is not None
    one.tick(200.0)
    assert one.members.duplicate is not None
    one.tick(POSTPONE_SHARE * PERIOD + TICK)
    assert one.members.duplicate is None


def test_a_late_helper_sends_no_nack() -> None:
    for stopped, nacks in ((0.1, 1), (STOPPED_S, 0)):
        one = Observer()
        one.deliver(PingRequest(7, "p1"), name="p1")
        one.tick(0.3)
        one.tick(0.2)
        said = [item for out in one.tick(stopped) for item in out.items if isinstance(item, Nack)]
        assert len(said) == nacks


@pytest.mark.parametrize("every", [0.1, 0.5, 1.0, 4.0, 10.0])
def test_a_member_that_is_always_late_finds_a_dead_one_within_the_stated_bound(
    every: float,
) -> None:
    """The bound is stated in docs/design/fleet-sharing.md."""
    slowest = (1 + MAX_HEALTH) * PERIOD
    # Delays of the end of the probe and of the end of the suspicion.
    late_ends = 2.0 * (every + POSTPONE_SHARE * PERIOD) + 2.0 * every
    bound = 2.0 * slowest + suspicion_time(2, PERIOD, 0, MAX_HEALTH) + late_ends
    assert Observer().until_dead(every) <= bound


def test_a_stopped_process_suspects_no_member_with_unread_acks() -> None:
    one = GossipProxy()
    for _ in range(40):
        one.run(0.1)
        pings = one.sent_items(Ping)
        if pings:
            break
    one.kernel.now += STOPPED_S
    one.run(0.02)  # the overdue tick
    one.deliver(Ack(pings[-1].number))
    one.run(0.5)
    assert one.sharing.members.members["p1"].state == "a"
    assert not [rumor for rumor in one.sent_items(Rumor) if rumor.state == "s"]
