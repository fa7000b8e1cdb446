"""Whole files that are kept once a call returns.  Blocks; never on the loop's thread."""

from __future__ import annotations

import os
from pathlib import Path


def write_synced(path: Path, data: bytes) -> None:
    """All of it on the disk, under a name that nobody looks at yet.  OSError."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_folder(path: Path) -> None:
    """The names in it are kept.  OSError."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read_bounded(path: Path, most: int) -> bytes:
    """The file's bytes, one more than `most` where it is larger; a pipe is not waited for."""
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
    with open(descriptor, "rb") as file:
        return file.read(most + 1) or b""
