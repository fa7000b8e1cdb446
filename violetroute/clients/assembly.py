"""Assembles commands from the RESP tokens of a connection."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from violetroute import resp

from .budget import UNBUDGETED_ARGUMENT, Budget

MAX_ARGUMENTS = 16  # arguments of a command; the longest known command has five


class CommandAssembler:
    """Assembles one command at a time; owns its budget bytes until `transfer_charge`.

    The connection is an argument of each call instead of an attribute: a reference cycle would keep
    both objects until a garbage collection, and likewise each connection object that is created for
    an accept without a client.
    """

    __slots__ = ("_args", "_body", "_budget", "_charge", "awaited_bytes", "missing_arguments")

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self.missing_arguments = 0  # arguments missing from the current command; 0 between commands
        self._args: list[bytes | bytearray] = []
        self._body: bytearray | None = None
        self._charge = 0  # bytes of the budget that the command holds
        self.awaited_bytes = 0  # bytes of the budget that it waits for

    @property
    def charged(self) -> bool:
        """Whether the current command holds bytes of the budget."""
        return self._charge > 0

    def take(
        self, token: resp.Token, owner: Hashable, granted: Callable[[], None]
    ) -> list[bytes | bytearray] | None:
        """Add a token; returns the arguments once they are complete.

        `granted` is called when the budget has room for `awaited_bytes`; it has to call `grant`.
        Raises ProtocolError if the tokens are not a command.
        """
        match token:
            case resp.Array(length):
                if self.missing_arguments or not 0 < length <= MAX_ARGUMENTS:
                    raise resp.ProtocolError("not a command")
                self.missing_arguments = length
            case resp.Bulk(length) if self.missing_arguments:
                self._body = bytearray()
                if length > UNBUDGETED_ARGUMENT:
                    if self._budget.reserve(owner, length, granted):
                        self._charge += length
                    else:
                        self.awaited_bytes = length
            case resp.Piece(data, last) if self._body is not None:
                if last and not self._body:
                    self._args.append(data)
                else:
                    self._body += data
                    if last:
                        self._args.append(self._body)
                if last:
                    self._body = None
                    self.missing_arguments -= 1
                    if not self.missing_arguments:
                        args, self._args = self._args, []
                        return args
            case _:
                raise resp.ProtocolError("commands are arrays of bulk strings")
        return None

    def grant(self) -> None:
        """Take over the bytes that the budget has reserved for this command."""
        self._charge += self.awaited_bytes
        self.awaited_bytes = 0

    def transfer_charge(self) -> int:
        """Return the budget bytes of the command; the caller owns them from now on."""
        charge, self._charge = self._charge, 0
        return charge

    def drop(self, owner: Hashable) -> None:
        """Discard the command and release its budget; its connection has ended."""
        self._budget.cancel_wait(owner)
        self._budget.release(self.transfer_charge())
        self._body = None
