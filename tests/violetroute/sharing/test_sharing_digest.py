"""Digests of the member list equal those of a rebuilt list, and are the same at both ends."""

from __future__ import annotations

import random

import msgspec
import pytest

from limebridge.scale.virtual_members import VirtualMembers
from tests.support.operation_count import count_operations
from violetroute.sharing import wire
from violetroute.sharing.byte_pacer import BytePacer
from violetroute.sharing.digest import (
    MemberDigests,
    bucket_count,
    differing,
    is_bucket_count,
    member_hash,
    pack_short,
    unpack_short,
)
from violetroute.sharing.members import MAX_MEMBERS, Members
from violetroute.sharing.wire import (
    MAX_BUCKET_DIGESTS_BYTES,
    MAX_BUCKETS,
    MAX_ITEMS,
    SHORT_BYTES,
    BucketMembers,
    BucketRequest,
    Compare,
    Digests,
    Envelope,
    Item,
    Keys,
    Rumor,
    encode_item,
    raw,
)


def rebuilt(members: Members) -> MemberDigests:
    """Digests built anew from the current members."""
    made = MemberDigests()
    made.put(members.name, members.life, members.incarnation)
    for member in members.members.values():
        if member.up:
            made.put(member.name, member.life, member.incarnation)
    return made


@pytest.mark.parametrize("seed", range(10))
def test_digests_after_any_changes_match_rebuilt_ones(seed: int) -> None:
    draw = random.Random(seed)
    members = Members("me", "l", 1, "127.0.0.1:1", "z", 1.0, (), random.Random(seed), 0.0)
    incarnations = dict[str, int]()
    now = 0.0
    for step in range(300):
        now += draw.random()
        name = f"p{draw.randrange(40):02}" if step % 10 else "me"
        incarnation = incarnations[name] = incarnations.get(name, 0) + draw.randrange(2)
        rumor = Rumor(name, "l", incarnation, draw.choice("aaasdl"), "127.0.0.1:2", "z", "p99")
        members.receive(now, "stranger", "x", 1, rumor, "127.0.0.1:3")
        if draw.random() < 0.1:
            now += 70.0  # dead members are forgotten
            members.tick(now)
        digests, anew = members._list.digests, rebuilt(members)
        assert (digests.whole, digests.count) == (anew.whole, anew.count)
        for buckets in (1, 4, MAX_BUCKETS):
            assert digests.of_buckets(buckets) == anew.of_buckets(buckets)
            index = draw.randrange(buckets)
            assert digests.members(buckets, index) == anew.members(buckets, index)


def test_the_bucket_of_a_name_is_independent_of_other_members() -> None:
    small, large = MemberDigests(), MemberDigests()
    small.put("p7", "x", 1)
    for number in range(500):
        large.put(f"p{number}", "x", 1)
    for buckets in (1, 2, 8, 64, MAX_BUCKETS):
        where = [small.members(buckets, index) for index in range(buckets)]
        (index,) = [index for index, names in enumerate(where) if names]
        assert "p7" in large.members(buckets, index).values()
        large.put("p7", "y", 2)
        assert differing(small.of_buckets(buckets), large.of_buckets(buckets)).count(index) == 1
        large.put("p7", "x", 1)
    held = [len(large.members(MAX_BUCKETS, index)) for index in range(MAX_BUCKETS)]
    assert sum(held) == 500 and max(held) < 20


def test_a_digest_depends_on_name_life_and_incarnation() -> None:
    hashes = {member_hash(*each) for each in (("a", "b", 1), ("ab", "", 1), ("a", "b", 11))}
    assert len(hashes | {member_hash("a", "c", 1), member_hash("c", "b", 1)}) == 5
    assert all(0 <= each < 2**63 for each in hashes)


def test_bucket_counts_are_powers_of_two_that_grow_with_the_list() -> None:
    counts = [bucket_count(members) for members in range(MAX_MEMBERS + 1)]
    assert counts == sorted(counts) and counts[0] == 1 and counts[-1] == MAX_BUCKETS
    assert all(is_bucket_count(count) for count in set(counts))
    assert [n for n in range(-1, 300) if is_bucket_count(n)] == [1, 2, 4, 8, 16, 32, 64, 128]
    assert MAX_BUCKETS * SHORT_BYTES == MAX_BUCKET_DIGESTS_BYTES


def test_truncated_hashes_round_trip() -> None:
    values = [0, 1, 2**32 - 1, 2**32 + 5]
    assert unpack_short(pack_short(values) + b"odd") == [0, 1, 2**32 - 1, 5]


def test_a_change_costs_the_same_in_a_large_list() -> None:
    costs = []
    for size in (100, 2600):
        digests = MemberDigests()
        for number in range(size):
            digests.put(f"p{number}", "x", 1)
        costs.append(count_operations(lambda digests=digests: digests.put("p5", "y", 2)))  # type: ignore[misc]
    assert costs[1] <= costs[0] * 1.1


def test_a_pacer_is_overdrawn_by_at_most_one_use() -> None:
    pace = BytePacer(100.0, 2.0, 0.0)
    assert pace.allows(0.0)
    pace.spend(0.0, 700.0)
    assert not pace.allows(4.9) and pace.allows(5.1)
    pace.spend(1000.0, 199.0)
    assert pace.allows(1000.0)  # not more than the burst was saved up
    pace.spend(1000.0, 2.0)
    assert not pace.allows(1000.0)


# --- in datagrams ---
BAD = [
    ["d", -1, 1, 1],
    ["d", 1, 1, 2**63],
    ["D", 1, 1, 1, bytes(MAX_BUCKET_DIGESTS_BYTES + 1)],
    ["e", 1, 0, 0, b""],
    ["e", 1, 129, 0, b""],
    ["e", 1, 4, 128, b""],
    ["e", 1, 4, 0, bytes(513)],
    ["E", 1, 4, 0, [["", "x", 1]], b""],
    ["E", 1, 4, 0, [["p", "x"]], b""],
    ["E", 1, 4, 0, 7],
]
GOOD: list[Item] = [
    Compare(1, 2, 2**63 - 1),
    Digests(1, 2, 3, b"four"),
    BucketRequest(1, 128, 127, b"four"),
    BucketMembers(1, 1, 0, [wire.MemberEntry("p", "x", 1, "at", "z")], b"four"),
]


def test_items_round_trip_and_invalid_ones_are_skipped() -> None:
    data = [raw(wire._pack.encode(each)) for each in BAD]
    data += [raw(encode_item(each)) for each in GOOD]
    assert len(data) <= MAX_ITEMS
    assert wire.items(Envelope("a", "x", 1, 1, "b", "", 0, 0, data)) == GOOD


def test_unknown_fields_of_a_later_build_are_skipped() -> None:
    later = [[*msgspec.msgpack.decode(encode_item(each)), "a later field"] for each in GOOD]
    data = [raw(wire._pack.encode(each)) for each in later]
    assert wire.items(Envelope("a", "x", 1, 1, "b", "", 0, 0, data)) == GOOD


def test_datagrams_of_anti_entropy_carry_no_rumors_and_fit() -> None:
    fleet = VirtualMembers(400)
    fleet.add_all()
    one = fleet.members[0]
    for number in range(20):
        one.members._rumors.add(fleet.rumor(number + 1))
    sent = list[bytes]()
    one._socket.send = lambda data, address: sent.append(data)  # type: ignore[method-assign]
    one._queue(fleet.members[1].name, "", Compare(1, 2, 3))
    one._flush(fleet.kernel.now)
    for out in one.members.receive(
        fleet.kernel.now, fleet.members[1].name, fleet.members[1].life, 1, BucketRequest(1, 8, 0)
    ):
        one._queue(out.to, out.place, *out.items)
    one._flush(fleet.kernel.now)
    one._queue(fleet.members[1].name, "", wire.Ping(1), Compare(1, 2, 3))
    one._flush(fleet.kernel.now)
    keys: Keys = one._keys
    kinds = [
        {type(item) for item in wire.items(envelope)}
        for data in sent
        if (envelope := keys.open(data)) is not None
    ]
    assert len(kinds) == len(sent) and all(len(data) <= wire.MAX_DATAGRAM for data in sent)
    assert kinds[0] == {Compare} and kinds[-1] == {wire.Ping, Compare, Rumor}
    assert kinds[1:-1] and all(kind == {BucketMembers} for kind in kinds[1:-1])
