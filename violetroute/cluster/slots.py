"""Hash slots.  Pure.

By the Redis Cluster specification, "Key distribution model": CRC16 (XMODEM) of the key modulo
16,384; where the key has a `{`, and a `}` behind it that is not next to it, only what lies between
the first of each counts, so that keys can be made to share a slot.
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
    """ "0-5460" or "7000", each end included, in rising order.  ValueError names the range."""
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
            raise ValueError(f"{text!r} is no range of slots")
        if not int(first) <= int(last) < SLOTS:
            raise ValueError(f"{text!r} does not lie within 0-{SLOTS - 1}")
        ranges.append((int(first), int(last)))
    return tuple(sorted(ranges))


def owners(shares: Iterable[tuple[int, tuple[tuple[int, int], ...]]]) -> list[int]:
    """The owner of each slot.  ValueError where two claim one, or nobody does."""
    found = [-1] * SLOTS
    for owner, ranges in shares:
        for first, last in ranges:
            for slot in range(first, last + 1):
                if found[slot] >= 0:
                    raise ValueError(f"slot {slot} belongs to two")
                found[slot] = owner
    if -1 in found:
        raise ValueError(f"slot {found.index(-1)} belongs to nobody")
    return found
