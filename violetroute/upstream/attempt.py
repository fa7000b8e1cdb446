"""Attempts to serve a request at a cache node, and the interface that receives their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from snowstall import Result
from violetroute import resp
from violetroute.cluster import Redirect

if TYPE_CHECKING:
    from .connection import NodeConnection


class Attempt:
    """One attempt of a request at one node, from the balancer's Send to its single outcome."""

    __slots__ = (
        "asking",
        "cache_id",
        "command",
        "connection",
        "deliver_by",
        "ended",
        "number",
        "request_id",
        "sent_at",
        "wait_until",
    )

    def __init__(
        self,
        request_id: int,
        number: int,
        cache_id: int,
        command: resp.Command,
        sent_at: float,
        wait_until: float,
        asking: bool = False,
        deliver_by: float = 0.0,
    ) -> None:
        self.request_id, self.number, self.cache_id = request_id, number, cache_id
        self.command = command
        self.sent_at, self.wait_until = sent_at, wait_until  # Unix ms, the balancer's clock
        self.connection: NodeConnection | None = None
        self.ended = False
        self.asking = asking  # follows an ASK redirection
        # The node must have the command by this time (Unix ms) or never get it; 0: no bound.
        self.deliver_by = deliver_by


class AttemptOwner(Protocol):
    """The part of the proxy that the pool uses: a check before sending, and attempts' outcomes."""

    def clock(self) -> float:
        """Unix milliseconds; never steps back."""
        ...

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt may still be sent.  Called only right before its first byte is sent.

        After the balancer's Send, the attempt may have waited for a connection or for a late loop
        iteration.  Meanwhile its client may have disconnected, its time or its delivery window may
        have expired, or another attempt may have answered.
        """

    def attempt_ended(
        self,
        attempt: Attempt,
        result: Result,
        value: bytes | bytearray | None = None,
        hit: bool | None = None,
        report: dict[str, float] | None = None,
        redirect: Redirect | None = None,
    ) -> None:
        """Take the attempt's outcome, with the value, cache hit, load report or redirect."""
        ...
