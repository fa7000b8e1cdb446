"""What proxies exported against what nodes served.  Pure.

Both sides are units by proxy, period, tenant and class.  Where a node wrote down a request just
before a period's end and the proxy gave its answer just after, the two sides differ by a unit in
each of two neighbouring periods, which is nobody's fault: such pairs are settled first, and told
apart.  What is left is a proxy that is short (nodes served more than it billed: a kill, a power
cut, a gap) or long (it billed more: its nodes' record is incomplete, or a fault of ours).
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
    """What proxies exported."""

    units: Counter[Line] = field(default_factory=Counter)
    batches: dict[str, str] = field(default_factory=dict)  # key: its first line
    twice: int = 0  # files with a batch that another file had: counted once
    wrong: list[str] = field(default_factory=list)  # what could not be read, or does not add up

    def add(self, text: str, source: str) -> None:
        """One batch's JSON lines, or several after one another."""
        batch: dict[str, object] | None = None
        told = 0
        for number, row in enumerate(text.splitlines(), 1):
            try:
                value = json.loads(row)
                if "batch" in value:
                    self._check(batch, told, source)
                    batch, told = value, 0
                    key = str(value["batch"])
                    if key in self.batches:
                        self.twice += 1
                        if self.batches[key] != row:
                            self.wrong.append(f"{source}: {key} differs from another file's")
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
                told += units
                self.units[
                    proxy, int(str(batch["period"])), value["tenant"], str(value["class"])
                ] += units
            except (ValueError, KeyError, TypeError) as error:
                self.wrong.append(f"{source}:{number}: {error}")
        self._check(batch, told, source)

    def _check(self, batch: Mapping[str, object] | None, told: int, source: str) -> None:
        if batch is not None and "again" not in batch and batch.get("units") != told:
            self.wrong.append(
                f"{source}: {batch.get('batch')} says {batch.get('units')} units and has {told}"
            )


def read_served(
    rows: Iterable[str], periods: Periods, source: str
) -> tuple[Counter[Line], list[str]]:
    """Nodes' records: {"proxy", "tenant", "class", and "at" (Unix s) or "period", "units" or 1}.

    One request that two nodes served (a second copy) has one "id", and counts once.
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
    """`units` above 0: the proxy is short of them; below: it has too many."""

    proxy: str
    period: int
    tenant: str | None
    cls: str
    exported: int
    served: int

    @property
    def units(self) -> int:
        return self.served - self.exported


@dataclass
class Found:
    """What reconciling has found."""

    differences: list[Difference]
    moved: int  # units that stand in the neighbouring period, which settles them

    @property
    def short(self) -> int:
        return sum(d.units for d in self.differences if d.units > 0)

    @property
    def long(self) -> int:
        return -sum(d.units for d in self.differences if d.units < 0)


def reconcile(exported: Mapping[Line, int], served: Mapping[Line, int], periods: Periods) -> Found:
    """By proxy, period, tenant and class."""
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
                settled = min(abs(here), abs(there)) * (1 if here > 0 else -1)
                of[period] -= settled
                of[after] += settled
                moved += abs(settled)
        for period, units in of.items():
            if units:
                line = proxy, period, tenant, cls
                found.append(
                    Difference(*line, exported.get(line, 0), exported.get(line, 0) + units)
                )
    found.sort(key=lambda d: (d.proxy, d.period, d.tenant is None, d.tenant or "", d.cls))
    return Found(found, moved)


def corrections(found: Found, proxy: str, by: str) -> bytes:
    """The file that an operator signs for one proxy."""
    return json.dumps(
        {
            "by": by,
            "lines": [
                [d.period, d.tenant, d.cls, d.units] for d in found.differences if d.proxy == proxy
            ],
        },
        ensure_ascii=False,
    ).encode()
