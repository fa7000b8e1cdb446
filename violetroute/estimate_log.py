"""Logs changes of the balancer's estimates: suspected nodes and admission limits.

The balancer has no log and no clock, so the proxy polls its estimates while requests are open.
A state that comes and goes within MIN_LOG_INTERVAL is logged once, since states that matter to an
operator last longer.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from . import logs

MAX_NAMED_NODES = 8  # nodes named in one line
MIN_LOG_INTERVAL = 3.0  # s between two lines of one kind, so that a flapping node logs few lines


class EstimateLog:
    """Remembers the last logged state; its memory is bounded by the number of listed nodes."""

    def __init__(self, clock: Callable[[], float], name: Callable[[int], str]) -> None:
        self._clock, self._name = clock, name
        self._suspected: frozenset[int] = frozenset()  # ids of the suspected nodes last logged
        self._limited = ""  # limited kinds of requests: "", kept, fetched or both
        self._logged_at: dict[str, float] = {}  # time of the last line of each kind

    def update(self, suspected: Collection[int], kept: float, fetched: float) -> None:
        """Log what has changed.  `suspected`: ids of nodes that get only a few requests.

        `kept`, `fetched`: admission limits in requests a second, infinity for none, of requests
        whose key a node likely has and of those that go on to the database.
        """
        if suspected or self._suspected:
            self._update_nodes(frozenset(suspected))
        limited = _limited_kinds(kept < math.inf, fetched < math.inf)
        if limited != self._limited and self._may_log("admission"):
            self._limited = limited
            if limited:
                logs.event("admission.limited", of=limited, a_second=round(min(kept, fetched), 1))
            else:
                logs.event("admission.open")

    def _update_nodes(self, suspected: frozenset[int]) -> None:
        if (suspected - self._suspected or not suspected) and self._may_log("nodes"):
            self._suspected = suspected
            if suspected:
                names = sorted(map(self._name, suspected))
                logs.event(
                    "nodes.doubted", count=len(suspected), nodes=" ".join(names[:MAX_NAMED_NODES])
                )
            else:
                logs.event("nodes.trusted")

    def _may_log(self, kind: str) -> bool:
        now = self._clock()
        if now - self._logged_at.get(kind, -math.inf) < MIN_LOG_INTERVAL:
            return False
        self._logged_at[kind] = now
        return True


def _limited_kinds(kept: bool, fetched: bool) -> str:
    return ("both" if fetched else "kept") if kept else "fetched" if fetched else ""
