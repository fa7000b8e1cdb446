"""The reply of a cache node: a value, its outcome and a load report; or an error line."""

from __future__ import annotations

import math

from .framing import Array, Bulk, Line, Piece, ProtocolError, Token

MAX_EXTRA_BYTES = 4 * 1024  # longest outcome or load report


class Reply:
    """Assembles one reply from tokens."""

    __slots__ = ("_item", "_text", "complete", "extras", "line", "value")

    def __init__(self) -> None:
        self._item = -1  # index of the array item being read; -1 before the array
        self._text = bytearray()
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

    @property
    def has_value(self) -> bool:
        """Whether the value is complete; the outcome and the load report follow it."""
        return self._item > 0

    def take(self, token: Token) -> None:
        """Add a token.  ProtocolError if the tokens are not a reply."""
        match token:
            case Line(kind) if self._item < 0 and kind == "-":
                self.line, self.complete = token, True
            case Array(3) if self._item < 0:
                self._item = 0
            case Bulk() if self._item == 0:
                pass  # the decoder bounds its length
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
            case _:
                raise ProtocolError("not a reply of a cache node")

    def _add_extra(self, text: bytes | None) -> None:
        self.extras.append(text)
        self._item += 1
        self.complete = len(self.extras) == 2


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
