"""Leases and logs in a folder that the processes of one machine share.  Blocks, but for `Threaded`.

    alive/NONCE                 an incarnation: its name, and an OFD lock that ends with its process
    lease/WORK@000000000042     one version of a work's record, put there by `link` for good
    log/NAME/000000000/000000000017   one position of a log, the same way

`link` fails where there is a name already, and puts a whole file or none: it is the one step in
which a check and its effect are the same.  Nothing here waits for a lock, since a process that is
stopped within one would stop all; the lock of an incarnation says only that its process has ended.

A version that was tidied away could be put again by one who was stopped for long.  So who has put
one looks whether a higher one stands beside it, and only then believes it; and what the late one
may do with a lease is the fence's business anyway.
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
MAX_MEMBERS = 1024  # incarnations that one look reads
MAX_ATTEMPTS = 8  # looks at a folder that others tidy meanwhile
SEGMENT_POSITIONS = 1000  # positions of a log in one folder


class FolderStore:
    """One incarnation's view of the folder.  OSError from any call; Unreadable where it says so."""

    def __init__(self, path: Path, me: IncarnationId, wall: Callable[[], float]) -> None:
        self._path, self._me, self._wall = path, me, wall
        self._lock = -1
        self._temporary = 0
        self._segments: set[Path] = set()  # folders that we know to be there

    # --- this incarnation ---
    def open(self) -> None:
        """Show that we live.  Again whenever the mark has gone with its folder."""
        for name in ("alive", "lease", "log"):
            (self._path / name).mkdir(parents=True, exist_ok=True)
        mark = self._path / "alive" / self._me.nonce
        if self._lock >= 0 and self._is_ours(mark):
            return
        self._release_lock()
        self._segments.clear()
        aside = mark.with_name(f".{self._me.nonce}")
        self._lock = os.open(aside, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        os.write(self._lock, msgspec.json.encode({"name": self._me.name, "pid": os.getpid()}))
        fcntl.fcntl(self._lock, fcntl.F_OFD_SETLK, FLOCK.pack(fcntl.F_WRLCK, 0, 0, 0, 0))
        os.replace(aside, mark)  # with its lock: nobody sees it without

    def _is_ours(self, mark: Path) -> bool:
        """A folder that was copied back has a file of that name, and nobody's lock on it."""
        try:
            return os.path.samestat(os.stat(mark), os.fstat(self._lock))
        except FileNotFoundError:
            return False

    def close(self) -> None:
        if self._lock >= 0:
            with contextlib.suppress(OSError):
                os.unlink(self._path / "alive" / self._me.nonce)
        self._release_lock()

    def _release_lock(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _members(self) -> tuple[frozenset[IncarnationId], frozenset[str]]:
        """Incarnations that run, and those that have ended."""
        there: list[IncarnationId] = []
        dead: list[str] = []
        names = [name for name in os.listdir(self._path / "alive") if leases.is_nonce(name)]
        for name in sorted(names)[:MAX_MEMBERS]:
            if name == self._me.nonce:
                there.append(self._me)
                continue
            with contextlib.suppress(OSError):  # gone since, or no file
                runs, told = self._runs(self._path / "alive" / name)
                if runs:
                    there.append(IncarnationId(told, name))
                else:
                    dead.append(name)
        return frozenset(there), frozenset(dead)

    def _has_ended(self, nonce: str) -> bool:
        """Of a lease's holder, wherever its mark stands among the others.

        One whose mark has gone has ended too: a mark stands before any lease does.
        """
        try:
            return nonce != self._me.nonce and not self._runs(self._path / "alive" / nonce)[0]
        except FileNotFoundError:
            return True
        except OSError:
            return False  # not known: it is waited for a term

    def _runs(self, path: Path) -> tuple[bool, str]:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NONBLOCK)
        try:
            asked = FLOCK.pack(fcntl.F_WRLCK, 0, 0, 0, 0)
            held = FLOCK.unpack(fcntl.fcntl(descriptor, fcntl.F_OFD_GETLK, asked))[0]
            return held != fcntl.F_UNLCK, _name(os.read(descriptor, 1024))
        finally:
            os.close(descriptor)

    def _tidy(self, view: StoreView) -> None:
        """What killed processes have left must not pile up: marks, and files half put.

        A lease whose mark is gone is a dead one's all the same; who lives after all, in a folder
        that was copied back, puts its mark again and fails one put.
        """
        assert view.members is not None
        here = {each.nonce for each in view.members}
        for folder in ("alive", "lease"):
            for name in os.listdir(self._path / folder):
                nonce = name.split(".")[1] if name.startswith(".") else name
                ended = nonce in view.dead or (name.startswith(".") and nonce not in here)
                if ended and nonce != self._me.nonce and len(here) < MAX_MEMBERS:
                    with contextlib.suppress(OSError):
                        os.unlink(self._path / folder / name)

    # --- leases ---
    def poll(self) -> StoreView:
        self.open()
        view = self.view()
        self._tidy(view)
        return view

    def view(self) -> StoreView:
        """As `look`, for who is no incarnation of the fleet."""
        found: dict[str, Lease] = {}
        unreadable: dict[str, str] = {}
        for work, number in self._versions().items():
            try:
                lease = self._lease(work, number)
            except UnreadableLeaseError as error:
                unreadable[work] = str(error)
            else:
                if lease is not None:
                    found[work] = lease
        members, dead = self._members()
        here = {each.nonce for each in members}
        holders = {each.nonce for each in found.values()} - here - dead
        return StoreView(
            found, members, dead | {each for each in holders if self._has_ended(each)}, unreadable
        )

    def _versions(self) -> dict[str, int]:
        """The highest version of each work."""
        found: dict[str, int] = {}
        for name in os.listdir(self._path / "lease"):
            match = VERSIONED.match(name)
            if match is not None:
                found[match[1]] = max(found.get(match[1], -1), int(match[2]))
        return found

    def _lease(self, work: str, number: int) -> Lease | None:
        """None where it was tidied away just now."""
        path = self._path / "lease" / f"{work}@{number:012d}"
        try:
            return leases.decode(read_bounded(path, leases.MAX_LEASE_BYTES), work)
        except FileNotFoundError:
            return None

    def _current(self, work: str) -> tuple[int, Lease | None]:
        """Its version, -1 for none, and what it says."""
        for _ in range(MAX_ATTEMPTS):
            number = self._versions().get(work, -1)
            if number < 0:
                return -1, None
            if number >= 10**12 - 2:
                raise UnreadableLeaseError("no version is left")
            lease = self._lease(work, number)
            if lease is not None:
                return number, lease
        raise OSError(f"{work}: its record changes faster than it can be read")

    def _change(self, work: str, change: Callable[[Lease | None], Lease | None]) -> Answer:
        self.open()
        number, current = self._current(work)
        made = change(current)
        if made is None:
            return Answer(False, current)
        folder = self._path / "lease"
        name = f"{work}@{number + 1:012d}"
        if not self._put_new(folder, name, leases.encode(made)):
            return Answer(False, self._current(work)[1])
        last = self._versions().get(work, -1)
        if last != number + 1:  # what we have put had been there before, and was tidied away
            with contextlib.suppress(FileNotFoundError):
                os.unlink(folder / name)
            return Answer(False, self._current(work)[1])
        for old in range(max(0, number - 1), number + 1):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(folder / f"{work}@{old:012d}")
        return Answer(True, made)

    def acquire(self, ask: Acquire) -> Answer:
        return self._change(
            ask.work,
            lambda current: leases.acquired(
                ask.work, current, ask.expected, ask.floor, self._me, self._wall()
            ),
        )

    def renew(self, terms: Sequence[tuple[str, int]]) -> dict[str, Answer]:
        return {
            work: self._change(
                work,
                lambda current, fence=fence: leases.renewed(  # type: ignore[misc]
                    current, fence, self._me
                ),
            )
            for work, fence in terms
        }

    def release(self, work: str, fence: int) -> Answer:
        return self._change(work, lambda current: leases.released(current, fence, self._me))

    # --- logs ---
    def read(self, log: str, position: int) -> list[bytes]:
        found: list[bytes] = []
        with contextlib.suppress(FileNotFoundError):
            while len(found) < MAX_RECORDS_PER_READ:
                found.append(
                    read_bounded(self._place(log, position + len(found)), MAX_RECORD_BYTES)
                )
        return found

    def put(self, log: str, position: int, data: bytes) -> bool:
        place = self._place(log, position)
        if place.parent not in self._segments:
            place.parent.mkdir(parents=True, exist_ok=True)
            self._segments.add(place.parent)
        return self._put_new(place.parent, place.name, data)

    def _place(self, log: str, position: int) -> Path:
        return (
            self._path / "log" / log / f"{position // SEGMENT_POSITIONS:09d}" / f"{position:012d}"
        )

    def run(self, steps: Steps) -> Result:
        """All of them, one after the other."""
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

    def _put_new(self, folder: Path, name: str, data: bytes) -> bool:
        """This file under a name that nobody has; kept once this returns, and never half of it."""
        self._temporary += 1
        aside = folder / f".{self._me.nonce}.{self._temporary}"
        try:
            write_synced(aside, data)
            try:
                os.link(aside, folder / name)
            except FileExistsError:
                return False
        finally:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(aside)
        sync_folder(folder)
        return True


def _name(data: bytes) -> str:
    try:
        told = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return "?"
    name = told.get("name") if isinstance(told, dict) else None
    return name[: leases.MAX_NAME_CHARS] if isinstance(name, str) else "?"


class ThreadedFolderStore:
    """The folder's calls beside the loop; as `store.Store`.

    Leases have a writer of their own: a renewal that stands behind what works read and write at a
    slow disk comes too late, and then nobody owns anything for long.
    """

    expires_leases = False

    def __init__(self, store: FolderStore, leases: Writer, logs: Writer) -> None:
        self._store, self._leases, self._logs = store, leases, logs
        self._closed = False

    def _submit(self, writer: Writer, job: Callable[[], T], told: Callback[T]) -> None:
        def done(result: T | None, error: BaseException | None) -> None:
            if not self._closed:
                told(
                    result,
                    "" if error is None else one_line(error),
                )

        writer.submit(job, done)

    def poll(self, told: Callback[StoreView]) -> None:
        self._submit(self._leases, self._store.poll, told)

    def acquire(self, ask: Acquire, told: Callback[Answer]) -> None:
        self._submit(self._leases, lambda: self._store.acquire(ask), told)

    def renew(self, terms: Sequence[tuple[str, int]], told: Callback[Mapping[str, Answer]]) -> None:
        self._submit(self._leases, lambda: self._store.renew(terms), told)

    def release(self, work: str, fence: int, told: Callback[Answer]) -> None:
        self._submit(self._leases, lambda: self._store.release(work, fence), told)

    def run(self, steps: Steps, told: Callback[Result]) -> None:
        self._submit(self._logs, lambda: self._store.run(steps), told)

    def close(self) -> None:
        self._closed = True
        self._leases.submit(self._store.close, lambda result, error: None)
        self._logs.close(0.0)
        self._leases.close(1.0)
