"""Callbacks by which optional subsystems, such as the ledger, receive events of the proxy.

A subsystem appends its callbacks at start-up.  The proxy calls them and uses no result, except
that of `admission_check`.  A disabled subsystem costs one test of an empty list for each event.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from snowstall import Member, Result


@dataclass(slots=True)
class EventHooks:
    """A list of callbacks for each event, and one optional admission check."""

    # A client received its value: tenant, class, the request's id.
    on_served: list[Callable[[str, str, bytes], None]] = field(default_factory=list)
    # A request was opened: tenant, hash of the key.
    on_accepted: list[Callable[[str, int], None]] = field(default_factory=list)
    # An attempt ended: its node's id, its result.
    on_attempt_ended: list[Callable[[int, Result], None]] = field(default_factory=list)
    # The balancer received members: a whole list, a slice of one, or its changes.
    on_list_change: list[Callable[[Sequence[Member]], None]] = field(default_factory=list)
    # The cached object of this key is invalid and has to be fetched again.
    on_purge: list[Callable[[str], None]] = field(default_factory=list)
    # All cached objects are invalid, since the affected keys are unknown: the reason as text.
    on_purge_all: list[Callable[[str], None]] = field(default_factory=list)
    # Checks the budgets of a tenant and class: None if admitted, else the backoff in ms.
    admission_check: Callable[[str, str], float | None] | None = None
