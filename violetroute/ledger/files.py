"""File operations in the ledger's folder.  They block; don't call them on the event loop's thread.

`Files` is the interface that `store.py` needs and that a simulated disk in tests implements.  After
a power cut, synced data is intact, and the rest may be kept, torn or lost.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from hashlib import blake2b
from pathlib import Path
from typing import Protocol

from violetroute.transport.disk import sync_folder, write_synced


class Files(Protocol):
    """The operations on one folder.  Any call may raise OSError."""

    def lock(self) -> bool:
        """Lock the folder until `close`.  False if another process has the lock."""

    def names(self) -> list[str]:
        """The names of all files but the lock, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """The contents of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if needed.  Durable after `sync`."""

    def sync(self) -> None:
        """Make all appended data durable."""

    def put(self, name: str, data: bytes) -> None:
        """Create or replace a file atomically.  Durable on return."""

    def move(self, name: str, to: str) -> None:
        """Rename a file, replacing one with the new name."""
        ...

    def remove(self, name: str) -> None:
        """Delete a file if it exists."""
        ...

    def close(self) -> None:
        """Close all files, syncing appended data, and release the lock."""
        ...


class Folder:
    """Implements `Files`, which describes the methods, on a real disk."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock = -1
        self._open: dict[str, int] = {}  # descriptors of files that are appended to
        self._unsynced: dict[str, None] = {}
        self._new = False  # a file was created and the folder not synced

    def lock(self) -> bool:
        """Create the folder and its parents if needed, then lock it."""
        self._path.mkdir(parents=True, exist_ok=True)
        if self._lock < 0:
            self._lock = os.open(self._path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self._path) if name != "lock")

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """As in the interface; opening a ninth file first syncs and closes the other eight."""
        descriptor = self._open.get(name)
        if descriptor is None:
            if len(self._open) >= 8:
                self._close_all()
            exists = (self._path / name).exists()
            descriptor = self._open[name] = os.open(
                self._path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644
            )
            self._new = self._new or not exists
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        self._unsynced[name] = None

    def sync(self) -> None:
        for name in list(self._unsynced):
            os.fdatasync(self._open[name])
            del self._unsynced[name]
        if self._new:
            sync_folder(self._path)
            self._new = False

    def put(self, name: str, data: bytes) -> None:
        temporary = self._path / f"{name}.new"
        write_synced(temporary, data)
        self._close(name)
        os.replace(temporary, self._path / name)
        sync_folder(self._path)

    def move(self, name: str, to: str) -> None:
        """Rename a file after syncing its appended data.  The folder is not synced: not durable."""
        self._close(name)
        os.replace(self._path / name, self._path / to)

    def remove(self, name: str) -> None:
        """Delete a file if it exists.  The folder is not synced, so a power cut can undo this."""
        self._close(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path / name)

    def close(self) -> None:
        self._close_all()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _close_all(self) -> None:
        for name in list(self._open):
            self._close(name)

    def _close(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            if self._unsynced.pop(name, "") is None:
                os.fdatasync(descriptor)
            os.close(descriptor)


def folder_name(name: str) -> str:
    """A safe folder name for a proxy: plain names are kept, others get a hash so none collide."""
    safe = "".join(c if c.isascii() and (c.isalnum() or c in "._-") else "_" for c in name)
    safe = safe.lstrip(".")[:100]
    if safe == name and safe:
        return safe
    return f"{safe or 'proxy'}-{blake2b(name.encode(), digest_size=4).hexdigest()}"
