"""A file as a source: a list in the platform's form, read again whenever the file changes.

The format is `{"instances": [...]}`, as in discovery's answer to `GET /v1/servers`. The file is
checked every `file_every_s`, which is less than the 500 ms in which a drain must take effect. It
has to be replaced by a rename, so that it is never read half written. inotify was rejected: not all
file systems support it, and it misses a mount that is replaced.
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

MAX_FILE_BYTES = 4 * 1024 * 1024  # about ten thousand nodes


class FileWatch:
    """Polls a file.  Like `DiscoveryWatch`, reports its end once and leaves restarts to its owner.

    Uses one timer. A missing or unreadable file ends the watch; the last list stays in use.
    """

    def __init__(self, observer: ListObserver, path: str, interval: float, net: Network) -> None:
        self._observer, self._path, self._interval, self._loop = observer, path, interval, net.loop
        self._last_stat: object = None
        self._timer: TimerHandle | None = None

    def start(self, since: int) -> None:
        """Report the full list, then each change.  `since` is unused: files have no generations."""
        self.stop()
        self._last_stat = None
        self._timer = self._loop.call_later(0.0, self._poll)

    def stop(self) -> None:
        """Stop polling and reporting."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _poll(self) -> None:
        self._timer = None
        try:
            stat = os.stat(self._path)
            if not S_ISREG(stat.st_mode):  # opening a pipe would block the daemon
                raise ValueError(f"{self._path}: not a regular file")
            identity = stat.st_ino, stat.st_mtime_ns, stat.st_size
            listing = None
            if identity != self._last_stat:
                listing = replace(parse_listing(_read(self._path)), whole=True)
        except (OSError, ValueError, RecursionError) as error:
            logs.event("membership.file_unusable", reason=one_line(error))
            self._observer.list_failed()
            return
        self._last_stat = identity
        self._timer = self._loop.call_later(self._interval, self._poll)
        if listing is not None:
            self._observer.list_changed(listing)


def _read(path: str) -> object:
    with open(path, "rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    return json.loads(data)
