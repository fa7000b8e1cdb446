"""Bills the usage of all proxies, one bill per period.  Pure.

The ledger of each proxy exports batches as files (`violetroute/ledger/export.py`) and reports the
time up to which it is closed (`NAME.through`).  The owner of the work `settlement` combines them
into one bill per period, in entries of the fenced log.  An entry names the batches that it settles.
The log alone defines which batches are settled, so no batch is in two entries, whenever the owner
changes.

A period is billed once all expected ledgers have closed it, or `wait_s` after its end; the bill
names the ledgers that are missing.  A batch that arrives after the bill becomes a correction of its
period at once.  The units of all batches are added up by tenant and class.  The lines of a bill
contain no proxy's name, but the bill lists the key of each batch.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

# Limits of one entry; a period with more has several entries.  A single batch may exceed the limits
# for lines and bytes.
MAX_BATCHES_PER_ENTRY = 1000
MAX_LINES_PER_ENTRY = 5000
MAX_BYTES_PER_ENTRY = 256 * 1024  # bytes of the batches' files; Consul allows 512 KiB a value


@dataclass(frozen=True, slots=True)
class Batch:
    """A batch of usage that a ledger has exported."""

    key: str  # LEDGER/INCARNATION.NONCE/SEQ
    period: int
    kind: str
    lines: tuple[tuple[str | None, str, int], ...]  # tenant, class, units
    size: int = 0  # bytes of its file

    @property
    def ledger(self) -> str:
        """The name of the ledger, from the key."""
        return self.key.partition("/")[0]


@dataclass(frozen=True, slots=True)
class ClosedThrough:
    """A ledger has closed and exported all periods that end by `until` (Unix s)."""

    ledger: str
    until: float


class SettledKeys:
    """The keys of settled batches, stored as ranges, since a ledger numbers them consecutively."""

    def __init__(self) -> None:
        self._ranges_by_prefix: dict[str, list[list[int]]] = {}  # sorted [first, last]

    def __contains__(self, key: str) -> bool:
        prefix, number = _split_key(key)
        ranges = self._ranges_by_prefix.get(prefix, [])
        index = bisect_right(ranges, [number, 2**62]) - 1
        return index >= 0 and ranges[index][0] <= number <= ranges[index][1]

    def add(self, key: str) -> None:
        """Add a key.  ValueError if it is not a batch's key."""
        if key in self:
            return
        prefix, number = _split_key(key)
        ranges = self._ranges_by_prefix.setdefault(prefix, [])
        index = bisect_right(ranges, [number, 2**62])
        ranges.insert(index, [number, number])
        if index + 1 < len(ranges) and ranges[index + 1][0] == number + 1:
            ranges[index][1] = ranges.pop(index + 1)[1]
        if index and ranges[index - 1][1] == number - 1:
            ranges[index - 1][1] = ranges.pop(index)[1]

    @property
    def range_count(self) -> int:
        """Number of ranges stored."""
        return sum(map(len, self._ranges_by_prefix.values()))


def _split_key(key: str) -> tuple[str, int]:
    """The prefix and the number.  ValueError if `key` is not a batch's key."""
    prefix, _, number = key.rpartition("/")
    if not prefix or not number.isdecimal() or len(number) > 15:
        raise ValueError(f"{key!r} is not a batch key")
    return prefix, int(number)


def is_key(key: object) -> bool:
    """Whether `key` has the form of a batch's key."""
    if not isinstance(key, str) or len(key) > 400:
        return False
    try:
        _split_key(key)
    except ValueError:
        return False
    return True


@dataclass
class Settlement:
    """Decides the next bill or correction.

    `period_end`: the end of a period in Unix s.  `wait_s`: how long a bill waits for missing
    ledgers after the end of its period.  `expect_s`: a ledger that closed nothing for so long
    before that end is not expected to.
    """

    period_end: Callable[[int], float]
    wait_s: float
    expect_s: float
    settled: SettledKeys = field(default_factory=SettledKeys)
    billed: dict[int, int] = field(default_factory=dict)  # units, by period
    batches: dict[str, Batch] = field(default_factory=dict)  # read and not settled, by key
    closed_through: dict[str, ClosedThrough] = field(default_factory=dict)  # the latest, by ledger
    now: float = 0.0  # Unix s of the last update

    # --- the log ---
    def apply(self, body: Any) -> None:
        """Process a valid entry of the log: the batches that it names are settled."""
        if not isinstance(body, dict) or not isinstance(body.get("keys"), list):
            return
        for key in body["keys"]:
            if is_key(key):
                self.settled.add(key)
                self.batches.pop(key, None)
        period, units = body.get("period"), body.get("units")
        if isinstance(period, int) and isinstance(units, int):
            self.billed[period] = self.billed.get(period, 0) + units

    # --- files ---
    def update(self, now: float, batches: Iterable[Batch], closed: Iterable[ClosedThrough]) -> None:
        """Add what was read from the folder at `now` (Unix s)."""
        self.now = now
        for batch in batches:
            if batch.key not in self.settled:
                self.batches[batch.key] = batch
        for each in closed:
            self.closed_through[each.ledger] = each

    # --- decisions ---
    def missing(self, period: int) -> list[str]:
        """The ledgers that are expected to close this period and have not."""
        end = self.period_end(period)
        return sorted(
            each.ledger
            for each in self.closed_through.values()
            if end - self.expect_s <= each.until < end
        )

    def due(self, period: int) -> bool:
        """Whether the period can be billed or corrected now."""
        if period in self.billed:
            return True
        return self.now >= self.period_end(period) + self.wait_s or (
            self.now >= self.period_end(period) and not self.missing(period)
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
                for tenant, cls in sorted(
                    units, key=lambda row: (row[0] is None, row[0] or "", row[1])
                )
            ],
        }
