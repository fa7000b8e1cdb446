"""Reconciles the units that proxies exported with those that nodes served.  Pure.

Both sides are units by proxy, period, tenant and class.  When a node recorded a request just before
the end of a period and the proxy sent its answer just after, the sides differ by one unit in each
of two adjacent periods.  That is no error: such pairs are cancelled first and counted separately.
Any remaining difference means that a proxy is short (nodes served more than it billed: a kill, a
power loss, a gap) or long (it billed more: the nodes' records are incomplete, or it has a bug).
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from violetroute.ledger.periods import Periods

Line = tuple[str, int, str | None, str]  # proxy, period, tenant, class


@dataclass
class Exported:
    """Units and batches that proxies exported, read from their files."""

    units: Counter[Line] = field(default_factory=Counter)
    batches: dict[str, str] = field(default_factory=dict)  # first line of each batch, by its key
    duplicates: int = 0  # repeated batches; each batch is counted once
    problems: list[str] = field(default_factory=list)  # malformed or inconsistent lines

    def add(self, text: str, source: str) -> None:
        """Adds the JSON lines of one or more batches.  `source`: file name for messages."""
        batch: dict[str, object] | None = None
        counted = 0
        for number, row in enumerate(text.splitlines(), 1):
            try:
                value = json.loads(row)
                if "batch" in value:
                    self._check(batch, counted, source)
                    batch, counted = value, 0
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
                counted += units
                self.units[
                    proxy, int(str(batch["period"])), value["tenant"], str(value["class"])
                ] += units
            except (ValueError, KeyError, TypeError) as error:
                self.problems.append(f"{source}:{number}: {error}")
        self._check(batch, counted, source)

    def _check(self, batch: Mapping[str, object] | None, counted: int, source: str) -> None:
        if batch is not None and "again" not in batch and batch.get("units") != counted:
            self.problems.append(
                f"{source}: {batch.get('batch')} declares {batch.get('units')} units, has {counted}"
            )


def read_served(
    rows: Iterable[str], periods: Periods, source: str
) -> tuple[Counter[Line], list[str]]:
    """Reads nodes' records; returns units by line, and a message for each malformed row.

    A row is a JSON object with "proxy", "tenant", "class", "at" (Unix s) or "period", and
    optionally "units" (default 1) and "id".  Rows with the same "id" count once: two nodes may
    serve copies of one request.
    """
    found: Counter[Line] = Counter()
    wrong: list[str] = []
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
            found[str(value["proxy"]), period, value["tenant"], str(value["class"])] += int(
                value.get("units", 1)
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            wrong.append(f"{source}:{number}: {error!r}")
    return found, wrong


@dataclass(frozen=True)
class Difference:
    """Units of one line that were exported and served."""

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
    left: dict[tuple[str, str | None, str], dict[int, int]] = defaultdict(dict)
    for line in {**exported, **served}:
        proxy, period, tenant, cls = line
        units = served.get(line, 0) - exported.get(line, 0)
        if units:
            left[proxy, tenant, cls][period] = units
    moved = 0
    found: list[Difference] = []
    for (proxy, tenant, cls), of in left.items():
        for period in sorted(of):
            after = periods.end(period)
            here, there = of[period], of.get(after, 0)
            if here * there < 0:
                cancelled = min(abs(here), abs(there)) * (1 if here > 0 else -1)
                of[period] -= cancelled
                of[after] += cancelled
                moved += abs(cancelled)
        for period, units in of.items():
            if units:
                line = proxy, period, tenant, cls
                found.append(
                    Difference(*line, exported.get(line, 0), exported.get(line, 0) + units)
                )
    found.sort(key=lambda d: (d.proxy, d.period, d.tenant is None, d.tenant or "", d.cls))
    return Reconciliation(found, moved)


def corrections(found: Reconciliation, proxy: str, by: str) -> bytes:
    """Contents of the corrections file that an operator signs for one proxy."""
    return json.dumps(
        {
            "by": by,
            "lines": [
                [d.period, d.tenant, d.cls, d.units] for d in found.differences if d.proxy == proxy
            ],
        },
        ensure_ascii=False,
    ).encode()
