"""An entry of the list of cache nodes, and the list in the platform's JSON form."""

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


# What reading an entry that makes no sense raises.
INVALID_ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class Entry(msgspec.Struct, frozen=True, gc=False):
    """One node as a source tells of it.  Change it with `msgspec.structs.replace`."""

    instance: str
    state: CacheState
    address: Address | None
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: float
    inferred: bool = False  # its start is when it was first seen, not what it says
    hint: bool = False  # gone by its health alone: another source may know better


@dataclass(frozen=True, slots=True)
class Listing:
    generation: int
    whole: bool
    entries: tuple[Entry, ...]


def parse_listing(raw: Any) -> Listing:
    """Raises ValueError on anything that is not a list of cache nodes.

    One entry that makes no sense is left out and the others hold: as an error it would end
    each watch anew, and a fleet that nobody hears of costs more than one node.
    """
    entries, senseless = [], 0
    try:
        for item in raw["instances"]:
            try:
                entries.append(parse_entry(item))
            except INVALID_ENTRY_ERRORS:
                senseless += 1
        listing = Listing(
            int(raw.get("generation", 0)), bool(raw.get("reset", False)), tuple(entries)
        )
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a list of cache nodes: {error!r}") from error
    log_invalid_entries(senseless)
    return listing


def log_invalid_entries(count: int) -> None:
    """Log how many entries of a list were left out, if any."""
    if count:
        logs.event("discovery.entries_left_out", count=count)


def parse_entry(raw: dict[str, Any]) -> Entry:
    """KeyError, TypeError, ValueError, AttributeError or OverflowError if it makes no sense."""
    state = LIFECYCLE_STATES[raw["lifecycle"]]
    gone = state is CacheState.GONE  # nobody will connect there
    weight, started_at = float(raw.get("weight", 1.0)), float(raw.get("startedAtMs", 0.0))
    if not (0.0 <= weight < math.inf and 0.0 <= started_at < math.inf):
        raise ValueError("weight or start is no number")
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
    """53 bits, the same in every process: keys and nodes have the same number everywhere."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big") >> 11


def as_member(entry: Entry, now: float, cache_id: int | None = None) -> Member:
    """What the module is told of an entry; `now` as it knows it, in ms.

    `cache_id`: the hash of the entry's name, where the caller has it.
    """
    # A start that is yet to come would keep the node cold until then.
    return Member(
        stable_hash(entry.instance.encode()) if cache_id is None else cache_id,
        entry.state,
        entry.zone,
        entry.kind,
        entry.cell,
        entry.weight,
        min(entry.started_at, now),
    )
