"""Divides wall time into billing periods.  Pure.

A period is identified by its start in Unix seconds, so ids don't repeat when clocks are set back
for the winter; its length follows its zone's calendar.  Boundaries are at whole multiples of the
period's minutes after local midnight, as invoices need them.  If clocks change within a period
(Lord Howe Island's move by 30 minutes), the local times on both sides belong to the period that the
calendar gives them.  None is lost or counted twice: boundaries are a function of the time alone.

The wall clock is used as it is.  After it steps back, units count in earlier periods: as usual
while these are open, as a correction afterwards.  Rejected: a clock that never steps, which the
proxy uses for its decisions.  If it is wrong at the start, it stays wrong for weeks, and two
proxies would have different boundaries; bills follow the wall clock.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta, timezone
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

SEARCH_STEP = 60  # s per step of the search for a boundary at a clock change


class Periods:
    """Periods of one length in one time zone.  ValueError if the zone is unknown."""

    def __init__(self, zone: str, minutes: int) -> None:
        try:
            self._zone: ZoneInfo | timezone = UTC if zone == "UTC" else ZoneInfo(zone)
        except (ZoneInfoNotFoundError, ValueError, OSError) as error:
            raise ValueError(f"unknown time zone: {zone}") from error
        self.minutes = minutes
        self._begins, self._ends = 0, 0  # bounds of the period used last

    def of(self, at: float) -> int:
        """The period that contains `at` (Unix s), as the Unix second of its start."""
        if not self._begins <= at < self._ends:
            self._begins, self._ends = self._bounds(int(at // 1))
        return self._begins

    def end(self, period: int) -> int:
        """The Unix second at which a period ends."""
        self.of(period)
        return self._ends

    def _slot(self, at: int) -> tuple[int, int, int]:
        """What all times of a period share: UTC offset, day and number within the day."""
        local = datetime.fromtimestamp(at, self._zone)
        offset = local.utcoffset() or timedelta()
        return (
            int(offset.total_seconds()),
            local.toordinal(),
            (local.hour * 60 + local.minute) // self.minutes,
        )

    def _bounds(self, at: int) -> tuple[int, int]:
        local = datetime.fromtimestamp(at, self._zone)
        length = self.minutes * 60
        into = (local.minute * 60 + local.second) % length
        begins, ends = at - into, at - into + length
        slot = self._slot(at)
        # A clock change within the period is a boundary, since the offset is part of the slot.
        while self._slot(begins) != slot:
            begins = min(at, (begins // SEARCH_STEP + 1) * SEARCH_STEP)
        while self._slot(ends - 1) != slot:
            ends = max(at + 1, ((ends - 1) // SEARCH_STEP) * SEARCH_STEP)
        return begins, ends
