"""Who is told of what: lists of bound methods, empty where nobody listens.

A part (the ledger, and those to come) takes the events that it needs; the proxy tells and does not
ask. What is off costs one look at an empty list.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from snowstall import Member, Result


@dataclass(slots=True)
class EventHooks:
    """One list an event; and one question, which a part that has budgets answers."""

    # A client was given its served answer: tenant, class, the request's id.
    on_served: list[Callable[[str, str, bytes], None]] = field(default_factory=list)
    # A request was taken: tenant, the key's number.
    on_accepted: list[Callable[[str, int], None]] = field(default_factory=list)
    # An attempt ended: its node's number, and how.
    on_attempt_ended: list[Callable[[int, Result], None]] = field(default_factory=list)
    # A list came, or what of it has changed, as the module was told.
    on_list_change: list[Callable[[Sequence[Member]], None]] = field(default_factory=list)
    # This key's object is void: another one has to be asked for.
    on_purge: list[Callable[[str], None]] = field(default_factory=list)
    # All objects are void, and why: which ones have to be is not known one by one.
    on_purge_all: list[Callable[[str], None]] = field(default_factory=list)
    # Whether a request of this tenant and class is within budgets: None, or ms to stay away for.
    admission_check: Callable[[str, str], float | None] | None = None
