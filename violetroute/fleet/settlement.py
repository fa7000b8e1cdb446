"""One bill over all proxies for each period: what is due, and who is waited for.  Pure.

Each proxy's ledger hands over batches (`violetroute/ledger/export.py`, as files) and says up to
when it has closed (`NAME.through`).  The owner of the work `settlement` makes of them one bill a
period, as entries of the fenced log: an entry names the batches that it settles, so what is settled
is what the log says, and no batch is in two entries, through any change of owner in any step.

A period is billed once every proxy that is expected has closed it, or `wait_s` after its end: who
is missing then is named in the bill.  A batch that comes later, or that the ledger itself calls a
correction, becomes a correction of that period, as soon as it is there.  Units of several batches
are added by tenant and class; no proxy's name is in the lines, but each batch's key is.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

MAX_BATCHES_PER_ENTRY = 1000  # batches of one entry; more make several entries of one period
MAX_LINES_PER_ENTRY = 5000  # of one entry, but for a single batch that has more
MAX_BYTES_PER_ENTRY = 256 * 1024  # of its batches' files, likewise: Consul takes half a megabyte


@dataclass(frozen=True, slots=True)
class Batch:
    """One that a ledger has handed over."""

    key: str  # LEDGER/INCARNATION.NONCE/SEQ
    period: int
    kind: str
    lines: tuple[tuple[str | None, str, int], ...]  # tenant, class, units
    size: int = 0  # bytes of its file

    @property
    def ledger(self) -> str:
        return self.key.partition("/")[0]


@dataclass(frozen=True, slots=True)
class ClosedThrough:
    """A ledger's word: all that ends by `until` (Unix s) is closed and handed over."""

    ledger: str
    until: float


class SettledKeys:
    """Keys of batches that are settled, as ranges: a ledger's numbers rise by ones."""

    def __init__(self) -> None:
        self._of: dict[str, list[list[int]]] = {}  # ranges, first and last, in order

    def __contains__(self, key: str) -> bool:
        prefix, number = _parts(key)
        ranges = self._of.get(prefix, [])
        place = bisect_right(ranges, [number, 2**62]) - 1
        return place >= 0 and ranges[place][0] <= number <= ranges[place][1]

    def add(self, key: str) -> None:
        if key in self:
            return
        prefix, number = _parts(key)
        ranges = self._of.setdefault(prefix, [])
        place = bisect_right(ranges, [number, 2**62])
        ranges.insert(place, [number, number])
        if place + 1 < len(ranges) and ranges[place + 1][0] == number + 1:
            ranges[place][1] = ranges.pop(place + 1)[1]
        if place and ranges[place - 1][1] == number - 1:
            ranges[place - 1][1] = ranges.pop(place)[1]

    @property
    def ranges(self) -> int:
        return sum(map(len, self._of.values()))


def _parts(key: str) -> tuple[str, int]:
    """ValueError for what is no batch's key."""
    prefix, _, number = key.rpartition("/")
    if not prefix or not number.isdecimal() or len(number) > 15:
        raise ValueError(f"{key!r} is no batch's key")
    return prefix, int(number)


def is_key(key: object) -> bool:
    if not isinstance(key, str) or len(key) > 400:
        return False
    try:
        _parts(key)
    except ValueError:
        return False
    return True


@dataclass
class Settlement:
    """`end` gives a period's end (Unix s); `wait_s` and `expect_s` in s."""

    end: Callable[[int], float]
    wait_s: float
    expect_s: float
    settled: SettledKeys = field(default_factory=SettledKeys)
    billed: dict[int, int] = field(default_factory=dict)  # units, by period
    batches: dict[str, Batch] = field(default_factory=dict)  # there, and not settled
    through: dict[str, ClosedThrough] = field(default_factory=dict)  # by ledger
    now: float = 0.0  # Unix s, as it was last gathered

    # --- the log ---
    def apply(self, body: Any) -> None:
        """An entry that counts.  Settled is what it names, whoever wrote it."""
        if not isinstance(body, dict) or not isinstance(body.get("keys"), list):
            return
        for key in body["keys"]:
            if is_key(key):
                self.settled.add(key)
                self.batches.pop(key, None)
        period, units = body.get("period"), body.get("units")
        if isinstance(period, int) and isinstance(units, int):
            self.billed[period] = self.billed.get(period, 0) + units

    # --- what there is ---
    def gathered(
        self, now: float, batches: Iterable[Batch], through: Iterable[ClosedThrough]
    ) -> None:
        """What stands in the folder now; `now` is the wall's."""
        self.now = now
        for batch in batches:
            if batch.key not in self.settled:
                self.batches[batch.key] = batch
        for each in through:
            self.through[each.ledger] = each

    # --- decisions ---
    def missing(self, period: int) -> list[str]:
        """Ledgers that are expected to close this period and have not."""
        end = self.end(period)
        return sorted(
            each.ledger for each in self.through.values() if end - self.expect_s <= each.until < end
        )

    def due(self, period: int) -> bool:
        if period in self.billed:
            return True
        return self.now >= self.end(period) + self.wait_s or (
            self.now >= self.end(period) and not self.missing(period)
        )

    def decide(self) -> Any:
        """The next bill or correction, oldest period first; None when nothing is due."""
        for period in sorted({batch.period for batch in self.batches.values()}):
            if self.due(period):
                return self._bill(period)
        return None

    def _bill(self, period: int) -> dict[str, Any]:
        units: Counter[tuple[str | None, str]] = Counter()
        keys: list[str] = []
        lines = size = 0
        for key in sorted(key for key, batch in self.batches.items() if batch.period == period):
            batch = self.batches[key]
            lines, size = lines + len(batch.lines), size + batch.size
            if keys and (
                len(keys) >= MAX_BATCHES_PER_ENTRY
                or lines > MAX_LINES_PER_ENTRY
                or size > MAX_BYTES_PER_ENTRY
            ):
                break
            keys.append(key)
            for tenant, cls, count in batch.lines:
                units[tenant, cls] += count
        return {
            "kind": "correction" if period in self.billed else "bill",
            "period": period,
            "keys": keys,
            "missing": self.missing(period),
            "units": sum(units.values()),
            "lines": [
                [tenant, cls, units[tenant, cls]]
                for tenant, cls in sorted(units, key=lambda of: (of[0] is None, of[0] or "", of[1]))
            ],
        }
