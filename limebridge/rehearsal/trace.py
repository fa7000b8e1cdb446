"""A recorded load, to be asked again at its own times: CSV or JSON lines, also behind .zst.

Columns (or members): `at` in seconds from the start, `class`; `tenant` and `key` may be left out.
Lines come in the order of time.  A mistake is one line with the file and the number of its line.
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

MOST = 5_000_000  # lines
LARGEST = 1 << 30  # bytes behind the compression: a small file must not fill the memory


@dataclass(frozen=True, slots=True)
class Recorded:
    """One request of a trace."""

    at: float  # s
    cls: str
    tenant: str
    key: str


def read(path: Path, classes: set[str]) -> Iterator[Recorded]:
    """Its requests, one by one.  ConfigError: a file or line that can't be used."""
    last, number = 0.0, 0
    for number, row in _rows(path):
        if number > MOST:
            raise ConfigError(f"{path}: more than {MOST} lines")
        try:
            found = Recorded(
                float(row["at"]),
                str(row["class"]),
                str(row.get("tenant") or ""),
                str(row.get("key") or ""),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ConfigError(f"{path}:{number}: at and class are needed: {error}") from None
        if not last <= found.at < 1e9:  # not a number is neither
            raise ConfigError(f"{path}:{number}: at: {row['at']} comes before the line above")
        if found.cls not in classes:
            raise ConfigError(f"{path}:{number}: class: {found.cls!r} is none of the scenario's")
        last = found.at
        yield found
    if not number:
        raise ConfigError(f"{path}: has no requests")


def _rows(path: Path) -> Iterator[tuple[int, Any]]:
    names = [suffix for suffix in path.suffixes if suffix != ".zst"]
    try:
        with path.open("rb") as raw:
            plain: Any = raw
            if path.suffix == ".zst":
                plain = zstandard.ZstdDecompressor(max_window_size=1 << 27).stream_reader(raw)
            bounded = io.BufferedReader(_Bounded(plain))
            text = io.TextIOWrapper(bounded, encoding="utf-8", newline="")
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


class _Bounded(io.RawIOBase):
    """No more than LARGEST bytes of another stream."""

    def __init__(self, of: Any) -> None:
        self._of, self._left = of, LARGEST

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        data: bytes = self._of.read(len(buffer))
        self._left -= len(data)
        if self._left < 0:
            raise OSError(f"more than {LARGEST} bytes")
        buffer[: len(data)] = data
        return len(data)
