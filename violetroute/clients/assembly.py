"""Assembles commands from the RESP tokens of a connection."""

from __future__ import annotations

from collections.abc import Callable

from violetroute import resp

from .budget import UNBUDGETED_COMMAND, Budget

MAX_ARGUMENTS = 16  # arguments of a command; the longest known command has five
OPTIONS_PLACE = 3  # position of the option list in the arguments of a request
MEMORY_WAIT = 0.1  # s for which a command waits for the budget before it is refused
MEMORY_WAIT_SHARE = 0.5  # share of its own wait up to which a long value may wait for the budget
MAX_MEMORY_WAIT = 1.0  # s; the upper bound of that share


class CommandAssembler:
    """Assembles one command at a time; owns its budget bytes until `transfer_charge`.

    A command can be refused while it is received: its bytes are released, and the rest of it is
    discarded.  The connection is no attribute: a reference cycle would keep both objects until a
    garbage collection, and likewise each connection object created for an accept without a client.
    """

    __slots__ = (
        "_announced",
        "_args",
        "_body",
        "_budget",
        "_charge",
        "_refused",
        "awaited_bytes",
        "missing_arguments",
        "received_at",
        "wait_until",
    )

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self.missing_arguments = 0  # arguments missing from the current command; 0 between commands
        self._args: list[bytes | bytearray] = []
        self._body: bytearray | None = None
        self._announced = 0  # bytes of the arguments whose length was received
        self._charge = 0  # bytes of the budget that the command holds
        self._refused = False  # the rest of the command is discarded
        self.awaited_bytes = 0  # bytes of the budget that it waits for
        self.wait_until = 0.0  # loop time up to which it waits for them
        self.received_at = 0.0  # loop time of the last bytes of the command

    @property
    def charged(self) -> bool:
        """Whether the current command holds bytes of the budget."""
        return self._charge > 0

    def take(
        self, token: resp.Token, granted: Callable[[], None]
    ) -> list[bytes | bytearray] | None:
        """Add a token; returns the arguments once they are complete, none for a refused command.

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
                self._announced += length
                if self._announced > UNBUDGETED_COMMAND and not self._refused:
                    self._reserve(length, granted)
            case resp.Piece(data, last) if self._body is not None:
                self._add(data, last)
                if last:
                    self._body = None
                    self.missing_arguments -= 1
                    if not self.missing_arguments:
                        return self._complete()
            case _:
                raise resp.ProtocolError("commands are arrays of bulk strings")
        return None

    def _reserve(self, size: int, granted: Callable[[], None]) -> None:
        if self._budget.reserve(self, size, granted):
            self._charge += size
        else:
            self.awaited_bytes = size
            self.wait_until = self.received_at + self._longest_wait()

    def _longest_wait(self) -> float:
        """Seconds for which the command may wait for the budget."""
        if len(self._args) <= OPTIONS_PLACE:
            return MEMORY_WAIT
        wait = resp.wait_seconds(bytes(self._args[OPTIONS_PLACE]))
        return min(max(MEMORY_WAIT, wait * MEMORY_WAIT_SHARE), MAX_MEMORY_WAIT)

    def _add(self, data: bytes, last: bool) -> None:
        assert self._body is not None
        if self._refused:
            return
        if self._charge:
            self._budget.progressed(self)
        if last and not self._body:
            self._args.append(data)
            return
        self._body += data
        if last:
            self._args.append(self._body)

    def _complete(self) -> list[bytes | bytearray]:
        """Return the arguments and start anew; the charge stays until it is transferred."""
        self._budget.forget(self)
        args, self._args = self._args, []
        self._announced, self._refused = 0, False
        return args

    def grant(self) -> None:
        """Take over the bytes that the budget has reserved for this command."""
        self._charge += self.awaited_bytes
        self.awaited_bytes = 0

    def refuse(self) -> None:
        """Release the bytes of the command, discard the rest of it, and return no arguments."""
        self._refused = True
        self._args.clear()
        if self._body is not None:
            self._body = bytearray()
        self.awaited_bytes = 0
        self._budget.forget(self)
        self._budget.release(self.transfer_charge())

    def transfer_charge(self) -> int:
        """Return the budget bytes of the command; the caller owns them from now on."""
        charge, self._charge = self._charge, 0
        return charge

    def drop(self) -> None:
        """Discard the command and release its budget; its connection has ended."""
        self.refuse()
        self._body = None
