"""Hash functions whose results are the same in every process."""

from __future__ import annotations

import sys
from array import array
from functools import cache

_MASK = (1 << 64) - 1
_GOLDEN = 0x9E3779B97F4A7C15
_FACTORS = (0xBF58476D1CE4E5B9, 0x94D049BB133111EB)

# `mix_sequence` hashes LANES numbers at once, packed into one large integer.  Each has a lane of
# 128 bits, so that a product of two 64-bit numbers doesn't overflow into the next lane.
LANES = 64
_LANE_BITS, _LANE_BYTES = 128, 16
_ONES = sum(1 << (_LANE_BITS * lane) for lane in range(LANES))
_LOW_HALVES = _ONES * _MASK
# The summands of `mix` for salts 0, 1, ..., one in each lane.
_STEPS = sum((((lane + 1) * _GOLDEN) & _MASK) << (_LANE_BITS * lane) for lane in range(LANES))


def mix(value: int, salt: int = 0) -> int:
    """Return the splitmix64 hash of a number; unlike `hash` it is the same in every process."""
    value = (value + (salt + 1) * _GOLDEN) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def mix_sequence(value: int, count: int, kept_bits: int = 64, low: int = 0) -> array[int]:
    """Return `mix(value, salt)` for each salt in range(count), as 64-bit numbers.

    Only the highest `kept_bits` of each hash are kept, and `low` fills the other bits.  It takes
    about a fifth of the time of `count` calls of `mix`.
    """
    top_bits = _top_bits_mask(kept_bits)
    mixed: array[int] = array("Q")
    for first_salt in range(0, count, LANES):
        start = (value + first_salt * _GOLDEN) & _MASK
        lanes = _mix_lanes((start * _ONES + _STEPS) & _LOW_HALVES)
        mixed += _low_halves((lanes & top_bits) | (low * _ONES))
    del mixed[count:]
    return mixed


@cache
def _top_bits_mask(bits: int) -> int:
    """A mask for this number of the highest of the 64 bits of each lane."""
    return ((_MASK << (64 - bits)) & _MASK) * _ONES


def _mix_lanes(lanes: int) -> int:
    """Apply the steps of `mix` after its sum to all lanes."""
    lanes = ((lanes ^ (lanes >> 30 & _LOW_HALVES)) * _FACTORS[0]) & _LOW_HALVES
    lanes = ((lanes ^ (lanes >> 27 & _LOW_HALVES)) * _FACTORS[1]) & _LOW_HALVES
    return lanes ^ (lanes >> 31 & _LOW_HALVES)


def _low_halves(lanes: int) -> array[int]:
    halves = array("Q", lanes.to_bytes(LANES * _LANE_BYTES, "little"))
    if sys.byteorder == "big":
        halves.byteswap()
    return halves[::2]


def fraction(value: int) -> float:
    """Map a 64-bit hash to [0, 1)."""
    return value / 2.0**64
