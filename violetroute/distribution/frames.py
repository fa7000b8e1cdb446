"""Frames of a log segment as bytes, and how much of a segment can be believed.  Pure.

    4 bytes   MAGIC
    4 bytes   length of the body
    4 bytes   CRC-32 of the body
    4 bytes   CRC-32 of the 12 bytes before
    the body

One frame is written by one write and synced before the next is begun.  So what a crash leaves
unfinished is the last frame, whatever of its bytes reached the disk: a frame that does not add up
with no whole frame behind it is a **torn tail** and is dropped, as nobody was told that it is
stored.  One with a whole frame behind it had been synced and is **damage**: what follows it may
have been acknowledged, so the file must not be used.  (Damage within the very last frame cannot be
told from a torn one.)
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

MAGIC = b"LBd1"
HEADER = struct.Struct("<4sIII")
CHECKED = HEADER.size - 4  # bytes of the head that its own CRC covers
MAX_BODY_BYTES = 256 * 1024 * 1024  # of a frame


@dataclass(frozen=True, slots=True)
class Frames:
    """The frames of a segment.  `good`: bytes up to the end of the last whole one."""

    bodies: list[bytes]
    good: int
    damaged: bool  # a whole frame stands behind one that does not add up


def encode_frame(body: bytes) -> bytes:
    """ValueError for a body of more than MAX_BODY_BYTES."""
    if not 0 < len(body) <= MAX_BODY_BYTES:
        raise ValueError(f"a frame of {len(body)} bytes")
    checked = struct.pack("<4sII", MAGIC, len(body), zlib.crc32(body))
    return b"%b%b%b" % (checked, struct.pack("<I", zlib.crc32(checked)), body)


def decode_frames(data: bytes) -> Frames:
    """All frames up to the first that does not add up.  Never raises."""
    bodies: list[bytes] = []
    place = 0
    while (body := _frame_at(data, place)) is not None:
        bodies.append(body)
        place += HEADER.size + len(body)
    return Frames(bodies, place, place < len(data) and _whole_frame_after(data, place))


def _frame_at(data: bytes, place: int) -> bytes | None:
    """The body of the frame that begins there; None where there is no whole one."""
    if len(data) - place < HEADER.size:
        return None
    magic, length, body_check, head_check = HEADER.unpack_from(data, place)
    if magic != MAGIC or zlib.crc32(data[place : place + CHECKED]) != head_check:
        return None
    body = data[place + HEADER.size : place + HEADER.size + length]
    if not body or len(body) < length or zlib.crc32(body) != body_check:
        return None
    return body


def _whole_frame_after(data: bytes, place: int) -> bool:
    found = data.find(MAGIC, place + 1)
    while found >= 0:
        if _frame_at(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False
