"""Incremental RESP2 decoder without I/O: bytes in, at any boundaries, and tokens out.

Broken framing is reported with the first byte that shows it, before a line is complete and before
the announced bytes are stored, since a faulty peer may never send the rest.  That is why no
existing RESP parser is used.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Literal

MAX_LINE_BYTES = 1024  # longest status line; no known line is longer
MAX_LENGTH_DIGITS = 10  # digits of a length
BULK_LIMIT = 64 * 1024  # bytes of the protocol's longest value
MAX_WORD_BYTES = 1024  # longest name, key or id of a command
MAX_OPTIONS_BYTES = 4 * 1024  # longest option list of a command
MAX_ARRAY_ITEMS = 64  # commands have at most five, replies three
MIN_COMPACTED_BYTES = 64 * 1024  # decoded bytes that are removed before the buffer is empty
CRLF = b"\r\n"


# Fast path for complete commands and replies of the usual form.  The patterns match only a subset
# of what the token decoder accepts.  It handles the rest (unusual lengths, line ends within a text,
# all errors), so a peer gains nothing by choosing a form.
_SHORT_BYTES = 4 * 1024  # longer arguments are charged to the budget piece by piece
_DIGITS = tuple(b"%d" % length for length in range(_SHORT_BYTES + 1))
_COMMAND = re.compile(
    rb"\*([45])\r\n\$(\d{1,2})\r\n([^\r\n]{1,32})\r\n"
    + rb"\$(\d{1,4})\r\n([^\r\n]{1,1024})\r\n" * 2
    + rb"\$(\d{1,4})\r\n([^\r\n]{1,4096})\r\n"
)
_VALUE = re.compile(rb"\$(\d{1,4})\r\n")
_REPLY = re.compile(rb"\*3\r\n\$(\d{1,5})\r\n")
_REPLY_TAIL = re.compile(
    rb"\r\n\$(\d{1,2})\r\n([^\r\n]{1,32})\r\n"
    rb"(?:\$-1|\$(\d{1,4})\r\n([^\r\n]{1,4096}))\r\n"
)


class ProtocolError(Exception):
    """The peer broke the framing: the rest of its data cannot be interpreted."""


@dataclass(slots=True)
class Array:
    """The start of an array with this number of items."""

    length: int


@dataclass(slots=True)
class Bulk:
    """The start of a bulk string of this length in bytes; its body follows as Piece tokens."""

    length: int


@dataclass(slots=True)
class Piece:
    """A part of the body of a bulk string."""

    data: bytes
    last: bool  # the body is complete, including its line end


@dataclass(slots=True)
class Line:
    """A simple string, error or integer; kind '0' is the null bulk string or array."""

    kind: Literal["+", "-", ":", "0"]
    text: bytes


Token = Array | Bulk | Piece | Line


class Decoder:
    """Decodes tokens: call `feed`, then `next` until None.  Unusable after a ProtocolError."""

    __slots__ = ("_body_left", "_buffer", "_position", "_tail")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0  # the data before it has been decoded
        self._body_left = -1  # bytes of a body still to decode; -1 between tokens
        self._tail = b""  # not used by any method

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes; they are copied."""
        if self._position >= MIN_COMPACTED_BYTES:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    @property
    def idle(self) -> bool:
        """Whether no input is left and no token is incomplete."""
        return not self._buffer and self._body_left < 0  # a fully decoded buffer is always empty

    @property
    def unread(self) -> int:
        """Bytes that are not decoded yet."""
        return len(self._buffer) - self._position

    def next(self) -> Token | None:
        """The next token, or None until more data comes.  Raises ProtocolError."""
        token = self._next_piece() if self._body_left >= 0 else self._next_head()
        if token is None or self._position == len(self._buffer):
            del self._buffer[: self._position]
            self._position = 0
        return token

    def command(self) -> list[bytes] | None:
        """Decode the next command in one step, if it is complete, short and of the usual form.

        Returns the arguments, as the tokens would give them, and as last item the bytes from the
        start of the array to the end of the third argument.  None if `next` has to decode it: it is
        incomplete, has a long or unusual argument, or is invalid.  Nothing is consumed then.
        """
        if self._body_left >= 0:
            return None
        buffer, at = self._buffer, self._position
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
            if length >= _SHORT_BYTES or buffer[end - 2 : end] != CRLF:
                return None
            args.append(bytes(buffer[start : end - 2]))
        args.append(head)
        self._advance(end)
        return args

    def reply(self) -> tuple[bytes, bytes, bytes | None] | None:
        """Decode the next successful reply in one step: value, outcome ("hit"), load report.

        None, with nothing consumed, if `next` has to decode it, as for `command`.
        """
        if self._body_left >= 0:
            return None
        buffer = self._buffer
        match = _REPLY.match(buffer, self._position)
        if match is None:
            return None
        start = match.end()
        length = int(match[1])
        if length > BULK_LIMIT or start + length + 2 > len(buffer):
            return None
        tail = _REPLY_TAIL.match(buffer, start + length)
        if tail is None:
            return None
        outcome_length, outcome, report_length, report = tail.groups()
        if outcome_length != _DIGITS[len(outcome)] or (
            report is not None and report_length != _DIGITS[len(report)]
        ):
            return None
        value = bytes(memoryview(buffer)[start : start + length])
        self._advance(tail.end())
        return value, outcome, report

    def rest(self) -> bytes:
        """The bytes that are not decoded yet."""
        return bytes(memoryview(self._buffer)[self._position :])

    def _advance(self, end: int) -> None:
        if end == len(self._buffer):
            self._buffer.clear()
            self._position = 0
        else:
            self._position = end

    def _next_piece(self) -> Token | None:
        have = len(self._buffer) - self._position
        if self._body_left + 2 <= have:
            end = self._position + self._body_left
            if self._buffer[end : end + 2] != CRLF:
                raise ProtocolError("bulk body without its line end")
            data = bytes(memoryview(self._buffer)[self._position : end])
            self._position, self._body_left = end + 2, -1
            return Piece(data, True)
        # Keep one byte of the body until its line end has come: the last piece is then never empty,
        # and a body without its line end stays incomplete.
        take = min(have, self._body_left - 1)
        if take <= 0:
            return None
        data = bytes(memoryview(self._buffer)[self._position : self._position + take])
        self._position += take
        self._body_left -= take
        return Piece(data, False)

    def _next_head(self) -> Token | None:
        have = len(self._buffer) - self._position
        if not have:
            return None
        kind = bytes(self._buffer[self._position : self._position + 1])
        if kind not in (b"*", b"$", b"+", b"-", b":"):
            raise ProtocolError("unknown type byte")
        limit = MAX_LENGTH_DIGITS + 1 if kind in (b"*", b"$") else MAX_LINE_BYTES
        end = self._buffer.find(CRLF, self._position, self._position + limit + 2)
        if end < 0:
            if have > limit + 1:
                raise ProtocolError("line too long")
            if kind in (b"*", b"$"):
                _check_length_prefix(bytes(self._buffer[self._position + 1 :]))
            return None
        text = bytes(self._buffer[self._position + 1 : end])
        if kind == b"$":
            length = _parse_length(text, BULK_LIMIT)
            self._position = end + 2
            if length < 0:
                return Line("0", b"")
            self._body_left = length
            return Bulk(length)
        if kind == b"*":
            length = _parse_length(text, MAX_ARRAY_ITEMS)
            self._position = end + 2
            return Array(length) if length >= 0 else Line("0", b"")
        self._position = end + 2
        return Line("-" if kind == b"-" else "+" if kind == b"+" else ":", text)


def _check_length_prefix(text: bytes) -> None:
    digits = text.removesuffix(b"\r")
    if digits and not digits.isdigit() and digits not in (b"-", b"-1"):
        raise ProtocolError("senseless length")


def _parse_length(text: bytes, limit: int) -> int:
    # int() alone accepts signs, blanks, underscores and any number of digits.
    if text == b"-1":
        return -1
    if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS:
        raise ProtocolError("senseless length")
    length = int(text)
    if length > limit:
        raise ProtocolError("length over the bound")
    return length


def bulk(data: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)
