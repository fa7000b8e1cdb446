"""Samples of the fleet size that the hollow proxies know of, and their summary over a run."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

MEMBERSHIP_SAMPLE_INTERVAL_S = 1.0


class MembershipSample(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet sizes that the proxies of one process know of at one time."""

    at: float  # CLOCK_MONOTONIC
    proxies: int
    fewest: int  # smallest fleet size that one of the proxies knows of
    total: int  # sum of the fleet sizes of all proxies


class MembershipSummary(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet sizes that all hollow proxies know of, in one sampling interval."""

    after_s: float  # start of the interval, since the start of the measurement
    fewest: int  # smallest fleet size that one of the proxies knows of
    mean: float  # over all proxies


def membership_sample(sizes: Sequence[int], at: float) -> MembershipSample:
    """Sample the proxies of one process; `sizes` has the fleet size of each and is not empty."""
    return MembershipSample(at=at, proxies=len(sizes), fewest=min(sizes), total=sum(sizes))


def summarize_membership(
    samples: Iterable[MembershipSample], began: float
) -> tuple[MembershipSummary, ...]:
    """Combine the samples of all processes, by sampling interval since `began`.

    Intervals without a sample are missing.
    """
    by_step: dict[int, list[MembershipSample]] = {}
    for sample in samples:
        by_step.setdefault(int((sample.at - began) // MEMBERSHIP_SAMPLE_INTERVAL_S), []).append(
            sample
        )
    return tuple(
        MembershipSummary(
            after_s=step * MEMBERSHIP_SAMPLE_INTERVAL_S,
            fewest=min(sample.fewest for sample in in_step),
            mean=sum(sample.total for sample in in_step)
            / sum(sample.proxies for sample in in_step),
        )
        for step, in_step in sorted(by_step.items())
    )
