"""Wall time into periods.  Pure.

A period is named by the instant at which it begins, in Unix seconds: names do not repeat when a
clock is put back for the winter, and a period is as long as its zone's calendar makes it.  Cuts
are at whole multiples of the period's minutes past local midnight, as invoices want them; where
clocks change within a period (Lord Howe puts them on by 30 minutes) the local times on both sides
of the change belong to whichever period the calendar gives them, and none is lost or twice: the cut
is a function of the instant alone.

The wall clock is believed as it stands.  One that steps back counts into periods that have been
before: while they are open that is all, and afterwards it makes a correction.  Weighed: a clock
that never steps, as the proxy has for its decisions.  It goes on being wrong for weeks if it was
wrong at the start, and two proxies would cut at different times; bills follow the wall.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta, timezone
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

SEARCH_STEP = 60  # s by which the end of a period is looked for, where clocks change


class Periods:
    """Cuts of one length in one zone.  ValueError for a zone that there is not."""

    def __init__(self, zone: str, minutes: int) -> None:
        try:
            self._zone: ZoneInfo | timezone = UTC if zone == "UTC" else ZoneInfo(zone)
        except (ZoneInfoNotFoundError, ValueError, OSError) as error:
            raise ValueError(f"no such time zone: {zone}") from error
        self.minutes = minutes
        self._begins, self._ends = 0, 0  # of the one that was asked for last

    def of(self, at: float) -> int:
        """The period of an instant (Unix s), by the Unix second at which it begins."""
        if not self._begins <= at < self._ends:
            self._begins, self._ends = self._cut(int(at // 1))
        return self._begins

    def end(self, period: int) -> int:
        """The Unix second at which it ends."""
        self.of(period)
        return self._ends

    def _slot(self, at: int) -> tuple[int, int, int]:
        """What instants of one period share: offset, day and place within the day."""
        local = datetime.fromtimestamp(at, self._zone)
        offset = local.utcoffset() or timedelta()
        return (
            int(offset.total_seconds()),
            local.toordinal(),
            (local.hour * 60 + local.minute) // self.minutes,
        )

    def _cut(self, at: int) -> tuple[int, int]:
        local = datetime.fromtimestamp(at, self._zone)
        length = self.minutes * 60
        into = (local.minute * 60 + local.second) % length
        begins, ends = at - into, at - into + length
        slot = self._slot(at)
        # A change of the clock within it cuts it there: offsets are part of the slot.
        while self._slot(begins) != slot:
            begins = min(at, (begins // SEARCH_STEP + 1) * SEARCH_STEP)
        while self._slot(ends - 1) != slot:
            ends = max(at + 1, ((ends - 1) // SEARCH_STEP) * SEARCH_STEP)
        return begins, ends
