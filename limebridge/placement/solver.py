"""The shares by HiGHS: goals one after the other, each kept at its best while the next is sought.

Goals in an order, and not one sum with weights: nobody can say how many crossings a machine is
worth, but everybody which comes first.  What still leaves a choice is settled by staying near to
the capacities and treating like nodes alike, so that the same file gives the same plan.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import highspy
import numpy as np

from limebridge.highs import create_highs

from .fleet import Fleet
from .model import RESTING, Model, Row, build, groups

KEPT = 1e-6  # of a goal, by which a goal may become worse for the next ones
EDGE = 1e-7  # of a constraint, by which it may be missed on the edge of what can be met
SECONDS = 30.0  # for one call of HiGHS, far above any fleet that the file allows


class Unsolved(Exception):
    """HiGHS could neither find shares nor show that there are none."""


@dataclass(frozen=True, slots=True)
class Solution:
    """Shares by node, which add up to 1, and what the goals come to."""

    model: Model
    shares: dict[str, float]
    goals: dict[str, float] = field(default_factory=dict)

    def load(self, name: str, lost: Collection[str] = ()) -> float:
        """Share of its capacity that a node is busy, the `lost` ones having gone."""
        place = next(i for i, node in enumerate(self.model.nodes) if node.name == name)
        left = 1.0 - sum(self.shares.get(each, 0.0) for each in lost)
        return self.shares[name] / left * self.model.load / self.model.capacity[place]


class _Program:
    """One HiGHS instance that goals and rows are added to."""

    def __init__(
        self,
        model: Model,
        rows: list[Row],
        fixed: Mapping[int, float] | None = None,
    ) -> None:
        self._highs = highs = create_highs()
        for name, value in (
            ("random_seed", 1),
            ("time_limit", SECONDS),
            ("mip_rel_gap", 0.0),
            ("mip_abs_gap", 1e-9),
            # Measured at 60 nodes: a third less time without these three.
            ("mip_detect_symmetry", False),
            ("mip_heuristic_effort", 0.01),
            ("mip_allow_restart", False),
            ("primal_feasibility_tolerance", 1e-8),
            ("mip_feasibility_tolerance", 1e-8),
        ):
            highs.setOptionValue(name, value)
        fixed = fixed or {}
        self.size = model.unknowns
        for unknown in range(model.unknowns):
            low, high = 0.0, 1.0
            if unknown == model.peak:
                high = highspy.kHighsInf
            if unknown in fixed:
                low = high = fixed[unknown]
            highs.addVar(low, high)
        whole = [unknown for unknown in sorted(model.whole) if unknown not in fixed]
        for unknown in whole:
            highs.changeColIntegrality(unknown, highspy.HighsVarType.kInteger)
        terms = [term for row in rows for term in row.terms.items()]
        ends = np.cumsum([0, *(len(row.terms) for row in rows)], dtype=np.int32)
        highs.addRows(
            len(rows),
            np.array([_bound(row.low) for row in rows]),
            np.array([_bound(row.high) for row in rows]),
            len(terms),
            ends[:-1],
            np.array([place for place, _ in terms], dtype=np.int32),
            np.array([factor for _, factor in terms], dtype=np.float64),
        )

    def column(self) -> int:
        """One more unknown, from 0 up."""
        self._highs.addVar(0.0, highspy.kHighsInf)
        self.size += 1
        return self.size - 1

    def add(self, row: Row) -> None:
        places = np.fromiter(row.terms, dtype=np.int32, count=len(row.terms))
        factors = np.fromiter(row.terms.values(), dtype=np.float64, count=len(row.terms))
        self._highs.addRow(_bound(row.low), _bound(row.high), len(places), places, factors)

    def least(self, goal: Mapping[int, float]) -> tuple[list[float], float] | None:
        """A point at which `goal` is least, and its value; None when no point keeps the rows."""
        highs = self._highs
        costs = np.zeros(self.size)
        for unknown, factor in goal.items():
            costs[unknown] = factor
        highs.changeColsCost(self.size, np.arange(self.size, dtype=np.int32), costs)
        highs.run()
        status = highs.getModelStatus()
        if status == highspy.HighsModelStatus.kOptimal:
            return list(highs.getSolution().col_value), highs.getInfo().objective_function_value
        if status in (
            highspy.HighsModelStatus.kInfeasible,
            highspy.HighsModelStatus.kUnboundedOrInfeasible,
        ):
            return None  # goals are bounded from below, so it is not unbounded
        raise Unsolved(highs.modelStatusToString(status))


def _bound(value: float) -> float:
    return math.copysign(highspy.kHighsInf, value) if math.isinf(value) else value


def feasible(model: Model, without: Collection[str] = ()) -> bool:
    """Whether shares exist that keep all rows but those of the constraints `without`."""
    rows = [row for row in model.rows if row.figure not in without]
    try:
        return _Program(model, rows).least({}) is not None
    except Unsolved:  # on the edge: by how much would all the constraints have to give?
        return _shortfall(model, rows) <= EDGE


def _shortfall(model: Model, rows: list[Row]) -> float:
    """The least amount by which every constraint would have to give, which always has an answer."""
    program = _Program(model, [row for row in rows if not row.figure])
    slack = program.column()
    for row in rows:
        if row.figure:
            for bound, low, high in ((row.low, row.low, math.inf), (row.high, -math.inf, row.high)):
                if math.isfinite(bound):
                    sign = 1.0 if bound == low else -1.0
                    program.add(Row("", row.terms | {slack: sign}, low, high))
    found = program.least({slack: 1.0})
    return math.inf if found is None else found[1]


def solve(fleet: Fleet, before: Mapping[str, float] | None = None) -> Solution | None:
    """The best shares; None when the constraints can't all be met.

    `before` are the shares in force, by node, from which keys would move.  Raises Unsolved.
    """
    model = build(fleet, before)
    point = _in_order(model)
    if point is None:
        return None
    point = _even(model, point)
    shares = {node.name: max(0.0, point[place]) for place, node in enumerate(model.nodes)}
    total = sum(shares.values())
    shares = {name: share / total if share > RESTING else 0.0 for name, share in shares.items()}
    final = model.point(shares)
    return Solution(
        model,
        shares,
        {
            name: model.goal(name, final)
            for name in model.goals
            if model.goals[name] or name == "cost"
        },
    )


def _in_order(model: Model) -> list[float] | None:
    """A point that is best by the goals' order."""
    program = _Program(model, model.rows)
    found = program.least({})
    if found is None:
        return None
    point = found[0]
    for name in model.fleet.prefer.order:
        goal = model.goals[name]
        if not goal:
            continue
        found = program.least(goal)
        if found is None:  # within tolerances the goals before leave no room: they are met
            break
        point, best = found
        program.add(Row("", goal, high=best + KEPT * max(1.0, abs(best))))
    return point


def _even(model: Model, point: list[float]) -> list[float]:
    """Of the points as good as this one, one near to the capacities, like nodes having like shares.

    Averaging like nodes keeps every row: the rows are linear and do not tell them apart.
    """
    fixed = {unknown: float(round(point[unknown])) for unknown in model.whole}
    program = _Program(model, model.rows, fixed)
    for name in model.fleet.prefer.order:
        goal = model.goals[name]
        if goal:
            value = sum(factor * point[unknown] for unknown, factor in goal.items())
            program.add(Row("", goal, high=value + KEPT * max(1.0, abs(value))))
    on = [unknown is None or fixed[unknown] == 1.0 for unknown in model.serving]
    total = sum(each for each, serves in zip(model.capacity, on, strict=True) if serves)
    off: dict[int, float] = {}
    for place, capacity in enumerate(model.capacity):
        aim = capacity / total if on[place] else 0.0
        column = program.column()
        off[column] = 1.0
        program.add(Row("", {place: 1.0, column: -1.0}, high=aim))
        program.add(Row("", {place: 1.0, column: 1.0}, low=aim))
    found = program.least(off)
    best = point if found is None else found[0]
    for group in groups(model):
        serving = [place for place in group if on[place]]
        if serving:
            mean = sum(best[place] for place in serving) / len(serving)
            for place in serving:
                best[place] = mean
    return best
