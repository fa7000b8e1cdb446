"""The reply of a cache node: a value, its outcome and a load report; or an error line.

A length that is wrong can make framing bytes part of a value, and the error then shows only in what
follows.  So a value counts once the outcome and the load report behind it have been read too.
"""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from zlib import crc32

from .framing import Array, Bulk, Decoder, Line, Piece, ProtocolError, Token, bulk

MAX_EXTRA_BYTES = 4 * 1024  # longest outcome or load report
REPORT_ITEM = 2  # index of the load report in the array
_LAST_ITEMS = re.compile(
    rb"\r\n(?:\$-1|\$\d{1,4}\r\n[^\r\n]{0,4096})"
    rb"\r\n(?:\$-1|\$\d{1,4}\r\n[^\r\n]{0,4096}|[:+][^\r\n]*)\r\n\Z"
)


class Reply:
    """Assembles one reply from tokens."""

    __slots__ = ("_item", "_text", "complete", "extras", "length", "line", "value")

    def __init__(self) -> None:
        self._item = -1  # index of the array item being read; -1 before the array
        self._text = bytearray()
        self.length = 0  # announced bytes of the value; 0 until they are known
        self.value: bytes | bytearray = bytearray()
        self.extras: list[bytes | None] = []  # the outcome and the load report
        self.line: Line | None = None
        self.complete = False

    @property
    def is_empty(self) -> bool:
        """Whether no array has begun."""
        return self._item < 0

    def set_served(self, value: bytes, outcome: bytes, report: bytes | None) -> None:
        """Set the complete reply, as `Decoder.reply` returns it."""
        self.value, self.extras, self.complete = value, [outcome, report], True

    def fingerprint(self) -> int:
        """A hash of the value and its extras, equal for equal replies."""
        return hash((crc32(self.value), *self.extras))

    def take(self, token: Token) -> None:
        """Add a token.  ProtocolError if the tokens are not a reply."""
        match token:
            case Line(kind) if self._item < 0 and kind == "-":
                self.line, self.complete = token, True
            case Array(3) if self._item < 0:
                self._item = 0
            case Bulk(length) if self._item == 0:
                self.length = length  # the decoder bounds it
            case Bulk(length) if self._item > 0 and length <= MAX_EXTRA_BYTES:
                self._text.clear()
            case Piece(data, last) if self._item == 0:
                self.value += data
                if last:
                    self._item = 1
            case Piece(data, last) if self._item > 0:
                self._text += data
                if last:
                    self._add_extra(bytes(self._text))
            case Line(kind) if self._item > 0 and kind == "0":
                self._add_extra(None)
            case Line(kind, text) if self._item == REPORT_ITEM and kind != "-":
                self._add_extra(text)  # correctly framed, but no report: `parse_report` decides
            case _:
                raise ProtocolError("not a reply of a cache node")

    def _add_extra(self, text: bytes | None) -> None:
        self.extras.append(text)
        self._item += 1
        self.complete = len(self.extras) == 2


def may_continue_value(extras: Sequence[bytes | None], rest: bytes) -> bool:
    """Whether the value of a complete reply may go on in its extras and in the bytes behind it.

    A value may itself contain what looks like the end of a reply.  If the length of the value is
    too small by just that much, the reply seems complete, and more bytes follow that end like a
    reply.  Whole further replies end like that too, and are no part of the value.
    """
    if not rest:
        return False
    items = (b"$-1\r\n" if extra is None else bulk(extra) for extra in extras)
    behind_value = b"\r\n%b%b" % (b"".join(items), rest)
    return _LAST_ITEMS.search(behind_value) is not None and not _are_replies(rest)


def _are_replies(data: bytes) -> bool:
    decoder, reply = Decoder(), Reply()
    decoder.feed(data)
    try:
        while (token := decoder.next()) is not None:
            reply.take(token)
            if reply.complete:
                reply = Reply()
    except ProtocolError:
        return False
    return decoder.idle and reply.is_empty


def parse_report(text: bytes | None) -> dict[str, float] | None:
    """The figures of a load report by name; None without one or if it is invalid."""
    if not text:
        return None
    try:
        pairs = [item.split("=") for item in text.decode().split(",")]
        report = {name: float(figure) for name, figure in pairs}
    except ValueError:
        return None
    # A single infinite or NaN figure would corrupt every mean that includes it.
    return report if all(map(math.isfinite, report.values())) else None
