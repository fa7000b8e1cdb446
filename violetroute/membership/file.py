"""A file as a source: the platform's form of a list, read anew when the file changes.

`{"instances": [...]}` as discovery answers `GET /v1/servers`. It is looked at each `file_every_s`,
inside the 500 ms in which a drain has to be kept; replace it by a rename, so that no half of it is
read. Rejected: inotify (not on every file system, and a mount that is replaced goes unseen).
"""

from __future__ import annotations

import json
import os
from asyncio import TimerHandle
from dataclasses import replace
from stat import S_ISREG

from violetroute import logs
from violetroute.error_text import one_line
from violetroute.transport import Network

from .entries import parse_listing
from .native import ListObserver

MAX_FILE_BYTES = 4 * 1024 * 1024  # bytes: some ten thousand nodes


class FileWatch:
    """As `native.Watch`: an end is told once, and looking again is not decided here.

    One timer. A file that is away or can't be read ends the watch; the last list holds.
    """

    def __init__(self, observer: ListObserver, path: str, every: float, net: Network) -> None:
        self._observer, self._path, self._every, self._loop = observer, path, every, net.loop
        self._seen: object = None
        self._timer: TimerHandle | None = None

    def start(self, since: int) -> None:
        """Tell the whole list and follow it.  `since` belongs to the platform's list."""
        self.stop()
        self._seen = None
        self._timer = self._loop.call_later(0.0, self._look)

    def stop(self) -> None:
        """Nothing more is told."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look(self) -> None:
        self._timer = None
        try:
            stat = os.stat(self._path)
            if not S_ISREG(stat.st_mode):  # to open a pipe would stop the daemon
                raise ValueError(f"{self._path}: no regular file")
            seen = stat.st_ino, stat.st_mtime_ns, stat.st_size
            listing = None
            if seen != self._seen:
                listing = replace(parse_listing(_read(self._path)), whole=True)
        except (OSError, ValueError, RecursionError) as error:
            logs.event("membership.file_unusable", reason=one_line(error))
            self._observer.list_failed()
            return
        self._seen = seen
        self._timer = self._loop.call_later(self._every, self._look)
        if listing is not None:
            self._observer.list_changed(listing)


def _read(path: str) -> object:
    with open(path, "rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    return json.loads(data)
