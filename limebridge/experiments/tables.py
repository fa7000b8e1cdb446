"""Evaluates the runs of an experiment by point: means, comparisons, Pareto fronts.  Pure."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from .plan import BUILD, MEASURES, SCENARIO
from .statistics import CANNOT, Difference, holm, paired_difference
from .store import Run

Value = float | None


@dataclass
class Cell:
    """All runs of one point and commit."""

    point: dict[str, Any]
    commit: str
    values: dict[str, dict[int, Value]] = field(default_factory=dict)  # values by measure and seed
    failed: int = 0

    def mean(self, measure: str) -> Value:
        """The mean over the seeds; None if a run has no value, as `back` without a recovery."""
        values = list(self.values.get(measure, {}).values())
        known_values = [value for value in values if value is not None]
        return (
            sum(known_values) / len(known_values)
            if known_values and len(known_values) == len(values)
            else None
        )

    def known(self, measure: str) -> dict[int, float]:
        """The values by seed, without the runs that have none."""
        return {s: v for s, v in self.values.get(measure, {}).items() if v is not None}

    @property
    def seeds(self) -> int:
        """The number of seeds with a result."""
        return max(map(len, self.values.values()), default=0)

    @property
    def label(self) -> str:
        """A short text for tables and charts."""
        parts = [
            f"{name.rpartition('.')[2]}={value}" if name != SCENARIO else str(value)
            for name, value in self.point.items()
            if name != BUILD
        ]
        if BUILD in self.point:
            parts.append(f"build={self.commit[:8]}")
        return " ".join(parts) or "as it is"


def cells(runs: Iterable[Run], names: Sequence[str] = ()) -> list[Cell]:
    """Group runs by point and commit, in their order; `names`: the measures, by default all."""
    cells_by_key: dict[tuple[str, str], Cell] = {}
    for run in runs:
        cell = cells_by_key.get((run.point, run.commit))
        if cell is None:
            cell = cells_by_key[run.point, run.commit] = Cell(json.loads(run.point), run.commit)
        if run.state != "done":
            cell.failed += 1
            continue
        for name in names or MEASURES:
            if name in run.measures:  # the store may have runs older than the measure
                cell.values.setdefault(name, {})[run.seed] = run.measures[name]
    return list(cells_by_key.values())


def newest_by_point(cells_: list[Cell], runs: Iterable[Run]) -> list[Cell]:
    """One cell per point: that of the commit with the latest run."""
    last: dict[str, tuple[float, str]] = {}
    for run in runs:
        if run.at >= last.get(run.point, (0.0, ""))[0]:
            last[run.point] = run.at, run.commit
    return [
        cell
        for cell in cells_
        if last[json.dumps(cell.point, sort_keys=True, separators=(",", ":"))][1] == cell.commit
    ]


@dataclass(frozen=True)
class Comparison:
    """The difference of two cells in one measure."""

    before: Cell
    after: Cell
    measure: str
    difference: Difference
    verdict: str  # corrected for the number of comparisons in the table


def compare(baseline: Cell, others: Sequence[Cell], measures: Sequence[str]) -> list[Comparison]:
    """Compare each cell with the baseline on all measures, with Holm's correction."""
    return compare_pairs([(baseline, cell) for cell in others], measures)


def pair_with_first_build(cells_: Sequence[Cell]) -> list[tuple[Cell, Cell]]:
    """Pair each cell of a later build with the cell of the same point of the first build."""

    def other_factors(cell: Cell) -> str:
        return str(sorted((k, str(v)) for k, v in cell.point.items() if k != BUILD))

    first = {
        other_factors(c): c for c in cells_ if c.point.get(BUILD) == cells_[0].point.get(BUILD)
    }
    return [
        (first[other_factors(c)], c)
        for c in cells_
        if other_factors(c) in first and first[other_factors(c)] is not c
    ]


def compare_pairs(pairs: Sequence[tuple[Cell, Cell]], measures: Sequence[str]) -> list[Comparison]:
    """Compare the cells of each pair on all measures, as `compare` does."""
    rows = [
        (
            before,
            cell,
            measure,
            paired_difference(before.known(measure), cell.known(measure), MEASURES[measure][0]),
        )
        for before, cell in pairs
        for measure in measures
    ]
    significant = holm([difference.p for *_, difference in rows])
    return [
        Comparison(
            before,
            cell,
            measure,
            difference,
            difference.verdict if is_significant or difference.p == 1.0 else CANNOT,
        )
        for (before, cell, measure, difference), is_significant in zip(
            rows, significant, strict=True
        )
    ]


def pareto_front(cells_: Sequence[Cell], one: str, two: str) -> list[Cell]:
    """The cells that no other one dominates in the two measures, ordered by the first."""

    def worth(cell: Cell, measure: str) -> float:
        value = cell.mean(measure)
        assert value is not None
        return value if MEASURES[measure][0] else -value

    measured = [c for c in cells_ if c.mean(one) is not None and c.mean(two) is not None]
    best = [
        c
        for c in measured
        if not any(
            worth(o, one) >= worth(c, one)
            and worth(o, two) >= worth(c, two)
            and (worth(o, one) > worth(c, one) or worth(o, two) > worth(c, two))
            for o in measured
        )
    ]
    return sorted(best, key=lambda c: worth(c, one))


def knee(xs: Sequence[float], ys: Sequence[float]) -> int | None:
    """Index of the knee of a curve: the point farthest from the line between its ends (Kneedle)."""
    if len(xs) < 3 or xs[-1] == xs[0]:
        return None
    height = max(ys) - min(ys)
    if height == 0.0:
        return None
    largest, index = 0.05, None  # share of the height; below it there is no knee
    for n in range(1, len(xs) - 1):
        part = (xs[n] - xs[0]) / (xs[-1] - xs[0])
        off = abs(ys[n] - (ys[0] + part * (ys[-1] - ys[0]))) / height
        if off > largest:
            largest, index = off, n
    return index


def mean_grid(
    cells_: Sequence[Cell], one: str, two: str, measure: str
) -> Mapping[tuple[Any, Any], float]:
    """The mean of a measure by the levels of two factors, over all other factors."""
    sums: dict[tuple[Any, Any], list[float]] = defaultdict(list)
    for cell in cells_:
        value = cell.mean(measure)
        if value is not None and one in cell.point and two in cell.point:
            sums[cell.point[one], cell.point[two]].append(value)
    return {levels: sum(v) / len(v) for levels, v in sums.items()}
