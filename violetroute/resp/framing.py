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


# The usual forms, for what has come whole.  They match less than the tokens allow and never
# more: what they leave (odd lengths, line ends within a text, all that is wrong) the tokens
# judge, so a peer gains nothing by writing either way.
_SHORT = 4 * 1024  # bytes; longer arguments take room from the budget piece by piece
_DIGITS = tuple(b"%d" % length for length in range(_SHORT + 1))
_COMMAND = re.compile(
    rb"\*([45])\r\n\$(\d{1,2})\r\n([^\r\n]{1,32})\r\n"
    + rb"\$(\d{1,4})\r\n([^\r\n]{1,1024})\r\n" * 2
    + rb"\$(\d{1,4})\r\n([^\r\n]{1,4096})\r\n"
)
_VALUE = re.compile(rb"\$(\d{1,4})\r\n")
_SERVED = re.compile(rb"\*3\r\n\$(\d{1,5})\r\n")
_TAIL = re.compile(
    rb"\r\n\$(\d{1,2})\r\n([^\r\n]{1,32})\r\n"
    rb"(?:\$-1|\$(\d{1,4})\r\n([^\r\n]{1,4096}))\r\n"
)


class ProtocolError(Exception):
    """The peer broke the framing: nothing behind it can be trusted."""


@dataclass(slots=True)
class Array:
    length: int


@dataclass(slots=True)
class Bulk:
    """The start of a bulk string of this length; its body follows in Piece tokens."""

    length: int


@dataclass(slots=True)
class Piece:
    data: bytes
    last: bool  # the whole body has come, its line end included


@dataclass(slots=True)
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
        return not self._buffer and self._left < 0  # what is taken whole is cleared at once

    @property
    def unread(self) -> int:
        return len(self._buffer) - self._at

    def next(self) -> Token | None:
        token = self._piece() if self._left >= 0 else self._head()
        if token is None or self._at == len(self._buffer):
            del self._buffer[: self._at]
            self._at = 0
        return token

    def command(self) -> list[bytes] | None:
        """A whole short command of the usual form that stands next, taken in one go.

        None, and nothing taken, where the tokens have to tell: it is not all here, has a
        long or odd argument, or is wrong.  What it gives is what the tokens would give: the
        arguments, and last the bytes from the array's start to the third argument's end.
        """
        if self._left >= 0:
            return None
        buffer, at = self._buffer, self._at
        match = _COMMAND.match(buffer, at)
        if match is None:
            return None
        count, *parts = match.groups()
        args = parts[1::2]
        if parts[::2] != [_DIGITS[len(arg)] for arg in args]:
            return None
        head = bytes(buffer[at : match.end(7) + 2])
        end = match.end()
        if count == b"5":
            match = _VALUE.match(buffer, end)
            if match is None:
                return None
            length, start = int(match[1]), match.end()
            end = start + length + 2
            if length >= _SHORT or buffer[end - 2 : end] != CRLF:
                return None
            args.append(bytes(buffer[start : end - 2]))
        args.append(head)
        self._advance(end)
        return args

    def reply(self) -> tuple[bytes, bytes, bytes | None] | None:
        """A whole served reply that stands next: value, how it went, load report.

        None, and nothing taken, where the tokens have to tell, as for a command.
        """
        if self._left >= 0:
            return None
        buffer = self._buffer
        match = _SERVED.match(buffer, self._at)
        if match is None:
            return None
        start = match.end()
        length = int(match[1])
        if length > BULK_LIMIT or start + length + 2 > len(buffer):
            return None
        tail = _TAIL.match(buffer, start + length)
        if tail is None:
            return None
        how_long, how, report_long, report = tail.groups()
        if how_long != _DIGITS[len(how)] or (
            report is not None and report_long != _DIGITS[len(report)]
        ):
            return None
        value = bytes(memoryview(buffer)[start : start + length])
        self._advance(tail.end())
        return value, how, report

    def _advance(self, end: int) -> None:
        if end == len(self._buffer):
            self._buffer.clear()
            self._at = 0
        else:
            self._at = end

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
