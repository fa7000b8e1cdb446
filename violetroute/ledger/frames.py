"""Records of the ledger's log as bytes, and how much of a file can be believed.  Pure.

A frame is length, CRC-32 and a MessagePack record.  Weighed: CRC-32C (a library more; zlib's runs
at over 1 GB/s, and a flush has some kilobytes), a hash (nobody forges the log who could not forge
it whole), SQLite's pages (see `docs/design/ledger.md`).

A frame is believed if every one before it is.  What a power cut tears, drops or reorders was not
synced, and nothing that was not synced has been told to anybody; so the first frame that does not
add up is the end of the file, whatever stands behind it.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

MAGIC = b"lbledger"
VERSION = 1
FRAME_HEADER = struct.Struct("<II")
MAX_RECORD_BYTES = 64 * 1024 * 1024  # bytes of a record: a checkpoint of a full book has a few

Record = list[Any]


def encode(records: Iterable[Record]) -> bytes:
    """Frames of these records, one after the other."""
    parts = []
    for record in records:
        body = msgspec.msgpack.encode(record)
        parts += [FRAME_HEADER.pack(len(body), zlib.crc32(body)), body]
    return b"".join(parts)


@dataclass(slots=True)
class DecodedLog:
    """What a file holds."""

    records: list[Record]
    valid_bytes: int  # bytes that can be believed
    error: str = ""  # why what follows can't


def decode(data: bytes) -> DecodedLog:
    """The records up to the first that does not add up.  Never raises."""
    if not data.startswith(MAGIC):
        return DecodedLog([], 0, "no ledger's file" if data else "empty")
    found, place = DecodedLog([], len(MAGIC)), len(MAGIC)
    while place < len(data):
        if len(data) - place < FRAME_HEADER.size:
            found.error = "half a frame"
            break
        length, check = FRAME_HEADER.unpack_from(data, place)
        body = data[place + FRAME_HEADER.size : place + FRAME_HEADER.size + length]
        if not 0 < length <= MAX_RECORD_BYTES or len(body) < length:
            found.error = "half a frame"
            break
        if zlib.crc32(body) != check:
            found.error = "a frame does not add up"
            break
        try:
            record = msgspec.msgpack.decode(body)
        except msgspec.DecodeError:
            record = None
        if not isinstance(record, list) or not record or not isinstance(record[0], str):
            found.error = "a frame that adds up is no record"
            break
        found.records.append(record)
        place += FRAME_HEADER.size + length
        found.valid_bytes = place
    return found
