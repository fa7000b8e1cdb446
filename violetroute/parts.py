"""Who is told of what: lists of bound methods, empty where nobody listens.

A part (the ledger, and those to come) takes the events that it needs; the proxy tells and does not
ask. What is off costs one look at an empty list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Parts:
    """One list an event."""

    # A client was given its served answer: tenant, class, the request's id.
    served: list[Callable[[str, str, bytes], None]] = field(default_factory=list)
