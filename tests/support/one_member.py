"""A single member of the gossip, whose peer `p0` is the test itself."""

from __future__ import annotations

import random

from violetroute.sharing.digest import pack_short
from violetroute.sharing.members import Members
from violetroute.sharing.outgoing import Send
from violetroute.sharing.wire import (
    BucketRequest,
    Compare,
    Digests,
    Item,
    MemberEntry,
    Rumor,
)


def member(*names: str, now: float = 0.0, kind: type[Members] = Members) -> Members:
    """A member that knows the given members (life x, incarnation 1).

    Its probes and reconnects are postponed, so that a test sees anti-entropy alone.
    """
    member_ = kind("me", "x", 1, "me", "", 1.0, (), random.Random(1), now)
    for name in names:
        member_.add_member(Rumor(name, "x", 1, "a", name), now)
    member_._probe_at = member_._reconnect_at = 1e9
    return member_


def entries(*names: str, incarnation: int = 1) -> list[MemberEntry]:
    """Entries of another member's list for the given members."""
    return [MemberEntry(name, "x", incarnation, name) for name in names]


def receive_from_p0(receiver: Members, now: float, *items: Item) -> list[Send]:
    """Pass items from p0 to a member; returns what it sends."""
    return [send for item in items for send in receiver.receive(now, "p0", "x", 1, item, "p0")]


def of_kind(sends: list[Send], kind: type[Item]) -> list[Item]:
    """The items of one type in what a member sends."""
    return [item for send in sends for item in send.items if isinstance(item, kind)]


def compare_with_p0(
    receiver: Members, now: float, count: int = 2, buckets: int = 1
) -> list[BucketRequest]:
    """Let a member compare its list with one that differs in all buckets.

    Returns the bucket requests that it sends.

    `count` and `buckets`: the members and buckets of the other list.
    """
    receiver._anti_entropy.compare_at = now
    (compare,) = of_kind(receiver.tick(now), Compare)
    assert isinstance(compare, Compare)
    digests = Digests(compare.number, count, 99, pack_short(range(1, buckets + 1)))
    return of_kind(receive_from_p0(receiver, now, digests), BucketRequest)  # type: ignore[return-value]
