"""Encodes records of the ledger's log as frames, and finds the valid part of a file.  Pure.

A frame is a length, a CRC-32 and a MessagePack record.  Rejected: CRC-32C (needs another library;
zlib's CRC-32 runs at over 1 GB/s, and a flush has a few kilobytes), a hash (whoever can forge a
record can forge the whole log), SQLite's pages (see `docs/design/ledger.md`).

A frame is valid if it and all frames before it are intact.  What a power cut tears, drops or
reorders was not synced, and nothing is exported before it is synced; so the file ends at the first
damaged frame, whatever follows it.
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
MAX_RECORD_BYTES = 64 * 1024 * 1024  # a checkpoint of a full book has a few MiB

Record = list[Any]


def encode(records: Iterable[Record]) -> bytes:
    """The frames of these records, concatenated."""
    parts = []
    for record in records:
        body = msgspec.msgpack.encode(record)
        parts += [FRAME_HEADER.pack(len(body), zlib.crc32(body)), body]
    return b"".join(parts)


@dataclass(slots=True)
class DecodedLog:
    """The valid part of a file."""

    records: list[Record]
    valid_bytes: int  # length of the valid part
    error: str = ""  # why the rest is not valid; empty if there is none


def decode(data: bytes) -> DecodedLog:
    """The records before the first damaged frame.  Never raises."""
    if not data.startswith(MAGIC):
        return DecodedLog([], 0, "no ledger's file" if data else "empty")
    found, offset = DecodedLog([], len(MAGIC)), len(MAGIC)
    while offset < len(data):
        if len(data) - offset < FRAME_HEADER.size:
            found.error = "half a frame"
            break
        length, check = FRAME_HEADER.unpack_from(data, offset)
        body = data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + length]
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
        offset += FRAME_HEADER.size + length
        found.valid_bytes = offset
    return found
