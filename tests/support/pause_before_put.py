"""A patch for a daemon of the fault rig: it stops itself between a log's check and its write.

If the file ARMED exists in the rig's folder, the first process that is about to put an entry
removes the file, describes itself and the write in STOPPED, and sends SIGSTOP to the writing
thread.  At that time it has read the log and decided the entry; the file of the entry is linked
after SIGCONT.  WRITTEN is created when the interrupted write has ended, whatever its result.

`os.unlink` succeeds in one process only, so each ARMED interrupts one write.
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
    """The stopped process, and the write that it is about to do."""

    pid: int
    log: str
    position: int
    nonce: str  # of the entry's owner


def plant() -> None:
    """Install the pause point in the folder store of this process."""
    put, run = FolderStore.put, FolderStore.run
    interrupted = threading.Event()

    def put_after_pause(store: FolderStore, log: str, position: int, data: bytes) -> bool:
        record = decode(data, log)
        if record is not None and record.kind == "entry" and _disarm(store):
            interrupted.set()
            _stop(_folder(store), Stopped(os.getpid(), log, position, record.nonce))
        return put(store, log, position, data)

    def run_and_report(store: FolderStore, steps: Steps) -> Result:
        try:
            return run(store, steps)
        finally:
            if interrupted.is_set():
                interrupted.clear()
                (_folder(store) / WRITTEN).touch()

    FolderStore.put, FolderStore.run = put_after_pause, run_and_report


def _folder(store: FolderStore) -> Path:
    """The rig's folder, which contains the one that the daemons share."""
    return store._path.parent


def _disarm(store: FolderStore) -> bool:
    """Remove ARMED; returns whether this process removed it, and so must stop."""
    try:
        os.unlink(_folder(store) / ARMED)
    except FileNotFoundError:
        return False
    return True


def _stop(folder: Path, stopped: Stopped) -> None:
    """Write STOPPED and stop this process; returns after SIGCONT.

    A signal to the process might be handled by another thread while this one goes on and writes.  A
    signal to this thread is handled before `pthread_kill` returns, and stops the whole process.
    """
    temporary = folder / f"{STOPPED}.part"
    temporary.write_bytes(msgspec.json.encode(stopped))
    os.replace(temporary, folder / STOPPED)
    signal.pthread_kill(threading.get_ident(), signal.SIGSTOP)
