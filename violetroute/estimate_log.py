"""What the module believes of nodes and load, told to the log once a change of mind.

The module has no log and no clock; the proxy looks here while requests are open.  A belief that
comes and goes within AGAIN seconds is told once: what matters to an operator lasts longer.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from . import logs

NAMED = 8  # nodes named in one line
AGAIN = 3.0  # s between two lines of one kind: a node that flaps is one line now and then


class EstimateLog:
    """Owned by the proxy; bounded by the nodes that are listed."""

    def __init__(self, clock: Callable[[], float], name: Callable[[int], str]) -> None:
        self._clock, self._name = clock, name
        self._doubted: frozenset[int] = frozenset()  # as it was told
        self._limited = ""  # what of: "", kept, fetched or both
        self._told: dict[str, float] = {}  # when something of this kind was said

    def look(self, doubted: Collection[int], kept: float, fetched: float) -> None:
        """doubted: ids of nodes that are asked by few; the others: requests a second that are let
        in, or infinity, of what a node likely has and of what goes on to the database."""
        if doubted or self._doubted:
            self._nodes(frozenset(doubted))
        limited = _of(kept < math.inf, fetched < math.inf)
        if limited != self._limited and self._may_say("admission"):
            self._limited = limited
            if limited:
                logs.event("admission.limited", of=limited, a_second=round(min(kept, fetched), 1))
            else:
                logs.event("admission.open")

    def _nodes(self, doubted: frozenset[int]) -> None:
        if (doubted - self._doubted or not doubted) and self._may_say("nodes"):
            self._doubted = doubted
            if doubted:
                names = sorted(map(self._name, doubted))
                logs.event("nodes.doubted", count=len(doubted), nodes=" ".join(names[:NAMED]))
            else:
                logs.event("nodes.trusted")

    def _may_say(self, kind: str) -> bool:
        now = self._clock()
        if now - self._told.get(kind, -math.inf) < AGAIN:
            return False
        self._told[kind] = now
        return True


def _of(kept: bool, fetched: bool) -> str:
    return ("both" if fetched else "kept") if kept else "fetched" if fetched else ""
