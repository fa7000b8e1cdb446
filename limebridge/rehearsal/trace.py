"""Reads a recorded load for replay: CSV or JSON lines, optionally compressed (.zst).

Columns (or members): `at` in seconds from the start and `class`; `tenant` and `key` are optional.
Rows are in order of time.  An error message is one line with the file and the line number.
"""

from __future__ import annotations

import csv
import io
import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import zstandard

from violetroute.config import ConfigError

MAX_LINES = 5_000_000
MAX_BYTES = 1 << 30  # bytes after decompression: a small file must not fill the memory


@dataclass(frozen=True, slots=True)
class RecordedRequest:
    """One request of a trace."""

    at: float  # s from the start
    cls: str
    tenant: str  # empty: not recorded
    key: str  # empty: not recorded


def read_trace(path: Path, classes: set[str]) -> Iterator[RecordedRequest]:
    """Yield the requests of a trace; `classes` are the classes that it may name.

    Raises ConfigError for an unreadable file and for the first invalid line.
    """
    last_at, number = 0.0, 0
    for number, row in _rows(path):
        if number > MAX_LINES:
            raise ConfigError(f"{path}: more than {MAX_LINES} lines")
        try:
            record = RecordedRequest(
                float(row["at"]),
                str(row["class"]),
                str(row.get("tenant") or ""),
                str(row.get("key") or ""),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ConfigError(f"{path}:{number}: at and class are required: {error}") from None
        if not last_at <= record.at < 1e9:  # also false for NaN
            raise ConfigError(
                f"{path}:{number}: at: {row['at']} is not a time, or before that of the line above"
            )
        if record.cls not in classes:
            raise ConfigError(
                f"{path}:{number}: class: {record.cls!r} is not a class of the scenario"
            )
        last_at = record.at
        yield record
    if not number:
        raise ConfigError(f"{path}: the trace has no requests")


def _rows(path: Path) -> Iterator[tuple[int, Any]]:
    names = [suffix for suffix in path.suffixes if suffix != ".zst"]
    try:
        with path.open("rb") as raw:
            stream: Any = raw
            if path.suffix == ".zst":
                stream = zstandard.ZstdDecompressor(max_window_size=1 << 27).stream_reader(raw)
            limited = io.BufferedReader(_LimitedReader(stream))
            text = io.TextIOWrapper(limited, encoding="utf-8", newline="")
            if names[-1:] == [".csv"]:
                yield from enumerate(csv.DictReader(text), 2)
            else:
                for number, line in enumerate(text, 1):
                    if line.strip():
                        yield number, json.loads(line)
    except (
        OSError,
        UnicodeError,
        csv.Error,
        zstandard.ZstdError,
        json.JSONDecodeError,
        RecursionError,
    ) as error:
        raise ConfigError(f"{path}: can't be read: {error}") from None


class _LimitedReader(io.RawIOBase):
    """Reads another stream and raises OSError after MAX_BYTES bytes."""

    def __init__(self, stream: Any) -> None:
        self._stream, self._remaining = stream, MAX_BYTES

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        data: bytes = self._stream.read(len(buffer))
        self._remaining -= len(data)
        if self._remaining < 0:
            raise OSError(f"more than {MAX_BYTES} bytes")
        buffer[: len(data)] = data
        return len(data)
