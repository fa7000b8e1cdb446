"""The interface of the stores that keep leases and logs.

Every call invokes its callback once, on the event loop, with the response or with the reason of the
failure.  After a failure the store may have applied the call all the same.  The store enforces the
timeout of a call.  Responses do not arrive out of order, since the caller has at most one call of
each kind pending.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from .election import Acquire
from .lease import IncarnationId, Lease
from .log import Result, Steps

T = TypeVar("T")
Callback = Callable[[T | None, str], None]  # the response or None, and the reason if it failed


@dataclass(frozen=True, slots=True)
class StoreView:
    """The contents of the store at one time.

    `members`: running incarnations, this one included; None if the store does not list them.
    """

    leases: Mapping[str, Lease]
    members: frozenset[IncarnationId] | None = None
    dead: frozenset[str] = frozenset()  # nonces of processes that have certainly ended
    unreadable: Mapping[str, str] = field(default_factory=dict)  # the reason, by work


@dataclass(frozen=True, slots=True)
class Answer:
    """`accepted`: the store applied the change.  `lease`: the current record, if it was read."""

    accepted: bool
    lease: Lease | None


class Store(Protocol):
    """One incarnation's connection to a store."""

    expires_leases: bool  # the store itself expires leases that are not renewed

    def poll(self, callback: Callback[StoreView]) -> None:
        """Read all leases."""
        ...

    def acquire(self, request: Acquire, callback: Callback[Answer]) -> None:
        """Acquire a lease by compare-and-set."""
        ...

    def renew(
        self, terms: Sequence[tuple[str, int]], callback: Callback[Mapping[str, Answer]]
    ) -> None:
        """Renew all leases of `terms` (work, fence) in one call."""

    def release(self, work: str, fence: int, callback: Callback[Answer]) -> None:
        """Release a lease held with `fence`."""
        ...

    def run(self, steps: Steps, callback: Callback[Result]) -> None:
        """Run all steps of a log operation."""

    def close(self) -> None:
        """Call no more callbacks; remove this incarnation's entries from the store if possible."""
