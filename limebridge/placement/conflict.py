"""Which constraints cannot all be met, and by how much each alone would have to give.

The conflict is irreducible: without any one of its members the rest of it can be met.  It is found
by leaving constraints out one after the other (the deletion filter of Chinneck and Dravnieks,
"Locating Minimal Infeasible Constraint Sets in Linear Programs", 1991), here over the figures of
the file and not over rows, since those are what an operator can change.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .fleet import Fleet
from .model import Figure, Model, build
from .solver import feasible

STEPS = 40  # of a bisection
CLOSE = 1e-6  # of a figure, by which its relief may be missed before it is rounded
DIGITS = 4  # of a figure that is told


@dataclass(frozen=True, slots=True)
class Conflict:
    """Constraints that contradict each other; the value at which each alone would give way.

    The value mends this conflict: others that were found beside it have to be mended too.  None
    says that this figure alone can't, however far it gives.
    """

    members: list[Figure]
    relief: dict[str, float | None]


@dataclass(frozen=True, slots=True)
class Trouble:
    """Why there are no shares."""

    conflicts: list[Conflict]  # with no member in common; more may show once these are mended
    carries: float  # requests/s up to which all constraints can be met; 0: at no load


def explain(fleet: Fleet, before: Mapping[str, float] | None = None) -> Trouble | None:
    """Why there are no shares for a fleet; None when there are."""
    model = build(fleet, before)
    found: list[list[Figure]] = []
    taken: set[str] = set()
    while not feasible(model, taken):
        members = _irreducible(model, taken)
        if not members:
            break  # what is true of any plan contradicts itself: no node can have a share
        found.append(members)
        taken |= {figure.name for figure in members}
    if not found:
        return None
    conflicts = []
    for members in found:
        others = taken - {figure.name for figure in members}
        conflicts.append(
            Conflict(
                members, {figure.name: _relief(fleet, before, figure, others) for figure in members}
            )
        )
    return Trouble(conflicts, _carries(fleet, before))


def _irreducible(model: Model, taken: set[str]) -> list[Figure]:
    """One conflict among the constraints that are not taken yet."""
    out = set(taken)
    for name in sorted(model.figures.keys() - taken, key=_last):
        if not feasible(model, out | {name}):
            out.add(name)
    return [figure for name, figure in model.figures.items() if name not in out]


def _last(name: str) -> tuple[int, str]:
    """Single nodes are left out first and the load last: what is told should be the broad cause."""
    order = ("nodes", "kinds", "sites", "limits", "lost", "load")
    return order.index(name.partition(".")[0]), name


def _relief(
    fleet: Fleet, before: Mapping[str, float] | None, figure: Figure, others: set[str]
) -> float | None:
    """The value nearest to the file's at which all but the other conflicts can be met."""

    def works(value: float) -> bool:
        return feasible(build(fleet, before, {figure.name: value}), others)

    if not works(figure.loosest):
        return None
    tight, loose = figure.value, figure.loosest
    for _ in range(STEPS):
        if abs(loose - tight) <= (1.0 if figure.whole else CLOSE * max(abs(loose), 1e-3)):
            break
        middle = (tight + loose) / 2
        if figure.whole:
            middle = float(math.floor(middle) if figure.rises else math.ceil(middle))
        tight, loose = (tight, middle) if works(middle) else (middle, loose)
    near = float(f"{loose:.{DIGITS}g}")  # what a person would write, if it does
    return near if works(near) else _rounded(loose, figure)


def _rounded(value: float, figure: Figure) -> float:
    """To the digits that are told, towards the side on which it works."""
    if figure.whole or not value:
        return value
    unit = 10.0 ** (math.floor(math.log10(abs(value))) - DIGITS + 1)
    steps = math.ceil(value / unit) if figure.rises else math.floor(value / unit)
    rounded = float(f"{steps * unit:.{DIGITS}g}")
    return min(rounded, figure.loosest) if figure.rises else max(rounded, figure.loosest)


def _carries(fleet: Fleet, before: Mapping[str, float] | None) -> float:
    """The load up to which this fleet keeps all that the file asks."""

    def works(load: float) -> bool:
        return feasible(build(fleet, before, {"load.requests_per_s": load}))

    low, high = 0.0, fleet.load.requests_per_s
    if not works(high * 1e-6):
        return 0.0
    for _ in range(STEPS):
        if high - low <= CLOSE * high:
            break
        middle = (low + high) / 2
        low, high = (middle, high) if works(middle) else (low, middle)
    unit = 10.0 ** (math.floor(math.log10(low)) - DIGITS + 1) if low else 1.0
    return float(f"{math.floor(low / unit) * unit:.{DIGITS}g}")
