"""The command at hand, put together from the tokens of its connection."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from violetroute import resp

from .budget import SMALL, Budget

ARGUMENTS = 16  # of a command; the protocol's have five at most


def _nobody() -> None:
    """Granted to a connection that has ended."""


class Assembly:
    """One command at a time.  What it holds of the budget is its own until `hand_over`."""

    __slots__ = ("_args", "_body", "_budget", "_charge", "_granted", "_who", "awaited", "missing")

    def __init__(self, who: Hashable, budget: Budget, granted: Callable[[], None]) -> None:
        self._who, self._budget, self._granted = who, budget, granted
        self.missing = 0  # arguments that it still lacks; 0 between commands
        self._args: list[bytes | bytearray] = []
        self._body: bytearray | None = None
        self._charge = 0  # bytes, in the budget
        self.awaited = 0  # bytes that it waits for in the budget

    @property
    def holds(self) -> bool:
        return self._charge > 0

    def take(self, token: resp.Token) -> list[bytes | bytearray] | None:
        """The arguments once they are all there.  ProtocolError: it is no command."""
        match token:
            case resp.Array(length):
                if self.missing or not 0 < length <= ARGUMENTS:
                    raise resp.ProtocolError("not a command")
                self.missing = length
            case resp.Bulk(length) if self.missing:
                self._body = bytearray()
                if length > SMALL:
                    if self._budget.reserve(self._who, length, self._grant):
                        self._charge += length
                    else:
                        self.awaited = length
            case resp.Piece(data, last) if self._body is not None:
                if last and not self._body:
                    self._args.append(data)
                else:
                    self._body += data
                    if last:
                        self._args.append(self._body)
                if last:
                    self._body = None
                    self.missing -= 1
                    if not self.missing:
                        args, self._args = self._args, []
                        return args
            case _:
                raise resp.ProtocolError("commands are arrays of bulk strings")
        return None

    def _grant(self) -> None:
        self._charge += self.awaited
        self.awaited = 0
        self._granted()

    def hand_over(self) -> int:
        """Bytes of the budget that the command held and another owner holds from now on."""
        charge, self._charge = self._charge, 0
        return charge

    def drop(self) -> None:
        """Its connection has ended.  No cycle: that is free without the collector's help."""
        self._budget.forget(self._who)
        self._budget.release(self.hand_over())
        self._body, self._who, self._granted = None, None, _nobody
