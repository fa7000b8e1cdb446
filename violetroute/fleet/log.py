"""A fenced log: every process can write to it, but only the current owner's entries count.  Pure.

Each position is written at most once.  That is all that a store must guarantee ("put if absent":
`link` in a file system, a transaction with check-not-exists in a key-value store).  A new owner
first puts a **claim** with its fence at the next position.  An entry is valid if its fence is that
of the last valid claim.  A late owner finds its position taken by the claim that ended its term.
No time passes between the check and the write, since the write is the check.

A lock around check and write is not used, since a process suspended inside it would block all
others.  Files named by fence, of which readers take the highest, are not used: a reader may have
used a lower fence before the higher one appeared.  Appending to one file is not used: a late write
would come after the entries of the new owner.

Operations yield their `Read` and `Put` steps, so the same code runs on a folder, a key-value store
and a model.  `claim` and `append` are the whole protocol.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from .lease import MAX_FENCE, FenceGuard, is_nonce

VERSION = 1
MAX_RECORD_BYTES = 4 * 1024 * 1024  # bytes of one record
MAX_ATTEMPTS = 64  # puts that may fail since others wrote to the position
MAX_RECORDS_PER_READ = 256


class Record(msgspec.Struct, frozen=True):
    """The record at one position: a claim or an entry."""

    v: int
    log: str
    fence: int
    nonce: str
    kind: Literal["claim", "entry"]
    body: Any = None
    name: str = ""  # the proxy's name, for operators


@dataclass(frozen=True, slots=True)
class Read:
    """Read the records from `position` to the first gap, at most MAX_RECORDS_PER_READ."""

    log: str
    position: int


@dataclass(frozen=True, slots=True)
class Put:
    """Put `data` at `position` if nothing is there; the result is whether it was put."""

    log: str
    position: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """The operation is complete: the record is at `position`."""

    position: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """Another term has claimed the log; `floor` is its fence."""

    floor: int


@dataclass(frozen=True, slots=True)
class Contended:
    """Others wrote to the log at every attempt: try again later."""


@dataclass(frozen=True, slots=True)
class NothingToAppend:
    """There was no entry to append."""


Result = Done | Fenced | Contended | NothingToAppend
Steps = Generator[Read | Put, Any, Result]


class FencedLog:
    """The state of one log as read so far.

    `on_entry` is called with the position and the record of each valid entry.
    """

    def __init__(self, name: str, on_entry: Callable[[int, Record], None]) -> None:
        self.name, self._on_entry = name, on_entry
        self.next_position = 0
        self.guard = FenceGuard()
        self.entries = 0  # number of valid entries
        self.ignored = 0  # number of positions without a valid record

    def apply(self, data: bytes) -> None:
        """Process the data at the next position."""
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
    """The record, or None if `data` is not a record of this log: all readers ignore it.

    A record of a later version is ignored too.  An earlier build therefore misses entries and must
    not own the work by then: see `docs/operators/fleet.md`, "Two versions side by side".
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
    """The record's JSON."""
    return msgspec.json.encode(record)


def read_to_end(log: FencedLog) -> Generator[Read, list[bytes], None]:
    """Read the log to its end."""
    while True:
        found = yield Read(log.name, log.next_position)
        for data in found:
            log.apply(data)
        if len(found) < MAX_RECORDS_PER_READ:
            return


def claim(log: FencedLog, fence: int, nonce: str, name: str) -> Steps:
    """Claim the log for a term.  Done as well if the claim is already in the log.

    That happens if the response to its put was lost.
    """
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
    """Append one entry, if the claim of its term is still the last one.

    `decide` is called after the whole log has been read, and again after every failed put; None
    means no entry.  So an entry whose put succeeded but whose response was lost is read first, and
    the decision is still valid at the put, since no other owner's entry is valid after this claim.
    ValueError if the record is too long.
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
            raise ValueError(f"{len(data)} bytes exceed the maximum size of a log record")
        position = log.next_position
        if (yield Put(log.name, position, data)):
            log.apply(data)
            return Done(position)
    return Contended()
