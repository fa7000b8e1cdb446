"""Digests of a member list, to compare two lists without sending them.  Pure.

Each member that is up has a 63-bit hash of its name, life and incarnation.  The digest of a set of
members is the XOR of their hashes, so one change costs O(1).  A hash of the name alone assigns a
member to a bucket: bucket `i` of `n` (a power of two) holds the names whose hash begins with the
bits of `i`.  So both ends of a comparison have the same buckets for the same `n`, whatever members
they know.

The hashes need no key: datagrams are authenticated, and a collision only hides a difference of one
bucket until one of its members changes.

State: one integer and one reference per member, and LEAVES digests.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from .rumors import Member
from .wire import MAX_BUCKETS, SHORT_BYTES, Rumor

LEAVES = MAX_BUCKETS  # finest buckets; a bucket consists of one or several adjacent leaves
BUCKET_MEMBERS = 16  # members per bucket on average, until there are MAX_BUCKETS buckets
SHORT_MASK = 2 ** (8 * SHORT_BYTES) - 1


def bucket_count(members: int) -> int:
    """Number of buckets for a list of this size: a power of two."""
    buckets = 1
    while buckets < MAX_BUCKETS and members > BUCKET_MEMBERS * buckets:
        buckets *= 2
    return buckets


def is_bucket_count(buckets: int) -> bool:
    """Whether lists can be divided into this number of buckets."""
    return 1 <= buckets <= MAX_BUCKETS and buckets & (buckets - 1) == 0


def member_hash(name: str, life: str, incarnation: int) -> int:
    """63-bit hash of one incarnation of a member."""
    text = f"{name}\0{life}\0{incarnation}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 1


def pack_short(values: Iterable[int]) -> bytes:
    """The last SHORT_BYTES of each hash or digest, concatenated."""
    return b"".join((value & SHORT_MASK).to_bytes(SHORT_BYTES, "big") for value in values)


def unpack_short(data: bytes) -> list[int]:
    """The inverse of `pack_short`; an incomplete last value is ignored."""
    ends = range(SHORT_BYTES, len(data) + 1, SHORT_BYTES)
    return [int.from_bytes(data[end - SHORT_BYTES : end], "big") for end in ends]


class MemberDigests:
    """Digests of the members that are up in one member's view, itself included."""

    __slots__ = ("_digests", "_hashes", "count", "whole")

    def __init__(self) -> None:
        self.count = 0
        self.whole = 0  # digest of all members
        self._digests = [0] * LEAVES
        # Hashes of the members by name, for each leaf.
        self._hashes: list[dict[str, int]] = [{} for _ in range(LEAVES)]

    def put(self, name: str, life: str, incarnation: int) -> None:
        """Add a member that is up, or replace its entry."""
        self.remove(name)
        leaf, value = _leaf(name), member_hash(name, life, incarnation)
        self._hashes[leaf][name] = value
        self._digests[leaf] ^= value
        self.whole ^= value
        self.count += 1

    def remove(self, name: str) -> None:
        """Remove a member that is no longer up; does nothing if it is not there."""
        leaf = _leaf(name)
        value = self._hashes[leaf].pop(name, None)
        if value is not None:
            self._digests[leaf] ^= value
            self.whole ^= value
            self.count -= 1

    def update(self, member: Member | Rumor) -> None:
        """Apply a change of a member's state, life or incarnation."""
        if member.state in ("a", "s"):
            self.put(member.name, member.life, member.incarnation)
        else:
            self.remove(member.name)

    def of_buckets(self, buckets: int) -> bytes:
        """Truncated digests of all buckets, if there are `buckets` of them."""
        leaves = LEAVES // buckets
        digests = []
        for first in range(0, LEAVES, leaves):
            digest = 0
            for leaf_digest in self._digests[first : first + leaves]:
                digest ^= leaf_digest
            digests.append(digest)
        return pack_short(digests)

    def members(self, buckets: int, index: int) -> dict[int, str]:
        """Names in bucket `index` of `buckets`, by their truncated hashes."""
        leaves = LEAVES // buckets
        return {
            value & SHORT_MASK: name
            for hashes in self._hashes[index * leaves : (index + 1) * leaves]
            for name, value in hashes.items()
        }


def differing(ours: bytes, theirs: bytes) -> list[int]:
    """Indexes of the buckets whose truncated digests differ."""
    pairs = zip(unpack_short(ours), unpack_short(theirs), strict=True)
    return [index for index, (mine, other) in enumerate(pairs) if mine != other]


def _leaf(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0] * LEAVES // 256
