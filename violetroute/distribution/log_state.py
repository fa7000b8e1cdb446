"""Contents of the log segments' frames, and the state that a replay of them yields.  No I/O.

Each segment begins with a header that holds all state at that point except the batches.  Older
segments can therefore be removed once the base snapshot covers all their batches.  Each further
frame holds the changes of one write, in order.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from .actions import (
    AppendBatches,
    Change,
    SetBase,
    SetPromise,
    SetRecovering,
    Stored,
    TruncateAfter,
)
from .messages import Batch, LogPoint, Snapshot

VERSION = 1  # version of the segment format


class InconsistentError(Exception):
    """Intact frames that contradict each other; the message is one line."""


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """Base of the stored structures.  Fields may be added at the end, with defaults."""


class SegmentHeader(_Frame, frozen=True, tag="h"):
    """All state but the batches at the beginning of the segment `number`."""

    version: int
    log: str
    machine: str
    number: int
    fence: int
    leader: str
    recovering: bool
    snapshot: Snapshot
    next_position: int


class _Promise(_Frame, frozen=True, tag="p"):
    fence: int
    leader: str


class _Batches(_Frame, frozen=True, tag="b"):
    batches: tuple[Batch, ...]


class _Truncate(_Frame, frozen=True, tag="t"):
    position: int


class _Base(_Frame, frozen=True, tag="s"):
    snapshot: Snapshot


class _Recovering(_Frame, frozen=True, tag="r"):
    recovering: bool


_StoredChange = _Promise | _Batches | _Truncate | _Base | _Recovering

_encode = msgspec.msgpack.Encoder().encode
_decode_header = msgspec.msgpack.Decoder(SegmentHeader).decode
_decode_changes = msgspec.msgpack.Decoder(tuple[_StoredChange, ...]).decode


def encode_changes(changes: Iterable[Change]) -> bytes:
    """Encodes the changes of one write as a frame body."""
    return _encode(tuple(_to_stored(change) for change in changes))


def decode_changes(body: bytes) -> list[Change]:
    """Decodes a frame body.  Raises InconsistentError if it holds no changes."""
    try:
        return [_from_stored(change) for change in _decode_changes(body)]
    except msgspec.DecodeError as error:
        raise InconsistentError(f"a frame that cannot be read: {error}") from None


def encode_header(header: SegmentHeader) -> bytes:
    """Encodes the body of a segment's first frame."""
    return _encode(header)


def decode_header(body: bytes) -> SegmentHeader:
    """Decodes a header.  Raises InconsistentError for other bodies and other versions."""
    try:
        header = _decode_header(body)
    except msgspec.DecodeError as error:
        raise InconsistentError(f"a header that cannot be read: {error}") from None
    if header.version != VERSION:
        raise InconsistentError(f"version {header.version}, this build reads {VERSION}")
    return header


def _to_stored(change: Change) -> _StoredChange:
    match change:
        case SetPromise(fence, leader):
            return _Promise(fence, leader)
        case AppendBatches(batches):
            return _Batches(batches)
        case TruncateAfter(position):
            return _Truncate(position)
        case SetBase(snapshot):
            return _Base(snapshot)
        case SetRecovering(recovering):
            return _Recovering(recovering)


def _from_stored(stored: _StoredChange) -> Change:
    match stored:
        case _Promise():
            return SetPromise(stored.fence, stored.leader)
        case _Batches():
            return AppendBatches(stored.batches)
        case _Truncate():
            return TruncateAfter(stored.position)
        case _Base():
            return SetBase(stored.snapshot)
        case _Recovering():
            return SetRecovering(stored.recovering)


@dataclass(slots=True)
class LogState:
    """All stored state except the batches."""

    log: str
    machine: str
    fence: int = 0
    leader: str = ""
    recovering: bool = False
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(LogPoint()))
    next_position: int = 1

    def apply(self, change: Change) -> None:
        """Applies a change.  Raises InconsistentError for batches that are not consecutive."""
        match change:
            case SetPromise(fence, leader):
                self.fence, self.leader = fence, leader
            case AppendBatches(batches):
                self._append(batches)
            case TruncateAfter(position):
                self.next_position = min(self.next_position, position + 1)
            case SetBase(snapshot):
                self.snapshot = snapshot
                self.next_position = max(self.next_position, snapshot.base.position + 1)
            case SetRecovering(recovering):
                self.recovering = recovering

    def _append(self, batches: tuple[Batch, ...]) -> None:
        for batch in batches:
            if batch.position != self.next_position:
                raise InconsistentError(f"position {batch.position}, expected {self.next_position}")
            self.next_position += 1

    def header(self, number: int) -> SegmentHeader:
        """Returns the header of a new segment that begins with the current state."""
        return SegmentHeader(
            VERSION,
            self.log,
            self.machine,
            number,
            self.fence,
            self.leader,
            self.recovering,
            self.snapshot,
            self.next_position,
        )


class Replay:
    """Replays segments in order; `state` and `batches` hold the result so far."""

    def __init__(self, log: str, machine: str) -> None:
        self.state = LogState(log, machine)
        self.batches: list[Batch] = []
        self._first = True

    def begin_segment(self, header: SegmentHeader) -> None:
        """Starts a segment.  Raises InconsistentError unless it continues the previous one."""
        if (header.log, header.machine) != (self.state.log, self.state.machine):
            raise InconsistentError(
                f"it belongs to the log {header.log} on the machine {header.machine}"
            )
        if self._first:
            self._first = False
            self.state = LogState(
                header.log,
                header.machine,
                header.fence,
                header.leader,
                header.recovering,
                header.snapshot,
                header.next_position,
            )
        elif header != self.state.header(header.number):
            raise InconsistentError("it does not continue the previous segment")

    def apply(self, change: Change) -> None:
        """Applies one change to the state and the batches."""
        self.state.apply(change)
        match change:
            case AppendBatches(batches):
                self.batches.extend(batches)
            case TruncateAfter(position):
                while self.batches and self.batches[-1].position > position:
                    self.batches.pop()
            case SetBase(snapshot):
                base = snapshot.base.position
                self.batches = [batch for batch in self.batches if batch.position > base]

    def result(self) -> Stored:
        """Returns the replayed log.  Raises InconsistentError for a gap after the base."""
        state = self.state
        base = state.snapshot.base.position
        batches = [batch for batch in self.batches if batch.position > base]
        first = batches[0].position if batches else state.next_position
        if first != base + 1:
            raise InconsistentError(f"the log begins at {first}, its base is {base}")
        return Stored(
            state.log, state.fence, state.leader, state.snapshot, tuple(batches), state.recovering
        )
