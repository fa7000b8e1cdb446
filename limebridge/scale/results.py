"""The format of a slopes file: measured costs, a fitted line for each, and quoted figures.

`limebridge scale slopes` writes the file; `limebridge scale capacity` renders the tables of
docs/CAPACITY.md from it.
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
    """The machine of a measurement, with its load before and after."""

    processor: str
    cores: int
    memory_mb: int
    python: str
    load_average_before: float  # over one minute: number of processes that run or wait for a core
    load_average_after: float


class Cost(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One cost, measured at several sizes, and the line fitted to the values."""

    name: NonEmptyStr
    unit: NonEmptyStr
    per: NonEmptyStr  # the unit of a size, in the singular: node, member, tenant
    what: NonEmptyStr  # one sentence that describes what was measured
    mechanism: NonEmptyStr  # the module whose cost it is
    points: Annotated[tuple[Point, ...], msgspec.Meta(min_length=1)]  # (size, value), ascending
    constant: float  # value = constant + slope * size
    slope: float
    slope_low: float  # 95% confidence interval of the slope
    slope_high: float
    residual: float  # the largest residual, relative to the measured value
    straight: bool  # False: a curve, for which the line must not be used
    exponent: float | None = None  # in value = factor * size ** exponent; None if not fitted
    run: str  # the command that measured it

    @property
    def largest_size(self) -> float:
        """The largest size that was measured."""
        return self.points[-1][0]


class QuotedFigure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A figure measured by an earlier run, and the reference to that run."""

    name: NonEmptyStr
    value: float
    unit: NonEmptyStr
    source: NonEmptyStr  # the run, and the document that describes it


class Slopes(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The contents of a slopes file."""

    version: Literal[1] = 1
    commit: str
    machine: Machine
    quick: bool  # measured at small sizes only, so not valid for the target size
    taken_at: str  # ISO 8601, UTC
    costs: tuple[Cost, ...]
    quoted: tuple[QuotedFigure, ...]
    left_out: tuple[str, ...] = ()  # one line with the reason for each size or cost without a value

    def cost(self, name: str) -> Cost:
        """The cost `name`.  KeyError if it was not measured."""
        for cost in self.costs:
            if cost.name == name:
                return cost
        raise KeyError(name)


class ExtrapolationError(ValueError):
    """The cost cannot be predicted for a size; a one-line message."""


def predict(cost: Cost, size: float) -> float:
    """The cost at `size`, in the cost's unit.

    The line of a linear cost is used for any size.  A curve is interpolated between the two
    neighbouring points; outside the measured sizes, ExtrapolationError is raised.
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
    """Write a slopes file as indented JSON with one value per line, for readable diffs.

    Creates the folder.  Raises OSError.
    """
    text = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(text + b"\n")


def read_slopes(path: Path) -> Slopes:
    """Read a slopes file.  ConfigError with a one-line message if it is missing or invalid."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Slopes)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {one_line(error)}") from error


def combine_slopes(files: Sequence[Slopes]) -> Slopes:
    """Merge the costs and quoted figures of one or more files.

    If several files have the same cost or figure, the last one counts.  All other fields, such as
    the machine and the commit, are those of the first file.
    """
    costs = {cost.name: cost for slopes in files for cost in slopes.costs}
    quoted = {figure.name: figure for slopes in files for figure in slopes.quoted}
    return msgspec.structs.replace(
        files[0], costs=tuple(costs.values()), quoted=tuple(quoted.values())
    )
