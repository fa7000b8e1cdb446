"""One probe of SWIM's failure detector, and how long a suspect has to deny the suspicion."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .rumors import MAX_CONFIRMATIONS

TICK_S = 0.1  # s between two ticks of a process that gets the CPU
LATE_SHARE = 0.25  # of a period that a tick may come late and still prove something
POSTPONE_SHARE = 0.65  # of a period for which a late tick postpones, as long as helpers have
SUSPICION_FACTOR = 4.0  # periods times the fleet's size's logarithm, when many suspect
UNCONFIRMED_FACTOR = 3.0  # times that, when one does alone


@dataclass(slots=True)
class Probe:
    """A member that was asked and has not answered yet."""

    target: str
    life: str
    number: int
    helpers_at: float  # s; when helpers are asked, infinity once they were
    until: float  # s; when it has failed, unless that is postponed
    nacks: int = 0
    helpers: int = 0
    not_before: float = -math.inf  # s; a late tick postponed its end until then

    @property
    def end(self) -> float:
        """When it has failed."""
        return max(self.until, self.not_before)


def is_late(since_last: float, period: float) -> bool:
    """Whether a tick so many s after the one before finds answers that it should have read.

    The process was stopped or starved meanwhile. Answers lie unread in the socket, so their
    absence proves nothing.
    """
    return since_last - TICK_S > max(LATE_SHARE * period, TICK_S)


def suspicion_time(size: int, period: float, confirmed: int, health: int) -> float:
    """Seconds until a suspect is taken for dead, as Lifeguard has it.

    It shrinks with each of the `confirmed` others that suspect it too, and grows with the
    logarithm of the fleet's size and with one's own bad health.
    """
    least = SUSPICION_FACTOR * max(1.0, math.log10(max(1, size))) * period
    most = UNCONFIRMED_FACTOR * least
    share = math.log(confirmed + 1) / math.log(MAX_CONFIRMATIONS + 1)
    return max(least, most - (most - least) * share) * (1 + health / 2.0)
