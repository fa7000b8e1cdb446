"""When proxies applied each position of the log, and when they knew that they were stale.

Recorded at the proxies. Real daemons load this module too, so it imports little.
"""

from __future__ import annotations

import asyncio
import struct
import time
from array import array
from pathlib import Path
from typing import Protocol

import msgspec

from violetroute.distribution.configuration_change import ConfigurationChange

RECORD = struct.Struct("<Qd")  # of a stamp file: position and CLOCK_MONOTONIC
STALE_FROM, STALE_UNTIL = 2**63, 2**63 + 1  # of a stamp file, in place of a position
NEVER = float("inf")
STALE_SAMPLE_INTERVAL_S = 0.25  # between two looks at whether a proxy is stale


class SubscriberState(Protocol):
    """What is asked of a proxy's subscriber."""

    @property
    def position(self) -> int: ...

    @property
    def as_of(self) -> float | None: ...


class DistributionState(Protocol):
    """What is asked of a proxy's distribution: `DistributionService`."""

    @property
    def subscriber(self) -> SubscriberState: ...


class RecordReceiver(Protocol):
    """Where records take effect: `violetroute.distribution.service.Receiver`."""

    purges: int
    voids: int
    configurations: int

    def purge(self, key: str) -> None: ...

    def invalidate_all(self, reason: str) -> None: ...

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]: ...


class Applied(msgspec.Struct, frozen=True):
    """One proxy's times by CLOCK_MONOTONIC, which all processes of a machine share.

    `times` are doubles; the first belongs to position `first`, the others to those that follow.
    """

    name: str
    first: int
    times: bytes
    stale: tuple[tuple[float, float], ...] = ()  # from, until: when it knew that it was stale
    purges: int = 0
    voids: int = 0


class StalePeriods:
    """When a proxy was stale by its own clock, from looks at its `as_of`.

    A proxy is stale at `now` when `now - as_of` is more than `stale_after_s`. So a look finds the
    exact beginning also where the process stood still meanwhile; the end is at most a look late.
    """

    __slots__ = ("_as_of", "_began_at", "ended_periods", "stale_after_s")

    def __init__(self, stale_after_s: float) -> None:
        self.stale_after_s = stale_after_s
        self._as_of: float | None = None
        self._began_at = -NEVER  # of the process
        self.ended_periods: list[tuple[float, float]] = []

    def record_restart(self, now: float) -> None:
        """A new process knows nothing until its first look finds an `as_of`."""
        began = self._stale_since()
        if now > began:
            self.ended_periods.append((began, now))
        self._as_of, self._began_at = None, now

    def observe(self, now: float, as_of: float | None) -> None:
        """Both by CLOCK_MONOTONIC, as the event loop's clock is."""
        if as_of is None or as_of == self._as_of:
            return
        began = self._stale_since()
        if now > began:
            self.ended_periods.append((began, now))
        self._as_of = as_of

    def _stale_since(self) -> float:
        """The end of what is known to be fresh."""
        return self._began_at if self._as_of is None else self._as_of + self.stale_after_s

    def periods(self) -> tuple[tuple[float, float], ...]:
        """With the one that would begin if nothing came any more."""
        return (*self.ended_periods, (self._stale_since(), NEVER))


class AppliedTimes:
    """Recorder of one hollow proxy, and the receiver of its records."""

    __slots__ = (
        "_distribution",
        "_last",
        "configurations",
        "first",
        "purges",
        "stale",
        "times",
        "voids",
    )

    def __init__(self) -> None:
        self.first = 0
        self.times = array("d")
        self.purges = self.voids = self.configurations = 0
        self.stale = StalePeriods(0.0)
        self._last = 0
        self._distribution: DistributionState | None = None

    def attach(self, distribution: DistributionState, stale_after_s: float) -> None:
        """Whose position and age are recorded."""
        self._distribution = distribution
        self.stale.stale_after_s = stale_after_s

    def record_restart(self) -> None:
        """The proxy's process ended and begins anew."""
        self._distribution = None
        self.stale.record_restart(time.monotonic())

    def purge(self, key: str) -> None:
        """A purge took effect: the first of its batch stamps the position."""
        self.purges += 1
        if self._distribution is not None and self._distribution.subscriber.position > self._last:
            self._stamp(self._distribution.subscriber.position)

    def invalidate_all(self, reason: str) -> None:
        """A snapshot: everything up to its base is done."""
        self.voids += 1
        if self._distribution is not None and self._distribution.subscriber.position > self._last:
            self._stamp(self._distribution.subscriber.position)

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Counted: a hollow proxy has no configuration."""
        self.configurations += len(change.records)
        if self._distribution is not None and change.position > self._last:
            self._stamp(change.position)
        return ()

    def _stamp(self, position: int) -> None:
        now = time.monotonic()
        if not self.times:
            self.first = position
            self.times.append(now)
        else:
            self.times.extend([now] * (position - self._last))
        self._last = position

    def observe(self, loop_behind_s: float) -> None:
        """Note how old the proxy takes its knowledge for.

        `behind_s`: how far the clock of its event loop is behind CLOCK_MONOTONIC.
        """
        if self._distribution is not None:
            as_of = self._distribution.subscriber.as_of
            self.stale.observe(time.monotonic(), None if as_of is None else as_of + loop_behind_s)

    def snapshot(self, name: str) -> Applied:
        """What was recorded."""
        times = self.times.tobytes()
        return Applied(name, self.first, times, self.stale.periods(), self.purges, self.voids)


class StampingReceiver:
    """A receiver that writes stamps to a file and passes everything on.  For real daemons."""

    def __init__(
        self,
        receiver: RecordReceiver,
        distribution: DistributionState,
        path: Path,
        stale_after_s: float,
    ) -> None:
        self._receiver, self._distribution = receiver, distribution
        self._file = path.open("ab", buffering=0)  # open as long as the process
        self._last = 0
        self._stale = StalePeriods(stale_after_s)
        self.purges, self.voids = receiver.purges, receiver.voids
        self.configurations = receiver.configurations

    def purge(self, key: str) -> None:
        """As the receiver behind it."""
        self._receiver.purge(key)
        self.purges = self._receiver.purges
        self._stamp()

    def invalidate_all(self, reason: str) -> None:
        """As the receiver behind it."""
        self._receiver.invalidate_all(reason)
        self.voids = self._receiver.voids
        self._stamp()

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """As the receiver behind it."""
        reasons = self._receiver.configure(change)
        self.configurations = self._receiver.configurations
        self._stamp()
        return reasons

    def _stamp(self) -> None:
        position = self._distribution.subscriber.position
        if position > self._last:
            self._last = position
            self._file.write(RECORD.pack(position, time.monotonic()))

    def sample_staleness(self, loop: asyncio.AbstractEventLoop) -> None:
        """Note how old the proxy takes its knowledge for, from now on each STALE_LOOK_S."""
        self._stale.observe(time.monotonic(), self._distribution.subscriber.as_of)
        for began, ended in self._stale.ended_periods:
            self._file.write(RECORD.pack(STALE_FROM, began) + RECORD.pack(STALE_UNTIL, ended))
        self._stale.ended_periods.clear()
        loop.call_later(STALE_SAMPLE_INTERVAL_S, self.sample_staleness, loop)


def read_stamps(name: str, path: Path) -> Applied:
    """What a real daemon has recorded until now; empty without a file."""
    data = path.read_bytes() if path.exists() else b""
    data = data[: len(data) // RECORD.size * RECORD.size]
    first, times = 0, array("d")
    began, stale = -NEVER, list[tuple[float, float]]()
    for position, at in RECORD.iter_unpack(data):
        if position == STALE_FROM:
            began = at
        elif position == STALE_UNTIL:
            stale.append((began, at))
        else:
            first = first or position
            times.extend([at] * (position - first - len(times) + 1))
    return Applied(name, first, times.tobytes(), tuple(stale))
