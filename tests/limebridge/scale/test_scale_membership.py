"""Membership in a scale run: fleet size over time, restarts, probe interval, list comparisons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec

from limebridge.scale.held_loop import HeldLoop
from limebridge.scale.hollow import GossipSetup, HeldWallClock, HollowProxy
from limebridge.scale.links import LinkTable
from limebridge.scale.membership_samples import (
    MembershipSample,
    MembershipSummary,
    membership_sample,
    summarize_membership,
)
from limebridge.scale.run import ScaleRun
from limebridge.scale.run_fleet import Fleet
from limebridge.scale.run_plan import RunPlan
from limebridge.scale.traffic import Counters, DatagramShaper
from limebridge.scale.virtual_members import VirtualMembers
from violetroute.sharing.anti_entropy import COMPARE_INTERVAL_S
from violetroute.sharing.members import Members
from violetroute.sharing.outgoing import Send
from violetroute.sharing.wire import Digests, Keys

HandleDigests = Callable[[float, str, Digests], list[Send]]
SMALL = RunPlan(
    proxies=10, sites=4, regions=2, nodes=5, real=1, controls=3, seconds=4.0, warm_seconds=0.5
)


def test_samples_of_all_processes_are_combined_by_second() -> None:
    samples = [
        membership_sample([4, 2], 100.2),
        MembershipSample(at=100.9, proxies=1, fewest=3, total=3),
        membership_sample([1], 101.0),
    ]
    assert summarize_membership(samples, 100.0) == (
        MembershipSummary(after_s=0.0, fewest=2, mean=3.0),
        MembershipSummary(after_s=1.0, fewest=1, mean=1.0),
    )
    assert summarize_membership([], 100.0) == ()


def test_a_restart_of_all_proxies_is_reported_in_the_membership() -> None:
    plan = msgspec.structs.replace(SMALL, restart_within_s=0.5)
    report = asyncio.run(ScaleRun(plan, lambda activity, share: None).run())
    before = [each for each in report.membership if each.after_s < plan.seconds / 3.0 - 1.0]
    assert before and all(each.fewest >= plan.proxies for each in before)
    # A sample is taken each second and may miss the restart.  The lives in the lists of the proxies
    # at the end show that it took place.
    assert any("as their present process: mean" in note for note in report.notes)
    assert any(f"of {plan.members}" in note for note in report.notes)
    assert report.in_force is not None and report.in_force.never_applied == 0


def test_without_restarts_the_notes_do_not_mention_them() -> None:
    plan = msgspec.structs.replace(SMALL, real=0, distribution=False, seconds=1.5)
    report = asyncio.run(ScaleRun(plan, lambda activity, share: None).run())
    assert not any("present process" in note for note in report.notes)
    assert report.membership[0].fewest == report.membership[0].mean == plan.proxies


def test_all_proxies_have_the_probe_interval_of_the_plan(tmp_path: Path) -> None:
    plan = msgspec.structs.replace(SMALL, probe_s=2.5, distribution=False)
    fleet = Fleet(plan, tmp_path, lambda activity: None)
    fleet.gossip_port = 1
    locations = tuple(plan.hollow_locations())
    assert fleet._host_file(0, locations, locations).probe_s == 2.5
    assert fleet._operator_tables(plan.real_locations()[0])["sharing"]["probe_s"] == 2.5


def test_a_hollow_proxy_has_the_probe_interval_of_its_setup(tmp_path: Path) -> None:
    links = LinkTable.create(tmp_path / "links", 2, 1, 0.0)
    counters = Counters(tmp_path / "counters", 1, create=True)
    location = SMALL.hollow_locations()[0]
    loop = HeldLoop()
    proxy = HollowProxy(
        location, loop, counters.block(0), DatagramShaper(links, location.region, "1")
    )
    setup = GossipSetup(0, Keys([b"a key of this test"]), 2, 0, HeldWallClock(1.0), 2.5, 0.0, 0.0)
    try:
        proxy.start_gossip(setup, ())
        assert proxy.sharing is not None
        assert proxy.sharing.table.probe_s == 2.5
    finally:
        proxy.close()
        loop.close()


def test_a_new_fleet_compares_its_lists_at_the_rate_of_a_long_running_one() -> None:
    """The first comparisons are as frequent as those of a fleet that has run for long."""
    count = 2000
    members = [
        Members(f"p{number}", "x", 1, "at", "", 1.0, (), Random(number), 0.0)
        for number in range(count)
    ]
    delays = [member._anti_entropy.compare_at for member in members]
    # In a long-running fleet the intervals are 0.5 to 1.5 COMPARE_INTERVAL_S, so comparisons are a
    # renewal process with 1 / COMPARE_INTERVAL_S events per second.
    share = sum(delay < COMPARE_INTERVAL_S / 2.0 for delay in delays) / count
    assert 0.46 < share < 0.54
    assert min(delays) >= 0.0 and max(delays) <= COMPARE_INTERVAL_S


def test_a_fleet_at_rest_sends_no_bucket_digests() -> None:
    fleet = VirtualMembers(20)
    fleet.add_all()
    comparisons = [0]
    for member in fleet.members:
        handle = member.members._anti_entropy._handle_digests

        def handle_counted(
            now: float, name: str, item: Digests, handle: HandleDigests = handle
        ) -> list[Send]:
            comparisons[0] += 1
            assert not item.digests
            return handle(now, name, item)

        member.members._anti_entropy._handle_digests = handle_counted  # type: ignore[method-assign]
    fleet.run(60.0)
    assert 0.8 < comparisons[0] / (20 * 60.0 / COMPARE_INTERVAL_S) < 1.2
