"""Anti-entropy of the member list converges in bounded time, also with loss."""

from __future__ import annotations

import random

import pytest

from tests.support.member_network import MemberNetwork, OldMembers
from violetroute.sharing.anti_entropy import (
    COMPARE_INTERVAL_S,
)
from violetroute.sharing.wire import (
    BucketMembers,
    BucketRequest,
    Compare,
    Digests,
    Rumor,
    encode_item,
)

FLEET = 300
JOIN_S = 15.0  # time until a new member of FLEET members knows all, with datagram loss
RETURN_S = 20.0  # time from the last restart of a whole fleet until all know all


# --- convergence and cost ---
@pytest.mark.parametrize("loss", [0.0, 0.01, 0.05])
@pytest.mark.parametrize("seed", range(3))
def test_a_new_member_learns_the_list_in_bounded_time_despite_loss(loss: float, seed: int) -> None:
    net = MemberNetwork(loss, seed)
    net.start_connected(FLEET)
    net.passive = set(net.members)  # they only answer, so rumors do not help
    net.start("new")
    assert net.run_until_known("new", FLEET + 1, JOIN_S) < JOIN_S


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_restarted_within_10_s_lists_the_present_processes(seed: int) -> None:
    net, draw = MemberNetwork(0.01, seed), random.Random(seed)
    net.start_connected(120)
    names = draw.sample(sorted(net.members), len(net.members))
    for name in names:
        net.run(10.0 / len(names))
        net.start(name, "y")
    net.run(RETURN_S)
    assert net.all_known()


def test_equal_lists_cost_two_small_items_per_comparison() -> None:
    net = MemberNetwork()
    net.start_connected(40)
    net.run(60.0)
    questions = [item for _, _, item in net.items if isinstance(item, Compare)]
    answers = [item for _, _, item in net.items if isinstance(item, Digests)]
    assert len(questions) + len(answers) == len(net.items)
    assert all(not item.digests for item in answers)
    assert (
        40 * 60.0 / COMPARE_INTERVAL_S / 2 < len(questions) < 40 * 60.0 / COMPARE_INTERVAL_S * 1.5
    )
    assert max(len(encode_item(item)) for _, _, item in net.items) <= 24


def test_one_difference_costs_one_bucket_and_the_members_that_differ() -> None:
    net = MemberNetwork()
    net.start_connected(FLEET)
    net.passive = set(net.members) - {"p0"}
    other = Rumor("q", "x", 5, "a", "q")
    for name in net.passive:
        net.members[name].add_member(other, net.now)
    net.run(3.0 * COMPARE_INTERVAL_S)
    assert net.members["p0"].is_up("q", "x")
    answers = [item for _, _, item in net.items if isinstance(item, BucketMembers)]
    assert [[entry.name for entry in item.members] for item in answers] == [["q"]]
    assert net.received_bytes["p0"] + net.sent_bytes["p0"] < 600


def test_one_exchange_repairs_a_difference_on_both_sides() -> None:
    net = MemberNetwork()
    net.start_connected(2)
    net.passive = {"p1"}
    for number in range(20):
        side = net.members[f"p{number % 2}"]
        side.add_member(Rumor(f"q{number}", "x", 5, "a", f"q{number}"), net.now)
    net.run(2.0 * COMPARE_INTERVAL_S)
    assert net.members["p0"].size == net.members["p1"].size == 22


def test_a_new_member_requests_from_several_and_receives_no_requests() -> None:
    net = MemberNetwork()
    net.start_connected(FLEET)
    net.start("new")
    net.run(JOIN_S)
    requested_from = {to for sender, to, item in net.items if isinstance(item, BucketRequest)}
    assert len(requested_from - {"new"}) > 5
    early = [to for _, to, item in net.items if isinstance(item, BucketRequest) and to == "new"]
    assert not early


def test_members_that_disagree_on_a_dead_member_converge_without_reviving_it() -> None:
    net = MemberNetwork()
    net.start_connected(10)
    del net.members["p9"]
    gone = Rumor("p9", "x", 1, "d", by="p0")
    for name in ("p0", "p1", "p2", "p3"):
        net.members[name].receive(net.now, "p8", "x", 1, gone)
        net.members[name]._rumors.drop("p9")
    for _ in range(50):
        net.run(1.0)
        assert not any(net.members[f"p{number}"].is_up("p9", "x") for number in range(4))
    assert all(each.size == 9 for each in net.members.values())
    assert len({each._list.digests.whole for each in net.members.values()}) == 1


# --- builds before this one ---
def test_a_new_member_among_older_ones_alone_learns_the_list() -> None:
    net = MemberNetwork()
    net.start_connected(100, OldMembers)
    net.passive = set(net.members)
    net.start("new")
    assert net.run_until_known("new", 101, 30.0) < 30.0


def test_an_older_member_among_new_ones_learns_the_list_by_pages() -> None:
    net = MemberNetwork()
    net.start_connected(100)
    net.passive = set(net.members)
    net.start("new", kind=OldMembers)
    assert net.run_until_known("new", 101, 30.0) < 30.0
