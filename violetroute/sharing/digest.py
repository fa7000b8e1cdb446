"""Digests of a list of members, by which two lists are compared without being sent.  Pure.

Each member that is up has a 63-bit hash of its name, life and incarnation.  The digest of a set of
members is the XOR of their hashes, so one change costs O(1).  Members are divided into buckets by a
hash of their name alone: bucket `i` of `n` holds the names whose hash begins with the bits of `i`,
with `n` a power of two.  So both ends of a comparison have the same buckets if they use the same
`n`, whatever members they know.

The hashes need no key: datagrams are authenticated, and a collision only hides a difference of one
bucket until one of its members changes.

State: one integer and one reference a member, and LEAVES digests.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from .rumors import Member
from .wire import MAX_BUCKETS, SHORT_BYTES, Rumor

LEAVES = MAX_BUCKETS  # in which hashes are kept; a bucket is one of them or several neighbours
BUCKET_MEMBERS = 16  # of one bucket on average, until there are BUCKETS_MOST of them
SHORT_MASK = 2 ** (8 * SHORT_BYTES) - 1


def bucket_count(members: int) -> int:
    """The number of buckets for so many members: a power of two."""
    buckets = 1
    while buckets < MAX_BUCKETS and members > BUCKET_MEMBERS * buckets:
        buckets *= 2
    return buckets


def is_bucket_count(buckets: int) -> bool:
    """Whether lists can be divided into so many buckets."""
    return 1 <= buckets <= MAX_BUCKETS and buckets & (buckets - 1) == 0


def member_hash(name: str, life: str, incarnation: int) -> int:
    """63 bits for one process of a member."""
    text = f"{name}\0{life}\0{incarnation}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 1


def pack_short(values: Iterable[int]) -> bytes:
    """The last SHORT bytes of each hash or digest."""
    return b"".join((value & SHORT_MASK).to_bytes(SHORT_BYTES, "big") for value in values)


def unpack_short(data: bytes) -> list[int]:
    """What `pack_short` gave, without an incomplete last one."""
    ends = range(SHORT_BYTES, len(data) + 1, SHORT_BYTES)
    return [int.from_bytes(data[end - SHORT_BYTES : end], "big") for end in ends]


class MemberDigests:
    """Digests of the members that one member believes to be up, itself included."""

    __slots__ = ("_digests", "_hashes", "count", "whole")

    def __init__(self) -> None:
        self.count = 0
        self.whole = 0  # the digest of all
        self._digests = [0] * LEAVES
        self._hashes: list[dict[str, int]] = [{} for _ in range(LEAVES)]  # by name

    def put(self, name: str, life: str, incarnation: int) -> None:
        """A member is up, in place of what was known of it."""
        self.remove(name)
        leaf, value = _leaf(name), member_hash(name, life, incarnation)
        self._hashes[leaf][name] = value
        self._digests[leaf] ^= value
        self.whole ^= value
        self.count += 1

    def remove(self, name: str) -> None:
        """A member is not up, or not known, any more."""
        leaf = _leaf(name)
        value = self._hashes[leaf].pop(name, None)
        if value is not None:
            self._digests[leaf] ^= value
            self.whole ^= value
            self.count -= 1

    def file(self, member: Member | Rumor) -> None:
        """A member's state, life or incarnation has changed."""
        if member.state in ("a", "s"):
            self.put(member.name, member.life, member.incarnation)
        else:
            self.remove(member.name)

    def of_buckets(self, buckets: int) -> bytes:
        """The shortened digests of all of so many buckets."""
        leaves = LEAVES // buckets
        digests = []
        for first in range(0, LEAVES, leaves):
            digest = 0
            for leaf_digest in self._digests[first : first + leaves]:
                digest ^= leaf_digest
            digests.append(digest)
        return pack_short(digests)

    def members(self, buckets: int, index: int) -> dict[int, str]:
        """Names of one of so many buckets, by their shortened hashes."""
        leaves = LEAVES // buckets
        return {
            value & SHORT_MASK: name
            for hashes in self._hashes[index * leaves : (index + 1) * leaves]
            for name, value in hashes.items()
        }


def differing(ours: bytes, theirs: bytes) -> list[int]:
    """Indexes of the buckets whose shortened digests differ."""
    pairs = zip(unpack_short(ours), unpack_short(theirs), strict=True)
    return [index for index, (mine, other) in enumerate(pairs) if mine != other]


def _leaf(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0] * LEAVES // 256
