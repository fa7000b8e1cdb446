"""Reads the files that ledgers export, for the settlement, on a writer thread."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import msgspec

from violetroute import logs
from violetroute.error_text import one_line
from violetroute.transport.disk import read_bounded
from violetroute.transport.writer import Writer

from .settlement import Batch, ClosedThrough, Settlement, is_key

# Bytes of a batch's file: a bill of this batch alone must fit in one log record.
MAX_FILE_BYTES = 3 * 1024 * 1024
# Unix time of the year 3000: later periods are rejected before any calendar arithmetic.
MAX_TIME_S = 32_503_680_000
MAX_FILES_PER_READ = 2000  # the others are read by the next call
MAX_PENDING_BATCHES = 5000  # not billed yet; no more are read until some are billed
CLOSED_SUFFIX = ".through"
SETTLED_FOLDER = "settled"  # subfolder for the files of settled batches


Units = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]  # exact in every JSON parser


class _Line(msgspec.Struct):
    tenant: str | None
    cls: str = msgspec.field(name="class")
    units: Units


class _Head(msgspec.Struct):
    batch: str
    period: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_S)]
    kind: str
    lines: int
    units: Units


class _ClosedThrough(msgspec.Struct):
    ledger: str
    until: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_S)]


def parse(data: bytes) -> Batch:
    """A batch from its JSON lines.  ValueError if they are invalid or do not match the header."""
    rows = data.splitlines()
    head = msgspec.json.decode(rows[0] if rows else b"", type=_Head)
    lines = [msgspec.json.decode(row, type=_Line) for row in rows[1:]]
    if not is_key(head.batch):
        raise ValueError(f"{head.batch[:100]!r} is not a batch key")
    if len(lines) != head.lines or sum(line.units for line in lines) != head.units:
        raise ValueError("the lines do not match the count and the units of the header")
    return Batch(
        head.batch,
        head.period,
        head.kind,
        tuple((line.tenant, line.cls, line.units) for line in lines),
        len(data),
    )


class BatchReader:
    """Reads new files of the folder on a thread, and updates a settlement on the event loop.

    The instance is the `gather` function of a `LogWork`.
    """

    def __init__(
        self, folder: Path, settlement: Settlement, writer: Writer, wall: Callable[[], float]
    ) -> None:
        self._folder, self._settlement, self._writer = folder, settlement, writer
        self._wall = wall
        self._key_by_file: dict[str, str] = {}  # "" for an invalid file

    def __call__(self, callback: Callable[[str], None]) -> None:
        known, settled = dict(self._key_by_file), self._settlement.settled
        # Computed on the event loop, which alone changes the settlement.
        settled_files = [name for name, key in known.items() if key and key in settled]
        max_files = min(
            MAX_FILES_PER_READ, max(0, MAX_PENDING_BATCHES - len(self._settlement.batches))
        )

        def job() -> tuple[list[tuple[str, Batch]], list[ClosedThrough], dict[str, str], set[str]]:
            return self._read(known, settled_files, max_files)

        def finished(found: Any, error: BaseException | None) -> None:
            if error is not None:
                callback(one_line(error))
                return
            batches, through, errors, names = found
            for name, reason in errors.items():
                logs.event("fleet.work_failed", work="settlement", reason=f"{name}: {reason}")
                self._key_by_file[name] = ""
            for name, batch in batches:
                self._key_by_file[name] = batch.key
            for name in [name for name in self._key_by_file if name not in names]:
                del self._key_by_file[name]
            self._settlement.update(self._wall(), [batch for _, batch in batches], through)
            callback("")

        self._writer.submit(job, finished)

    def close(self) -> None:
        """Close the writer without waiting for a read that is under way."""
        self._writer.close(0.0)

    def _read(
        self,
        known: dict[str, str],
        settled_files: list[str],
        max_files: int,
    ) -> tuple[list[tuple[str, Batch]], list[ClosedThrough], dict[str, str], set[str]]:
        batches: list[tuple[str, Batch]] = []
        through: list[ClosedThrough] = []
        errors: dict[str, str] = {}
        if not self._folder.exists():
            return batches, through, errors, set()
        if settled_files:
            (self._folder / SETTLED_FOLDER).mkdir(exist_ok=True)
        for name in settled_files:  # keeps the listing of the folder short
            with contextlib.suppress(FileNotFoundError):
                os.replace(self._folder / name, self._folder / SETTLED_FOLDER / name)
        names = set(os.listdir(self._folder))
        for name in sorted(names):
            path = self._folder / name
            if name.endswith(CLOSED_SUFFIX):
                try:
                    each = msgspec.json.decode(_read_limited(path, 4096), type=_ClosedThrough)
                    through.append(ClosedThrough(each.ledger, each.until))
                except ValueError as error:
                    errors[name] = str(error)
            elif name.endswith(".jsonl") and name not in known and len(batches) < max_files:
                try:
                    batches.append((name, parse(_read_limited(path, MAX_FILE_BYTES))))
                except (ValueError, RecursionError) as error:
                    errors[name] = str(error)
        errors = {name: reason for name, reason in errors.items() if name not in known}
        return batches, through, errors, names


def _read_limited(path: Path, max_bytes: int) -> bytes:
    data = read_bounded(path, max_bytes)
    if len(data) > max_bytes:
        raise ValueError(f"longer than {max_bytes} bytes")
    return data
