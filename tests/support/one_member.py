"""One member of the gossip, driven by hand."""

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
    """One that knows these, of the life x and incarnation 1."""
    made = kind("me", "x", 1, "me", "", 1.0, (), random.Random(1), now)
    for name in names:
        made.add_member(Rumor(name, "x", 1, "a", name), now)
    made._probe_at = made._reconnect_at = 1e9
    return made


def entries(*names: str, incarnation: int = 1) -> list[MemberEntry]:
    """What another tells of these."""
    return [MemberEntry(name, "x", incarnation, name) for name in names]


def hears(of: Members, now: float, *items: Item) -> list[Send]:
    """Items of p0."""
    return [out for item in items for out in of.receive(now, "p0", "x", 1, item, "p0")]


def of_kind(outs: list[Send], kind: type[Item]) -> list[Item]:
    return [item for out in outs for item in out.items if isinstance(item, kind)]


def compared(of: Members, now: float, count: int = 2, buckets: int = 1) -> list[BucketRequest]:
    """Let it compare with a list of which every bucket differs; what it asks for."""
    of._anti_entropy.compare_at = now
    (compare,) = of_kind(of.tick(now), Compare)
    assert isinstance(compare, Compare)
    digests = Digests(compare.number, count, 99, pack_short(range(1, buckets + 1)))
    return of_kind(hears(of, now, digests), BucketRequest)  # type: ignore[return-value]
