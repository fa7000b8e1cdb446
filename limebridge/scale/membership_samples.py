"""How many members the hollow proxies know of, over the time of a run."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

MEMBERSHIP_SAMPLE_INTERVAL_S = 1.0  # between two looks


class MembershipSample(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes of the fleet that the proxies of one process believe at one time."""

    at: float  # CLOCK_MONOTONIC
    proxies: int
    fewest: int
    total: int  # of all proxies' sizes


class MembershipSummary(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes of the fleet that all hollow proxies believe."""

    after_s: float  # since the measurement began
    fewest: int
    mean: float


def membership_sample(sizes: Sequence[int], at: float) -> MembershipSample:
    """A look at the proxies of one process; there is at least one."""
    return MembershipSample(at=at, proxies=len(sizes), fewest=min(sizes), total=sum(sizes))


def summarize_membership(
    looks: Iterable[MembershipSample], began: float
) -> tuple[MembershipSummary, ...]:
    """The looks of all processes together, one entry for each interval since `began`."""
    by_step: dict[int, list[MembershipSample]] = {}
    for each in looks:
        by_step.setdefault(int((each.at - began) // MEMBERSHIP_SAMPLE_INTERVAL_S), []).append(each)
    return tuple(
        MembershipSummary(
            after_s=step * MEMBERSHIP_SAMPLE_INTERVAL_S,
            fewest=min(each.fewest for each in seen),
            mean=sum(each.total for each in seen) / sum(each.proxies for each in seen),
        )
        for step, seen in sorted(by_step.items())
    )
