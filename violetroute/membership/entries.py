"""Entries of the list of cache nodes, and a parser for the platform's JSON form of it."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import Any

import msgspec

from snowstall import CacheState, Member
from violetroute import logs
from violetroute.transport import Address, parse_address

LIFECYCLE_STATES = {
    "in_service": CacheState.READY,
    "terminating": CacheState.DRAINING,
    "terminated": CacheState.GONE,
}


# Exceptions that `parse_entry` raises for an invalid entry.
INVALID_ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class Entry(msgspec.Struct, frozen=True, gc=False):
    """One node as a source reports it.  Copy with changes by `msgspec.structs.replace`."""

    instance: str
    state: CacheState
    address: Address | None
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: float
    inferred: bool = False  # started_at is when the node was first seen, not its own report
    hint: bool = False  # GONE by its health checks alone, so it doesn't override other sources


@dataclass(frozen=True, slots=True)
class Listing:
    """A full list of nodes, or the changes to one.

    `whole`: the entries are the full list, and nodes without an entry are gone.  `answered`: the
    source was heard; False if only a time has passed at which nodes change their state.
    """

    generation: int
    whole: bool
    entries: tuple[Entry, ...]
    answered: bool = True


def parse_listing(raw: Any) -> Listing:
    """Parse decoded JSON.  Raises ValueError if it is not a list of cache nodes.

    An invalid entry is skipped and logged, and the others are used.  If it were an error, each new
    watch would end at it, and losing the updates of the fleet costs more than losing one node.
    """
    entries, invalid = [], 0
    try:
        for item in raw["instances"]:
            try:
                entries.append(parse_entry(item))
            except INVALID_ENTRY_ERRORS:
                invalid += 1
        listing = Listing(
            int(raw.get("generation", 0)), bool(raw.get("reset", False)), tuple(entries)
        )
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a list of cache nodes: {error!r}") from error
    log_invalid_entries(invalid)
    return listing


def log_invalid_entries(count: int) -> None:
    """Log how many entries of a list were skipped as invalid, if any."""
    if count:
        logs.event("discovery.entries_left_out", count=count)


def parse_entry(raw: dict[str, Any]) -> Entry:
    """Parse one node.  Raises one of INVALID_ENTRY_ERRORS if it is invalid."""
    state = LIFECYCLE_STATES[raw["lifecycle"]]
    gone = state is CacheState.GONE  # its address is not needed
    weight, started_at = float(raw.get("weight", 1.0)), float(raw.get("startedAtMs", 0.0))
    if not (0.0 <= weight < math.inf and 0.0 <= started_at < math.inf):
        raise ValueError("weight or start time out of range")
    return Entry(
        str(raw["instanceId"]),
        state,
        None if gone else parse_address(raw["hostPort"]),
        str(raw.get("zone", "")),
        str(raw.get("machineType", "")),
        int(raw.get("cell", 0)),
        weight,
        started_at,
    )


def stable_hash(name: bytes) -> int:
    """A 53-bit hash that is equal in every process: each key and node has one number fleet-wide."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big") >> 11


def as_member(entry: Entry, now: float, cache_id: int | None = None) -> Member:
    """Convert an entry for the balancer.  `now` is Unix ms on the proxy's clock.

    `cache_id`: the hash of the entry's name, if the caller has it already.
    """
    # A start time in the future would keep the node cold until then.
    return Member(
        stable_hash(entry.instance.encode()) if cache_id is None else cache_id,
        entry.state,
        entry.zone,
        entry.kind,
        entry.cell,
        entry.weight,
        min(entry.started_at, now),
    )
