"""Connects the leader lease to the control process: the work `distribution` of the fleet runner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from violetroute.fleet.runner import Term

WORK = "distribution"


class LeaseHolder(Protocol):
    """The control process, as a lease holder."""

    def lead(self, fence: int) -> None:
        """Starts a term with this fencing token."""

    def step_down(self) -> None:
        """Ends the term; also called when no term is active."""


class LeaderWork:
    """Forwards lease changes to the control process, and its results to the lease runner.

    Calls to the runner are deferred with `call_soon`: the machine may find that it is fenced while
    the runner is still starting the term.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, holder: LeaseHolder) -> None:
        self._loop, self._holder = loop, holder
        self._term: Term | None = None

    # --- called by the lease runner ---
    def begin(self, term: Term) -> None:
        """Handles the acquired lease: starts the term."""
        self._term = term
        self._holder.lead(term.fence)

    def end(self, ended: Callable[[], None]) -> None:
        """Handles the end of the lease.  No wait is needed, since followers compare fences."""
        self._term = None
        self._holder.step_down()
        ended()

    def close(self) -> None:
        """Drops the term at the end of the process."""
        self._term = None

    # --- called by the control process ---
    def fenced(self, fence: int) -> None:
        """Reports to the runner that a leader with this higher fence exists."""
        if self._term is not None:
            self._loop.call_soon(self._term.fenced, fence)

    def release_lease(self) -> None:
        """Releases the lease, since another machine may be able to lead."""
        if self._term is not None:
            self._loop.call_soon(self._term.transfer)
