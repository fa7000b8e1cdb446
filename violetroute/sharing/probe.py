"""A probe of SWIM's failure detector, and the time that a suspect has to refute a suspicion."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .rumors import MAX_CONFIRMATIONS

TICK_S = 0.1  # interval of ticks while the process gets the CPU
LATE_SHARE = 0.25  # share of a period: delay from which a tick counts as late
POSTPONE_SHARE = 0.65  # share of a period by which a late tick postpones; the time helpers have
SUSPICION_FACTOR = 4.0  # periods per log10 of the fleet size: shortest suspicion time
UNCONFIRMED_FACTOR = 3.0  # multiple of that: suspicion time without confirmations


@dataclass(slots=True)
class Probe:
    """An open probe of a member."""

    target: str
    life: str
    number: int
    helpers_at: float  # s; when the indirect probe starts; infinity once it has
    until: float  # s; when the probe fails, unless postponed
    nacks: int = 0
    helpers: int = 0
    not_before: float = -math.inf  # s; a late tick postponed its end until then

    @property
    def end(self) -> float:
        """When the probe fails (s)."""
        return max(self.until, self.not_before)


def is_late(since_last: float, period: float) -> bool:
    """Whether a tick came late, `since_last` s after the previous one.

    The process was stopped or starved meanwhile.  Answers may be unread in the socket, so missing
    ones prove nothing.
    """
    return since_last - TICK_S > max(LATE_SHARE * period, TICK_S)


def suspicion_time(size: int, period: float, confirmed: int, health: int) -> float:
    """Seconds until a suspect is declared dead, as in Lifeguard.

    It shrinks with each of the `confirmed` further members that suspect it, and grows with the
    logarithm of the fleet's size and with the local health score.
    """
    least = SUSPICION_FACTOR * max(1.0, math.log10(max(1, size))) * period
    most = UNCONFIRMED_FACTOR * least
    share = math.log(confirmed + 1) / math.log(MAX_CONFIRMATIONS + 1)
    return max(least, most - (most - least) * share) * (1 + health / 2.0)
