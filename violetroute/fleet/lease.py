"""Leases as a store keeps them, and what a store may do with one.  Pure.

A lease belongs to one *incarnation* of a process (its nonce, new with every start), not to a name:
two proxies that were given one name are two incarnations, and a restarted one does not inherit what
it can't remember.  Each term has a **fence**, a number that only rises; a fence and a nonce
together are one owner's, and whoever takes an effect compares them (`Seal`).

What rises is taken from two places: the store's last record, and the highest fence that the asker
has heard of from anywhere (`floor`): the effect itself tells it to who comes with too low a one.
So a store that has forgotten everything can hand out a fence that was there before, to another
incarnation; its effects are refused, the refusal names the higher fence, and the next term begins
above it.  Weighed and rejected: the wall clock (steps back), a random number (has no order), the
store's own index (begins at 1 again with the store).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

VERSION = 1
MAX_FENCE = 2**53  # what every JSON reader keeps exactly; nobody comes near it by ones
MAX_LEASE_BYTES = 4096  # bytes of a lease's record
MAX_NAME_CHARS = 200  # characters
NONCE_PATTERN = re.compile(r"[0-9a-z-]{1,64}")


def is_nonce(text: str) -> bool:
    """Small letters, digits and dashes: it becomes a file's name and part of a header."""
    return NONCE_PATTERN.fullmatch(text) is not None


class Lease(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One work's record.  `free`: handed back, or its session has gone."""

    v: int
    work: str
    fence: int
    name: str  # the proxy's, for people
    nonce: str
    beat: int = 0  # rises with every renewal, so that a watcher sees one
    free: bool = False
    since: float = 0.0  # Unix s of the term's beginning, for people


@dataclass(frozen=True, slots=True)
class LeaseVersion:
    """One state of a record: two equal ones are the same state."""

    fence: int
    nonce: str
    beat: int


@dataclass(frozen=True, slots=True)
class IncarnationId:
    """One incarnation of one proxy."""

    name: str
    nonce: str


def version_of(lease: Lease | None) -> LeaseVersion | None:
    """None: nobody holds it."""
    return (
        None if lease is None or lease.free else LeaseVersion(lease.fence, lease.nonce, lease.beat)
    )


class UnreadableLeaseError(Exception):
    """A record that is not ours to judge: garbage, or of a later version."""


def decode(data: bytes, work: str) -> Lease:
    """Unreadable for anything but a lease of `work` in this version.

    A record that can't be read is nobody's and stays: taking it over would be guessing at its
    fence.
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
        told = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return 0
    version = told.get("v") if isinstance(told, dict) else 0
    return version if isinstance(version, int) else 0


def encode(lease: Lease) -> bytes:
    return msgspec.json.encode(lease)


def acquired(
    work: str,
    current: Lease | None,
    expected: LeaseVersion | None,
    floor: int,
    me: IncarnationId,
    wall: float,
) -> Lease | None:
    """The record of a new term, or None: it is another's.

    `over`: the state that the asker has watched stand still for a whole term, or whose process it
    knows to have ended.  One's own record is taken over at once: that is a term whose grant was
    lost on its way, or that one has let lapse.
    """
    here = version_of(current)
    if here is not None and here.nonce != me.nonce and here != expected:
        return None
    fence = max(current.fence if current is not None else 0, floor) + 1
    if fence > MAX_FENCE:
        return None
    return Lease(VERSION, work, fence, me.name, me.nonce, since=wall)


def renewed(current: Lease | None, fence: int, me: IncarnationId) -> Lease | None:
    """The same term with a new beat, or None: it is this incarnation's no more."""
    if current is None or current.free or (current.fence, current.nonce) != (fence, me.nonce):
        return None
    return msgspec.structs.replace(current, beat=current.beat + 1)


def released(current: Lease | None, fence: int, me: IncarnationId) -> Lease | None:
    """Handed back, with its fence kept; None: there is nothing of ours to hand back."""
    kept = renewed(current, fence, me)
    return None if kept is None else msgspec.structs.replace(kept, free=True)


@dataclass(slots=True)
class FenceGuard:
    """What the place of an effect remembers: the highest fence it has met, and whose it was.

    The same fence under another nonce is refused too: a store that forgot may hand it out twice,
    and who came first with it is its owner.
    """

    fence: int = 0
    nonce: str = ""

    def admits(self, fence: int, nonce: str) -> bool:
        """Whether an effect may happen; from then on no lower one does."""
        if fence > MAX_FENCE or fence < self.fence:
            return False
        if fence == self.fence and nonce != self.nonce:
            return False
        self.fence, self.nonce = fence, nonce
        return True
