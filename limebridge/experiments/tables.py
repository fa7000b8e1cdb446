"""What the rows of an experiment say, by point: means, comparisons, fronts.  Pure."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from .plan import BUILD, MEASURES, SCENARIO
from .statistics import CANNOT, Difference, holm, paired
from .store import Run

Value = float | None


@dataclass
class Cell:
    """All runs of one point and commit."""

    point: dict[str, Any]
    commit: str
    values: dict[str, dict[int, Value]] = field(default_factory=dict)  # by measure and seed
    failed: int = 0

    def mean(self, measure: str) -> Value:
        """None where a run has no figure, as `back` of one that never is."""
        found = list(self.values.get(measure, {}).values())
        there = [value for value in found if value is not None]
        return sum(there) / len(there) if there and len(there) == len(found) else None

    def known(self, measure: str) -> dict[int, float]:
        return {s: v for s, v in self.values.get(measure, {}).items() if v is not None}

    @property
    def seeds(self) -> int:
        return max(map(len, self.values.values()), default=0)

    @property
    def label(self) -> str:
        """Short, for a table or a chart."""
        words = [
            f"{name.rpartition('.')[2]}={value}" if name != SCENARIO else str(value)
            for name, value in self.point.items()
            if name != BUILD
        ]
        if BUILD in self.point:
            words.append(f"build={self.commit[:8]}")
        return " ".join(words) or "as it is"


def cells(runs: Iterable[Run], names: Sequence[str] = ()) -> list[Cell]:
    """By point and commit, points in the order of their names."""
    made: dict[tuple[str, str], Cell] = {}
    for run in runs:
        cell = made.get((run.point, run.commit))
        if cell is None:
            cell = made[run.point, run.commit] = Cell(json.loads(run.point), run.commit)
        if run.state != "done":
            cell.failed += 1
            continue
        for name in names or MEASURES:
            if name in run.measures:  # a store may hold runs of before a measure was known
                cell.values.setdefault(name, {})[run.seed] = run.measures[name]
    return list(made.values())


def newest(found: list[Cell], runs: Iterable[Run]) -> list[Cell]:
    """One cell a point: of several edits of the same checkout, the one played last."""
    last: dict[str, tuple[float, str]] = {}
    for run in runs:
        if run.at >= last.get(run.point, (0.0, ""))[0]:
            last[run.point] = run.at, run.commit
    return [
        cell
        for cell in found
        if last[json.dumps(cell.point, sort_keys=True, separators=(",", ":"))][1] == cell.commit
    ]


@dataclass(frozen=True)
class Compared:
    before: Cell
    after: Cell
    measure: str
    difference: Difference
    verdict: str  # together with all others of the table


def compare(baseline: Cell, others: Sequence[Cell], measures: Sequence[str]) -> list[Compared]:
    """Each against one, all measures; a verdict only where all of them hold together (Holm)."""
    return compare_pairs([(baseline, cell) for cell in others], measures)


def by_build(found: Sequence[Cell]) -> list[tuple[Cell, Cell]]:
    """Each point of a later build with the same point of the first one."""

    def rest(cell: Cell) -> str:
        return str(sorted((k, str(v)) for k, v in cell.point.items() if k != BUILD))

    first = {rest(c): c for c in found if c.point.get(BUILD) == found[0].point.get(BUILD)}
    return [(first[rest(c)], c) for c in found if rest(c) in first and first[rest(c)] is not c]


def compare_pairs(pairs: Sequence[tuple[Cell, Cell]], measures: Sequence[str]) -> list[Compared]:
    """Each pair on all measures, as `compare`."""
    rows = [
        (
            before,
            cell,
            measure,
            paired(before.known(measure), cell.known(measure), MEASURES[measure][0]),
        )
        for before, cell in pairs
        for measure in measures
    ]
    holds = holm([difference.p for *_, difference in rows])
    return [
        Compared(
            before,
            cell,
            measure,
            difference,
            difference.verdict if hold or difference.p == 1.0 else CANNOT,
        )
        for (before, cell, measure, difference), hold in zip(rows, holds, strict=True)
    ]


def front(found: Sequence[Cell], one: str, two: str) -> list[Cell]:
    """Those that no other beats in both measures, by the first."""

    def worth(cell: Cell, measure: str) -> float:
        value = cell.mean(measure)
        assert value is not None
        return value if MEASURES[measure][0] else -value

    there = [c for c in found if c.mean(one) is not None and c.mean(two) is not None]
    kept = [
        c
        for c in there
        if not any(
            worth(o, one) >= worth(c, one)
            and worth(o, two) >= worth(c, two)
            and (worth(o, one) > worth(c, one) or worth(o, two) > worth(c, two))
            for o in there
        )
    ]
    return sorted(kept, key=lambda c: worth(c, one))


def knee(xs: Sequence[float], ys: Sequence[float]) -> int | None:
    """Where a curve bends most: the point farthest from the line between its ends (Kneedle)."""
    if len(xs) < 3 or xs[-1] == xs[0]:
        return None
    height = max(ys) - min(ys)
    if height == 0.0:
        return None
    far, place = 0.05, None  # of the height: less is no knee
    for n in range(1, len(xs) - 1):
        part = (xs[n] - xs[0]) / (xs[-1] - xs[0])
        off = abs(ys[n] - (ys[0] + part * (ys[-1] - ys[0]))) / height
        if off > far:
            far, place = off, n
    return place


def grid(
    found: Sequence[Cell], one: str, two: str, measure: str
) -> Mapping[tuple[Any, Any], float]:
    """The mean by two factors' levels, over the others."""
    sums: dict[tuple[Any, Any], list[float]] = defaultdict(list)
    for cell in found:
        value = cell.mean(measure)
        if value is not None and one in cell.point and two in cell.point:
            sums[cell.point[one], cell.point[two]].append(value)
    return {place: sum(v) / len(v) for place, v in sums.items()}
