"""Computes what each role needs at the target size, and compares it with the role's budget.

A row describes one need of one role: the formula over measured costs, the budget, and the module
that implements it.  If a cost was not measured, or cannot be predicted for the target size, the row
has the reason in place of a value; no value is ever estimated without a measurement.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from .results import ExtrapolationError, Slopes, predict
from .target import Target


class Role(StrEnum):
    """The kinds of programs and machines that bear a cost; the values name their tables."""

    PROXY = "proxy"
    CONTROL = "control machine"
    NODE = "cache node"
    DISCOVERY = "discovery"
    DATABASE = "customer's database"


class ResourceKind(StrEnum):
    """The kinds of resources that a role needs, in the order of a table's rows."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR_TIME = "processor time"
    MEMORY = "memory"


class MissingFigureError(Exception):
    """A row cannot be computed; a one-line message with the reason."""


class Figures:
    """The measured costs and the target: the input of the rows' formulas.

    `sources` lists the names of the costs that were read, for the "from" column of a row.
    """

    def __init__(self, target: Target, slopes: Slopes) -> None:
        self.target = target
        self._slopes = slopes
        self.sources: list[str] = []

    def cost(self, name: str, size: float) -> float:
        """The predicted value of the cost `name` at `size`, in the cost's unit.

        Raises MissingFigureError if the cost was not measured, or if it is a curve and `size` is
        outside the measured sizes.
        """
        self.sources.append(name)
        try:
            return predict(self._slopes.cost(name), size)
        except KeyError:
            raise MissingFigureError(f"{name} is not measured") from None
        except ExtrapolationError as error:
            raise MissingFigureError(str(error)) from None

    def quoted(self, name: str) -> float:
        """The quoted figure `name` of an earlier run.  MissingFigureError if there is none."""
        self.sources.append(name)
        for quoted in self._slopes.quoted:
            if quoted.name == name:
                return quoted.value
        raise MissingFigureError(f"{name} is not quoted")


Formula = Callable[[Figures], float]


@dataclass(frozen=True, slots=True)
class Row:
    """One need of one role; `formula` and `budget` give values in `unit`.

    `budget` is None if none is set.
    """

    identity: str
    role: Role
    kind: ResourceKind
    label: str
    unit: str
    formula: Formula
    mechanism: str  # the module that implements it; "none" if no module does
    budget: Formula | None = None


@dataclass(frozen=True, slots=True)
class Need:
    """A row with its computed values, in the row's unit.

    `need` is None if it cannot be computed; `missing` is then the reason.
    """

    row: Row
    need: float | None
    budget: float | None
    sources: tuple[str, ...]
    missing: str = ""

    @property
    def ratio(self) -> float | None:
        """The need divided by the budget; None if either is missing."""
        if self.need is None or not self.budget:
            return None
        return self.need / self.budget

    @property
    def over_budget(self) -> bool:
        """Whether the need exceeds the budget; False if either is missing."""
        return self.ratio is not None and self.ratio > 1.0


def compute_needs(rows: Iterable[Row], target: Target, slopes: Slopes) -> list[Need]:
    """Compute need and budget of each row at the target size; keeps the order of the rows."""
    return [_compute_need(row, target, slopes) for row in rows]


def _compute_need(row: Row, target: Target, slopes: Slopes) -> Need:
    figures = Figures(target, slopes)
    budget = None if row.budget is None else row.budget(figures)
    figures.sources.clear()
    try:
        need = row.formula(figures)
    except MissingFigureError as error:
        return Need(row, None, budget, tuple(dict.fromkeys(figures.sources)), str(error))
    return Need(row, need, budget, tuple(dict.fromkeys(figures.sources)))
