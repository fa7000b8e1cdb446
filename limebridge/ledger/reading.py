"""Reads and checks the folder of a ledger without changing it; its proxy may be running."""

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
class LedgerContents:
    """Contents of a ledger's folder."""

    book: Book  # book of the newest readable log
    exported: Exported  # confirmed batches, from the archive
    file: str = ""  # name of that log
    notes: list[str] = field(default_factory=list)  # inconsistencies found while reading

    @property
    def name(self) -> str:
        """Name of the ledger."""
        return self.book.name

    def by_day(self) -> Counter[tuple[str, str | None, str]]:
        """Returns units by UTC day (ISO date), tenant (None: others) and class, billed or not."""
        from datetime import UTC, datetime

        found: Counter[tuple[str, str | None, str]] = Counter()

        def add(period: int, tenant: str | None, cls: str, units: int) -> None:
            found[datetime.fromtimestamp(period, UTC).date().isoformat(), tenant, cls] += units

        for (_, period, tenant, cls), units in self.exported.units.items():
            add(period, tenant, cls, units)
        for batch in self.book.batches.values():
            for tenant, cls, units in batch.lines:
                add(batch.period, tenant, cls, units)
        for period, by_tenant in self.book.unbatched_units.items():
            for (tenant, cls), units in by_tenant.items():
                add(period, tenant, cls, units)
        return found


def read_ledger(folder: Path, periods: Periods) -> LedgerContents:
    """Reads the newest log that begins with a valid checkpoint, spilled batches and the archive.

    Raises ValueError when the folder has no ledger or no readable log.
    """
    logs = sorted(
        (path for path in folder.glob("log-*") if path.name[4:].isdecimal()),
        key=lambda path: int(path.name[4:]),
        reverse=True,
    )
    if not logs:
        raise ValueError(f"{folder}: no ledger")
    contents = LedgerContents(Book(periods), Exported())
    for path in logs:
        data = path.read_bytes()
        found = decode(data)
        if found.records and found.records[0][0] == "state":
            for record in found.records:
                contents.book.apply(record)
            contents.file = path.name
            if found.error:
                contents.notes.append(
                    f"{path.name}: {found.error}, {len(data) - found.valid_bytes} bytes "
                    "after it are ignored"
                )
            break
        contents.notes.append(f"{path.name}: {found.error or 'no checkpoint'}")
    else:
        raise ValueError(f"{folder}: no readable log")
    for batch in contents.book.batches.values():
        if batch.spilled_units is not None:
            spilled = decode((folder / f"batch-{batch.seq}").read_bytes()).records
            contents.book.apply(["back", batch.seq, spilled[0][1] if spilled else []])
    for path in sorted(folder.glob("closed-*")):
        for frame in read_archive_frames(path.read_bytes()):
            contents.exported.add(frame.decode("utf-8", "replace"), path.name)
    return contents


def verify(contents: LedgerContents, folder: Path) -> list[str]:
    """Returns one line per problem.

    Problems are differences of the archive or the ids from the book, held batches, and gaps.
    """
    book, problems = contents.book, list(contents.notes) + list(contents.exported.problems)
    archived_units: Counter[int] = Counter()
    for (_, period, _, _), units in contents.exported.units.items():
        archived_units[period] += units
    for period, units in book.confirmed_units.items():
        if archived_units[period] != units:
            problems.append(
                f"period {period}: {units} units confirmed, {archived_units[period]} in the archive"
            )
    for batch in book.batches.values():
        if batch.state == "held":
            problems.append(f"{batch.key}: {batch.units} units held: {batch.reason}")
    for since, until, reason in book.gaps:
        problems.append(f"incomplete from {since:.1f} to {until:.1f}: {reason}")
    for path in sorted(folder.glob("ids-*")):
        if not path.name[4:].isdecimal():
            continue
        period = int(path.name[4:])
        data = path.read_bytes()
        ids = len({data[offset : offset + 8] for offset in range(0, len(data) // 8 * 8, 8)})
        if ids != book.total_units(period):
            problems.append(f"period {period}: {ids} ids and {book.total_units(period)} units")
    return problems


def dry_run(contents: LedgerContents) -> bytes:
    """Returns the exact bytes of all batches that are still to be exported."""
    return b"".join(
        json_lines(batch) for batch in contents.book.batches.values() if batch.state != "held"
    )
