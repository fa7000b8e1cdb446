"""Limits the bytes a second that a proxy spends on reports to other proxies.  Pure.

There are three token buckets, one for each kind of report, so no kind starves another; unused bytes
go to node health.  A full bucket holds BURST_S of its rate, so a proxy without recent trouble can
report new trouble to many members at once.  Reports without trouble leave URGENT_SHARE of a bucket
for reports of trouble.

Rumors of the membership protocol in the same datagrams are not counted here.
"""

from __future__ import annotations

from collections.abc import Sequence

from . import wire
from .wire import Item

HEALTH_SHARE, LOAD_SHARE, HITTERS_SHARE = 0.5, 0.25, 0.25  # shares of the rate by kind of report
BURST_S = 30.0  # seconds of its rate that a bucket holds
MIN_BURST_BYTES = 2.0 * wire.MAX_DATAGRAM  # else a large report would never fit
URGENT_SHARE = 0.5  # share of a full bucket reserved for reports of trouble
FULL_MARGIN_BYTES = 1.0  # a bucket short of at most this counts as full
FLEET_RATE = 1.43e6  # bytes/s that all proxies together send by default: 550 each of 2,600
MIN_RATE = 550.0  # bytes/s of one proxy by default, in a fleet of any size


def default_rate(proxies: int) -> float:
    """Bytes a second for one of `proxies` proxies, if the operator's file sets none."""
    return max(MIN_RATE, FLEET_RATE / proxies)


class ByteBucket:
    """A token bucket in bytes, full at the start.  `now`: s."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate, self._at = rate, now
        self.burst = max(MIN_BURST_BYTES, BURST_S * rate)  # bytes that may be sent at once
        self._level = self.burst

    def resize(self, rate: float, now: float) -> None:
        """Change the rate; the level is kept, up to the new size."""
        self.refill(now)
        self._rate, self.burst = rate, max(MIN_BURST_BYTES, BURST_S * rate)
        self._level = min(self._level, self.burst)

    def take(self, now: float, size: int, wanted: int, urgent: bool) -> int:
        """Take bytes for up to `wanted` copies of `size` bytes; returns the number of copies."""
        copies = min(wanted, self.affordable_copies(now, size, urgent))
        self._level -= copies * size
        return copies

    def affordable_copies(self, now: float, size: int, urgent: bool) -> int:
        """How many copies of `size` bytes may be sent now.

        One copy of a report larger than the usable part of a full bucket may be sent while the
        bucket is full.  The level is negative then, until the rate has refilled it.
        """
        self.refill(now)
        kept = 0.0 if urgent else URGENT_SHARE * self.burst
        if size > self.burst - kept and self._level >= self.burst - FULL_MARGIN_BYTES:
            return 1
        return max(0, int((self._level - kept) // size))

    def add(self, size: float) -> float:
        """Add bytes; returns those that do not fit."""
        added = min(size, self.burst - self._level)
        self._level += added
        return size - added

    def refill(self, now: float) -> float:
        """Add the bytes accrued since the last call; returns those that do not fit."""
        due, self._at = self._rate * (now - self._at), now
        return self.add(due)


class ReportBudget:
    """The buckets of one proxy.  `envelope`: bytes of a datagram without items."""

    def __init__(self, rate: float, envelope: int, now: float) -> None:
        self._envelope = envelope
        self.health = ByteBucket(HEALTH_SHARE * rate, now)
        self.load = ByteBucket(LOAD_SHARE * rate, now)
        self.hitters = ByteBucket(HITTERS_SHARE * rate, now)

    def resize(self, rate: float, now: float) -> None:
        """Change the total rate, in bytes a second."""
        self.health.resize(HEALTH_SHARE * rate, now)
        self.load.resize(LOAD_SHARE * rate, now)
        self.hitters.resize(HITTERS_SHARE * rate, now)

    def refill(self, now: float) -> None:
        """Refill all; unused bytes go to node health, and what it does not need to load."""
        unused = self.load.refill(now) + self.hitters.refill(now)
        self.load.add(self.health.add(unused) + self.health.refill(now))

    def size(self, items: Sequence[Item]) -> int:
        """Upper bound of the bytes of the datagrams that carry these items."""
        room, free, datagrams, content = wire.MAX_DATAGRAM - self._envelope, 0, 0, 0
        for item in items:
            length = len(wire.encode_item(item))
            if length > free:
                datagrams, free = datagrams + 1, room
            free -= length
            content += length
        return content + datagrams * self._envelope
