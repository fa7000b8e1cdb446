"""Persists a book as a log that begins with a checkpoint, and recovers it.

`log-N`: a checkpoint, written atomically (`Files.put`), then frames.  A new file is begun at every
start, when the current one is large, and after any write or sync that failed.  After a failed fsync
the kernel's word on a file can't be trusted: it may have dropped the pages and report success the
next time.  The previous file is kept until there are two newer ones, so that an unreadable
checkpoint (a bad sector) costs the records of its own file and not the whole book.

`closed-DAY`: confirmed batches, each a zstd frame of the exported bytes.  After a crash a batch may
be in it twice; its key identifies it.  `ids-PERIOD`: hashes of request ids, 8 bytes each.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from violetroute import logs

from .accounts import Book
from .files import Files
from .frames import MAGIC, Record, decode, encode

MAX_SEGMENT_BYTES = 4 * 1024 * 1024  # frames in a log file, in bytes, before a new one is begun
SIGNED_PREFIX = "signed-"


class ForeignLedgerError(Exception):
    """The folder holds another proxy's ledger."""


@dataclass
class Recovery:
    """What was recovered at the start."""

    file: str = ""
    records: int = 0
    renamed_files: list[str] = field(default_factory=list)  # unreadable files' new names
    discarded_bytes: int = 0  # bytes after the last valid record
    reason: str = ""


class Store:
    """The files of one book.  Every call blocks and may raise OSError."""

    def __init__(self, files: Files, name: str) -> None:
        self._files, self._name = files, name
        self._number, self._size = 0, 0

    def open(self, book: Book) -> Recovery:
        """Load the newest readable log file into an empty book.

        Raises ForeignLedgerError, and changes nothing, if it is not `name`'s; raises ValueError if
        a later version wrote it.  A file that is not a log is kept under another name.
        """
        found = Recovery()
        segments = sorted(
            (
                name
                for name in self._files.names()
                if name.startswith("log-") and name[4:].isdecimal()
            ),
            key=lambda name: int(name[4:]),
            reverse=True,
        )
        self._number = max((int(name[4:]) for name in segments), default=0)
        for name in segments:
            data = self._files.read(name)
            read = decode(data)
            if read.records and read.records[0][0] == "state":
                if read.records[0][1].get("name") not in (self._name, ""):
                    raise ForeignLedgerError(str(read.records[0][1].get("name")))
                self._replay(book, read.records)
                found.file, found.records = name, len(read.records)
                found.discarded_bytes, found.reason = len(data) - read.valid_bytes, read.error
                return found
            self._files.move(name, f"{name}.bad")
            found.renamed_files.append(f"{name}.bad")
        return found

    @staticmethod
    def _replay(book: Book, records: Iterable[Record]) -> None:
        for record in records:
            book.apply(record)

    def rewrite(self, checkpoint: Record) -> None:
        """Begin a new log file with a checkpoint of the book, and delete files no longer needed."""
        data = MAGIC + encode([checkpoint])
        number = self._number + 1
        self._files.put(f"log-{number:08d}", data)
        self._number, self._size = number, 0
        for name in self._files.names():
            old = name.startswith("log-") and name[4:].isdecimal() and int(name[4:]) < number - 1
            if old or name.endswith(".new"):
                self._files.remove(name)

    def commit(
        self,
        records: Iterable[Record],
        ids: Mapping[int, bytes | bytearray],
        closed: Iterable[tuple[int, bytes]],
    ) -> None:
        """Write records durably, with id hashes by period and (period, batch) pairs to archive."""
        for period, data in closed:
            day = datetime.fromtimestamp(period, UTC).strftime("%Y%m%d")
            self._files.append(f"closed-{day}", compress(data))
        for period, hashes in ids.items():
            self._files.append(f"ids-{period}", bytes(hashes))
        data = encode(records)
        if data:
            self._files.append(f"log-{self._number:08d}", data)
            self._size += len(data)
        self._files.sync()

    def write_lines(self, seq: int, lines: object) -> None:
        """Write the lines of a batch to a file of its own."""
        self._files.put(f"batch-{seq}", MAGIC + encode([["lines", lines]]))

    def read_lines(self, seq: int) -> list[Any]:
        """Read the lines of a batch from its file.  ValueError if it is damaged."""
        read = decode(self._files.read(f"batch-{seq}"))
        if len(read.records) != 1 or read.records[0][0] != "lines":
            raise ValueError(f"batch-{seq}: {read.error or 'no lines'}")
        return list(read.records[0][1])

    def read_corrections(self) -> dict[str, bytes]:
        """The files of signed corrections in the folder, by name."""
        return {
            name: self._files.read(name)
            for name in self._files.names()
            if name.startswith(SIGNED_PREFIX) and name.endswith(".json")
        }

    def remove_files(self, names: Iterable[str]) -> None:
        """Delete files by name."""
        for name in names:
            self._files.remove(name)

    @property
    def segment_full(self) -> bool:
        """Whether the current log file is large enough to begin a new one."""
        return self._size > MAX_SEGMENT_BYTES

    def remove_older_than(self, before: float) -> None:
        """Delete archives and id hashes of periods before this time (Unix s)."""
        last_day = datetime.fromtimestamp(max(0.0, before), UTC).strftime("%Y%m%d")
        for name in self._files.names():
            kind, _, date = name.partition("-")
            if (kind == "closed" and date < last_day) or (
                kind == "ids" and date.isdecimal() and int(date) < before
            ):
                self._files.remove(name)


def compress(data: bytes, level: int = 6) -> bytes:
    """Compress to one zstd frame.  zstandard is imported here since only the ledger needs it."""
    import zstandard

    return zstandard.ZstdCompressor(level=level).compress(data)


def read_archive_frames(data: bytes) -> list[bytes]:
    """The decompressed frames of a `closed-` file, up to the first torn one."""
    import zstandard

    found, offset = [], 0
    while offset < len(data):
        reader = zstandard.ZstdDecompressor().decompressobj()
        try:
            frame = reader.decompress(data[offset:])
        except zstandard.ZstdError:
            break
        if not reader.eof:
            break
        found.append(frame)
        offset = len(data) - len(reader.unused_data)
    return found


def open_or_rename(store: Store, files: Files, book: Book) -> Recovery:
    """Load the log into an empty book.  Files of another proxy's ledger are renamed and kept."""
    try:
        return store.open(book)
    except ForeignLedgerError as other:
        for file in files.names():
            if not file.endswith(".foreign"):
                files.move(file, f"{file}.foreign")
        return Recovery(renamed_files=["*.foreign"], reason=f"the folder had the ledger of {other}")


def log_recovery(found: Recovery) -> None:
    """Log what could not be recovered at the start, if there was anything."""
    if found.reason or found.renamed_files:
        logs.event(
            "ledger.salvaged",
            file=found.file,
            records=found.records,
            torn=found.discarded_bytes,
            why=found.reason,
            aside=",".join(found.renamed_files),
        )
