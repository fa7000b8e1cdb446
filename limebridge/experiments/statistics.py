"""Statistical comparison of two groups of runs.  Pure; random numbers come from a given seed.

Runs are compared in pairs of equal seeds, which have the same load and events, by a studentized
bootstrap of the mean difference.  With few seeds the percentiles of resampled means are too narrow
(measured in benchmarks/experiments.py).  If the interval contains 0, the verdict is "cannot tell".
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

ALPHA = 0.05  # share of the statements that may be wrong
RESAMPLES = 2_000
MIN_PAIRS = 4  # with fewer pairs there is no verdict
POWER_QUANTILE = 0.84  # normal quantile for a power of 0.8 (4 of 5 differences are found)
MAX_SEEDS_NEEDED = 100_000  # a verdict that needs more pairs is out of reach
CANNOT, BETTER, WORSE, SAME = "cannot tell", "better", "worse", "no difference at all"

Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Difference:
    """The mean difference of the second group from the first, in the unit of the measure.

    `low` and `high` bound its interval, `p` is the probability of such a difference by chance.
    """

    mean: float
    low: float
    high: float
    pairs: int
    p: float
    verdict: str
    more_seeds: int | None  # likely needed for a verdict; None: there is one, or no number helps


def paired_difference(
    before: Mapping[int, float],
    after: Mapping[int, float],
    more_is_better: bool = True,
    alpha: float = ALPHA,
    seed: int = 1,
) -> Difference:
    """Compare two groups, given as values by seed, over the seeds that both have."""
    seeds = sorted(set(before) & set(after))
    differences = np.array([after[s] - before[s] for s in seeds], dtype=np.float64)
    if not len(differences):
        return Difference(0.0, -math.inf, math.inf, 0, 1.0, CANNOT, MIN_PAIRS)
    mean = float(differences.mean())
    if len(differences) < MIN_PAIRS:
        return Difference(
            mean, -math.inf, math.inf, len(differences), 1.0, CANNOT, MIN_PAIRS - len(differences)
        )
    if float(np.ptp(differences)) == 0.0:
        exact_verdict = SAME if mean == 0.0 else _verdict(mean, more_is_better)
        return Difference(
            mean, mean, mean, len(differences), 1.0 if mean == 0.0 else 0.0, exact_verdict, None
        )
    low, high, p = studentized(differences, alpha, seed)
    verdict = CANNOT if low <= 0.0 <= high else _verdict(mean, more_is_better)
    more_seeds = None if verdict != CANNOT else seeds_needed(differences, alpha)
    return Difference(mean, low, high, len(differences), p, verdict, more_seeds)


def _verdict(mean: float, more_is_better: bool) -> str:
    return BETTER if (mean > 0.0) is more_is_better else WORSE


def studentized(differences: Floats, alpha: float, seed: int) -> tuple[float, float, float]:
    """The interval of the mean (low, high) and the probability of a mean this far from 0.

    Bootstrap-t: resampled means in units of their own standard error.  A resample that repeats one
    value has no error; it counts as far from the mean, which makes the test more cautious.
    """
    rng = np.random.default_rng(seed)
    n = len(differences)
    resampled = differences[rng.integers(0, n, (RESAMPLES, n))]
    mean, error = differences.mean(), differences.std(ddof=1) / math.sqrt(n)
    errors = resampled.std(axis=1, ddof=1) / math.sqrt(n)
    # Resamples of few distinct values have errors near 0; the floor limits their influence.
    t = (resampled.mean(axis=1) - mean) / np.maximum(errors, 1e-3 * error)
    quantile = float(np.quantile(np.abs(t), 1.0 - alpha))
    p = (1.0 + float(np.sum(np.abs(t) >= abs(mean / error)))) / (RESAMPLES + 1.0)
    return float(mean - quantile * error), float(mean + quantile * error), p


def seeds_needed(differences: Floats, alpha: float = ALPHA) -> int | None:
    """How many more pairs would show a difference of this size with a probability of 0.8.

    None if the mean is 0 or more than MAX_SEEDS_NEEDED pairs would be needed.
    """
    from statistics import NormalDist

    mean, deviation = abs(float(differences.mean())), float(differences.std(ddof=1))
    if mean == 0.0:
        return None
    z = NormalDist().inv_cdf(1.0 - alpha / 2.0) + POWER_QUANTILE
    needed = math.ceil((z * deviation / mean) ** 2) + 2  # 2 more, as the deviation is estimated
    return max(1, needed - len(differences)) if needed < MAX_SEEDS_NEEDED else None


def holm(ps: Sequence[float], alpha: float = ALPHA) -> list[bool]:
    """Which comparisons are significant together (Holm 1979).

    The probability that any of them is wrong is at most `alpha`.
    """
    significant = [False] * len(ps)
    for rank, index in enumerate(sorted(range(len(ps)), key=lambda n: ps[n])):
        if ps[index] > alpha / (len(ps) - rank):
            break
        significant[index] = True
    return significant


def alpha_at_look(look: int, alpha: float = ALPHA) -> float:
    """The part of alpha that interim analysis number `look` (from 1) may use.

    If the results are tested repeatedly as seeds are added, and testing stops at the first
    difference, the probability of a wrong statement is at most alpha in total.
    """
    return alpha * 0.5**look


def warm_up_length(values: Sequence[float], batch: int = 5) -> int:
    """How many of a run's first values to leave out (MSER, White 1997); never more than half.

    The cut is where the mean of the remaining values has the smallest standard error.
    """
    means = [sum(values[n : n + batch]) / batch for n in range(0, len(values) - batch + 1, batch)]
    best, best_cut = math.inf, 0
    for first in range(len(means) // 2 + 1):
        remaining = np.array(means[first:])
        if len(remaining) < 2:
            break
        score = float(remaining.var()) / len(remaining)
        if score < best:
            best, best_cut = score, first
    return best_cut * batch
