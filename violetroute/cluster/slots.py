"""Hash slots.  Pure.

See "Key distribution model" in the Redis Cluster specification.  The slot is the CRC16 (XMODEM) of
the key modulo 16,384.  If the key has a non-empty hash tag in braces, only the tag is hashed, so
that keys can be made to share a slot.
"""

from __future__ import annotations

import binascii
from collections.abc import Iterable

SLOTS = 16_384


def key_slot(key: bytes) -> int:
    """The slot of a key, 0 to 16,383."""
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            key = key[start + 1 : end]
    return binascii.crc_hqx(key, 0) % SLOTS


def parse_ranges(texts: Iterable[str]) -> tuple[tuple[int, int], ...]:
    """Parse ranges such as "0-5460" (both ends included) or "7000"; returns them sorted.

    ValueError names the invalid range.
    """
    ranges = []
    for text in texts:
        first, dash, last = text.partition("-")
        last = last if dash else first
        if not (
            first.isascii()
            and first.isdigit()
            and last.isascii()
            and last.isdigit()
            and len(first) < 6
            and len(last) < 6
        ):
            raise ValueError(f"{text!r} is not a range of slots")
        if not int(first) <= int(last) < SLOTS:
            raise ValueError(f"{text!r} is not within 0-{SLOTS - 1}")
        ranges.append((int(first), int(last)))
    return tuple(sorted(ranges))


def owners(ranges_by_owner: Iterable[tuple[int, tuple[tuple[int, int], ...]]]) -> list[int]:
    """The owner of each slot.  ValueError if a slot has two owners or none."""
    found = [-1] * SLOTS
    for owner, ranges in ranges_by_owner:
        for first, last in ranges:
            for slot in range(first, last + 1):
                if found[slot] >= 0:
                    raise ValueError(f"slot {slot} has two owners")
                found[slot] = owner
    if -1 in found:
        raise ValueError(f"slot {found.index(-1)} has no owner")
    return found
