"""What the fleet asks of a store, whichever it is.

Each call is told once, from the loop: with its answer, or with why there is none.  No answer means
nothing: the store may have done what was asked.  A call that was not answered in time is the
store's to end; answers never come out of order for one caller, since the keeper has one at a time
of each kind under way.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from .election import Acquire
from .lease import IncarnationId, Lease
from .log import Result, Steps

T = TypeVar("T")
Callback = Callable[[T | None, str], None]  # the answer, or why there is none


@dataclass(frozen=True, slots=True)
class StoreView:
    """What stands in the store.

    `members`: incarnations that may be ready for works, ours among them; None where it keeps none.
    """

    leases: Mapping[str, Lease]
    members: frozenset[IncarnationId] | None = None
    dead: frozenset[str] = frozenset()  # nonces whose processes have ended for certain
    unreadable: Mapping[str, str] = field(default_factory=dict)  # works, and why


@dataclass(frozen=True, slots=True)
class Answer:
    """`accepted`: as it was asked.  `lease`: what stands there now."""

    accepted: bool
    lease: Lease | None


class Store(Protocol):
    expires_leases: bool  # it ends the lease of a silent owner by itself

    def poll(self, told: Callback[StoreView]) -> None: ...

    def acquire(self, ask: Acquire, told: Callback[Answer]) -> None: ...

    def renew(self, terms: Sequence[tuple[str, int]], told: Callback[Mapping[str, Answer]]) -> None:
        """Works and fences, all in one."""

    def release(self, work: str, fence: int, told: Callback[Answer]) -> None: ...

    def run(self, steps: Steps, told: Callback[Result]) -> None:
        """Steps of a log, until their end."""

    def close(self) -> None:
        """Nothing is told any more; this incarnation's marks are taken away as far as that goes."""
