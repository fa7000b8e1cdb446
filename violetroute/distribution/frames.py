"""Encodes and decodes the frames of a log segment, and finds out how much of it is valid.  Pure.

    4 bytes   MAGIC
    4 bytes   length of the body
    4 bytes   CRC-32 of the body
    4 bytes   CRC-32 of the 12 bytes before
    the body

Each frame is written by one write and synced before the next one is written.  So a crash can leave
only the last frame incomplete, whichever of its bytes reached the disk.  An invalid frame without a
valid one behind it is a **torn tail**.  It is dropped: it was never acknowledged as stored.  An
invalid frame with a valid one behind it had been synced and is **damage**.  The file must not be
used then, since the frames that follow may have been acknowledged.  (Damage within the very last
frame cannot be distinguished from a torn tail.)
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

MAGIC = b"LBd1"
HEADER = struct.Struct("<4sIII")
CHECKSUMMED_BYTES = HEADER.size - 4  # bytes of the header that its own CRC covers
MAX_BODY_BYTES = 256 * 1024 * 1024  # bytes of one frame


@dataclass(frozen=True, slots=True)
class Frames:
    """The valid frames at the start of a segment; `valid_bytes` is their total size."""

    bodies: list[bytes]
    valid_bytes: int
    damaged: bool  # an invalid frame is followed by a valid one


def encode_frame(body: bytes) -> bytes:
    """The frame of this body.  Raises ValueError if it is empty or exceeds MAX_BODY_BYTES."""
    if not 0 < len(body) <= MAX_BODY_BYTES:
        raise ValueError(f"a frame's body cannot have {len(body)} bytes")
    checksummed = struct.pack("<4sII", MAGIC, len(body), zlib.crc32(body))
    return b"%b%b%b" % (checksummed, struct.pack("<I", zlib.crc32(checksummed)), body)


def decode_frames(data: bytes) -> Frames:
    """Decode all frames up to the first invalid one.  Never raises."""
    bodies: list[bytes] = []
    offset = 0
    while (body := _frame_at(data, offset)) is not None:
        bodies.append(body)
        offset += HEADER.size + len(body)
    return Frames(bodies, offset, offset < len(data) and _whole_frame_after(data, offset))


def _frame_at(data: bytes, offset: int) -> bytes | None:
    """The body of the frame at `offset`; None if there is no valid one."""
    if len(data) - offset < HEADER.size:
        return None
    magic, length, body_crc, header_crc = HEADER.unpack_from(data, offset)
    if magic != MAGIC or zlib.crc32(data[offset : offset + CHECKSUMMED_BYTES]) != header_crc:
        return None
    body = data[offset + HEADER.size : offset + HEADER.size + length]
    if not body or len(body) < length or zlib.crc32(body) != body_crc:
        return None
    return body


def _whole_frame_after(data: bytes, offset: int) -> bool:
    found = data.find(MAGIC, offset + 1)
    while found >= 0:
        if _frame_at(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False
