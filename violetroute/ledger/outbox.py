"""Exports batches as files.  They block; don't call them on the event loop's thread."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from .accounts import Batch
from .export import csv_lines, file_name, json_lines
from .files import Folder


def write_batch(folder: Path, batch: Batch, formats: Iterable[str]) -> None:
    """Write one file per format, atomically; repeated calls write the same bytes.  OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    target, name = Folder(folder), file_name(batch)
    try:
        if "jsonl" in formats:
            target.put(f"{name}.jsonl", json_lines(batch))
        if "csv" in formats:
            target.put(f"{name}.csv", csv_lines(batch))
    finally:
        target.close()


def write_closed_until(folder: Path, ledger: str, until: float) -> None:
    """Declare all periods that end by `until` (Unix s) closed and exported.  OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    target = Folder(folder)
    try:
        target.put(f"{ledger}.through", msgspec.json.encode({"ledger": ledger, "until": until}))
    finally:
        target.close()
