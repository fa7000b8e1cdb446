"""Reports of members about nodes, as rows of a table whose columns are arrays.  Pure.

A number takes 8 bytes in a column, and 24 to 32 as an object; with up to 16,384 reports these are
most of the memory of node health.  Free rows are reused, so the columns are only as long as the
largest number of reports at one time.
"""

from __future__ import annotations

import math
from array import array

from .decaying_outcomes import HALF_LIFE_S, MIN_WEIGHT
from .expiry_queue import ExpiryQueue
from .row_lists import RowLists


class OutcomeTable:
    """One row per member and node.  `now`, `at` and `until`: s."""

    __slots__ = (
        "_free",
        "at",
        "bad",
        "by_member",
        "expiry",
        "good",
        "member",
        "node",
        "trouble",
        "until",
    )

    def __init__(self) -> None:
        self.node = array("q")
        self.member: list[str] = []
        self.good = array("d")  # outcomes, decayed to `at`
        self.bad = array("d")
        self.at = array("d")
        self.until = array("d")  # time (s) at which the row expires
        self.trouble = array("b")  # 1 if the member reports trouble
        self.by_member = RowLists()
        self.expiry = ExpiryQueue()
        self._free: list[int] = []

    def __len__(self) -> int:
        """Rows in use."""
        return len(self.node) - len(self._free)

    def add(self, node: int, member: str, good: float, bad: float, now: float) -> int:
        """Add a row; the caller inserts it into a list of `by_member`."""
        row = self._free.pop() if self._free else self._append()
        self.node[row], self.member[row] = node, member
        self.good[row], self.bad[row], self.at[row] = good, bad, now
        self.trouble[row] = 0
        self.until[row] = _expires_at(good + bad, now)
        self.expiry.add(row, max(now, self.until[row]))
        return row

    def remove(self, row: int) -> None:
        """Free a row that was removed from its list of `by_member`."""
        self.expiry.remove(row)
        self.member[row] = ""
        self._free.append(row)

    def decay(self, row: int, now: float) -> None:
        """Decay the outcomes of a row to now."""
        if now > self.at[row]:
            left = 0.5 ** ((now - self.at[row]) / HALF_LIFE_S)
            self.good[row] *= left
            self.bad[row] *= left
            self.at[row] = now

    def weight(self, row: int) -> float:
        """Good and bad outcomes, as last decayed."""
        return self.good[row] + self.bad[row]

    def bad_share(self, row: int) -> float:
        """Share of bad outcomes; independent of decay."""
        return self.bad[row] / max(self.good[row] + self.bad[row], 1e-9)

    def _append(self) -> int:
        row = len(self.node)
        for column in (self.node, self.good, self.bad, self.at, self.until, self.trouble):
            column.append(0)
        self.member.append("")
        self.by_member.append_row()
        self.expiry.append_row()
        return row


def _expires_at(weight: float, at: float) -> float:
    """When a weight decays to MIN_WEIGHT; minus infinity if it is below that already."""
    if weight < MIN_WEIGHT:
        return -math.inf
    return at + HALF_LIFE_S * math.log2(weight / MIN_WEIGHT)
