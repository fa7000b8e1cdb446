"""Batches handed over as files.  Blocks; never on the loop's thread."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from .accounts import Batch
from .export import csv_lines, file_name, json_lines
from .files import Folder


def write_batch(folder: Path, batch: Batch, formats: Iterable[str]) -> None:
    """One file a format, renamed into place; the same bytes however often.  OSError."""
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
    """Say that all that ends by `until` (Unix s) is closed and has been handed over.  OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    target = Folder(folder)
    try:
        target.put(f"{ledger}.through", msgspec.json.encode({"ledger": ledger, "until": until}))
    finally:
        target.close()
