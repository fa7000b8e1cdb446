"""Durable file writes and bounded reads.  They block: not for the event loop's thread."""

from __future__ import annotations

import os
from pathlib import Path


def write_synced(path: Path, data: bytes) -> None:
    """Write a file and fsync it; no reader may use its name yet.  Raises OSError."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_folder(path: Path) -> None:
    """Make the names in a directory durable.  Raises OSError."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read_bounded(path: Path, max_bytes: int) -> bytes:
    """Read at most `max_bytes` + 1 bytes, so a larger file is detected; never waits for a pipe."""
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
    with open(descriptor, "rb") as file:
        return file.read(max_bytes + 1) or b""
