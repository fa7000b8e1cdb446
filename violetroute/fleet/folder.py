"""Leases and logs in a folder shared by the processes of one machine.

All calls block, except those of `ThreadedFolderStore`.

    alive/NONCE                 an incarnation: its name, with an OFD lock held by its process
    lease/WORK@000000000042     one immutable version of a work's record, created by `link`
    log/NAME/000000000/000000000017   one position of a log, created the same way

`link` fails if the name exists, and creates a whole file or none, so check and write are one atomic
step.  Nothing here waits for a lock, since a process suspended while holding one would block all
others.  The lock of an incarnation only shows whether its process has ended.

A process that was suspended for long could create a version again that was removed meanwhile.  So
after creating a version it checks that no higher one exists, and otherwise removes its own.  The
effects of a late owner are rejected by their fence in any case.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
import struct
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from violetroute.error_text import one_line
from violetroute.transport.disk import read_bounded, sync_folder, write_synced
from violetroute.transport.writer import Writer

from . import lease as leases
from .election import Acquire
from .lease import IncarnationId, Lease, UnreadableLeaseError
from .log import MAX_RECORD_BYTES, MAX_RECORDS_PER_READ, Put, Read, Result, Steps
from .store import Answer, Callback, StoreView

T = TypeVar("T")
FLOCK = struct.Struct("hhqqi4x")  # l_type, l_whence, l_start, l_len, l_pid
VERSIONED = re.compile(r"^([a-z][a-z0-9-]{0,63})@(\d{12})$")
MAX_MEMBERS = 1024  # incarnations read by one poll
MAX_ATTEMPTS = 8  # reads of a record while others replace it
SEGMENT_POSITIONS = 1000  # positions of a log in one subfolder


class FolderStore:
    """One incarnation's access to the folder.

    Any call may raise OSError; changes of a lease may raise UnreadableLeaseError.
    """

    def __init__(self, path: Path, me: IncarnationId, wall: Callable[[], float]) -> None:
        self._path, self._me, self._wall = path, me, wall
        self._lock_descriptor = -1
        self._temporary_files = 0
        self._segments: set[Path] = set()  # subfolders known to exist

    # --- this incarnation ---
    def open(self) -> None:
        """Create this incarnation's lock file; again if it has vanished with its folder."""
        for name in ("alive", "lease", "log"):
            (self._path / name).mkdir(parents=True, exist_ok=True)
        lock_file = self._path / "alive" / self._me.nonce
        if self._lock_descriptor >= 0 and self._is_ours(lock_file):
            return
        self._release_lock()
        self._segments.clear()
        temporary = lock_file.with_name(f".{self._me.nonce}")
        self._lock_descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        os.write(
            self._lock_descriptor, msgspec.json.encode({"name": self._me.name, "pid": os.getpid()})
        )
        fcntl.fcntl(self._lock_descriptor, fcntl.F_OFD_SETLK, FLOCK.pack(fcntl.F_WRLCK, 0, 0, 0, 0))
        os.replace(temporary, lock_file)  # already locked: it is never visible unlocked

    def _is_ours(self, lock_file: Path) -> bool:
        """False for a copy: a restored folder has a file of that name without a lock on it."""
        try:
            return os.path.samestat(os.stat(lock_file), os.fstat(self._lock_descriptor))
        except FileNotFoundError:
            return False

    def close(self) -> None:
        """Remove the lock file and release its lock."""
        if self._lock_descriptor >= 0:
            with contextlib.suppress(OSError):
                os.unlink(self._path / "alive" / self._me.nonce)
        self._release_lock()

    def _release_lock(self) -> None:
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def _read_members(self) -> tuple[frozenset[IncarnationId], frozenset[str]]:
        """The running incarnations, and the nonces of those that have ended."""
        running: list[IncarnationId] = []
        dead: list[str] = []
        names = [name for name in os.listdir(self._path / "alive") if leases.is_nonce(name)]
        for name in sorted(names)[:MAX_MEMBERS]:
            if name == self._me.nonce:
                running.append(self._me)
                continue
            with contextlib.suppress(OSError):  # removed meanwhile, or not a regular file
                runs, incarnation_name = self._is_running(self._path / "alive" / name)
                if runs:
                    running.append(IncarnationId(incarnation_name, name))
                else:
                    dead.append(name)
        return frozenset(running), frozenset(dead)

    def _holder_has_ended(self, nonce: str) -> bool:
        """Whether the process of a lease's holder has ended, also beyond MAX_MEMBERS lock files.

        A missing lock file means so too, since it is created before any lease.
        """
        try:
            return nonce != self._me.nonce and not self._is_running(self._path / "alive" / nonce)[0]
        except FileNotFoundError:
            return True
        except OSError:
            return False  # unknown: candidates wait for a term

    def _is_running(self, path: Path) -> tuple[bool, str]:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NONBLOCK)
        try:
            query = FLOCK.pack(fcntl.F_WRLCK, 0, 0, 0, 0)
            held = FLOCK.unpack(fcntl.fcntl(descriptor, fcntl.F_OFD_GETLK, query))[0]
            return held != fcntl.F_UNLCK, _decode_name(os.read(descriptor, 1024))
        finally:
            os.close(descriptor)

    def _remove_leftovers(self, view: StoreView) -> None:
        """Remove the lock files and temporary files that killed processes have left behind.

        A lease without a lock file still counts as that of an ended process.  A running process
        whose lock file was removed, in a restored folder, creates it again and fails one write.
        """
        assert view.members is not None
        running = {each.nonce for each in view.members}
        for folder in ("alive", "lease"):
            for name in os.listdir(self._path / folder):
                nonce = name.split(".")[1] if name.startswith(".") else name
                ended = nonce in view.dead or (name.startswith(".") and nonce not in running)
                if ended and nonce != self._me.nonce and len(running) < MAX_MEMBERS:
                    with contextlib.suppress(OSError):
                        os.unlink(self._path / folder / name)

    # --- leases ---
    def poll(self) -> StoreView:
        """Read all leases and members, and remove what ended processes have left."""
        self.open()
        view = self.read_view()
        self._remove_leftovers(view)
        return view

    def read_view(self) -> StoreView:
        """Read all leases and members without changing the folder."""
        found: dict[str, Lease] = {}
        unreadable: dict[str, str] = {}
        for work, number in self._versions().items():
            try:
                lease = self._read_lease(work, number)
            except UnreadableLeaseError as error:
                unreadable[work] = str(error)
            else:
                if lease is not None:
                    found[work] = lease
        members, dead = self._read_members()
        running = {each.nonce for each in members}
        holders = {each.nonce for each in found.values()} - running - dead
        return StoreView(
            found,
            members,
            dead | {each for each in holders if self._holder_has_ended(each)},
            unreadable,
        )

    def _versions(self) -> dict[str, int]:
        """The highest version of each work."""
        found: dict[str, int] = {}
        for name in os.listdir(self._path / "lease"):
            match = VERSIONED.match(name)
            if match is not None:
                found[match[1]] = max(found.get(match[1], -1), int(match[2]))
        return found

    def _read_lease(self, work: str, number: int) -> Lease | None:
        """The record, or None if it was removed meanwhile."""
        path = self._path / "lease" / f"{work}@{number:012d}"
        try:
            return leases.decode(read_bounded(path, leases.MAX_LEASE_BYTES), work)
        except FileNotFoundError:
            return None

    def _current(self, work: str) -> tuple[int, Lease | None]:
        """The version number (-1: none) and the record."""
        for _ in range(MAX_ATTEMPTS):
            number = self._versions().get(work, -1)
            if number < 0:
                return -1, None
            if number >= 10**12 - 2:
                raise UnreadableLeaseError("no higher version number is left")
            lease = self._read_lease(work, number)
            if lease is not None:
                return number, lease
        raise OSError(f"{work}: its record changes faster than it can be read")

    def _compare_and_set(self, work: str, change: Callable[[Lease | None], Lease | None]) -> Answer:
        self.open()
        number, current = self._current(work)
        made = change(current)
        if made is None:
            return Answer(False, current)
        folder = self._path / "lease"
        name = f"{work}@{number + 1:012d}"
        if not self._link_new(folder, name, leases.encode(made)):
            return Answer(False, self._current(work)[1])
        last = self._versions().get(work, -1)
        if last != number + 1:  # this version existed before and had been removed
            with contextlib.suppress(FileNotFoundError):
                os.unlink(folder / name)
            return Answer(False, self._current(work)[1])
        for old in range(max(0, number - 1), number + 1):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(folder / f"{work}@{old:012d}")
        return Answer(True, made)

    def acquire(self, request: Acquire) -> Answer:
        """Acquire a lease by compare-and-set."""
        return self._compare_and_set(
            request.work,
            lambda current: leases.acquired(
                request.work, current, request.expected, request.floor, self._me, self._wall()
            ),
        )

    def renew(self, terms: Sequence[tuple[str, int]]) -> dict[str, Answer]:
        """Renew the leases of `terms` (work, fence), one after the other."""
        return {
            work: self._compare_and_set(
                work,
                lambda current, fence=fence: leases.renewed(  # type: ignore[misc]
                    current, fence, self._me
                ),
            )
            for work, fence in terms
        }

    def release(self, work: str, fence: int) -> Answer:
        """Release a lease held with `fence`."""
        return self._compare_and_set(
            work, lambda current: leases.released(current, fence, self._me)
        )

    # --- logs ---
    def read(self, log: str, position: int) -> list[bytes]:
        """The records from `position` to the first gap, at most MAX_RECORDS_PER_READ."""
        found: list[bytes] = []
        with contextlib.suppress(FileNotFoundError):
            while len(found) < MAX_RECORDS_PER_READ:
                found.append(
                    read_bounded(self._position_path(log, position + len(found)), MAX_RECORD_BYTES)
                )
        return found

    def put(self, log: str, position: int, data: bytes) -> bool:
        """Put `data` at a position if it is free; whether it was."""
        place = self._position_path(log, position)
        if place.parent not in self._segments:
            place.parent.mkdir(parents=True, exist_ok=True)
            self._segments.add(place.parent)
        return self._link_new(place.parent, place.name, data)

    def _position_path(self, log: str, position: int) -> Path:
        return (
            self._path / "log" / log / f"{position // SEGMENT_POSITIONS:09d}" / f"{position:012d}"
        )

    def run(self, steps: Steps) -> Result:
        """Run all steps of a log operation."""
        answer: Any = None
        while True:
            try:
                step = steps.send(answer)
            except StopIteration as end:
                result: Result = end.value
                return result
            match step:
                case Read(log, position):
                    answer = self.read(log, position)
                case Put(log, position, data):
                    answer = self.put(log, position, data)

    def _link_new(self, folder: Path, name: str, data: bytes) -> bool:
        """Create a file atomically unless the name exists; durable once this returns True."""
        self._temporary_files += 1
        temporary = folder / f".{self._me.nonce}.{self._temporary_files}"
        try:
            write_synced(temporary, data)
            try:
                os.link(temporary, folder / name)
            except FileExistsError:
                return False
        finally:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary)
        sync_folder(folder)
        return True


def _decode_name(data: bytes) -> str:
    try:
        decoded = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return "?"
    name = decoded.get("name") if isinstance(decoded, dict) else None
    return name[: leases.MAX_NAME_CHARS] if isinstance(name, str) else "?"


class ThreadedFolderStore:
    """A `store.Store` that runs the blocking calls of a FolderStore on threads.

    Leases have a separate writer: a renewal that waits behind the log reads and writes of works on
    a slow disk would come too late, and no work would keep its owner for long.
    """

    expires_leases = False

    def __init__(self, store: FolderStore, leases: Writer, logs: Writer) -> None:
        self._store, self._leases, self._logs = store, leases, logs
        self._closed = False

    def _submit(self, writer: Writer, job: Callable[[], T], callback: Callback[T]) -> None:
        def done(result: T | None, error: BaseException | None) -> None:
            if not self._closed:
                callback(
                    result,
                    "" if error is None else one_line(error),
                )

        writer.submit(job, done)

    def poll(self, callback: Callback[StoreView]) -> None:
        self._submit(self._leases, self._store.poll, callback)

    def acquire(self, request: Acquire, callback: Callback[Answer]) -> None:
        self._submit(self._leases, lambda: self._store.acquire(request), callback)

    def renew(
        self, terms: Sequence[tuple[str, int]], callback: Callback[Mapping[str, Answer]]
    ) -> None:
        self._submit(self._leases, lambda: self._store.renew(terms), callback)

    def release(self, work: str, fence: int, callback: Callback[Answer]) -> None:
        self._submit(self._leases, lambda: self._store.release(work, fence), callback)

    def run(self, steps: Steps, callback: Callback[Result]) -> None:
        self._submit(self._logs, lambda: self._store.run(steps), callback)

    def close(self) -> None:
        """Call no more callbacks, and release the store on the thread of the leases.

        Blocks for up to 1 s until that thread is done; calls of logs are not waited for.
        """
        self._closed = True
        self._leases.submit(self._store.close, lambda result, error: None)
        self._logs.close(0.0)
        self._leases.close(1.0)
