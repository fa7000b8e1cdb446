"""Computes shares with HiGHS: minimizes the goals in order, keeping each at its optimum.

The goals have an order and no weights: an operator can say which of two goals matters more, but not
how many crossings a machine is worth.  Among the remaining optima the shares closest to the
capacities are chosen, with equal shares for interchangeable nodes, so that the same file gives the
same plan.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import highspy
import numpy as np

from limebridge.highs import create_highs

from .fleet import Fleet
from .model import ZERO_SHARE, Model, Row, build, interchangeable

# Tolerance by which a goal may become worse for the following goals: relative, absolute below 1.
GOAL_TOLERANCE = 1e-6
BOUNDARY_TOLERANCE = 1e-7  # tolerance of constraints where HiGHS can't decide if they can be met
TIME_LIMIT_S = 30.0  # s for one HiGHS call, far above the time for any fleet that the file allows


class SolverError(Exception):
    """HiGHS neither found shares nor proved that none exist; the message is its status."""


@dataclass(frozen=True, slots=True)
class Solution:
    """Shares by node, which add up to 1, and the values of the goals."""

    model: Model
    shares: dict[str, float]
    goals: dict[str, float] = field(default_factory=dict)

    def load(self, name: str, lost: Collection[str] = ()) -> float:
        """Utilization of a node, as a share of its capacity, after the loss of the nodes `lost`."""
        index = next(i for i, node in enumerate(self.model.nodes) if node.name == name)
        remaining = 1.0 - sum(self.shares.get(each, 0.0) for each in lost)
        return self.shares[name] / remaining * self.model.load / self.model.capacity[index]


class _Program:
    """One HiGHS instance; rows and variables can be added, and goals minimized one by one.

    `fixed`: variables that have a fixed value.
    """

    def __init__(
        self,
        model: Model,
        rows: list[Row],
        fixed: Mapping[int, float] | None = None,
    ) -> None:
        self._highs = highs = create_highs()
        for name, value in (
            ("random_seed", 1),
            ("time_limit", TIME_LIMIT_S),
            ("mip_rel_gap", 0.0),
            ("mip_abs_gap", 1e-9),
            # Measured with 60 nodes: these three settings save a third of the time.
            ("mip_detect_symmetry", False),
            ("mip_heuristic_effort", 0.01),
            ("mip_allow_restart", False),
            ("primal_feasibility_tolerance", 1e-8),
            ("mip_feasibility_tolerance", 1e-8),
        ):
            highs.setOptionValue(name, value)
        fixed = fixed or {}
        self.size = model.variable_count
        for variable in range(model.variable_count):
            low, high = 0.0, 1.0
            if variable == model.peak:
                high = highspy.kHighsInf
            if variable in fixed:
                low = high = fixed[variable]
            highs.addVar(low, high)
        integers = [variable for variable in sorted(model.binary) if variable not in fixed]
        for variable in integers:
            highs.changeColIntegrality(variable, highspy.HighsVarType.kInteger)
        terms = [term for row in rows for term in row.terms.items()]
        offsets = np.cumsum([0, *(len(row.terms) for row in rows)], dtype=np.int32)
        highs.addRows(
            len(rows),
            np.array([_bound(row.low) for row in rows]),
            np.array([_bound(row.high) for row in rows]),
            len(terms),
            offsets[:-1],
            np.array([index for index, _ in terms], dtype=np.int32),
            np.array([factor for _, factor in terms], dtype=np.float64),
        )

    def add_variable(self) -> int:
        """Add a variable without an upper bound, at least 0; returns its index."""
        self._highs.addVar(0.0, highspy.kHighsInf)
        self.size += 1
        return self.size - 1

    def add_row(self, row: Row) -> None:
        """Add a row to the program."""
        indices = np.fromiter(row.terms, dtype=np.int32, count=len(row.terms))
        factors = np.fromiter(row.terms.values(), dtype=np.float64, count=len(row.terms))
        self._highs.addRow(_bound(row.low), _bound(row.high), len(indices), indices, factors)

    def minimize(self, goal: Mapping[int, float]) -> tuple[list[float], float] | None:
        """A point that minimizes `goal`, and the minimum; None if no point satisfies the rows.

        Raises SolverError.
        """
        highs = self._highs
        costs = np.zeros(self.size)
        for variable, factor in goal.items():
            costs[variable] = factor
        highs.changeColsCost(self.size, np.arange(self.size, dtype=np.int32), costs)
        highs.run()
        status = highs.getModelStatus()
        if status == highspy.HighsModelStatus.kOptimal:
            return list(highs.getSolution().col_value), highs.getInfo().objective_function_value
        if status in (
            highspy.HighsModelStatus.kInfeasible,
            highspy.HighsModelStatus.kUnboundedOrInfeasible,
        ):
            return None  # a goal is bounded from below, so the program is not unbounded
        raise SolverError(highs.modelStatusToString(status))


def _bound(value: float) -> float:
    return math.copysign(highspy.kHighsInf, value) if math.isinf(value) else value


def feasible(model: Model, ignored: Collection[str] = ()) -> bool:
    """Whether shares exist that satisfy all rows except those of the constraints `ignored`."""
    rows = [row for row in model.rows if row.constraint not in ignored]
    try:
        return _Program(model, rows).minimize({}) is not None
    except SolverError:  # at the boundary: how far would all constraints have to be relaxed?
        return _shortfall(model, rows) <= BOUNDARY_TOLERANCE


def _shortfall(model: Model, rows: list[Row]) -> float:
    """The smallest amount that satisfies all constraints if each is relaxed by it.

    HiGHS can always solve this program, also at the boundary of what is feasible.  Infinite if the
    rows that cannot be relaxed contradict each other.
    """
    program = _Program(model, [row for row in rows if not row.constraint])
    slack = program.add_variable()
    for row in rows:
        if row.constraint:
            for bound, low, high in ((row.low, row.low, math.inf), (row.high, -math.inf, row.high)):
                if math.isfinite(bound):
                    sign = 1.0 if bound == low else -1.0
                    program.add_row(Row("", row.terms | {slack: sign}, low, high))
    result = program.minimize({slack: 1.0})
    return math.inf if result is None else result[1]


def solve(fleet: Fleet, current: Mapping[str, float] | None = None) -> Solution | None:
    """The best shares; None if the constraints cannot all be met.

    `current`: shares of the plan in force, by node, from which keys would move.
    Raises SolverError.
    """
    model = build(fleet, current)
    point = _optimize_goals(model)
    if point is None:
        return None
    point = _balance(model, point)
    shares = {node.name: max(0.0, point[index]) for index, node in enumerate(model.nodes)}
    total = sum(shares.values())
    shares = {name: share / total if share > ZERO_SHARE else 0.0 for name, share in shares.items()}
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


def _optimize_goals(model: Model) -> list[float] | None:
    """A point that is optimal by the goals in order; None if no point satisfies the rows."""
    program = _Program(model, model.rows)
    result = program.minimize({})
    if result is None:
        return None
    point = result[0]
    for name in model.fleet.prefer.order:
        goal = model.goals[name]
        if not goal:
            continue
        result = program.minimize(goal)
        if result is None:  # the previous goals leave no room within tolerances: they are optimal
            break
        point, best = result
        program.add_row(Row("", goal, high=best + GOAL_TOLERANCE * max(1.0, abs(best))))
    return point


def _balance(model: Model, point: list[float]) -> list[float]:
    """A point as good as the given one, with shares close to the capacities.

    Interchangeable nodes get their mean share.  That satisfies every row, since the rows are linear
    and do not distinguish these nodes.
    """
    fixed = {variable: float(round(point[variable])) for variable in model.binary}
    program = _Program(model, model.rows, fixed)
    for name in model.fleet.prefer.order:
        goal = model.goals[name]
        if goal:
            value = sum(factor * point[variable] for variable, factor in goal.items())
            program.add_row(Row("", goal, high=value + GOAL_TOLERANCE * max(1.0, abs(value))))
    has_keys = [variable is None or fixed[variable] == 1.0 for variable in model.serving]
    total = sum(each for each, serves in zip(model.capacity, has_keys, strict=True) if serves)
    deviations: dict[int, float] = {}
    for index, capacity in enumerate(model.capacity):
        target = capacity / total if has_keys[index] else 0.0
        deviation = program.add_variable()
        deviations[deviation] = 1.0
        program.add_row(Row("", {index: 1.0, deviation: -1.0}, high=target))
        program.add_row(Row("", {index: 1.0, deviation: 1.0}, low=target))
    result = program.minimize(deviations)
    best = point if result is None else result[0]
    for group in interchangeable(model):
        serving = [index for index in group if has_keys[index]]
        if serving:
            mean = sum(best[index] for index in serving) / len(serving)
            for index in serving:
                best[index] = mean
    return best
