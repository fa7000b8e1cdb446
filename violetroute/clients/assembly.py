"""The command at hand, put together from the tokens of its connection."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from violetroute import resp

from .budget import SMALL, Budget

ARGUMENTS = 16  # of a command; the protocol's have five at most


class Assembly:
    """One command at a time.  What it holds of the budget is its own until `hand_over`.

    It does not know its connection, which is given with each call: a cycle would keep both, and
    those that an accept makes for nobody, until the collector's turn.
    """

    __slots__ = ("_args", "_body", "_budget", "_charge", "awaited", "missing")

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self.missing = 0  # arguments that it still lacks; 0 between commands
        self._args: list[bytes | bytearray] = []
        self._body: bytearray | None = None
        self._charge = 0  # bytes, in the budget
        self.awaited = 0  # bytes that it waits for in the budget

    @property
    def holds(self) -> bool:
        return self._charge > 0

    def take(
        self, token: resp.Token, who: Hashable, granted: Callable[[], None]
    ) -> list[bytes | bytearray] | None:
        """The arguments once they are all there.  ProtocolError: it is no command.

        `granted` is told when the budget has room for what is awaited, and calls `grant`.
        """
        match token:
            case resp.Array(length):
                if self.missing or not 0 < length <= ARGUMENTS:
                    raise resp.ProtocolError("not a command")
                self.missing = length
            case resp.Bulk(length) if self.missing:
                self._body = bytearray()
                if length > SMALL:
                    if self._budget.reserve(who, length, granted):
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

    def grant(self) -> None:
        self._charge += self.awaited
        self.awaited = 0

    def hand_over(self) -> int:
        """Bytes of the budget that the command held and another owner holds from now on."""
        charge, self._charge = self._charge, 0
        return charge

    def drop(self, who: Hashable) -> None:
        """Its connection has ended."""
        self._budget.forget(who)
        self._budget.release(self.hand_over())
        self._body = None
