"""Reads the folder of a ledger without changing it; its proxy may be running."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from violetroute.ledger.accounts import Book
from violetroute.ledger.export import json_lines
from violetroute.ledger.frames import decode
from violetroute.ledger.periods import Periods
from violetroute.ledger.store import read_archive_frames

from .reconcile import Exported


@dataclass
class Reading:
    """Contents of a ledger's folder."""

    book: Book
    exported: Exported  # confirmed batches, from the archive
    file: str = ""
    notes: list[str] = field(default_factory=list)  # inconsistencies found while reading

    @property
    def name(self) -> str:
        """Name of the ledger."""
        return self.book.name

    def by_day(self) -> Counter[tuple[str, str | None, str]]:
        """Units by UTC day, tenant (None: others) and class, billed or not."""
        from datetime import UTC, datetime

        found: Counter[tuple[str, str | None, str]] = Counter()

        def add(period: int, tenant: str | None, cls: str, units: int) -> None:
            found[datetime.fromtimestamp(period, UTC).date().isoformat(), tenant, cls] += units

        for (_, period, tenant, cls), units in self.exported.units.items():
            add(period, tenant, cls, units)
        for batch in self.book.batches.values():
            for tenant, cls, units in batch.lines:
                add(batch.period, tenant, cls, units)
        for period, of in self.book.unbatched_units.items():
            for (tenant, cls), units in of.items():
                add(period, tenant, cls, units)
        return found


def read(folder: Path, periods: Periods) -> Reading:
    """Reads the newest log with a valid checkpoint, spilled batches and the archive.

    Raises ValueError when the folder has no ledger or no readable log.
    """
    logs = sorted(
        (path for path in folder.glob("log-*") if path.name[4:].isdecimal()),
        key=lambda path: int(path.name[4:]),
        reverse=True,
    )
    if not logs:
        raise ValueError(f"{folder}: no ledger")
    reading = Reading(Book(periods), Exported())
    for path in logs:
        data = path.read_bytes()
        found = decode(data)
        if found.records and found.records[0][0] == "state":
            for record in found.records:
                reading.book.apply(record)
            reading.file = path.name
            if found.error:
                reading.notes.append(
                    f"{path.name}: {found.error}, {len(data) - found.valid_bytes} bytes "
                    "after it are ignored"
                )
            break
        reading.notes.append(f"{path.name}: {found.error or 'no checkpoint'}")
    else:
        raise ValueError(f"{folder}: no readable log")
    for batch in reading.book.batches.values():
        if batch.spilled_units is not None:
            spilled = decode((folder / f"batch-{batch.seq}").read_bytes()).records
            reading.book.apply(["back", batch.seq, spilled[0][1] if spilled else []])
    for path in sorted(folder.glob("closed-*")):
        for frame in read_archive_frames(path.read_bytes()):
            reading.exported.add(frame.decode("utf-8", "replace"), path.name)
    return reading


def verify(reading: Reading, folder: Path) -> list[str]:
    """Lists inconsistencies of the archive and the ids with the book, held batches and gaps."""
    book, wrong = reading.book, list(reading.notes) + list(reading.exported.problems)
    archived_units: Counter[int] = Counter()
    for (_, period, _, _), units in reading.exported.units.items():
        archived_units[period] += units
    for period, units in book.confirmed_units.items():
        if archived_units[period] != units:
            wrong.append(
                f"period {period}: {units} units confirmed, {archived_units[period]} in the archive"
            )
    for batch in book.batches.values():
        if batch.state == "held":
            wrong.append(f"{batch.key}: {batch.units} units held: {batch.reason}")
    for since, until, why in book.gaps:
        wrong.append(f"incomplete from {since:.1f} to {until:.1f}: {why}")
    for path in sorted(folder.glob("ids-*")):
        if not path.name[4:].isdecimal():
            continue
        period = int(path.name[4:])
        data = path.read_bytes()
        ids = len({data[at : at + 8] for at in range(0, len(data) // 8 * 8, 8)})
        if ids != book.total_units(period):
            wrong.append(f"period {period}: {ids} ids and {book.total_units(period)} units")
    return wrong


def dry_run(reading: Reading) -> bytes:
    """The exact bytes of all batches that are still to be exported."""
    return b"".join(
        json_lines(batch) for batch in reading.book.batches.values() if batch.state != "held"
    )
