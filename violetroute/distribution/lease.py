"""The lease of the leader: the work `distribution` of the fleet's runner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from violetroute.fleet.runner import Term

WORK = "distribution"


class Leading(Protocol):
    """The control process."""

    def lead(self, fence: int) -> None:
        """A term begins."""

    def step_down(self) -> None:
        """It is over; also told where none had begun."""


class LeaderWork:
    """Tells the control process when it leads, and the lease's runner what became of the term.

    What the process says of its term is told from the loop: the runner may be in the middle of
    beginning the term when the machine finds that it is fenced.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, leading: Leading) -> None:
        self._loop, self._leading = loop, leading
        self._term: Term | None = None

    # --- from the lease's runner ---
    def begin(self, term: Term) -> None:
        """The lease is ours."""
        self._term = term
        self._leading.lead(term.fence)

    def end(self, ended: Callable[[], None]) -> None:
        """It is not any more.  Nothing has to be waited for: followers compare the fence."""
        self._term = None
        self._leading.step_down()
        ended()

    def close(self) -> None:
        """The process ends."""
        self._term = None

    # --- from the control process ---
    def fenced(self, fence: int) -> None:
        """A leader with this higher fence exists."""
        if self._term is not None:
            self._loop.call_soon(self._term.fenced, fence)

    def hand_on(self) -> None:
        """Another machine may be able to lead."""
        if self._term is not None:
            self._loop.call_soon(self._term.transfer)
