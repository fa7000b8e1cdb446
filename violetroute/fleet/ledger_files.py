"""What the ledgers have handed over as files, for the settlement.  Blocks, beside the loop."""

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

MAX_FILE_BYTES = 3 * 1024 * 1024  # bytes of a batch's file: a bill of it alone is an entry
MAX_TIME = 32_503_680_000  # Unix s, the year 3000: no calendar is asked for a period beyond
MAX_FILES_PER_READ = 2000  # files that one look reads; the others are read by the next
MAX_PENDING_BATCHES = 5000  # that wait to be billed; no more are read until some are
CLOSED_SUFFIX = ".through"
SETTLED_FOLDER = "settled"  # the folder in which files lie whose batches the log names


Units = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]  # JSON's readers keep these exactly


class _Line(msgspec.Struct):
    tenant: str | None
    cls: str = msgspec.field(name="class")
    units: Units


class _Head(msgspec.Struct):
    batch: str
    period: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME)]
    kind: str
    lines: int
    units: Units


class _ClosedThrough(msgspec.Struct):
    ledger: str
    until: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME)]


def parse(data: bytes) -> Batch:
    """A batch's JSON lines.  ValueError for anything that does not add up."""
    rows = data.splitlines()
    head = msgspec.json.decode(rows[0] if rows else b"", type=_Head)
    lines = [msgspec.json.decode(row, type=_Line) for row in rows[1:]]
    if not is_key(head.batch):
        raise ValueError(f"{head.batch[:100]!r} is no batch's key")
    if len(lines) != head.lines or sum(line.units for line in lines) != head.units:
        raise ValueError("its lines do not add up to what it says")
    return Batch(
        head.batch,
        head.period,
        head.kind,
        tuple((line.tenant, line.cls, line.units) for line in lines),
        len(data),
    )


class BatchReader:
    """Reads what is new in the folder, and feeds a settlement with it on the loop."""

    def __init__(
        self, folder: Path, settlement: Settlement, writer: Writer, wall: Callable[[], float]
    ) -> None:
        self._folder, self._settlement, self._writer = folder, settlement, writer
        self._wall = wall
        self._known: dict[str, str] = {}  # files that have been read: their batches' keys, or ""

    def __call__(self, told: Callable[[str], None]) -> None:
        known, settled = dict(self._known), self._settlement.settled
        # Only the loop's thread changes the settlement: which files are done is asked here.
        done = [name for name, key in known.items() if key and key in settled]
        room = min(MAX_FILES_PER_READ, max(0, MAX_PENDING_BATCHES - len(self._settlement.batches)))

        def job() -> tuple[list[tuple[str, Batch]], list[ClosedThrough], dict[str, str], set[str]]:
            return self._read(known, done, room)

        def gathered(found: Any, error: BaseException | None) -> None:
            if error is not None:
                told(one_line(error))
                return
            batches, through, wrong, names = found
            for name, why in wrong.items():
                logs.event("fleet.work_failed", work="settlement", reason=f"{name}: {why}")
                self._known[name] = ""
            for name, batch in batches:
                self._known[name] = batch.key
            for name in [name for name in self._known if name not in names]:
                del self._known[name]
            self._settlement.gathered(self._wall(), [batch for _, batch in batches], through)
            told("")

        self._writer.submit(job, gathered)

    def close(self) -> None:
        """Close the writer without waiting for a read that is under way."""
        self._writer.close(0.0)

    def _read(
        self,
        known: dict[str, str],
        done: list[str],
        room: int,
    ) -> tuple[list[tuple[str, Batch]], list[ClosedThrough], dict[str, str], set[str]]:
        batches: list[tuple[str, Batch]] = []
        through: list[ClosedThrough] = []
        wrong: dict[str, str] = {}
        if not self._folder.exists():
            return batches, through, wrong, set()
        if done:
            (self._folder / SETTLED_FOLDER).mkdir(exist_ok=True)
        for name in done:  # out of the way: a look reads names, and those must not pile up
            with contextlib.suppress(FileNotFoundError):
                os.replace(self._folder / name, self._folder / SETTLED_FOLDER / name)
        names = set(os.listdir(self._folder))
        for name in sorted(names):
            path = self._folder / name
            if name.endswith(CLOSED_SUFFIX):
                try:
                    each = msgspec.json.decode(_bounded(path, 4096), type=_ClosedThrough)
                    through.append(ClosedThrough(each.ledger, each.until))
                except ValueError as error:
                    wrong[name] = str(error)
            elif name.endswith(".jsonl") and name not in known and len(batches) < room:
                try:
                    batches.append((name, parse(_bounded(path, MAX_FILE_BYTES))))
                except (ValueError, RecursionError) as error:
                    wrong[name] = str(error)
        wrong = {name: why for name, why in wrong.items() if name not in known}
        return batches, through, wrong, names


def _bounded(path: Path, most: int) -> bytes:
    data = read_bounded(path, most)
    if len(data) > most:
        raise ValueError(f"longer than {most} bytes")
    return data
