"""A cache node's reply: a value, how it went, a load report; or an error line."""

from __future__ import annotations

import math

from .framing import Array, Bulk, Line, Piece, ProtocolError, Token

EXTRA_LIMIT = 4 * 1024  # bytes of the words behind the value


class Reply:
    """Reads one reply."""

    __slots__ = ("_item", "_text", "complete", "extras", "line", "value")

    def __init__(self) -> None:
        self._item = -1  # which of the array's items is being read
        self._text = bytearray()
        self.value: bytes | bytearray = bytearray()
        self.extras: list[bytes | None] = []  # how it went, the load report
        self.line: Line | None = None
        self.complete = False

    @property
    def is_empty(self) -> bool:
        return self._item < 0

    def set_served(self, value: bytes, how: bytes, report: bytes | None) -> None:
        """Take a whole reply in one go."""
        self.value, self.extras, self.complete = value, [how, report], True

    @property
    def has_value(self) -> bool:
        """The value is whole: what follows only tells how it went."""
        return self._item > 0

    def take(self, token: Token) -> None:
        """Take one token."""
        match token:
            case Line(kind) if self._item < 0 and kind == "-":
                self.line, self.complete = token, True
            case Array(3) if self._item < 0:
                self._item = 0
            case Bulk() if self._item == 0:
                pass  # the decoder bounds its length
            case Bulk(length) if self._item > 0 and length <= EXTRA_LIMIT:
                self._text.clear()
            case Piece(data, last) if self._item == 0:
                self.value += data
                if last:
                    self._item = 1
            case Piece(data, last) if self._item > 0:
                self._text += data
                if last:
                    self._extra(bytes(self._text))
            case Line(kind) if self._item > 0 and kind == "0":
                self._extra(None)
            case _:
                raise ProtocolError("not a reply of a cache node")

    def _extra(self, text: bytes | None) -> None:
        self.extras.append(text)
        self._item += 1
        self.complete = len(self.extras) == 2


def parse_report(text: bytes | None) -> dict[str, float] | None:
    """A load report; one that makes no sense is none, for the value is what counts."""
    if not text:
        return None
    try:
        pairs = [item.split("=") for item in text.decode().split(",")]
        report = {name: float(figure) for name, figure in pairs}
    except ValueError:
        return None
    # One figure that is not finite would spoil every mean that it enters.
    return report if all(map(math.isfinite, report.values())) else None
