"""Finds constraints that cannot all be met, and how far each alone would have to be relaxed.

A conflict is irreducible: without any one of its members the others can be met.  It is found by
removing constraints one after the other (the deletion filter of Chinneck and Dravnieks, "Locating
Minimal Infeasible Constraint Sets in Linear Programs", 1991).  The filter works on the constraints
of the file and not on rows, since those are what an operator can change.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .fleet import Fleet
from .model import Constraint, Model, build
from .solver import feasible

MAX_BISECTIONS = 40
RELATIVE_PRECISION = 1e-6  # precision of a bisection, before its result is rounded
DIGITS = 4  # significant digits of the values in a report


@dataclass(frozen=True, slots=True)
class Conflict:
    """Constraints that contradict each other, and for each the value that resolves the conflict.

    The value resolves this conflict alone; other conflicts have to be resolved as well.  None: no
    value of this constraint resolves it.
    """

    members: list[Constraint]
    relaxations: dict[str, float | None]


@dataclass(frozen=True, slots=True)
class Infeasibility:
    """Why no shares meet all constraints."""

    conflicts: list[Conflict]  # without common members; more may appear once these are resolved
    max_load: float  # requests/s up to which all constraints can be met; 0: at no load


def explain(fleet: Fleet, current: Mapping[str, float] | None = None) -> Infeasibility | None:
    """Why no shares meet all constraints of a fleet; None if some do.

    `current`: shares of the plan in force, by node.
    """
    model = build(fleet, current)
    conflict_members: list[list[Constraint]] = []
    excluded: set[str] = set()
    while not feasible(model, excluded):
        members = _irreducible(model, excluded)
        if not members:
            break  # the rows without a constraint contradict each other: no node can have a share
        conflict_members.append(members)
        excluded |= {constraint.name for constraint in members}
    if not conflict_members:
        return None
    conflicts = []
    for members in conflict_members:
        others = excluded - {constraint.name for constraint in members}
        conflicts.append(
            Conflict(
                members,
                {
                    constraint.name: _relaxed_value(fleet, current, constraint, others)
                    for constraint in members
                },
            )
        )
    return Infeasibility(conflicts, _max_load(fleet, current))


def _irreducible(model: Model, excluded: set[str]) -> list[Constraint]:
    """One irreducible conflict among the constraints that are not `excluded`."""
    removed = set(excluded)
    for name in sorted(model.constraints.keys() - excluded, key=_removal_order):
        if not feasible(model, removed | {name}):
            removed.add(name)
    return [constraint for name, constraint in model.constraints.items() if name not in removed]


def _removal_order(name: str) -> tuple[int, str]:
    """Sort key: single nodes are removed first and the load last, so that broad causes remain."""
    order = ("nodes", "kinds", "sites", "limits", "lost", "load")
    return order.index(name.partition(".")[0]), name


def _relaxed_value(
    fleet: Fleet, current: Mapping[str, float] | None, constraint: Constraint, others: set[str]
) -> float | None:
    """The value nearest to the file's that resolves the conflict; None if no value does.

    `others`: names of constraints that are ignored, since they belong to other conflicts.
    """

    def suffices(value: float) -> bool:
        return feasible(build(fleet, current, {constraint.name: value}), others)

    if not suffices(constraint.loosest):
        return None
    tight, loose = constraint.value, constraint.loosest
    for _ in range(MAX_BISECTIONS):
        if abs(loose - tight) <= (
            1.0 if constraint.integral else RELATIVE_PRECISION * max(abs(loose), 1e-3)
        ):
            break
        middle = (tight + loose) / 2
        if constraint.integral:
            middle = float(math.floor(middle) if constraint.relaxes_upwards else math.ceil(middle))
        tight, loose = (tight, middle) if suffices(middle) else (middle, loose)
    rounded = float(f"{loose:.{DIGITS}g}")  # few digits, as in a file written by hand
    return rounded if suffices(rounded) else _rounded(loose, constraint)


def _rounded(value: float, constraint: Constraint) -> float:
    """Round to DIGITS significant digits, towards the side that is feasible."""
    if constraint.integral or not value:
        return value
    unit = 10.0 ** (math.floor(math.log10(abs(value))) - DIGITS + 1)
    steps = math.ceil(value / unit) if constraint.relaxes_upwards else math.floor(value / unit)
    rounded = float(f"{steps * unit:.{DIGITS}g}")
    return (
        min(rounded, constraint.loosest)
        if constraint.relaxes_upwards
        else max(rounded, constraint.loosest)
    )


def _max_load(fleet: Fleet, current: Mapping[str, float] | None) -> float:
    """The load in requests/s up to which all constraints of the file can be met."""

    def suffices(load: float) -> bool:
        return feasible(build(fleet, current, {"load.requests_per_s": load}))

    low, high = 0.0, fleet.load.requests_per_s
    if not suffices(high * 1e-6):
        return 0.0
    for _ in range(MAX_BISECTIONS):
        if high - low <= RELATIVE_PRECISION * high:
            break
        middle = (low + high) / 2
        low, high = (middle, high) if suffices(middle) else (low, middle)
    unit = 10.0 ** (math.floor(math.log10(low)) - DIGITS + 1) if low else 1.0
    return float(f"{math.floor(low / unit) * unit:.{DIGITS}g}")
