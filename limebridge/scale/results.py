"""The records of a slopes file: measured costs, how each grows with its size, figures quoted.

`limebridge scale slopes` writes the file; the tables of docs/CAPACITY.md are made from it.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import pairwise
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from violetroute.config import ConfigError
from violetroute.error_text import one_line

NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]
Point = tuple[float, float]


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where and beside how much other work a file was measured."""

    processor: str
    cores: int
    memory_mb: int
    python: str
    load_average_before: float  # of one minute: processes that wanted a core
    load_average_after: float


class Cost(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One measured cost over several sizes, and the line through them."""

    name: NonEmptyStr
    unit: NonEmptyStr
    per: NonEmptyStr  # what a size counts: node, member, tenant
    what: NonEmptyStr  # one sentence: what was measured
    mechanism: NonEmptyStr  # the module that carries it
    points: Annotated[tuple[Point, ...], msgspec.Meta(min_length=1)]  # (size, value), by size
    constant: float  # value = constant + slope * size
    slope: float
    slope_low: float  # 95% confidence interval of the slope
    slope_high: float
    residual: float  # the largest distance from the line, as a share of the measured value
    straight: bool  # False: the line must not be used beyond or between the points
    exponent: float | None = None  # of value = factor * size ** exponent, where it can be fitted
    run: str  # the command that measured it

    @property
    def largest_size(self) -> float:
        """The largest size that was measured."""
        return self.points[-1][0]


class QuotedFigure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A figure that an earlier run measured, with that run."""

    name: NonEmptyStr
    value: float
    unit: NonEmptyStr
    source: NonEmptyStr  # the run, and where it is written down


class Slopes(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole slopes file."""

    version: Literal[1] = 1
    commit: str
    machine: Machine
    quick: bool  # small sizes only: not for statements about the target
    taken_at: str  # ISO 8601, UTC
    costs: tuple[Cost, ...]
    quoted: tuple[QuotedFigure, ...]
    left_out: tuple[str, ...] = ()  # one line for each size or cost that has no figure, and why

    def cost(self, name: str) -> Cost:
        """The cost of that name.  KeyError when it was not measured."""
        for cost in self.costs:
            if cost.name == name:
                return cost
        raise KeyError(name)


class ExtrapolationError(ValueError):
    """A prediction that the measurement does not support; one line."""


def predict(cost: Cost, size: float) -> float:
    """The cost at `size`, in the cost's unit.

    A straight line is followed to any size. A curve has no line to follow: within the measured
    sizes its value is interpolated between the two neighbouring points; outside them,
    ExtrapolationError.
    """
    if cost.straight:
        return cost.constant + cost.slope * size
    for (lower, lower_value), (upper, upper_value) in pairwise(cost.points):
        if lower <= size <= upper:
            return lower_value + (upper_value - lower_value) * (size - lower) / (upper - lower)
    raise ExtrapolationError(
        f"{cost.name} is a curve, measured from {cost.points[0][0]:g} to {cost.largest_size:g}"
        f" {cost.per}s: no figure for {size:g}"
    )


def save_slopes(slopes: Slopes, path: Path) -> None:
    """Write a slopes file, readable and stable under `git diff`."""
    text = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(text + b"\n")


def read_slopes(path: Path) -> Slopes:
    """A slopes file.  ConfigError with one line when it is none."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Slopes)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {one_line(error)}") from error


def combine_slopes(files: Sequence[Slopes]) -> Slopes:
    """All costs and quoted figures of several files; of a cost that stands twice the later one.

    What is said of the run is the first file's.
    """
    costs = {cost.name: cost for slopes in files for cost in slopes.costs}
    quoted = {figure.name: figure for slopes in files for figure in slopes.quoted}
    return msgspec.structs.replace(
        files[0], costs=tuple(costs.values()), quoted=tuple(quoted.values())
    )
