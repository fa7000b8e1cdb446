"""How many members the hollow proxies know of, over the time of a run."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

MEMBERSHIP_LOOK_S = 1.0  # between two looks


class MembershipLook(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes of the fleet that the proxies of one process believe at one time."""

    at: float  # CLOCK_MONOTONIC
    proxies: int
    fewest: int
    total: int  # of all proxies' sizes


class MembershipAt(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes of the fleet that all hollow proxies believe."""

    after_s: float  # since the measurement began
    fewest: int
    mean: float


def look(sizes: Sequence[int], at: float) -> MembershipLook:
    """A look at the proxies of one process; there is at least one."""
    return MembershipLook(at=at, proxies=len(sizes), fewest=min(sizes), total=sum(sizes))


def over_time(looks: Iterable[MembershipLook], began: float) -> tuple[MembershipAt, ...]:
    """The looks of all processes together, one entry for each MEMBERSHIP_LOOK_S since `began`."""
    by_step: dict[int, list[MembershipLook]] = {}
    for each in looks:
        by_step.setdefault(int((each.at - began) // MEMBERSHIP_LOOK_S), []).append(each)
    return tuple(
        MembershipAt(
            after_s=step * MEMBERSHIP_LOOK_S,
            fewest=min(each.fewest for each in seen),
            mean=sum(each.total for each in seen) / sum(each.proxies for each in seen),
        )
        for step, seen in sorted(by_step.items())
    )
