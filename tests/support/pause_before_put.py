"""A patch for a daemon of the fault rig: it stops itself between a log's check and its write.

While the file ARMED stands in the rig's folder, the first process that is about to put an entry
takes the file away, says where it stands in STOPPED, and sends SIGSTOP to the thread that writes.
The log has been read and the entry decided by then; its file is linked after SIGCONT.  WRITTEN
appears once the interrupted write is over, whatever came of it.

`os.unlink` succeeds for one process alone, so one write is interrupted for each ARMED.
"""

from __future__ import annotations

import os
import signal
import threading
from pathlib import Path

import msgspec

from violetroute.fleet.folder import FolderStore
from violetroute.fleet.log import Result, Steps, decode

ARMED, STOPPED, WRITTEN = "armed", "stopped", "written"


class Stopped(msgspec.Struct, frozen=True):
    """Who stands before which write."""

    pid: int
    log: str
    position: int
    nonce: str  # of the entry's owner


def plant() -> None:
    """Put the pause point into this process's folder store."""
    put, run = FolderStore.put, FolderStore.run
    interrupted = threading.Event()

    def put_after_pause(store: FolderStore, log: str, position: int, data: bytes) -> bool:
        record = decode(data, log)
        if record is not None and record.kind == "entry" and _disarm(store):
            interrupted.set()
            _stop(_folder(store), Stopped(os.getpid(), log, position, record.nonce))
        return put(store, log, position, data)

    def run_and_tell(store: FolderStore, steps: Steps) -> Result:
        try:
            return run(store, steps)
        finally:
            if interrupted.is_set():
                interrupted.clear()
                (_folder(store) / WRITTEN).touch()

    FolderStore.put, FolderStore.run = put_after_pause, run_and_tell


def _folder(store: FolderStore) -> Path:
    """The rig's folder, beside the one that the daemons share."""
    return store._path.parent


def _disarm(store: FolderStore) -> bool:
    """Whether this process is the one that stops."""
    try:
        os.unlink(_folder(store) / ARMED)
    except FileNotFoundError:
        return False
    return True


def _stop(folder: Path, where: Stopped) -> None:
    """Returns after SIGCONT.

    A signal to the process could be taken by another thread while this one writes on; a signal to
    this thread is taken before `pthread_kill` returns, and stops the whole process.
    """
    aside = folder / f"{STOPPED}.part"
    aside.write_bytes(msgspec.json.encode(where))
    os.replace(aside, folder / STOPPED)
    signal.pthread_kill(threading.get_ident(), signal.SIGSTOP)
