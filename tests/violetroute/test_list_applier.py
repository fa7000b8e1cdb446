"""ListApplier: leaving nodes are applied at once, joining ones in slices with the same result."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import msgspec
import pytest

from snowstall import CacheState, Member
from violetroute.listing import NODES_PER_SLICE, ListApplier
from violetroute.membership import Entry, Listing, NodeAddresses, as_member, stable_hash
from violetroute.transport import Address
from violetroute.upstream import Pool

NOW = 1e6  # Unix ms
READY, DRAINING, GONE = CacheState.READY, CacheState.DRAINING, CacheState.GONE


class Turns:
    """A stand-in for the event loop: callbacks of later iterations, run by hand."""

    def __init__(self) -> None:
        self.due: list[tuple[asyncio.Handle, Callable[[], None]]] = []

    def call_soon(self, work: Callable[[], None]) -> asyncio.Handle:
        handle = asyncio.Handle(work, (), cast(Any, self))
        self.due.append((handle, work))
        return handle

    def get_debug(self) -> bool:
        return False

    def run_one(self) -> bool:
        """Run the next callback; return whether there was one."""
        if not self.due:
            return False
        handle, work = self.due.pop(0)
        if not handle.cancelled():
            work()
        return True


class NodesOfPool:
    """A stand-in for the pool: the addresses of its nodes."""

    def __init__(self) -> None:
        self.at: dict[int, Address] = {}

    def add(self, cache_id: int, address: Address) -> None:
        self.at.setdefault(cache_id, address)

    def remove(self, cache_id: int) -> None:
        self.at.pop(cache_id, None)


class Applied:
    """A ListApplier with its stand-ins; `ready` holds the nodes in service."""

    def __init__(self) -> None:
        self.turns, self.places, self.pool = Turns(), NodeAddresses(), NodesOfPool()
        self.ready: dict[int, Member] = {}
        self.steps: list[list[Member]] = []
        self.lists = ListApplier(
            cast(asyncio.AbstractEventLoop, self.turns),
            self.places,
            cast(Pool, self.pool),
            lambda: NOW,
            self.on_members,
        )

    def on_members(self, members: list[Member]) -> None:
        self.steps.append(members)
        for member in {member.id: member for member in members}.values():
            if member.state is READY:
                self.ready[member.id] = member
            else:
                self.ready.pop(member.id, None)

    def apply(self, *entries: Entry, whole: bool = False, at_once: bool = False) -> None:
        self.on_members(self.lists.apply(Listing(1, whole, entries), whole, at_once).members)

    def run_all(self) -> None:
        while self.turns.run_one():
            pass


def entry(
    number: int, state: CacheState = READY, host: int | None = None, started: float = 0.0
) -> Entry:
    address = Address(f"10.0.{number if host is None else host}.1", 6379)
    return Entry(f"s-{number}", state, address, "a", "m", 0, 1.0, started)


def name(number: int) -> int:
    return stable_hash(f"s-{number}".encode())


def fleet(count: int) -> Applied:
    applied = Applied()
    applied.apply(*map(entry, range(count)), whole=True, at_once=True)
    assert len(applied.ready) == count and not applied.turns.due
    return applied


def test_leaving_nodes_are_applied_at_once_and_before_joining_ones() -> None:
    applied = fleet(100)
    coming = [entry(number) for number in range(100, 200)]
    leaving = [entry(number, DRAINING) for number in range(50)]
    applied.apply(*coming, *leaving)
    assert not any(name(number) in applied.ready for number in range(50))
    assert not any(name(number) in applied.pool.at for number in range(50))
    applied.run_all()
    assert len(applied.ready) == 150
    assert max(map(len, applied.steps[2:])) <= NODES_PER_SLICE


def test_a_node_that_drains_while_waiting_never_enters_service() -> None:
    applied = fleet(3)
    applied.apply(*map(entry, range(10, 60)))
    applied.apply(entry(59, DRAINING), entry(58, GONE))
    applied.run_all()
    assert name(59) not in applied.ready and name(58) not in applied.ready
    assert not any(m.id == name(59) and m.state is READY for step in applied.steps for m in step)


def test_a_whole_list_removes_waiting_nodes_that_it_does_not_name() -> None:
    applied = fleet(3)
    applied.apply(*map(entry, range(10, 60)))
    applied.apply(entry(0), entry(20), whole=True)
    assert set(applied.ready) == {name(0)}
    applied.run_all()
    assert set(applied.ready) == {name(0), name(20)} == set(applied.pool.at)


def test_a_restart_of_a_node_in_service_is_applied_at_once() -> None:
    """Otherwise requests go to the cold node as if it were warm."""
    applied = fleet(100)
    applied.apply(*(entry(number, started=5e5) for number in range(90)))
    assert sum(member.started_at == 5e5 for member in applied.ready.values()) == 90


@pytest.mark.parametrize("restarted_at", [4e5, 6e5])
def test_a_restart_and_a_takeover_of_its_address_in_one_list(restarted_at: float) -> None:
    """The node that started later has the address, whichever of the two entries comes first."""
    restarted, taking_over = entry(1, started=restarted_at), entry(2, host=1, started=5e5)
    for entries in ((restarted, taking_over), (taking_over, restarted)):
        applied = fleet(3)
        applied.apply(*entries)
        applied.run_all()
        winner = 1 if restarted_at > 5e5 else 2
        assert set(applied.ready) == {name(0), name(winner)} == set(applied.pool.at)
        assert applied.ready[name(winner)].started_at == max(restarted_at, 5e5)


def test_the_plan_is_told_of_updated_nodes_only_if_their_zone_or_kind_changes() -> None:
    applied = fleet(3)
    restarted = entry(1, started=5e5)
    moved = msgspec.structs.replace(entry(2), zone="b")
    listing = Listing(1, False, (restarted, moved))
    change = applied.lists.apply(listing, whole=False)
    assert change.joining == [(name(2), moved)]
    # A machine in another zone is added anew, which is as costly as a new node: in a slice.
    assert [member.id for member in change.members] == [name(1)]
    applied.run_all()
    assert [(member.id, member.zone) for member in applied.steps[-1]] == [(name(2), "b")]


def test_an_unchanged_list_applies_nothing() -> None:
    applied = fleet(100)
    applied.apply(*map(entry, range(100)), whole=True)
    assert applied.steps[-1] == [] and not applied.turns.due


def test_a_repeated_drain_is_applied_again() -> None:
    applied = fleet(3)
    applied.apply(entry(1, DRAINING))
    applied.apply(entry(1, DRAINING))
    assert [member.state for member in applied.steps[-1]] == [DRAINING]


def test_a_displaced_node_returns_with_the_next_whole_list() -> None:
    applied = fleet(3)
    applied.apply(entry(7, host=1, started=5e5))
    applied.run_all()
    assert name(1) not in applied.ready and name(7) in applied.ready
    applied.apply(*map(entry, range(3)), whole=True)
    applied.run_all()
    assert set(applied.ready) == set(map(name, range(3))) == set(applied.pool.at)


def test_nothing_is_applied_after_close() -> None:
    applied = fleet(3)
    applied.apply(*map(entry, range(10, 60)))
    applied.lists.close()
    applied.run_all()
    assert len(applied.ready) == 3


class AtOnce:
    """The reference: applies the entries in list order, all at once."""

    def __init__(self) -> None:
        self.places, self.ready = NodeAddresses(), dict[int, Member]()

    def apply(self, entries: tuple[Entry, ...], whole: bool) -> None:
        members: list[Member] = []
        for one in {each.instance: each for each in entries}.values():
            members += self.places.apply(as_member(one, NOW), one.address).members
        if whole:
            listed = {member.id for member in members}
            known = [member.id for member in self.places.members()]
            self.places.remove(node for node in known if node not in listed)
            self.ready = {}
        for member in {member.id: member for member in members}.values():
            if member.state is READY:
                self.ready[member.id] = member
            else:
                self.ready.pop(member.id, None)


@pytest.mark.parametrize("seed", range(40))
def test_slices_end_in_the_same_state_as_one_list_applied_at_once(seed: int) -> None:
    """Random changes, with lists that arrive before the slices of earlier ones are applied."""
    chance = random.Random(seed)
    sliced, plain = fleet(10), AtOnce()
    plain.apply(tuple(map(entry, range(10))), True)
    starts: dict[int, float] = {}
    for _ in range(60):
        entries = []
        for number in chance.sample(range(120), chance.choice((0, 1, 5, 60, 120))):
            if chance.random() < 0.2:
                starts[number] = starts.get(number, 0.0) + 1000.0
            state = chance.choices((READY, DRAINING, GONE), (6, 2, 1))[0]
            entries.append(entry(number, state, started=starts.get(number, 0.0)))
        whole = chance.random() < 0.2
        sliced.apply(*entries, whole=whole)
        plain.apply(tuple(entries), whole)
        assert set(sliced.ready) <= set(plain.ready), "a node is in service that should not be"
        for _ in range(chance.choice((0, 1, 3, 50))):
            sliced.turns.run_one()
        assert set(sliced.pool.at) == set(sliced.ready)
    sliced.run_all()
    assert sliced.ready == plain.ready
    assert set(sliced.pool.at) == set(plain.ready)
