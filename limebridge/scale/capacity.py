"""What each role needs at the target, computed from measured costs and set against its budget.

A row states one need of one role: the formula over the measured costs, the budget, the mechanism.
Costs that are missing, or that can't be predicted at the target's size, leave the row without a
figure and with the reason; nothing is guessed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from .results import ExtrapolationError, Slopes, predict
from .target import Target


class Role(StrEnum):
    """Who bears a cost."""

    PROXY = "proxy"
    CONTROL = "control machine"
    NODE = "cache node"
    DISCOVERY = "discovery"
    DATABASE = "customer's database"


class ResourceKind(StrEnum):
    """What a need consists of."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR_TIME = "processor time"
    MEMORY = "memory"


class MissingFigureError(Exception):
    """A row can't be computed; one line that says why."""


class Figures:
    """The measured costs and the target, as the formulas of the rows read them.

    Remembers which costs were read, so that a row can name its sources.
    """

    def __init__(self, target: Target, slopes: Slopes) -> None:
        self.target = target
        self._slopes = slopes
        self.sources: list[str] = []

    def cost(self, cost: str, size: float) -> float:
        """The cost at this size.  MissingFigureError when there is no figure for it."""
        self.sources.append(cost)
        try:
            return predict(self._slopes.cost(cost), size)
        except KeyError:
            raise MissingFigureError(f"{cost} is not measured") from None
        except ExtrapolationError as error:
            raise MissingFigureError(str(error)) from None

    def quoted(self, name: str) -> float:
        """A figure of an earlier run.  MissingFigureError when it is not quoted."""
        self.sources.append(name)
        for quoted in self._slopes.quoted:
            if quoted.name == name:
                return quoted.value
        raise MissingFigureError(f"{name} is not quoted")


Formula = Callable[[Figures], float]


@dataclass(frozen=True, slots=True)
class Row:
    """One need of one role.  `budget` is None where nobody has set one."""

    identity: str
    role: Role
    kind: ResourceKind
    label: str
    unit: str
    formula: Formula
    mechanism: str  # the module that carries it; "none" where nothing does
    budget: Formula | None = None


@dataclass(frozen=True, slots=True)
class Need:
    """A row with its figures.  `need` is None where `missing` says why there is none."""

    row: Row
    need: float | None
    budget: float | None
    sources: tuple[str, ...]
    missing: str = ""

    @property
    def ratio(self) -> float | None:
        """Need to budget; None without both."""
        if self.need is None or not self.budget:
            return None
        return self.need / self.budget

    @property
    def over_budget(self) -> bool:
        """Whether the need is greater than its budget."""
        return self.ratio is not None and self.ratio > 1.0


def compute_needs(rows: Iterable[Row], target: Target, slopes: Slopes) -> list[Need]:
    """Each row with its figures, in the order of the rows."""
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
