"""A hash that is the same in every process."""

from __future__ import annotations

import sys
from array import array
from functools import cache

_MASK = (1 << 64) - 1
_GOLDEN = 0x9E3779B97F4A7C15
_FACTORS = (0xBF58476D1CE4E5B9, 0x94D049BB133111EB)

# `mix_sequence` works on LANES numbers at once.  They stand side by side in one large integer, each
# in 128 bits, so that a product of 64 by 64 bits does not reach the next one.
LANES = 64
_LANE_BITS, _LANE_BYTES = 128, 16
_ONES = sum(1 << (_LANE_BITS * lane) for lane in range(LANES))
_LOW_HALVES = _ONES * _MASK
_STEPS = sum(
    (((lane + 1) * _GOLDEN) & _MASK) << (_LANE_BITS * lane) for lane in range(LANES)
)  # what `mix` adds for salts 0, 1, ...


def mix(value: int, salt: int = 0) -> int:
    """A 64-bit integer mix, the same in every process (never the built-in hash)."""
    value = (value + (salt + 1) * _GOLDEN) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def mix_sequence(value: int, count: int, kept_bits: int = 64, low: int = 0) -> array[int]:
    """`mix(value, salt)` for each salt from 0 up to, and without, `count`; 64-bit numbers.

    Of each hash the highest `kept_bits` are kept, and `low` fills the others.
    Takes about a fifth of the time of `count` calls.
    """
    kept = _kept(kept_bits)
    mixed: array[int] = array("Q")
    for first_salt in range(0, count, LANES):
        start = (value + first_salt * _GOLDEN) & _MASK
        lanes = _mix_lanes((start * _ONES + _STEPS) & _LOW_HALVES)
        mixed += _low_halves((lanes & kept) | (low * _ONES))
    del mixed[count:]
    return mixed


@cache
def _kept(bits: int) -> int:
    """A mask of so many of the highest bits of each lane's 64."""
    return ((_MASK << (64 - bits)) & _MASK) * _ONES


def _mix_lanes(lanes: int) -> int:
    """The steps of `mix` after its sum, on all lanes."""
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
