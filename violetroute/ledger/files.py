"""The ledger's folder: appending, syncing, replacing whole files.  Blocks; never on the loop's
thread.

`Files` is what `store.py` asks of a disk and all that a test's disk has to play: a power cut keeps
what was synced, and of the rest anything.
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
    """One folder.  OSError from any call."""

    def lock(self) -> bool:
        """Whether the folder is ours alone, now or already, until `close`."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """At its end, which it makes if it is not there.  Kept from `sync` on."""

    def sync(self) -> None:
        """All that was appended since the last time is kept."""

    def put(self, name: str, data: bytes) -> None:
        """A whole file, in place of one before; kept once this returns, and never half of it."""

    def move(self, name: str, to: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def close(self) -> None: ...


class Folder:
    """A real folder."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock = -1
        self._open: dict[str, int] = {}  # files that are appended to
        self._unsynced: dict[str, None] = {}
        self._new = False  # a name was made that the folder may not have kept

    def lock(self) -> bool:
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
        descriptor = self._open.get(name)
        if descriptor is None:
            if len(self._open) >= 8:
                self._let_go()
            there = (self._path / name).exists()
            descriptor = self._open[name] = os.open(
                self._path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644
            )
            self._new = self._new or not there
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
        aside = self._path / f"{name}.new"
        write_synced(aside, data)
        self._close(name)
        os.replace(aside, self._path / name)
        sync_folder(self._path)

    def move(self, name: str, to: str) -> None:
        self._close(name)
        os.replace(self._path / name, self._path / to)

    def remove(self, name: str) -> None:
        self._close(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path / name)

    def close(self) -> None:
        self._let_go()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _let_go(self) -> None:
        for name in list(self._open):
            self._close(name)

    def _close(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            if self._unsynced.pop(name, "") is None:
                os.fdatasync(descriptor)
            os.close(descriptor)


def folder_name(name: str) -> str:
    """Of a proxy: a plain name as it is; no other can leave the folder, or be taken for one."""
    safe = "".join(c if c.isascii() and (c.isalnum() or c in "._-") else "_" for c in name)
    safe = safe.lstrip(".")[:100]
    if safe == name and safe:
        return safe
    return f"{safe or 'proxy'}-{blake2b(name.encode(), digest_size=4).hexdigest()}"
