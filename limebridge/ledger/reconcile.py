"""Reconciles the units that proxies exported with those that nodes served.  Pure functions.

Both sides are units by proxy, period, tenant and class.  If a node records a request just before
the end of a period and the proxy sends its answer just after, the sides differ by one unit in each
of two adjacent periods.  That is not an error: such pairs cancel out and are counted separately.
A proxy with a remaining difference is short (nodes served more than it billed: a kill, a power
loss, a gap) or long (it billed more: the nodes' records are incomplete, or the proxy has a bug).
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from violetroute.ledger.periods import Periods

# Proxy, start of the period (Unix s), tenant (None: others), class.
Line = tuple[str, int, str | None, str]


@dataclass
class Exported:
    """Units and batches that proxies exported, read from their files."""

    units: Counter[Line] = field(default_factory=Counter)
    batches: dict[str, str] = field(default_factory=dict)  # first line of each batch, by its key
    duplicates: int = 0  # repeated batches; each batch is counted once
    problems: list[str] = field(default_factory=list)  # malformed or inconsistent lines

    def add(self, text: str, source: str) -> None:
        """Adds the JSON lines of one or more batches; `source` is the file name for messages.

        Malformed lines and inconsistent batches are added to `problems`.
        """
        batch: dict[str, object] | None = None
        units_in_batch = 0
        for number, row in enumerate(text.splitlines(), 1):
            try:
                value = json.loads(row)
                if "batch" in value:
                    self._check(batch, units_in_batch, source)
                    batch, units_in_batch = value, 0
                    key = str(value["batch"])
                    if key in self.batches:
                        self.duplicates += 1
                        if self.batches[key] != row:
                            self.problems.append(f"{source}: {key} differs from another file's")
                        batch = {"again": True}
                    else:
                        self.batches[key] = row
                    continue
                if batch is None:
                    raise ValueError("a line before its batch")
                if "again" in batch:
                    continue
                proxy = str(batch["batch"]).partition("/")[0]
                units = int(value["units"])
                units_in_batch += units
                self.units[
                    proxy, int(str(batch["period"])), value["tenant"], str(value["class"])
                ] += units
            except (ValueError, KeyError, TypeError) as error:
                self.problems.append(f"{source}:{number}: {error}")
        self._check(batch, units_in_batch, source)

    def _check(self, batch: Mapping[str, object] | None, units_in_batch: int, source: str) -> None:
        if batch is not None and "again" not in batch and batch.get("units") != units_in_batch:
            self.problems.append(
                f"{source}: {batch.get('batch')} declares {batch.get('units')} units, "
                f"has {units_in_batch}"
            )


def read_served(
    rows: Iterable[str], periods: Periods, source: str
) -> tuple[Counter[Line], list[str]]:
    """Reads nodes' records; returns units by line, and a message for each malformed row.

    A row is a JSON object with "proxy", "tenant", "class", "at" (Unix s) or "period", and
    optionally "units" (default 1) and "id".  Rows with the same "id" count once: two nodes may
    serve copies of one request.
    """
    units_by_line: Counter[Line] = Counter()
    problems: list[str] = []
    seen: set[str] = set()
    for number, row in enumerate(rows, 1):
        if not row.strip():
            continue
        try:
            value = json.loads(row)
            id_ = value.get("id")
            if id_ is not None:
                if id_ in seen:
                    continue
                seen.add(id_)
            period = int(value["period"]) if "period" in value else periods.of(float(value["at"]))
            units_by_line[str(value["proxy"]), period, value["tenant"], str(value["class"])] += int(
                value.get("units", 1)
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            problems.append(f"{source}:{number}: {error!r}")
    return units_by_line, problems


@dataclass(frozen=True)
class Difference:
    """One line whose exported units differ from the served ones."""

    proxy: str
    period: int
    tenant: str | None
    cls: str
    exported: int
    served: int

    @property
    def units(self) -> int:
        """Positive: units missing from the exports; negative: units exported too many."""
        return self.served - self.exported


@dataclass
class Reconciliation:
    """Result of a reconciliation."""

    differences: list[Difference]
    moved: int  # units that cancel out with the adjacent period

    @property
    def short(self) -> int:
        """Units that were served and not exported."""
        return sum(d.units for d in self.differences if d.units > 0)

    @property
    def long(self) -> int:
        """Units that were exported and not served."""
        return -sum(d.units for d in self.differences if d.units < 0)


def reconcile(
    exported: Mapping[Line, int], served: Mapping[Line, int], periods: Periods
) -> Reconciliation:
    """Compares both sides; differences are sorted by proxy, period, tenant and class."""
    # Served minus exported units by proxy, tenant and class, then by period.
    remaining: dict[tuple[str, str | None, str], dict[int, int]] = defaultdict(dict)
    for line in {**exported, **served}:
        proxy, period, tenant, cls = line
        units = served.get(line, 0) - exported.get(line, 0)
        if units:
            remaining[proxy, tenant, cls][period] = units
    moved = 0
    differences: list[Difference] = []
    for (proxy, tenant, cls), by_period in remaining.items():
        for period in sorted(by_period):
            next_period = periods.end(period)
            units_here, units_next = by_period[period], by_period.get(next_period, 0)
            if units_here * units_next < 0:
                cancelled = min(abs(units_here), abs(units_next)) * (1 if units_here > 0 else -1)
                by_period[period] -= cancelled
                by_period[next_period] += cancelled
                moved += abs(cancelled)
        for period, units in by_period.items():
            if units:
                line = proxy, period, tenant, cls
                differences.append(
                    Difference(*line, exported.get(line, 0), exported.get(line, 0) + units)
                )
    differences.sort(key=lambda d: (d.proxy, d.period, d.tenant is None, d.tenant or "", d.cls))
    return Reconciliation(differences, moved)


def corrections(reconciliation: Reconciliation, proxy: str, by: str) -> bytes:
    """Returns the contents of the corrections file that operator `by` signs for one proxy."""
    return json.dumps(
        {
            "by": by,
            "lines": [
                [d.period, d.tenant, d.cls, d.units]
                for d in reconciliation.differences
                if d.proxy == proxy
            ],
        },
        ensure_ascii=False,
    ).encode()
