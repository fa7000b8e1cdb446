"""A line through a cost's points, how sure its slope is, and whether a line holds at all.

Least squares with each point weighted by the inverse of its value: noise of a measurement grows
with its value, and a line that misses a small size by half is no line. Sources: numpy.linalg.lstsq;
the interval of the slope is Student's t with n - 2 degrees of freedom.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np
from numpy.typing import NDArray
from scipy import special  # type: ignore[import-untyped]

from .results import Point

STRAIGHT_RESIDUAL_LIMIT = 0.15  # largest relative residual up to which a line is said to hold
MIN_SIZES = 3  # two points are always on a line
CONFIDENCE = 0.95
FLOOR_SHARE = 0.01  # of the largest value: smaller values count as this in relative residuals
FloatArray = NDArray[np.float64]


class FitError(ValueError):
    """Points that no line can be fitted to; one line."""


class LineFit(msgspec.Struct, frozen=True):
    """value = constant + slope * size."""

    constant: float
    slope: float
    slope_low: float
    slope_high: float
    residual: float  # the largest distance from the line, as a share of the measured value
    straight: bool
    exponent: float | None  # of value = factor * size ** exponent; None where a value is 0


def fit_line(points: Sequence[Point]) -> LineFit:
    """The line through the points.  FitError for fewer than three different sizes."""
    if len({size for size, _ in points}) < MIN_SIZES:
        raise FitError(f"{len(points)} points: a fit needs {MIN_SIZES} different sizes")
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    scale = _residual_scale(values)
    design = np.column_stack((np.ones_like(sizes), sizes)) / scale[:, None]
    solution, *_ = np.linalg.lstsq(design, values / scale, rcond=None)
    relative = values / scale - design @ solution
    constant, slope = (float(part) for part in solution)
    margin = _slope_margin(design, relative)
    residual = float(np.max(np.abs(relative)))
    return LineFit(
        constant=constant,
        slope=slope,
        slope_low=slope - margin,
        slope_high=slope + margin,
        residual=residual,
        straight=residual < STRAIGHT_RESIDUAL_LIMIT,
        exponent=_exponent(sizes, values),
    )


def _residual_scale(values: FloatArray) -> FloatArray:
    """What each residual is divided by."""
    largest = float(np.max(np.abs(values)))
    scale: FloatArray = np.maximum(np.abs(values), largest * FLOOR_SHARE or 1.0)
    return scale


def _slope_margin(design: FloatArray, residuals: FloatArray) -> float:
    """Half the width of the slope's confidence interval."""
    degrees_of_freedom = len(residuals) - 2
    variance = float(residuals @ residuals) / degrees_of_freedom
    covariance = variance * np.linalg.inv(design.T @ design)
    quantile = float(special.stdtrit(degrees_of_freedom, (1.0 + CONFIDENCE) / 2.0))
    return quantile * float(np.sqrt(covariance[1, 1]))


def _exponent(sizes: FloatArray, values: FloatArray) -> float | None:
    """The slope of the points on logarithmic axes."""
    if np.any(values <= 0.0) or np.any(sizes <= 0.0):
        return None
    return float(np.polyfit(np.log(sizes), np.log(values), 1)[0])
