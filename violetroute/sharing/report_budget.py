"""Bytes a second that a proxy may spend on its reports to other proxies.  Pure.

Three token buckets, one for each kind of report, so that no kind starves another; what one does not
use goes to node health. A bucket that is full holds BURST_S of its rate, so a proxy that was calm
tells many members of new trouble at once. Reports without trouble leave URGENT_SHARE of a bucket
alone, which is kept for trouble.

Rumors of the membership protocol that travel in the same datagrams are not counted here.
"""

from __future__ import annotations

from collections.abc import Sequence

from . import wire
from .wire import Item

HEALTH_SHARE, LOAD_SHARE, HITTERS_SHARE = 0.5, 0.25, 0.25  # of the rate, by kind of report
BURST_S = 30.0  # s of its rate that a bucket holds
MIN_BURST_BYTES = 2.0 * wire.MAX_DATAGRAM  # bytes: or a large report would never fit
URGENT_SHARE = 0.5  # of a full bucket
FULL_MARGIN_BYTES = 1.0  # bytes by which a bucket that counts as full may be short
FLEET_RATE = 1.43e6  # bytes/s that all proxies together send by default: 550 each of 2,600
MIN_RATE = 550.0  # bytes/s of one proxy by default, in a fleet of any size


def default_rate(proxies: int) -> float:
    """Bytes a second for one of so many proxies, where the operator's file gives none."""
    return max(MIN_RATE, FLEET_RATE / proxies)


class ByteBucket:
    """A token bucket in bytes, full at first.  `now`: s."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate, self._at = rate, now
        self.burst = max(MIN_BURST_BYTES, BURST_S * rate)  # bytes that may be sent at once
        self._level = self.burst

    def resize(self, rate: float, now: float) -> None:
        """Another rate from now on; what was saved up stays, as far as it fits."""
        self.refill(now)
        self._rate, self.burst = rate, max(MIN_BURST_BYTES, BURST_S * rate)
        self._level = min(self._level, self.burst)

    def take(self, now: float, size: int, wanted: int, urgent: bool) -> int:
        """How many copies of `size` bytes may be sent now, at most `wanted`; they are paid for."""
        copies = min(wanted, self.affordable_copies(now, size, urgent))
        self._level -= copies * size
        return copies

    def affordable_copies(self, now: float, size: int, urgent: bool) -> int:
        """How many copies of `size` bytes may be sent now.

        One of a report that is larger than what a full bucket gives may be sent while the bucket is
        full. The level is below zero then, until the rate has paid for it.
        """
        self.refill(now)
        kept = 0.0 if urgent else URGENT_SHARE * self.burst
        if size > self.burst - kept and self._level >= self.burst - FULL_MARGIN_BYTES:
            return 1
        return max(0, int((self._level - kept) // size))

    def add(self, size: float) -> float:
        """Fill up by so many bytes; what does not fit comes back."""
        added = min(size, self.burst - self._level)
        self._level += added
        return size - added

    def refill(self, now: float) -> float:
        """What has come at its rate; what does not fit comes back."""
        due, self._at = self._rate * (now - self._at), now
        return self.add(due)


class ReportBudget:
    """One proxy's, for all its reports.  `envelope`: bytes of a datagram beside its items."""

    def __init__(self, rate: float, envelope: int, now: float) -> None:
        self._envelope = envelope
        self.health = ByteBucket(HEALTH_SHARE * rate, now)
        self.load = ByteBucket(LOAD_SHARE * rate, now)
        self.hitters = ByteBucket(HITTERS_SHARE * rate, now)

    def resize(self, rate: float, now: float) -> None:
        """Another rate, in bytes a second, from now on."""
        self.health.resize(HEALTH_SHARE * rate, now)
        self.load.resize(LOAD_SHARE * rate, now)
        self.hitters.resize(HITTERS_SHARE * rate, now)

    def refill(self, now: float) -> None:
        """A share that nobody uses goes to the reports of node health, theirs to those of load."""
        unused = self.load.refill(now) + self.hitters.refill(now)
        self.load.add(self.health.add(unused) + self.health.refill(now))

    def size(self, items: Sequence[Item]) -> int:
        """Bytes of the datagrams that carry these items, at most."""
        room, free, datagrams, content = wire.MAX_DATAGRAM - self._envelope, 0, 0, 0
        for item in items:
            length = len(wire.encode_item(item))
            if length > free:
                datagrams, free = datagrams + 1, room
            free -= length
            content += length
        return content + datagrams * self._envelope
