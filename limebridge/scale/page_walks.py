"""When a member that has run for long walks through the pages of another one.

Walks are a renewal process: the times between two are uniform from 0 to a most that grows with the
fleet.  From any moment on, the next walk of a process that has run for long comes sooner than a
whole such time: the residual time has the density 2 / most * (1 - time / most).  Source: Cox,
"Renewal Theory" (1962), the distribution of the forward recurrence time.
"""

from __future__ import annotations

import math
from random import Random

from violetroute.sharing.members import PAGE_FEW, PAGE_S, Members


def longest_wait_s(size: int) -> float:
    """The most between two walks of a member of a fleet of this size."""
    return PAGE_S * (1.0 + size / PAGE_FEW)


def wait_at_rest_s(size: int, draw: float) -> float:
    """The time until the next walk, by inversion of its distribution; `draw` is from [0, 1)."""
    return longest_wait_s(size) * (1.0 - math.sqrt(1.0 - draw))


def at_rest(members: Members, now: float, chance: Random) -> None:
    """Let a member that was just made walk as one that has run for long."""
    members._page_at = now + wait_at_rest_s(members.size, chance.random())
