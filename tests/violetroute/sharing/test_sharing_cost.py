"""The cost of a tick and a round grows with what is due or changed, not with the fleet.

Operations are counted, not timed.  Ordered structures are compared with a scan of everything.
"""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.operation_count import count_operations
from violetroute.sharing.members import FORGET_S, HELPERS, Members
from violetroute.sharing.probe import Probe, suspicion_time
from violetroute.sharing.rumors import MAX_WAITING, RETRANSMIT_FACTOR, RUMORS_PER_DATAGRAM, Rumors
from violetroute.sharing.wire import Rumor

SMALL, LARGE = 100, 2_000


def fleet(count: int, seeds: tuple[str, ...] = ()) -> Members:
    """A member that knows `count` others."""
    made = Members("me", "l", 1, "here", "", 1.0, seeds, random.Random(1), 0.0)
    for number in range(count):
        made.add_member(Rumor(f"p{number}", "l", 1, "a", f"at{number}"), 0.0)
    made._probe_at = made._reconnect_at = made._anti_entropy.compare_at = 1e9
    return made


def suspect(members: Members, now: float, count: int) -> None:
    """Let another member suspect `count` of them."""
    for number in range(count):
        members.receive(now, "x", "l", 1, Rumor(f"p{number}", "l", 1, "s", by="x"))


# --- suspicions ---
def test_a_tick_costs_the_same_with_many_suspects_that_are_not_due() -> None:
    costs = []
    for count in (SMALL, LARGE):
        members = fleet(count)
        suspect(members, 0.05, count)
        members.tick(0.1)
        costs.append(count_operations(lambda members=members: members.tick(0.2)))  # type: ignore[misc]
    assert costs[1] <= costs[0] * 1.1


def test_a_tick_costs_the_same_with_many_dead_members_that_are_not_due() -> None:
    costs = []
    for count in (SMALL, LARGE):
        members = fleet(count)
        for number in range(count):
            members.receive(0.05, "x", "l", 1, Rumor(f"p{number}", "l", 1, "d", by="x"))
        members.tick(0.1)
        members.up()
        costs.append(count_operations(lambda members=members: members.tick(0.2)))  # type: ignore[misc]
    assert costs[1] <= costs[0] * 1.1


class PlainMembers(Members):
    """Scans all members at each tick."""

    def _expire_suspects(self, now: float, late: bool) -> None:
        size, health = self.size, self.health
        for member in sorted(self.members.values(), key=lambda each: (each.since, each.name)):
            time = suspicion_time(size, self._period, member.confirmations, health)
            if (
                member.state == "s"
                and now - member.since >= time
                and now >= member.not_before
                and not (late and self._postpone(member, now))
            ):
                self._take(member.rumor_in_state("d", self.name), now)
        for member in list(self.members.values()):
            if not member.up and now - member.since >= FORGET_S:
                self._not_alive.forget(member.name)
                del self.members[member.name]
                self._changed(member.name, "", member.state)


# --- seeds ---
def test_the_search_for_unknown_seeds_costs_the_same_in_a_large_fleet() -> None:
    costs = []
    for count in (SMALL, LARGE):
        members = fleet(count, ("at7", "seed"))
        members.receive(0.05, "x", "l", 1, Rumor("p3", "l", 1, "d", by="x"))
        costs.append(count_operations(lambda members=members: members._reconnect(0.1)))  # type: ignore[misc]
    assert costs[1] <= costs[0] * 1.1


def test_helpers_are_sampled_without_a_scan_of_the_fleet_and_never_the_target() -> None:
    costs = []
    for count in (SMALL, LARGE):
        members = fleet(count)
        members.up()
        probe = Probe("p7", "l", 1, 0.0, 1.0)
        costs.append(
            count_operations(lambda members=members, probe=probe: members._request_helpers(probe))
        )  # type: ignore[misc]
    assert costs[1] <= costs[0] * 1.5  # duplicate samples are drawn again
    members = fleet(HELPERS + 1)
    for _ in range(50):
        helpers = [out.to for out in members._request_helpers(Probe("p2", "l", 1, 0.0, 1.0))[1:]]
        assert sorted(helpers) == ["p0", "p1", "p3"]


places = st.sampled_from(["", "s1", "s2", "other"])


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 3), st.sampled_from("asdl"), places)))
def test_unknown_seeds_match_a_scan_of_all_members(
    rumors: list[tuple[int, int, str, str]],
) -> None:
    members = Members("me", "l", 1, "s3", "", 1.0, ("s1", "s2", "s3"), random.Random(1), 0.0)
    for step, (name, incarnation, state, place) in enumerate(rumors):
        rumor = Rumor(f"p{name}", "l", incarnation, state, place, "", "x")
        members.receive(step * 9.0, "x", "l", 1, rumor)
        members.tick(step * 9.0 + 0.1)
        known = {member.place for member in members.members.values() if member.up}
        assert members._seeds.unknown() == [seed for seed in ("s1", "s2") if seed not in known]
        assert members.size == 1 + sum(member.up for member in members.members.values())


# --- rumors ---
def waiting(count: int) -> Rumors:
    """A queue of `count` rumors, each sent a different number of times."""
    made = Rumors()
    for number in range(count):
        made.add(Rumor(f"p{number}", "l", 1, "s", by="x"))
        if number % 3 == 0:
            made.next(10_000)
    return made


def test_rumors_of_a_datagram_and_a_new_rumor_cost_the_same_with_a_long_queue() -> None:
    for work in (
        lambda rumors: rumors.next(10_000),
        lambda rumors: rumors.add(Rumor("new", "l", 1, "s", by="x")),
    ):
        costs = []
        for count in (SMALL, MAX_WAITING):
            rumors = waiting(count)
            costs.append(count_operations(lambda rumors=rumors, work=work: work(rumors)))  # type: ignore[misc]
        assert costs[1] <= costs[0] * 1.5 + 100  # 100: the cost of evicting another rumor


class PlainRumors:
    """A queue that sorts all rumors."""

    def __init__(self) -> None:
        self.waiting: dict[str, tuple[Rumor, int]] = {}

    def add(self, rumor: Rumor) -> None:
        if rumor.name not in self.waiting and len(self.waiting) >= MAX_WAITING:
            del self.waiting[max(self.waiting, key=lambda name: self.waiting[name][1])]
        self.waiting[rumor.name] = rumor, 0

    def drop(self, name: str) -> None:
        self.waiting.pop(name, None)

    def next(self, size: int) -> list[Rumor]:
        times = math.ceil(RETRANSMIT_FACTOR * math.log10(size + 9))
        found = []
        for name in sorted(self.waiting, key=lambda name: self.waiting[name][1])[
            :RUMORS_PER_DATAGRAM
        ]:
            rumor, sent = self.waiting[name]
            found.append(rumor)
            if sent + 1 >= times:
                del self.waiting[name]
            else:
                self.waiting[name] = rumor, sent + 1
        return found


said = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(0, 40), st.integers(0, 3)),
        st.tuples(st.just("drop"), st.integers(0, 40), st.just(0)),
        st.tuples(st.just("next"), st.sampled_from([1, 50, 2_600]), st.integers(1, 5)),
    ),
    max_size=200,
)


@pytest.mark.parametrize("most", [MAX_WAITING, 20])
def test_rumors_leave_in_the_order_of_a_sorted_queue(most: int) -> None:
    @settings(max_examples=200, deadline=None)
    @given(said)
    def check(steps: list[tuple[str, int, int]]) -> None:
        kept, plain = Rumors(), PlainRumors()
        for what, first, second in steps:
            for rumors in (kept, plain):
                if what == "add":
                    rumors.add(Rumor(f"p{first}", "l", second, "a"))
                elif what == "drop":
                    rumors.drop(f"p{first}")
            if what == "next":
                for _ in range(second):
                    assert kept.next(first) == plain.next(first)
            assert set(kept._queued) == set(plain.waiting)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("violetroute.sharing.rumors.MAX_WAITING", most)
        patch.setattr(f"{__name__}.MAX_WAITING", most)
        check()


# --- suspicions, compared with a scan ---
steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("hear"),
            st.integers(0, 7),
            st.integers(0, 2),
            st.sampled_from("asssdl"),
            st.integers(0, 5),
        ),
        st.tuples(st.just("tick"), st.sampled_from([0.1, 0.1, 0.2, 3.0, 8.0, 30.0])),
        st.tuples(st.just("health"), st.integers(0, 6)),
    ),
    max_size=80,
)


@settings(max_examples=150, deadline=None)
@given(steps)
def test_suspicions_end_as_in_a_scan_of_all_members(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    changes: dict[type, list[tuple[str, str]]] = {Members: [], PlainMembers: []}
    both = [
        kind(
            "me",
            "l",
            1,
            "here",
            "",
            1.0,
            (),
            random.Random(1),
            0.0,
            lambda name, state, was, kind=kind: changes[kind].append((name, state)),  # type: ignore[misc]
        )
        for kind in (Members, PlainMembers)
    ]
    now = 0.0
    for step in steps:
        if step[0] == "tick":
            now += step[1]
        for members in both:
            match step:
                case ("hear", name, incarnation, state, by):
                    rumor = Rumor(f"p{name}", "l", incarnation, state, "at", "", f"p{by}")
                    members.receive(now, "x", "l", 1, rumor)
                case ("health", health):
                    members.health = health
                case _:
                    members.tick(now)
        first, plain = (
            [(m.name, m.state, m.since, m.not_before) for m in members.members.values()]
            for members in both
        )
        assert first == plain
        assert both[0].health == both[1].health
        assert sorted(changes[Members]) == sorted(changes[PlainMembers])
