"""Storage of a control machine: a folder with its identity and the log segments.

    identity               JSON: the log's identity and the machine's name; written last by `init`
    segment-0000000001     frames; see `frames.py` and `log_state.py`
    lock                   holds an OFD lock while the folder is open

All calls block; call them outside the event loop's thread.

A folder without an identity is rejected.  Promises and batches on a lost disk were acknowledged to
other machines, so a missing log must never be treated as an empty one.  `init_folder` creates an
empty log, or with `recovering` the replacement of a lost one.

`write` returns once its changes are durable.  After an OSError the state of the file is unknown (a
failed fsync may have dropped the data), so all later writes fail: the process must end, and the
next start replays what is on disk.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from violetroute.transport.disk import read_bounded, sync_folder, write_synced

from .actions import AppendBatches, Change, SetBase, Stored
from .frames import decode_frames, encode_frame
from .log_state import (
    InconsistentError,
    LogState,
    Replay,
    decode_changes,
    decode_header,
    encode_changes,
    encode_header,
)

SEGMENT_BYTES = 8 * 1024 * 1024  # a segment of this size is rotated
SEGMENT_BYTES_MAX = 300 * 1024 * 1024  # larger segments are rejected when read
IDENTITY_BYTES = 4096  # maximum size of the identity file
SEGMENT_NAME = re.compile(r"segment-(\d{10})")
LOCK_FORMAT = struct.Struct("hhqqi4x")  # l_type, l_whence, l_start, l_len, l_pid


class StorageError(Exception):
    """The folder cannot be used; the message is one line."""


class Identity(msgspec.Struct, frozen=True):
    """Log and machine to which a folder belongs."""

    log: str
    machine: str


@dataclass(slots=True)
class _Segment:
    """A segment file.  `highest` is the highest batch position in it; 0 without batches."""

    number: int
    path: Path
    size: int = 0
    highest: int = 0


def init_folder(path: Path, machine: str, log: str, recovering: bool) -> None:
    """Creates an empty log, or with `recovering` the replacement of a lost one.

    Raises StorageError if the folder has a log or is in use, OSError if it cannot be written.  The
    identity is written last: a folder with an interrupted init is rejected at start-up, and can be
    initialized again.
    """
    path.mkdir(parents=True, exist_ok=True)
    lock = _lock(path)
    try:
        if (path / "identity").exists():
            raise StorageError(f"{path}: a log already exists")
        for segment in _segments(path):
            segment.path.unlink()
        state = LogState(log, machine, recovering=recovering)
        _write_segment(path, state, 1)
        _write_atomically(path / "identity", msgspec.json.encode(Identity(log, machine)))
    finally:
        os.close(lock)


class Storage:
    """The open, locked folder of one machine.  Raises StorageError or OSError if unusable."""

    def __init__(self, path: Path, machine: str) -> None:
        self._path = path
        self._descriptor = -1
        self._failed = False
        identity = _read_identity(path)
        if identity.machine != machine:
            raise StorageError(
                f"{path}: the folder belongs to {identity.machine!r}, not to {machine!r}"
            )
        self._lock = _lock(path)
        try:
            self._segments, replay = _replay_segments(path, identity)
            self.stored: Stored | None = replay.result()
            self._state = replay.state
            self._open_last()
        except InconsistentError as error:
            self.close()
            raise StorageError(f"{path}: the log is inconsistent: {error}") from None
        except BaseException:
            self.close()
            raise

    def take_stored(self) -> Stored:
        """Returns the state replayed at opening and releases it, to free memory.  Call once."""
        stored, self.stored = self.stored, None
        assert stored is not None
        return stored

    def write(self, changes: Sequence[Change]) -> None:
        """Writes changes durably.  After one failed call every later call raises OSError."""
        if self._failed:
            raise OSError("an earlier write failed")
        if not changes:
            return
        self._failed = True  # reset on success
        for change in changes:
            self._state.apply(change)
        self._append(encode_frame(encode_changes(changes)))
        segment = self._segments[-1]
        segment.highest = max(segment.highest, _highest(changes))
        if segment.size >= SEGMENT_BYTES:
            self._rotate()
        if any(isinstance(change, SetBase) for change in changes):
            self._remove_covered()
        self._failed = False

    def close(self) -> None:
        """Closes the segment and releases the folder's lock."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _open_last(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
        path = self._segments[-1].path
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)

    def _append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]
        os.fdatasync(self._descriptor)
        self._segments[-1].size += len(data)

    def _rotate(self) -> None:
        number = self._segments[-1].number + 1
        self._segments.append(_write_segment(self._path, self._state, number))
        self._open_last()

    def _remove_covered(self) -> None:
        """Removes the oldest segments whose batches are all covered by the base snapshot."""
        base = self._state.snapshot.base.position
        while len(self._segments) > 1 and self._segments[0].highest <= base:
            with contextlib.suppress(FileNotFoundError):
                self._segments[0].path.unlink()
            sync_folder(self._path)  # sync each removal, so a crash leaves no gap in the middle
            del self._segments[0]


def _replay_segments(path: Path, identity: Identity) -> tuple[list[_Segment], Replay]:
    segments = _segments(path)
    if not segments:
        raise StorageError(f"{path}: its segments are missing")
    numbers = [segment.number for segment in segments]
    if numbers != list(range(numbers[0], numbers[0] + len(numbers))):
        raise StorageError(f"{path}: a segment is missing")
    replay = Replay(identity.log, identity.machine)
    for segment in segments:
        try:
            _read_segment(segment, replay, last=segment is segments[-1])
        except InconsistentError as error:
            raise StorageError(f"{segment.path}: {error}") from None
    return segments, replay


def _read_segment(segment: _Segment, replay: Replay, last: bool) -> None:
    data = read_bounded(segment.path, SEGMENT_BYTES_MAX)
    if len(data) > SEGMENT_BYTES_MAX:
        raise InconsistentError("too large")
    frames = decode_frames(data)
    if not frames.bodies:
        raise InconsistentError("its header is damaged")
    if frames.damaged or (frames.valid_bytes < len(data) and not last):
        raise InconsistentError(
            f"the frame at byte {frames.valid_bytes} is damaged, and others follow it"
        )
    header = decode_header(frames.bodies[0])
    if header.number != segment.number:
        raise InconsistentError(f"its header is of segment {header.number}")
    replay.begin_segment(header)
    for body in frames.bodies[1:]:
        changes = decode_changes(body)
        for change in changes:
            replay.apply(change)
        segment.highest = max(segment.highest, _highest(changes))
    if frames.valid_bytes < len(data):
        _truncate_file(segment.path, frames.valid_bytes)
    segment.size = frames.valid_bytes


def _highest(changes: Sequence[Change]) -> int:
    """Returns the highest position of an appended batch; 0 without one."""
    appended = [change for change in changes if isinstance(change, AppendBatches)]
    return max((batch.position for change in appended for batch in change.batches), default=0)


def _truncate_file(path: Path, length: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
    try:
        os.ftruncate(descriptor, length)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _segments(path: Path) -> list[_Segment]:
    found = []
    for name in os.listdir(path):
        match = SEGMENT_NAME.fullmatch(name)
        if match is not None:
            found.append(_Segment(int(match[1]), path / name))
    return sorted(found, key=lambda segment: segment.number)


def _write_segment(path: Path, state: LogState, number: int) -> _Segment:
    data = encode_frame(encode_header(state.header(number)))
    segment = _Segment(number, path / f"segment-{number:010}", len(data))
    _write_atomically(segment.path, data)
    return segment


def _write_atomically(path: Path, data: bytes) -> None:
    """Writes the file atomically and durably."""
    temporary = path.with_name(f"{path.name}.new")
    write_synced(temporary, data)
    os.replace(temporary, path)
    sync_folder(path.parent)


def _read_identity(path: Path) -> Identity:
    try:
        return msgspec.json.decode(read_bounded(path / "identity", IDENTITY_BYTES), type=Identity)
    except FileNotFoundError:
        raise StorageError(
            f"{path}: there is no log here; `limebridge control init` creates a new one, and with "
            "--replace the replacement of a lost one"
        ) from None
    except msgspec.DecodeError as error:
        raise StorageError(f"{path}: identity: {error}") from None


def _lock(path: Path) -> int:
    """Acquires the folder's lock and returns the descriptor that holds it until closed."""
    descriptor = os.open(path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
    try:
        fcntl.fcntl(
            descriptor, fcntl.F_OFD_SETLK, LOCK_FORMAT.pack(fcntl.F_WRLCK, os.SEEK_SET, 0, 0, 0)
        )
    except OSError as error:
        os.close(descriptor)
        if isinstance(error, (BlockingIOError, PermissionError)):
            raise StorageError(f"{path}: in use by another process") from None
        raise
    return descriptor
