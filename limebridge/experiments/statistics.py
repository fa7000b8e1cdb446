"""What may be said of two groups of runs.  Pure; randomness from the seed that is given.

Pairs (same seed, so the same load and troubles) and a studentized bootstrap of their mean
difference: with the few seeds that there are, percentiles of resampled means are too narrow
(measured in benchmarks/experiments.py).  Where the interval holds 0 the answer is "cannot tell".
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

ALPHA = 0.05  # of the statements made, so many may be wrong
RESAMPLES = 2_000
LEAST = 4  # pairs; with fewer nothing is said
POWER = 0.84  # deviations: four of five real differences of this size are to be found
ENOUGH = 100_000  # seeds beyond which nobody will ever tell
CANNOT, BETTER, WORSE, SAME = "cannot tell", "better", "worse", "no difference at all"

Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Difference:
    """Of the second group from the first, in the measure's own unit."""

    mean: float
    low: float
    high: float
    pairs: int
    p: float
    verdict: str
    more: int | None  # seeds that would likely tell them apart; None: none would, or it is told


def paired(
    before: Mapping[int, float],
    after: Mapping[int, float],
    more_is_better: bool = True,
    alpha: float = ALPHA,
    seed: int = 1,
) -> Difference:
    """By the seeds that both have."""
    both = sorted(set(before) & set(after))
    found = np.array([after[s] - before[s] for s in both], dtype=np.float64)
    if not len(found):
        return Difference(0.0, -math.inf, math.inf, 0, 1.0, CANNOT, LEAST)
    mean = float(found.mean())
    if len(found) < LEAST:
        return Difference(mean, -math.inf, math.inf, len(found), 1.0, CANNOT, LEAST - len(found))
    if float(np.ptp(found)) == 0.0:
        told = SAME if mean == 0.0 else _word(mean, more_is_better)
        return Difference(mean, mean, mean, len(found), 1.0 if mean == 0.0 else 0.0, told, None)
    low, high, p = studentized(found, alpha, seed)
    verdict = CANNOT if low <= 0.0 <= high else _word(mean, more_is_better)
    more = None if verdict != CANNOT else seeds_needed(found, alpha)
    return Difference(mean, low, high, len(found), p, verdict, more)


def _word(mean: float, more_is_better: bool) -> str:
    return BETTER if (mean > 0.0) is more_is_better else WORSE


def studentized(found: Floats, alpha: float, seed: int) -> tuple[float, float, float]:
    """The mean's interval and the probability of one this far from 0 by chance.

    Bootstrap-t: resampled means in units of their own error.  A resample of one value again and
    again has no error and says nothing; it counts as far out, which is on the safe side.
    """
    rng = np.random.default_rng(seed)
    n = len(found)
    drawn = found[rng.integers(0, n, (RESAMPLES, n))]
    mean, error = found.mean(), found.std(ddof=1) / math.sqrt(n)
    errors = drawn.std(axis=1, ddof=1) / math.sqrt(n)
    # Resamples of few distinct values have errors near 0: a floor keeps them from ruling all.
    t = (drawn.mean(axis=1) - mean) / np.maximum(errors, 1e-3 * error)
    far = float(np.quantile(np.abs(t), 1.0 - alpha))
    p = (1.0 + float(np.sum(np.abs(t) >= abs(mean / error)))) / (RESAMPLES + 1.0)
    return float(mean - far * error), float(mean + far * error), p


def seeds_needed(found: Floats, alpha: float = ALPHA) -> int | None:
    """How many more would tell a difference of the size seen, four times of five."""
    from statistics import NormalDist

    mean, deviation = abs(float(found.mean())), float(found.std(ddof=1))
    if mean == 0.0:
        return None
    z = NormalDist().inv_cdf(1.0 - alpha / 2.0) + POWER
    need = math.ceil((z * deviation / mean) ** 2) + 2  # 2: the deviation is an estimate as well
    return max(1, need - len(found)) if need < ENOUGH else None


def holm(ps: Sequence[float], alpha: float = ALPHA) -> list[bool]:
    """Which of many comparisons hold together (Holm 1979): at most `alpha` to be wrong in any."""
    told = [False] * len(ps)
    for rank, place in enumerate(sorted(range(len(ps)), key=lambda n: ps[n])):
        if ps[place] > alpha / (len(ps) - rank):
            break
        told[place] = True
    return told


def spent(look: int, alpha: float = ALPHA) -> float:
    """What the look number `look` (from 1) may use of alpha: who looks again and again after some
    more seeds, and stops at the first difference, is wrong no oftener than by alpha in all."""
    return alpha * 0.5**look


def warm_up(values: Sequence[float], batch: int = 5) -> int:
    """How many of a run's first values to leave out (MSER, White 1997): the cut after which the
    mean of the rest is known best; never more than half."""
    means = [sum(values[n : n + batch]) / batch for n in range(0, len(values) - batch + 1, batch)]
    best, cut = math.inf, 0
    for first in range(len(means) // 2 + 1):
        rest = np.array(means[first:])
        if len(rest) < 2:
            break
        score = float(rest.var()) / len(rest)
        if score < best:
            best, cut = score, first
    return cut * batch
