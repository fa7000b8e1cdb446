"""Fits a straight line to the points of a cost, and decides whether the cost is linear at all.

The line minimizes the squares of the relative residuals, that is, of the residuals divided by the
measured values (numpy.linalg.lstsq): the noise of a measurement grows with its value, and a line
that is wrong by half at a small size does not describe the cost.  The confidence interval of the
slope uses Student's t distribution with n - 2 degrees of freedom.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np
from numpy.typing import NDArray
from scipy import special  # type: ignore[import-untyped]

from .results import Point

STRAIGHT_RESIDUAL_LIMIT = 0.15  # a cost is linear if all relative residuals are below this
MIN_SIZES = 3  # two points always lie on a line
CONFIDENCE = 0.95
FLOOR_SHARE = 0.01  # share of the largest value; lower bound of the divisor of a relative residual
FloatArray = NDArray[np.float64]


class FitError(ValueError):
    """No line can be fitted to the points; a one-line message."""


class LineFit(msgspec.Struct, frozen=True):
    """A fitted line: value = constant + slope * size."""

    constant: float
    slope: float
    slope_low: float
    slope_high: float
    residual: float  # largest absolute relative residual
    straight: bool
    exponent: float | None  # in value = factor * size ** exponent; None unless all values are > 0


def fit_line(points: Sequence[Point]) -> LineFit:
    """Fit a line to (size, value) points.  FitError for fewer than three different sizes."""
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
    """The divisors of the residuals: the values, with a lower bound that also prevents zero."""
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
    """The slope of a line fitted on logarithmic axes; None unless all numbers are positive."""
    if np.any(values <= 0.0) or np.any(sizes <= 0.0):
        return None
    return float(np.polyfit(np.log(sizes), np.log(values), 1)[0])
