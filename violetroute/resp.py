"""RESP2 without I/O: bytes in, tokens out, cut anywhere.

Whatever breaks the framing is told with the first byte that shows it, not when a line is
whole, and before the bytes that a length promises are kept: a peer that is wrong may
never send the rest.  That is why no ready-made reader is used.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Literal

LINE_LIMIT = 1024  # bytes of a status line; more is no line that we know
LENGTH_DIGITS = 10  # of a length line
BULK_LIMIT = 64 * 1024  # bytes, the protocol's longest value
WORD_LIMIT = 1024  # bytes of a command's name, key and id
FIELDS_LIMIT = 4 * 1024  # bytes of its list
ARRAY_LIMIT = 64  # items; commands have at most five, replies three
CRLF = b"\r\n"


class ProtocolError(Exception):
    """The peer broke the framing: nothing behind it can be trusted."""


@dataclass(frozen=True, slots=True)
class Array:
    length: int


@dataclass(frozen=True, slots=True)
class Bulk:
    """The start of a bulk string of this length; its body follows in Piece tokens."""

    length: int


@dataclass(frozen=True, slots=True)
class Piece:
    data: bytes
    last: bool  # the whole body has come, its line end included


@dataclass(frozen=True, slots=True)
class Line:
    """A simple string, error or integer; or the null bulk and array, as kind '0'."""

    kind: Literal["+", "-", ":", "0"]
    text: bytes


Token = Array | Bulk | Piece | Line


class Decoder:
    """Feed it bytes, take tokens until None.  After a ProtocolError it is of no more use."""

    __slots__ = ("_at", "_buffer", "_left", "_tail")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._at = 0  # what lies before it has been taken
        self._left = -1  # bytes of a body still to come; -1 between tokens
        self._tail = b""  # body bytes held back until its line end has come

    def feed(self, data: bytes | memoryview) -> None:
        self._buffer += data

    @property
    def idle(self) -> bool:
        """Nothing stands unread and no token is half done."""
        return self._left < 0 and self._at == len(self._buffer)

    @property
    def unread(self) -> int:
        return len(self._buffer) - self._at

    def next(self) -> Token | None:
        token = self._piece() if self._left >= 0 else self._head()
        if token is None or self._at == len(self._buffer):
            del self._buffer[: self._at]
            self._at = 0
        return token

    def _piece(self) -> Token | None:
        have = len(self._buffer) - self._at
        if self._left + 2 <= have:
            end = self._at + self._left
            if self._buffer[end : end + 2] != CRLF:
                raise ProtocolError("bulk body without its line end")
            data = bytes(memoryview(self._buffer)[self._at : end])
            self._at, self._left = end + 2, -1
            return Piece(data, True)
        # Leave one byte of the body unread until its line end is there: the last piece is
        # then never an empty one, and a peer that stops before the end is seen to.
        take = min(have, self._left - 1)
        if take <= 0:
            return None
        data = bytes(memoryview(self._buffer)[self._at : self._at + take])
        self._at += take
        self._left -= take
        return Piece(data, False)

    def _head(self) -> Token | None:
        have = len(self._buffer) - self._at
        if not have:
            return None
        kind = bytes(self._buffer[self._at : self._at + 1])
        if kind not in (b"*", b"$", b"+", b"-", b":"):
            raise ProtocolError("unknown type byte")
        limit = LENGTH_DIGITS + 1 if kind in (b"*", b"$") else LINE_LIMIT
        end = self._buffer.find(CRLF, self._at, self._at + limit + 2)
        if end < 0:
            if have > limit + 1:
                raise ProtocolError("line too long")
            if kind in (b"*", b"$"):
                _length_begins(bytes(self._buffer[self._at + 1 :]))
            return None
        text = bytes(self._buffer[self._at + 1 : end])
        if kind == b"$":
            length = _length(text, BULK_LIMIT)
            self._at = end + 2
            if length < 0:
                return Line("0", b"")
            self._left = length
            return Bulk(length)
        if kind == b"*":
            length = _length(text, ARRAY_LIMIT)
            self._at = end + 2
            return Array(length) if length >= 0 else Line("0", b"")
        self._at = end + 2
        return Line("-" if kind == b"-" else "+" if kind == b"+" else ":", text)


def _length_begins(text: bytes) -> None:
    digits = text.removesuffix(b"\r")
    if digits and not digits.isdigit() and digits not in (b"-", b"-1"):
        raise ProtocolError("senseless length")


def _length(text: bytes, limit: int) -> int:
    # int() alone would take signs, blanks, underscores and endless digits.
    if text == b"-1":
        return -1
    if not text.isdigit() or len(text) > LENGTH_DIGITS:
        raise ProtocolError("senseless length")
    length = int(text)
    if length > limit:
        raise ProtocolError("length over the bound")
    return length


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(data), data)


class CommandError(Exception):
    """A well formed command that makes no sense: answered, and the connection lives."""


_WAIT = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")  # ms; float() alone would take far more


@dataclass(frozen=True, slots=True)
class Command:
    """A client's request, as it came and as it goes on."""

    words: tuple[bytes, bytes, bytes]  # name, key, id
    fields: tuple[tuple[bytes, bytes], ...]
    value: bytes | bytearray | None
    class_name: str
    tenant: str
    wait: float  # ms, from the last byte on

    @property
    def key(self) -> bytes:
        return self.words[1]

    @property
    def id(self) -> bytes:
        return self.words[2]

    @property
    def keyed(self) -> bool:
        """Carries an idempotency key."""
        return any(name == b"k" and text for name, text in self.fields)

    def encode(self, wait: float) -> list[bytes | memoryview]:
        """The command unchanged but for d, in parts; a long value is not copied."""
        left = b"%d" % max(1, int(wait))
        listed = b",".join(
            name + b"=" + (left if name == b"d" else text) for name, text in self.fields)
        head = b"".join(map(bulk, (*self.words, listed)))
        if self.value is None:
            return [b"*4\r\n" + head]
        head = b"*5\r\n" + head + b"$%d\r\n" % len(self.value)
        if len(self.value) <= 4096:
            return [b"".join((head, self.value, CRLF))]
        return [head, memoryview(self.value), CRLF]


def parse_command(args: list[bytes | bytearray]) -> Command:
    name = bytes(args[0]).upper()
    if name not in (b"OBJ.GET", b"OBJ.SET"):
        raise CommandError("unknown command")
    if len(args) != (4 if name == b"OBJ.GET" else 5):
        raise CommandError("wrong number of arguments")
    if not all(0 < len(word) <= WORD_LIMIT for word in args[:3]) or len(args[3]) > FIELDS_LIMIT:
        raise CommandError("key, id or list is empty or too long")
    fields: dict[bytes, bytes] = {}
    for item in bytes(args[3]).split(b","):
        field, equals, text = item.partition(b"=")
        if not field or not equals or field in fields:
            raise CommandError("bad list")
        fields[field] = text
    try:
        class_name, tenant = fields[b"c"].decode(), fields.get(b"t", b"").decode()
        wait = float(fields[b"d"]) if _WAIT.fullmatch(fields[b"d"]) else 0.0
    except (KeyError, ValueError):
        raise CommandError("class or wait is missing or senseless") from None
    if wait <= 0.0:
        raise CommandError("senseless wait")
    return Command(
        (bytes(args[0]), bytes(args[1]), bytes(args[2])), tuple(fields.items()),
        args[4] if len(args) == 5 else None, class_name, tenant, wait)
