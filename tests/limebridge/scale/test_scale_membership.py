"""Membership in a scale run: its size over time, its restarts, the time between two probes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from limebridge.scale.held_loop import HeldLoop
from limebridge.scale.hollow import GossipSetup, HollowProxy, StartClock
from limebridge.scale.links import LinkTable
from limebridge.scale.membership_looks import MembershipAt, MembershipLook, look, over_time
from limebridge.scale.page_walks import longest_wait_s, wait_at_rest_s
from limebridge.scale.run import ScaleRun
from limebridge.scale.run_fleet import Fleet
from limebridge.scale.run_plan import RunPlan
from limebridge.scale.traffic import Counters, Shape
from violetroute.sharing.wire import Keys

SMALL = RunPlan(
    proxies=10, sites=4, regions=2, nodes=5, real=1, controls=3, seconds=4.0, warm_seconds=0.5
)


def test_looks_of_all_processes_are_put_together_by_second() -> None:
    looks = [
        look([4, 2], 100.2),
        MembershipLook(at=100.9, proxies=1, fewest=3, total=3),
        look([1], 101.0),
    ]
    assert over_time(looks, 100.0) == (
        MembershipAt(after_s=0.0, fewest=2, mean=3.0),
        MembershipAt(after_s=1.0, fewest=1, mean=1.0),
    )
    assert over_time([], 100.0) == ()


def test_a_restart_of_all_is_seen_in_the_membership() -> None:
    plan = msgspec.structs.replace(SMALL, restart_within_s=0.5)
    report = asyncio.run(ScaleRun(plan, lambda what, share: None).play())
    before = [each for each in report.membership if each.after_s < plan.seconds / 3.0 - 1.0]
    assert before and all(each.fewest >= plan.proxies for each in before)
    # A look comes each second and may miss the restart itself; the lives at the end can't lie.
    assert any("as their present process: mean" in note for note in report.notes)
    assert any(f"of {plan.members}" in note for note in report.notes)
    assert report.in_force is not None and report.in_force.never_applied == 0


def test_without_restarts_nothing_is_said_of_them() -> None:
    plan = msgspec.structs.replace(SMALL, real=0, distribution=False, seconds=1.5)
    report = asyncio.run(ScaleRun(plan, lambda what, share: None).play())
    assert not any("present process" in note for note in report.notes)
    assert report.membership[0].fewest == report.membership[0].mean == plan.proxies


def test_all_proxies_ask_as_often_as_the_plan_says(tmp_path: Path) -> None:
    plan = msgspec.structs.replace(SMALL, probe_s=2.5, distribution=False)
    fleet = Fleet(plan, tmp_path, lambda what: None)
    fleet.gossip_port = 1
    places = tuple(plan.hollow_places())
    assert fleet._host_file(0, places, places).probe_s == 2.5
    assert fleet._operator_tables(plan.real_places()[0])["sharing"]["probe_s"] == 2.5


def test_a_hollow_proxy_asks_as_often_as_its_host_is_told(tmp_path: Path) -> None:
    links = LinkTable.create(tmp_path / "links", 2, 1, 0.0)
    counters = Counters(tmp_path / "counters", 1, create=True)
    place = SMALL.hollow_places()[0]
    loop = HeldLoop()
    proxy = HollowProxy(place, loop, counters.block(0), Shape(links, place.region, "1"))
    setup = GossipSetup(0, Keys([b"a key of this test"]), 2, 0, StartClock(1.0), 2.5, 0.0, 0.0)
    try:
        proxy.start_gossip(setup, ())
        assert proxy.sharing is not None
        assert proxy.sharing.table.probe_s == 2.5
    finally:
        proxy.close()
        loop.close()


def test_a_fleet_at_rest_walks_through_pages_as_often_as_one_that_has_run_for_long() -> None:
    """The waits are drawn so that a next one never makes walks rarer or more frequent."""
    size, draws = 2600, 100_000
    longest = longest_wait_s(size)
    waits = [wait_at_rest_s(size, (number + 0.5) / draws) for number in range(draws)]
    window = longest / 20.0
    # A renewal process with uniform times between 0 and `longest` has 2 / longest events a second.
    expected = window * 2.0 / longest
    share = sum(wait < window for wait in waits) / draws
    assert 0.95 * expected < share < expected
    assert max(waits) <= longest and min(waits) >= 0.0
    assert abs(sum(waits) / draws - longest / 3.0) < 0.001 * longest
