"""A log that many may write and one owner at a time does: the fence where the effect is.  Pure.

Each position is written once for good; the store promises just that ("put if there is nothing",
which a file system has as `link` and a key-value store as a check for no key).  Who begins a term
puts a **claim** with its fence at the next position; an entry counts if its fence is the one of the
last claim that counted.  Where a late owner would put its entry there stands the claim that ended
its term: it can't be checked before and written after, since writing is the check.

Weighed and rejected: a lock round check and write (a process that is stopped within it stops all),
"readers take the highest fence" over files named by fence (a reader may have used the lower one
before the higher came), appending to one file (a late write lands behind the new owner's).

Reading and writing are yielded as `Read` and `Put`, so that the same lines run over a folder, a
key-value store and a model; `claim` and `append` are the whole protocol.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from .lease import MAX_FENCE, FenceGuard, is_nonce

VERSION = 1
MAX_RECORD_BYTES = 4 * 1024 * 1024  # bytes of a record
MAX_ATTEMPTS = 64  # positions that others may have written while we tried
MAX_RECORDS_PER_READ = 256  # records that one read asks for


class Record(msgspec.Struct, frozen=True):
    """What stands at one position."""

    v: int
    log: str
    fence: int
    nonce: str
    kind: Literal["claim", "entry"]
    body: Any = None
    name: str = ""  # the proxy's, for people


@dataclass(frozen=True, slots=True)
class Read:
    """The records from `position` on, as many as there are without a gap, PAGE at most."""

    log: str
    position: int


@dataclass(frozen=True, slots=True)
class Put:
    """This at `position`, if there is nothing yet; whether it was put."""

    log: str
    position: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Done:
    position: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """Another term has begun here; `floor` is its fence."""

    floor: int


@dataclass(frozen=True, slots=True)
class Contended:
    """Too many wrote meanwhile: try again."""


@dataclass(frozen=True, slots=True)
class NothingToAppend:
    """There was nothing to put."""


Result = Done | Fenced | Contended | NothingToAppend
Steps = Generator[Read | Put, Any, Result]


class FencedLog:
    """One log as read so far.  `took` hears of each entry that counts, with its position."""

    def __init__(self, name: str, on_entry: Callable[[int, Record], None]) -> None:
        self.name, self._on_entry = name, on_entry
        self.next_position = 0
        self.guard = FenceGuard()
        self.entries = 0  # that count
        self.ignored = 0  # positions that hold nothing that counts

    def apply(self, data: bytes) -> None:
        """What stands at the next position."""
        position = self.next_position
        self.next_position += 1
        record = decode(data, self.name)
        if record is None:
            self.ignored += 1
        elif record.kind == "claim":
            if record.fence <= self.guard.fence or not self.guard.admits(
                record.fence, record.nonce
            ):
                self.ignored += 1
        elif (record.fence, record.nonce) != (self.guard.fence, self.guard.nonce):
            self.ignored += 1
        else:
            self.entries += 1
            self._on_entry(position, record)


def decode(data: bytes, log: str) -> Record | None:
    """None for what is no record of this log: it counts for nobody, whoever reads it.

    A later version's record is none either.  A proxy of an earlier build thus misses entries, and
    it may not own the work by then: see `docs/operators/fleet.md`, "Two versions side by side".
    """
    if len(data) > MAX_RECORD_BYTES:
        return None
    try:
        record = msgspec.json.decode(data, type=Record)
    except (msgspec.DecodeError, RecursionError):
        return None
    if (
        record.v != VERSION
        or record.log != log
        or not 0 < record.fence <= MAX_FENCE
        or not is_nonce(record.nonce)
    ):
        return None
    return record


def encode(record: Record) -> bytes:
    return msgspec.json.encode(record)


def read_to_end(log: FencedLog) -> Generator[Read, list[bytes], None]:
    """All that there is."""
    while True:
        found = yield Read(log.name, log.next_position)
        for data in found:
            log.apply(data)
        if len(found) < MAX_RECORDS_PER_READ:
            return


def claim(log: FencedLog, fence: int, nonce: str, name: str) -> Steps:
    """What a term begins with.  Done too where it stands already: its answer was lost."""
    data = encode(Record(VERSION, log.name, fence, nonce, "claim", None, name))
    for _ in range(MAX_ATTEMPTS):
        yield from read_to_end(log)
        if (log.guard.fence, log.guard.nonce) == (fence, nonce):
            return Done(log.next_position - 1)
        if log.guard.fence >= fence:
            return Fenced(log.guard.fence)
        position = log.next_position
        if (yield Put(log.name, position, data)):
            log.apply(data)
            return Done(position)
    return Contended()


def append(log: FencedLog, fence: int, nonce: str, name: str, decide: Callable[[], Any]) -> Steps:
    """One entry at the end of the log, if its term's claim is still the last.

    `decide` is asked for it after everything has been read, and again after each read that found
    more; None is no entry.  So an entry whose answer was lost is met as one that stands, and what
    was decided still holds when it is put: nobody else's entry counts behind our claim.
    """
    for _ in range(MAX_ATTEMPTS):
        yield from read_to_end(log)
        if (log.guard.fence, log.guard.nonce) != (fence, nonce):
            return Fenced(log.guard.fence)
        body = decide()
        if body is None:
            return NothingToAppend()
        data = encode(Record(VERSION, log.name, fence, nonce, "entry", body, name))
        if len(data) > MAX_RECORD_BYTES:
            raise ValueError(f"{len(data)} bytes are more than a log's record may have")
        position = log.next_position
        if (yield Put(log.name, position, data)):
            log.apply(data)
            return Done(position)
    return Contended()
