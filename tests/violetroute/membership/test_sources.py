"""Several sources of one list: who speaks, whose drains count, and the file as a source."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limebridge.standins.consul import Catalogue, Consul
from snowstall import CacheState, Member
from tests.support.rig import CacheNode, Rig, get, serves, until
from violetroute.config import ConfigError, Operator
from violetroute.config.operator import parse_operator
from violetroute.membership import (
    ConsulTable,
    Entry,
    Listing,
    MembershipTable,
    NodeAddresses,
    stable_hash,
)
from violetroute.membership.consul_health import Health, HealthReader, Instance
from violetroute.membership.merge import MAX_REMOVALS, ListMerger
from violetroute.membership.query import BlockingQuery, UnusableAnswer
from violetroute.membership.staleness import CatalogueState, PendingUpdates
from violetroute.transport import Address

READY, DRAINING, GONE = CacheState.READY, CacheState.DRAINING, CacheState.GONE
TABLE = MembershipTable(patience_s=10.0, settle_s=5.0, least_match=0.5)
WALL = 1e12  # Unix ms at the loop's 0


def entry(
    name: str, state: CacheState = READY, port: int = 0, started: float = 0.0, hint: bool = False
) -> Entry:
    address = None if state is GONE else Address("10.0.0.1", port or 1000 + int(name[1:]))
    return Entry(name, state, address, "", "", 0, 1.0, started, hint=hint)


def whole(*entries: Entry) -> Listing:
    return Listing(1, True, entries)


def some(count: int, start: int = 0) -> Listing:
    return whole(*(entry(f"n{number}") for number in range(start, start + count)))


def merge() -> ListMerger:
    """Both sources have told the same four nodes; a speaks."""
    made = ListMerger(("a", "b"), TABLE, 0.0)
    made.apply(0.0, WALL, "a", some(4))
    made.apply(0.0, WALL, "b", some(4))
    return made


def states(made: ListMerger, wall: float = WALL) -> dict[str, CacheState]:
    return {name: each.state for name, each in made.entries(wall).items()}


def names(made: ListMerger) -> set[str]:
    return set(made.entries(WALL))


# --- who speaks ---
def test_a_lower_source_speaks_at_the_start_only_after_the_first_ones_patience() -> None:
    made = ListMerger(("a", "b"), TABLE, 0.0)
    made.apply(1.0, WALL, "b", some(2))
    assert (
        made.current_source is None
        and made.entries(WALL) == {}
        and made.next_change_at(1.0) == 10.0
    )
    made.tick(9.9)
    assert made.current_source is None
    made.tick(10.0)
    assert made.current_source == "b"


def test_a_silent_speaker_goes_on_for_its_patience_and_comes_back_settled() -> None:
    made = merge()
    assert made.current_source == "a" and made.next_change_at(0.0) is None
    made.apply(1.0, WALL, "b", whole(*(entry(f"n{n}") for n in (0, 1, 9))))
    made.source_failed(2.0, "a")
    made.source_failed(5.0, "a")  # asked again in vain: it counts from the first time
    assert made.next_change_at(5.0) == 12.0
    made.tick(11.9)
    assert made.current_source == "a"
    made.tick(12.0)
    assert made.current_source == "b" and names(made) == {"n0", "n1", "n9"}
    made.apply(20.0, WALL, "a", some(4))
    assert made.current_source == "b" and made.next_change_at(20.0) == 25.0
    made.source_failed(22.0, "a")
    made.apply(23.0, WALL, "a", some(4))
    made.tick(27.9)
    assert made.current_source == "b"  # it has not been there for five seconds on end
    made.tick(28.0)
    assert made.current_source == "a"


def test_a_higher_source_that_is_back_speaks_at_once_when_the_speaker_is_away() -> None:
    made = merge()
    made.source_failed(1.0, "a")
    made.tick(11.0)
    made.source_failed(12.0, "b")
    assert made.current_source == "b"
    made.apply(13.0, WALL, "a", some(4))
    assert made.current_source == "a"


@pytest.mark.parametrize(("listing", "share"), [(some(1), 0.25), (some(4, 4), 0.0)])
def test_a_list_of_other_nodes_does_not_follow(listing: Listing, share: float) -> None:
    made = merge()
    made.apply(0.5, WALL, "b", listing)
    made.source_failed(1.0, "a")
    made.tick(11.0)
    assert made.current_source == "a" and made.dissimilar == ("b", share)
    assert states(made)["n0"] is READY
    made.apply(12.0, WALL, "b", some(2))
    assert made.current_source == "b" and made.dissimilar is None


def test_an_empty_list_is_nobodys() -> None:
    made = ListMerger(("a", "b"), TABLE, 0.0)
    made.apply(0.0, WALL, "a", whole())
    made.apply(0.0, WALL, "b", some(2))
    assert made.current_source == "b"
    made.tick(50.0)
    assert made.current_source == "b"


# --- drains and goings ---
@pytest.mark.parametrize("name", ["n1", "x1"])  # the other source may name it differently
def test_a_drain_counts_whoever_tells_of_it_until_it_is_taken_back(name: str) -> None:
    made = merge()
    made.apply(1.0, WALL, "b", Listing(2, False, (entry(name, DRAINING, port=1001),)))
    assert states(made)["n1"] is DRAINING
    made.apply(2.0, WALL, "a", some(4))
    assert states(made)["n1"] is DRAINING  # the speaker's word does not end it
    made.source_failed(3.0, "b")
    assert states(made)["n1"] is DRAINING  # nor its source's silence
    made.apply(4.0, WALL, "b", Listing(3, False, (entry(name, READY, port=1001),)))
    assert states(made)["n1"] is READY


def test_a_going_counts_whoever_tells_of_it() -> None:
    made = merge()
    made.apply(1.0, WALL, "b", Listing(2, False, (entry("n1", GONE),)))
    assert names(made) == {"n0", "n2", "n3"}
    made.apply(2.0, WALL, "b", whole(entry("n0"), entry("n3")))
    assert names(made) == {"n0", "n3"}


def test_a_drain_is_kept_when_its_source_no_longer_speaks() -> None:
    made = merge()
    made.apply(1.0, WALL, "a", Listing(2, False, (entry("n1", DRAINING),)))
    made.source_failed(2.0, "a")
    made.tick(12.0)
    assert made.current_source == "b" and states(made)["n1"] is DRAINING


def test_a_later_start_ends_a_drain_but_not_one_that_is_yet_to_come() -> None:
    made = merge()
    made.apply(1.0, WALL, "b", Listing(2, False, (entry("n1", DRAINING),)))
    made.apply(2.0, WALL, "a", Listing(2, False, (entry("n1", started=WALL + 500.0),)))
    assert states(made, WALL + 400.0)["n1"] is DRAINING
    assert states(made, WALL + 600.0)["n1"] is READY


def test_a_drain_that_is_told_again_is_one_of_the_later_start() -> None:
    made = merge()
    made.apply(1.0, WALL, "b", Listing(2, False, (entry("n1", DRAINING),)))
    made.apply(2.0, WALL, "a", Listing(2, False, (entry("n1", started=WALL + 500.0),)))
    made.apply(3.0, WALL + 900.0, "b", Listing(2, False, (entry("n1", DRAINING),)))
    assert states(made, WALL + 1000.0)["n1"] is DRAINING


def test_a_going_by_name_counts_whatever_the_sources_say_of_its_start() -> None:
    made = merge()
    made.apply(1.0, WALL, "a", Listing(2, False, (entry("n1", started=WALL - 60_000.0),)))
    made.apply(2.0, WALL, "b", Listing(2, False, (entry("n1", GONE),)))
    assert names(made) == {"n0", "n2", "n3"}


def test_being_registered_anew_is_no_later_start() -> None:
    made, belief = ListMerger(("a", "b"), TABLE, 0.0), CatalogueState(ConsulTable())
    node = {
        f"n{number}": Instance(f"n{number}", Address("10.0.0.1", 1000 + number), Health.PASSING)
        for number in range(4)
    }

    def consul_says(at: float, seen: dict[str, Instance]) -> None:
        belief.apply(at, WALL + at * 1000.0, seen)
        made.apply(at, WALL, "a", whole(*belief.entries(at).values()))

    consul_says(0.0, node)
    made.apply(0.0, WALL, "b", some(4))
    made.apply(1.0, WALL, "b", Listing(2, False, (entry("n1", DRAINING),)))
    consul_says(2.0, {name: each for name, each in node.items() if name != "n1"})
    consul_says(3.0, node)
    assert states(made, WALL + 9000.0)["n1"] is DRAINING
    consul_says(4.0, node | {"n1": replace(node["n1"], started_at=WALL + 3900.0)})
    assert states(made, WALL + 9000.0)["n1"] is READY


def test_who_starts_at_the_address_of_one_that_is_gone_stays() -> None:
    made = merge()
    made.apply(
        1.0,
        WALL,
        "a",
        Listing(2, False, (entry("n1", GONE), entry("m1", port=1001, started=WALL - 60_000.0))),
    )
    made.apply(2.0, WALL, "b", Listing(2, False, (entry("n1", GONE),)))
    assert names(made) == {"n0", "n2", "n3", "m1"}


def test_a_list_that_loses_most_tells_of_no_single_node() -> None:
    made = merge()
    made.apply(1.0, WALL, "b", some(1))
    assert names(made) == {"n0", "n1", "n2", "n3"}


def test_a_node_that_is_critical_elsewhere_is_no_plan() -> None:
    made = merge()
    made.apply(1.0, WALL, "b", Listing(2, False, (entry("n1", GONE, hint=True),)))
    assert states(made)["n1"] is READY


def test_plans_are_bounded_and_the_oldest_make_way() -> None:
    made = merge()
    for number in range(MAX_REMOVALS + 5):
        made.apply(1.0, WALL, "b", Listing(2, False, (entry(f"n{number}", GONE),)))
    assert len(made._sources["b"].removals) == MAX_REMOVALS
    assert names(made) == {"n0", "n1", "n2", "n3"}  # theirs were the first


Step = st.tuples(
    st.sampled_from(("a", "b", "c")),
    st.sampled_from(("list", "lost", "tick")),
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from((READY, DRAINING, GONE))), max_size=6),
    st.booleans(),
)


@given(st.lists(Step, max_size=40))
def test_whatever_is_told_a_drain_holds_and_the_speaker_is_one_that_was_heard(
    steps: list[Any],
) -> None:
    made, now, heard = ListMerger(("a", "b", "c"), TABLE, 0.0), 0.0, set()
    drains: dict[str, set[str]] = {"a": set(), "b": set(), "c": set()}
    for source, what, told, is_whole in steps:
        now += 1.7
        if what == "list":
            entries = {f"n{number}": entry(f"n{number}", state) for number, state in told}
            made.apply(now, WALL, source, Listing(1, is_whole, tuple(entries.values())))
            heard.add(source)
            drains[source] -= {name for name, each in entries.items() if each.state is READY}
            drains[source] |= {name for name, each in entries.items() if each.state is not READY}
        elif what == "lost":
            made.source_failed(now, source)
        else:
            made.tick(now)
        assert made.current_source is None or made.current_source in heard
        due = made.next_change_at(now)
        assert due is None or due > now
        ready_entries = {name for name, state in states(made).items() if state is READY}
        assert not ready_entries & set().union(*drains.values())


# --- what Consul's watch tells on ---
def test_a_deregistration_of_a_critical_node_is_told_as_a_plan() -> None:
    belief, pending = CatalogueState(ConsulTable()), PendingUpdates()

    def seen(**healths: Health) -> list[Entry]:
        belief.apply(
            0.0,
            WALL,
            {
                name: Instance(name, Address("10.0.0.1", 1000 + int(name[1:])), health)
                for name, health in healths.items()
            },
        )
        return pending.collect(belief, 0.0)[1]

    good = {"n1": Health.PASSING, "n2": Health.PASSING}
    assert len(seen(n0=Health.PASSING, **good)) == 3
    (sick,) = seen(n0=Health.CRITICAL, **good)
    assert sick.state is GONE and sick.hint
    (gone,) = seen(**good)
    assert gone.state is GONE and not gone.hint
    assert seen(**good) == []


# --- the catalogue's endpoint ---
def test_the_catalogue_is_read_without_checks_and_with_the_drain_tag() -> None:
    table = ConsulTable(endpoint="catalog")
    assert BlockingQuery(table).target() == "/v1/catalog/service/cache"
    row = {
        "ID": "u",
        "Node": "m1",
        "Address": "10.0.0.9",
        "ServiceID": "c1",
        "ServiceName": "cache",
        "ServiceAddress": "",
        "ServicePort": 7,
        "ServiceTags": [],
        "ServiceMeta": {"zone": "paterno"},
        "ServiceWeights": {"Passing": 2, "Warning": 1},
    }
    found = HealthReader(table).read(
        json.dumps(
            [
                row,
                row | {"ServiceID": "c2", "ServiceTags": ["draining"]},
                row | {"ServiceID": "c3", "ServicePort": 0},
            ]
        ).encode()
    )
    assert found == {
        "c1": Instance("c1", Address("10.0.0.9", 7), Health.PASSING, "paterno", weight=2.0),
        "c2": Instance("c2", Address("10.0.0.9", 7), Health.DRAINS, "paterno", weight=2.0),
    }


def test_an_agents_cache_is_asked_and_its_age_heeded_but_not_for_the_leaders_word() -> None:
    query = BlockingQuery(ConsulTable(cached=True, stale_within_s=10.0))
    assert query.target().endswith("?cached") and "cached" not in query.target(confirm=True)
    assert query.check(200, {"age": "10", "x-cache": "HIT"}) is None
    refused = query.check(200, {"age": "11", "x-cache": "HIT"})
    assert isinstance(refused, UnusableAnswer) and refused.drains_valid
    assert BlockingQuery(ConsulTable()).check(200, {"age": "11"}) is None


# --- on real sockets ---
def test_consul_the_platform_and_a_file_follow_one_another_under_load(tmp_path: Path) -> None:
    async def run() -> None:
        catalogue = Catalogue()
        agent = await Consul(catalogue).start()
        nodes = [await CacheNode(serves).start() for _ in range(3)]
        for number, node in enumerate(nodes):
            catalogue.register(f"c{number}", node.port, address="127.0.0.1")
        path = tmp_path / "nodes.json"

        def listed(*drains: int) -> list[dict[str, Any]]:
            return [
                node.entry(f"s-{number}", "terminating" if number in drains else "in_service")
                for number, node in enumerate(nodes)
            ]

        def write(*drains: int) -> None:
            fresh = tmp_path / "fresh"
            fresh.write_text(json.dumps({"instances": listed(*drains)}))
            fresh.rename(path)

        write()
        async with Rig(*nodes) as rig:
            rig.discovery.lines.append({"generation": 5, "reset": True, "instances": listed()})
            operator = Operator(
                consul=ConsulTable(
                    agents=(f"127.0.0.1:{agent.port}",), least_interval_s=0.01, wait_s=0.5
                ),
                membership=MembershipTable(
                    sources=("consul", "platform", "file"),
                    file=str(path),
                    file_every_s=0.02,
                    patience_s=0.4,
                    settle_s=0.05,
                ),
            )
            answers: list[bytes] = []

            async def load() -> None:
                while True:
                    answers.extend(await rig.ask(get(len(answers))))

            def used() -> set[str]:
                known = set(rig.proxy.nodes)
                return {
                    name for name in ("s-0", "s-1", "s-2") if stable_hash(name.encode()) in known
                }

            def speaks() -> str | None:
                return rig.proxy._watch._watch._notified_source  # type: ignore[attr-defined]

            asking = asyncio.create_task(load())
            rig.proxy.reload(replace(rig.config, operator=operator))
            await until(lambda: speaks() == "consul")
            write(0)  # the lowest tells of a drain
            await until(lambda: used() == {"s-1", "s-2"})
            await agent.stop()
            await until(lambda: speaks() == "platform")
            rig.discovery.refuse = True
            for writer in list(rig.discovery.open):
                writer.transport.abort()
            await until(lambda: speaks() == "file")
            write(1)
            await until(lambda: used() == {"s-0", "s-2"})
            path.write_text("{")  # torn: the last list holds, and it is looked at again
            await until(lambda: rig.proxy._watch._watch._running.get("file", 1))  # type: ignore[attr-defined]
            write()
            await until(lambda: used() == {"s-0", "s-1", "s-2"})
            await agent.start(agent.port)
            await until(lambda: speaks() == "consul")
            catalogue.maintain("c2", True)
            await until(lambda: used() == {"s-0", "s-1"})
            seen = len(answers)
            await until(lambda: len(answers) > seen + 10)
            asking.cancel()
            assert all(answer.startswith(b"value of id") for answer in answers)
        await agent.stop()

    asyncio.run(run())


def test_a_file_alone_is_a_source_and_its_mistakes_change_nothing(tmp_path: Path) -> None:
    async def run() -> None:
        nodes = [await CacheNode(serves).start() for _ in range(2)]
        path = tmp_path / "nodes.json"
        path.write_text(json.dumps({"instances": [nodes[0].entry("f0")]}))
        async with Rig(*nodes) as rig:
            rig.proxy.reload(
                replace(
                    rig.config,
                    operator=Operator(
                        membership=MembershipTable(
                            sources=("file",), file=str(path), file_every_s=0.02
                        )
                    ),
                )
            )
            # At a known address the node keeps the name that it had.
            await until(lambda: rig.proxy.nodes == [stable_hash(b"s-0")])
            watch = rig.proxy._watch._watch
            for wrong in ("[]", "{", '{"instances": 3}', "x" * (4 * 1024 * 1024 + 1)):
                path.write_text(wrong)
                await until(lambda: watch._timer is None)  # type: ignore[attr-defined]
                assert rig.proxy.nodes == [stable_hash(b"s-0")]
                path.write_text(json.dumps({"instances": [nodes[0].entry("f0")]}))
                await until(lambda: watch._timer is not None)  # type: ignore[attr-defined]
            assert (await rig.ask(get(1)))[0].startswith(b"value of id1")

    asyncio.run(run())


def test_a_pipe_in_place_of_the_file_stops_nothing(tmp_path: Path) -> None:
    async def run() -> None:
        path = tmp_path / "nodes.json"
        os.mkfifo(path)
        async with Rig(await CacheNode(serves).start()) as rig:
            rig.proxy.reload(
                replace(
                    rig.config,
                    operator=Operator(
                        membership=MembershipTable(sources=("file",), file=str(path))
                    ),
                )
            )
            watch = rig.proxy._watch._watch
            await until(lambda: watch._timer is not None)  # type: ignore[attr-defined]
            await until(lambda: watch._timer is None)  # type: ignore[attr-defined]
            assert (await rig.ask(get(1)))[0].startswith(b"value of id1")

    asyncio.run(run())


def test_wrong_sources_are_named() -> None:
    for table, said in (
        ({"sources": ["consul"]}, "agents is empty"),
        ({"sources": ["file"]}, "file is empty"),
        ({"sources": ["platform", "platform"]}, "duplicate source"),
        ({"sources": ["etcd"]}, "Invalid enum value"),
    ):
        with pytest.raises(ConfigError, match=r"^f: \[membership\] sources: ") as raised:
            parse_operator({"membership": table}, "f")
        assert said in str(raised.value)


# --- one node at an address ---
HERE, THERE = Address("10.0.0.1", 1), Address("10.0.0.1", 2)


def told(change: Any) -> list[tuple[int, CacheState]]:
    return [(member.id, member.state) for member in change.members]


def test_of_two_nodes_at_an_address_the_later_started_is_there() -> None:
    places = NodeAddresses()
    assert places.apply(Member(1, started_at=5.0), HERE).placed
    early = places.apply(Member(2, started_at=4.0), HERE)
    assert told(early) == [(2, GONE)] and not early.placed
    late = places.apply(Member(3, started_at=6.0), HERE)
    assert told(late) == [(3, READY), (1, GONE)] and late.placed and 1 in late.removed
    assert places.apply(Member(1, started_at=5.0), THERE).placed


@pytest.mark.parametrize("started", [0.0, 4.0, 5.0])
def test_an_entry_for_the_address_of_a_node_that_drains_is_gone(started: float) -> None:
    places = NodeAddresses()
    drains = places.apply(Member(1, DRAINING, started_at=5.0), HERE)
    assert not drains.placed and 1 in drains.removed
    stale = places.apply(Member(2, started_at=started), HERE)
    assert told(stale) == [(2, GONE)] and not stale.placed
    again = places.apply(Member(3, started_at=6.0), HERE)
    assert told(again) == [(3, READY), (1, GONE)] and again.placed


def test_a_start_that_is_inferred_settles_nothing_against_a_drain() -> None:
    places = NodeAddresses()
    places.apply(Member(1, started_at=5.0), HERE)
    assert places.apply(Member(2, started_at=9.0), HERE, inferred=True).placed
    drains = places.apply(Member(1, DRAINING, started_at=5.0), HERE)
    assert told(drains) == [(1, DRAINING), (2, GONE)]
    assert told(places.apply(Member(2, started_at=9.0), HERE, inferred=True)) == [(2, GONE)]
    assert places.apply(Member(2, started_at=9.0), HERE).placed


def test_a_node_that_moves_or_goes_leaves_its_address() -> None:
    places = NodeAddresses()
    places.apply(Member(1), HERE)
    moved = places.apply(Member(1), THERE)
    assert moved.removed == [1] and moved.placed
    assert told(places.apply(Member(2), HERE)) == [(2, READY)]
    assert places.apply(Member(1, GONE), None).removed == [1]
    assert told(places.apply(Member(3), THERE)) == [(3, READY)]
    assert places.retain([3]) == [2] and places.retain([3]) == []


def test_before_anyone_speaks_a_drain_counts_for_the_list_that_holds() -> None:
    made = ListMerger(("a", "b"), TABLE, 0.0)
    made.set_initial_list(some(3).entries)
    made.apply(1.0, WALL, "b", Listing(2, False, (entry("n1", DRAINING), entry("n2", GONE))))
    assert made.current_source is None and states(made) == {"n0": READY, "n1": DRAINING}
