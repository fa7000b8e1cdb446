"""One try of one request at one node, and who is told how it ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from snowstall import Result
from violetroute import resp
from violetroute.cluster import Redirect

if TYPE_CHECKING:
    from .connection import NodeConnection


class Attempt:
    """One try of one request at one node, from the module's Send to its one outcome."""

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
        self.sent_at, self.wait_until = sent_at, wait_until  # ms on the module's clock
        self.connection: NodeConnection | None = None
        self.ended = False
        self.asking = asking  # follows an ASK redirection
        self.deliver_by = deliver_by  # ms on the same clock; its node has it then, or never; 0: any


class AttemptOwner(Protocol):
    """What the pool knows of the proxy."""

    def clock(self) -> float: ...
    def may_send(self, attempt: Attempt) -> bool:
        """Whether it may still begin.  Asked right before its first byte, and nowhere else.

        Between the module's Send and that byte lie a wait for a connection, or a turn of the loop
        that came late: its client may have left, its time or its window be over, another attempt
        have answered.
        """

    def attempt_ended(
        self,
        attempt: Attempt,
        result: Result,
        value: bytes | bytearray | None = None,
        hit: bool | None = None,
        report: dict[str, float] | None = None,
        redirect: Redirect | None = None,
    ) -> None: ...
