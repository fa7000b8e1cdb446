"""Anti-entropy of one member: messages in any order, late, duplicate or invalid."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from tests.support.one_member import compare_with_p0, entries, member, of_kind, receive_from_p0
from violetroute.sharing.anti_entropy import (
    ANSWER_TIMEOUT_S,
    BACKOFF_S,
    COMPARE_INTERVAL_S,
    COMPARE_SOON_S,
    LEGACY_AFTER,
    MAX_ATTEMPTS,
    MAX_COMPARE_INTERVAL_S,
    WINDOW,
    BucketQuery,
)
from violetroute.sharing.digest import member_hash, pack_short
from violetroute.sharing.members import Members
from violetroute.sharing.outgoing import Send
from violetroute.sharing.wire import (
    MAX_HELD_BYTES,
    SHORT_BYTES,
    BucketMembers,
    BucketRequest,
    Compare,
    Digests,
    MemberEntry,
    PageRequest,
    Rumor,
)


def test_a_digests_answer_counts_once_and_only_for_its_comparison() -> None:
    one = member("p0")
    one._anti_entropy.compare_at = 1.0
    (compare,) = of_kind(one.tick(1.0), Compare)
    assert isinstance(compare, Compare)
    answer = Digests(compare.number, 2, 99, pack_short([1]))
    assert not receive_from_p0(one, 1.0, Digests(compare.number - 1, 2, 99, pack_short([1])))
    assert len(of_kind(receive_from_p0(one, 1.0, answer), BucketRequest)) == 1
    assert not receive_from_p0(one, 1.0, answer, answer)
    late = member("p0")
    late._anti_entropy.compare_at = 1.0
    (compare,) = of_kind(late.tick(1.0), Compare)
    assert isinstance(compare, Compare)
    late.tick(1.1 + ANSWER_TIMEOUT_S)
    assert not receive_from_p0(
        late, 1.2 + ANSWER_TIMEOUT_S, Digests(compare.number, 2, 99, pack_short([1]))
    )


@pytest.mark.parametrize(
    "digests", [b"", b"\x01", pack_short(range(3)), pack_short(range(5)) + b"xx"]
)
def test_invalid_digests_start_no_exchange(digests: bytes) -> None:
    one = member("p0")
    one._anti_entropy.compare_at = 1.0
    (compare,) = of_kind(one.tick(1.0), Compare)
    assert isinstance(compare, Compare)
    assert not receive_from_p0(one, 1.0, Digests(compare.number, 2, 99, digests))
    assert one._anti_entropy._exchange is None


def test_an_invalid_bucket_request_gets_no_answer() -> None:
    one = member("p0", "p1")
    assert receive_from_p0(one, 1.0, BucketRequest(1, 4, 3))
    assert not receive_from_p0(one, 1.0, BucketRequest(1, 3, 1))
    assert not receive_from_p0(one, 1.0, BucketRequest(1, 4, 4))
    hashes = pack_short(member_hash(name, "x", 1) for name in ("me", "p0", "p1"))
    (answer,) = of_kind(
        receive_from_p0(one, 1.0, BucketRequest(1, 1, 0, hashes + b"odd")), BucketMembers
    )
    assert answer == BucketMembers(1, 1, 0, [], b"")


def test_a_comparison_with_few_buckets_of_a_large_list_is_rejected() -> None:
    one = member(*(f"p{number}" for number in range(600)))  # 64 buckets
    assert not receive_from_p0(one, 1.0, BucketRequest(1, 4, 0))
    assert receive_from_p0(one, 1.0, BucketRequest(1, 8, 0))
    for buckets, requests_buckets in ((4, False), (8, True)):
        one._anti_entropy.compare_at = 1.0
        (compare,) = of_kind(one.tick(1.0), Compare)
        assert isinstance(compare, Compare)
        digests = Digests(compare.number, 601, 99, pack_short(range(1, buckets + 1)))
        assert bool(receive_from_p0(one, 1.0, digests)) == requests_buckets


def test_a_duplicate_or_unrelated_bucket_answer_triggers_no_request() -> None:
    one = member("p0")
    (request,) = compare_with_p0(one, 1.0)
    wanted = pack_short([member_hash("me", "x", 1)])
    answer = BucketMembers(request.number, 1, 0, entries("p1"), wanted)
    # Answers from before a restart, or with another bucket count, are merged, but no request
    # follows.
    for other in (
        BucketMembers(request.number - 1, 1, 0, entries("p2"), wanted),
        BucketMembers(request.number, 2, 0, entries("p3"), wanted),
        BucketMembers(request.number, 2, 1, entries("p4"), wanted),
    ):
        assert not receive_from_p0(one, 1.0, other)
    assert {"p2", "p3", "p4"} <= set(one.up())
    assert one._anti_entropy._exchange is not None
    (pushed,) = of_kind(receive_from_p0(one, 1.0, answer), BucketMembers)
    assert isinstance(pushed, BucketMembers)
    assert [entry.name for entry in pushed.members] == ["me"] and pushed.number == 0
    assert one._anti_entropy._exchange is None
    assert not receive_from_p0(one, 1.0, answer, answer)


def test_an_unanswered_request_is_retried_with_backoff_a_limited_number_of_times() -> None:
    one = member("p0", "p1", "p2")
    peers, times, now = list[str](), list[float](), 1.0
    compare_with_p0(one, now)
    while one._anti_entropy._exchange is not None and now < 60.0:
        now += 0.1
        for out in one.tick(now):
            if isinstance(out.items[0], BucketRequest):
                peers.append(out.to)
                times.append(now)
    assert len(peers) == MAX_ATTEMPTS - 1 and len(set(peers)) > 1
    waits = [later - earlier for earlier, later in pairwise([1.0, *times])]
    assert waits[0] >= ANSWER_TIMEOUT_S + 0.1
    assert waits[-1] >= ANSWER_TIMEOUT_S + 0.5 * 2 ** (MAX_ATTEMPTS - 2) * BACKOFF_S


def test_an_answer_resets_the_backoff_and_other_requests_go_on() -> None:
    one = member("p0", "p1", "p2")
    requests = compare_with_p0(one, 1.0, buckets=8)
    one.tick(1.1 + ANSWER_TIMEOUT_S)
    assert one._anti_entropy._backoff > BACKOFF_S
    first = requests[0]
    one._anti_entropy._exchange.open[first.number] = BucketQuery(first.index)  # type: ignore[union-attr]
    receive_from_p0(one, 1.2 + ANSWER_TIMEOUT_S, BucketMembers(first.number, 8, first.index, []))
    assert one._anti_entropy._backoff == BACKOFF_S


def test_the_next_comparison_comes_soon_after_differences_and_else_after_its_interval() -> None:
    for has_new_members in (True, False):
        one, now = member("p0"), 1.0
        for _ in range(6):  # the lists do not differ, so the interval doubles
            (request,) = compare_with_p0(one, now)
            receive_from_p0(one, now, BucketMembers(request.number, 1, 0, []))
            now = one._anti_entropy.compare_at
        if has_new_members:
            (request,) = compare_with_p0(one, now)
            receive_from_p0(one, now, BucketMembers(request.number, 1, 0, entries("p1")))
            assert one._anti_entropy.compare_at - now <= 1.5 * COMPARE_SOON_S
        else:
            one._anti_entropy.compare_at = now
            (compare,) = of_kind(one.tick(now), Compare)
            assert isinstance(compare, Compare)
            receive_from_p0(one, now, Digests(compare.number, 2, one._list.digests.whole))
            assert COMPARE_SOON_S < one._anti_entropy.compare_at - now <= 1.5 * COMPARE_INTERVAL_S
        (request,) = compare_with_p0(one, now)
        receive_from_p0(one, now, BucketMembers(request.number, 1, 0, []))
        assert one._anti_entropy.compare_at - now <= 1.5 * COMPARE_INTERVAL_S


def test_members_do_not_compare_in_step() -> None:
    made = [
        Members("me", "x", 1, "me", "", 1.0, (), random.Random(seed), 0.0) for seed in range(20)
    ]
    waits = [each._anti_entropy._jitter() for each in made]
    assert min(waits) < 0.75 and max(waits) > 1.25 and min(waits) >= 0.5 and max(waits) <= 1.5


def test_open_bucket_requests_are_limited_by_the_window() -> None:
    one = member("p0", *(f"q{number}" for number in range(200)))
    requests = compare_with_p0(one, 1.0, count=250, buckets=16)
    assert len(requests) == WINDOW
    first = requests[0]
    more = receive_from_p0(one, 1.0, BucketMembers(first.number, 16, first.index, []))
    assert len(of_kind(more, BucketRequest)) == 1


def asked_peers(one: Members, count: int) -> list[str]:
    """Receivers of bucket requests after p0 announced `count` members, all different."""
    one._anti_entropy.compare_at = 1.0
    (compare,) = of_kind(one.tick(1.0), Compare)
    assert isinstance(compare, Compare)
    out = receive_from_p0(one, 1.0, Digests(compare.number, count, 99, pack_short(range(1, 17))))
    peers = list[str]()
    while out:
        peers.append(out[0].to)
        (request, *_) = of_kind(out[:1], BucketRequest)
        assert isinstance(request, BucketRequest)
        answer = BucketMembers(request.number, 16, request.index, [])
        out = out[1:] + receive_from_p0(one, 1.0, answer)
    return peers


def test_a_new_member_requests_from_several_members_and_gets_no_requests() -> None:
    names = [f"p{number}" for number in range(20)]
    assert len(set(asked_peers(member(*names), 200))) > 4
    assert set(asked_peers(member(*names), 21)) == {"p0"}
    assert asked_peers(member(*names), 3) == []


def test_bucket_requests_have_a_random_order_and_bounded_size() -> None:
    one = member("p0", *(f"q{number}" for number in range(200)))
    requests = compare_with_p0(one, 1.0, count=250, buckets=64)
    assert [request.index for request in requests] != [0, 1, 2, 3]
    one = member("p0", *(f"q{number}" for number in range(254)))
    assert (
        max(len(one._list.digests.members(2, index)) for index in (0, 1)) * SHORT_BYTES
        > MAX_HELD_BYTES
    )
    requests = compare_with_p0(one, 1.0, count=256, buckets=2)
    assert max(len(request.held) for request in requests) == MAX_HELD_BYTES


def test_digests_of_an_unknown_sender_lead_to_requests_to_a_member() -> None:
    one = member("p1")
    one._list.seeds._members["seed"] = 0
    one._reconnect_at = 1.0
    (out,) = [out for out in one.tick(1.0) if out.place == "seed"]
    (compare,) = of_kind([out], Compare)
    assert isinstance(compare, Compare)
    answer = Digests(compare.number, 2, 99, pack_short([1]))
    outs = one.receive(1.0, "p9", "x", 1, answer, "seed")
    assert [out.to for out in outs] == ["p1"]


def test_a_seed_gets_a_comparison_unless_one_is_open() -> None:
    one = member("p0")
    one._anti_entropy.compare_at = 1e9
    assert len(one._anti_entropy.greeting(1.0)) == 1
    assert one._anti_entropy.greeting(1.0) == ()
    # Without an answer, nothing follows about the member at that address.
    one.tick(1.1 + ANSWER_TIMEOUT_S)
    assert one._anti_entropy._unanswered == 0
    compare_with_p0(one, 3.0)
    assert one._anti_entropy.greeting(3.0) == ()


# --- dead members ---
def test_a_dead_member_is_not_revived_and_the_peer_gets_a_rumor() -> None:
    for state, reported_state in (("d", "s"), ("l", "l")):
        one = member("p0", "p1")
        receive_from_p0(one, 1.0, Rumor("p1", "x", 1, state, "p1", by="p0"))
        compare_with_p0(one, 1.0)
        (out,) = receive_from_p0(one, 1.0, BucketMembers(7, 1, 0, entries("p1")))
        assert out == Send("p0", "", (Rumor("p1", "x", 1, reported_state, "p1", by="me"),))
        assert not one.is_up("p1", "x")
        receive_from_p0(one, 1.0, BucketMembers(7, 1, 0, entries("p1", incarnation=2)))
        assert one.is_up("p1", "x")


def test_comparisons_without_differences_become_rare() -> None:
    one = member("p0")
    checks, now = list[float](), 0.0
    while now < 600.0:
        now += 0.1
        for compare in of_kind(one.tick(now), Compare):
            assert isinstance(compare, Compare)
            checks.append(now)
            answer = Digests(compare.number, 2, 99, pack_short([5]))
            for request in of_kind(receive_from_p0(one, now, answer), BucketRequest):
                assert isinstance(request, BucketRequest)
                receive_from_p0(one, now, BucketMembers(request.number, 1, 0, []))
    assert len(checks) < 18
    waits = [later - earlier for earlier, later in pairwise(checks)]
    assert max(waits) <= 1.5 * MAX_COMPARE_INTERVAL_S + 0.2


def test_merged_entries_are_not_sent_on_as_rumors() -> None:
    one = member("p0")
    receive_from_p0(one, 1.0, BucketMembers(7, 1, 0, entries("p1", "p2")))
    assert {"p1", "p2"} <= set(one.up()) and not one.rumors()
    receive_from_p0(one, 1.0, Rumor("p3", "x", 1, "a", "p3"))
    assert [rumor.name for rumor in one.rumors()] == ["p3"]


def test_the_digest_of_a_leaving_or_suspended_member_equals_that_of_the_others() -> None:
    one = member("p0")
    both = one._list.digests.whole
    assert both == member_hash("me", "x", 1) ^ member_hash("p0", "x", 1)
    receive_from_p0(one, 1.0, Rumor("me", "y", 5, "a", "elsewhere"))
    assert one.duplicate is not None
    assert one._list.digests.whole == member_hash("me", "y", 5) ^ member_hash("p0", "x", 1)
    (answer,) = of_kind(receive_from_p0(one, 1.0, BucketRequest(1, 1, 0)), BucketMembers)
    assert isinstance(answer, BucketMembers)
    assert MemberEntry("me", "y", 5, "elsewhere") in answer.members
    receive_from_p0(one, 1.0, Rumor("me", "y", 5, "d"))
    assert one._list.digests.whole == member_hash("me", "x", 6) ^ member_hash("p0", "x", 1)
    receive_from_p0(one, 1.0, Rumor("me", "x", 6, "s", by="p0"))
    assert one._list.digests.whole == member_hash("me", "x", 7) ^ member_hash("p0", "x", 1)
    one.leave()
    assert one._list.digests.whole == member_hash("p0", "x", 1)


def test_legacy_pages_are_requested_only_from_unresponsive_peers_beside_comparisons() -> None:
    one = member("p0")
    requests, now = list[tuple[float, int]](), 0.0
    while now < 200.0:
        now += 0.1
        requests += [(now, len(out.items)) for out in one.tick(now)]
    assert [items for _, items in requests[: LEGACY_AFTER + 1]] == [1] * LEGACY_AFTER + [2]
    waits = [later[0] - earlier[0] for earlier, later in pairwise(requests)]
    assert max(waits) <= ANSWER_TIMEOUT_S + 1.5 * COMPARE_INTERVAL_S + 0.2
    one._anti_entropy._page_at = 0.0
    one._anti_entropy.compare_at = now
    (compare,) = of_kind(one.tick(now), Compare)
    assert isinstance(compare, Compare)
    whole = one._list.digests.whole
    receive_from_p0(one, now, Digests(compare.number, 2, whole))
    one._anti_entropy.compare_at, one._anti_entropy._page_at = now, 0.0
    (out,) = one.tick(now)
    assert len(out.items) == 1


def test_legacy_pages_of_a_large_list_are_requested_rarely() -> None:
    one = member(*(f"p{number}" for number in range(1000)))
    pages, now = 0, 0.0
    while now < 600.0:
        now += 0.5
        pages += len(of_kind(one.tick(now), PageRequest))
    assert 2 <= pages <= 14
