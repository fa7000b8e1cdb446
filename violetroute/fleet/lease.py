"""Lease records as a store keeps them, and their valid changes.  Pure.

A lease belongs to one *incarnation* of a process, identified by a nonce that is new at every start,
and not to a name: two proxies with the same configured name are two incarnations, and a restarted
proxy does not inherit a lease that it no longer remembers.  Each term has a **fence** (fencing
token), a number that only increases.  A fence and a nonce together identify one owner, and the
target of an effect compares them (`FenceGuard`).

A new fence is above both the fence in the store's last record and the highest fence that the
requester knows of from any source (`floor`); the target of a rejected effect reports its fence.
So a store that has lost its data can grant an old fence to another incarnation.  The effects of
that incarnation are rejected with the higher fence, and its next term begins above it.

The wall clock is not used as the fence, since it can step back; nor a random number, which has no
order; nor the store's own index, which starts at 1 again when the store is recreated.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

VERSION = 1
MAX_FENCE = 2**53  # exact in every JSON parser; increments of 1 never come near it
MAX_LEASE_BYTES = 4096  # bytes of a lease record
MAX_NAME_CHARS = 200
NONCE_PATTERN = re.compile(r"[0-9a-z-]{1,64}")


def is_nonce(text: str) -> bool:
    """Lower-case letters, digits and dashes: a nonce is used as a file name and in a header."""
    return NONCE_PATTERN.fullmatch(text) is not None


class Lease(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The record of one work's lease.  `free`: released, or its session has ended."""

    v: int
    work: str
    fence: int
    name: str  # the proxy's name, for operators
    nonce: str
    beat: int = 0  # incremented by every renewal, so that observers see it
    free: bool = False
    since: float = 0.0  # start of the term in Unix s, for operators


@dataclass(frozen=True, slots=True)
class LeaseVersion:
    """Identifies one state of a record, for compare-and-set."""

    fence: int
    nonce: str
    beat: int


@dataclass(frozen=True, slots=True)
class IncarnationId:
    """One incarnation of a proxy: its configured name and its nonce."""

    name: str
    nonce: str


def version_of(lease: Lease | None) -> LeaseVersion | None:
    """The version of a held lease; None if it is free or absent."""
    return (
        None if lease is None or lease.free else LeaseVersion(lease.fence, lease.nonce, lease.beat)
    )


class UnreadableLeaseError(Exception):
    """The record is malformed or of a later version."""


def decode(data: bytes, work: str) -> Lease:
    """The lease of `work`.  UnreadableLeaseError for any other data.

    An unreadable record is left in place: its fence is unknown, so no higher one could be chosen.
    """
    if len(data) > MAX_LEASE_BYTES:
        raise UnreadableLeaseError("too long")
    try:
        lease = msgspec.json.decode(data, type=Lease)
    except (msgspec.DecodeError, RecursionError) as error:
        version = _version(data)
        raise UnreadableLeaseError(
            f"version {version}" if version > VERSION else str(error)
        ) from None
    if lease.v != VERSION:
        raise UnreadableLeaseError(f"version {lease.v}")
    if lease.work != work or not 0 < lease.fence <= MAX_FENCE or not is_nonce(lease.nonce):
        raise UnreadableLeaseError("no lease of this work")
    return lease


def _version(data: bytes) -> int:
    try:
        decoded = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return 0
    version = decoded.get("v") if isinstance(decoded, dict) else 0
    return version if isinstance(version, int) else 0


def encode(lease: Lease) -> bytes:
    """The record's JSON."""
    return msgspec.json.encode(lease)


def acquired(
    work: str,
    current: Lease | None,
    expected: LeaseVersion | None,
    floor: int,
    me: IncarnationId,
    wall: float,
) -> Lease | None:
    """The record of a new term of `me`, or None if another incarnation holds the lease.

    `expected`: a version that `me` has seen unchanged for a whole term, or whose process it knows
    to have ended.  A record of `me` itself is replaced at once: the grant's response was lost, or
    its term has expired.  `wall`: Unix s.
    """
    version = version_of(current)
    if version is not None and version.nonce != me.nonce and version != expected:
        return None
    fence = max(current.fence if current is not None else 0, floor) + 1
    if fence > MAX_FENCE:
        return None
    return Lease(VERSION, work, fence, me.name, me.nonce, since=wall)


def renewed(current: Lease | None, fence: int, me: IncarnationId) -> Lease | None:
    """The record of the renewed term, or None if `me` no longer holds it with `fence`."""
    if current is None or current.free or (current.fence, current.nonce) != (fence, me.nonce):
        return None
    return msgspec.structs.replace(current, beat=current.beat + 1)


def released(current: Lease | None, fence: int, me: IncarnationId) -> Lease | None:
    """The released record, which keeps its fence; None if `me` does not hold it with `fence`."""
    kept = renewed(current, fence, me)
    return None if kept is None else msgspec.structs.replace(kept, free=True)


@dataclass(slots=True)
class FenceGuard:
    """Kept by the target of effects: the highest fence that it has seen, and its nonce.

    The same fence with another nonce is rejected too: a store that lost its data may grant a fence
    twice, and the incarnation that used it first is its owner.
    """

    fence: int = 0
    nonce: str = ""

    def admits(self, fence: int, nonce: str) -> bool:
        """Whether an effect may happen.  If so, lower fences are rejected from now on."""
        if fence > MAX_FENCE or fence < self.fence:
            return False
        if fence == self.fence and nonce != self.nonce:
            return False
        self.fence, self.nonce = fence, nonce
        return True
