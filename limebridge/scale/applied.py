"""Records when a proxy applied each position of the log, and when it knew that it was stale.

Real daemons load this module too, so it imports little.
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

RECORD = struct.Struct("<Qd")  # entry of a stamp file: position and CLOCK_MONOTONIC
STALE_FROM, STALE_UNTIL = 2**63, 2**63 + 1  # mark a stale period's bounds, in place of a position
NEVER = float("inf")
STALE_SAMPLE_INTERVAL_S = 0.25  # interval at which the `as_of` of a proxy is read


class SubscriberState(Protocol):
    """The state that is read from a proxy's `Subscriber`."""

    @property
    def position(self) -> int:
        """Position of the last applied batch."""
        ...

    @property
    def as_of(self) -> float | None:
        """All that was committed by this time (s) of the proxy's clock is applied, if known."""
        ...


class DistributionState(Protocol):
    """The part of `DistributionService` that is used here."""

    @property
    def subscriber(self) -> SubscriberState:
        """The subscriber of the proxy, which applies the batches of the log."""
        ...


class RecordReceiver(Protocol):
    """Applies records; as `Receiver` of `violetroute.distribution.service`."""

    purges: int
    voids: int
    configurations: int

    def purge(self, key: str) -> None:
        """Invalidate the object of this key."""
        ...

    def invalidate_all(self, reason: str) -> None:
        """Invalidate all objects."""
        ...

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Apply published configuration.  Returns one reason for each part that is refused."""
        ...


class Applied(msgspec.Struct, frozen=True):
    """When one proxy applied positions, by CLOCK_MONOTONIC, which all processes of a machine share.

    `times` is an array of doubles: the time of position `first`, then those of the next positions.
    """

    name: str
    first: int
    times: bytes
    stale: tuple[tuple[float, float], ...] = ()  # periods (from, until) of known staleness
    purges: int = 0
    voids: int = 0  # invalidations of all objects


class StalePeriods:
    """Derives the periods in which a proxy was stale from samples of its `as_of`.

    A proxy is stale at `now` if `now - as_of` is more than `stale_after_s`.  The start of a period
    is therefore exact, even if the process was paused between two samples; its end is late by the
    time between two samples at most.
    """

    __slots__ = ("_as_of", "_began_at", "ended_periods", "stale_after_s")

    def __init__(self, stale_after_s: float) -> None:
        self.stale_after_s = stale_after_s
        self._as_of: float | None = None
        self._began_at = -NEVER  # time of the proxy's latest start
        self.ended_periods: list[tuple[float, float]] = []

    def record_restart(self, now: float) -> None:
        """Record a restart of the proxy, which is stale until a sample has an `as_of`."""
        began = self._stale_since()
        if now > began:
            self.ended_periods.append((began, now))
        self._as_of, self._began_at = None, now

    def observe(self, now: float, as_of: float | None) -> None:
        """Add a sample of `as_of`; None before the first reply.  Both are by CLOCK_MONOTONIC."""
        if as_of is None or as_of == self._as_of:
            return
        began = self._stale_since()
        if now > began:
            self.ended_periods.append((began, now))
        self._as_of = as_of

    def _stale_since(self) -> float:
        """When the latest `as_of` becomes stale; without one, the latest start."""
        return self._began_at if self._as_of is None else self._as_of + self.stale_after_s

    def periods(self) -> tuple[tuple[float, float], ...]:
        """The ended periods, and an open one that starts when the latest `as_of` becomes stale."""
        return (*self.ended_periods, (self._stale_since(), NEVER))


class AppliedTimes:
    """The receiver of a hollow proxy, which records the times of positions and stale periods."""

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
        """Set the service whose position and `as_of` are recorded."""
        self._distribution = distribution
        self.stale.stale_after_s = stale_after_s

    def record_restart(self) -> None:
        """Detach the ended service; the stale periods continue after a restart."""
        self._distribution = None
        self.stale.record_restart(time.monotonic())

    def purge(self, key: str) -> None:
        """Count a purge.  The first purge of a batch records the time of the batch's position."""
        self.purges += 1
        if self._distribution is not None and self._distribution.subscriber.position > self._last:
            self._stamp(self._distribution.subscriber.position)

    def invalidate_all(self, reason: str) -> None:
        """Count an invalidation of all objects, and record the time of the snapshot's position.

        A snapshot stands for all positions up to its base.
        """
        self.voids += 1
        if self._distribution is not None and self._distribution.subscriber.position > self._last:
            self._stamp(self._distribution.subscriber.position)

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Count the records; a hollow proxy has no configuration to change."""
        self.configurations += len(change.records)
        if self._distribution is not None and change.position > self._last:
            self._stamp(change.position)
        return ()

    def _stamp(self, position: int) -> None:
        """Record the present time for `position` and for skipped positions before it."""
        now = time.monotonic()
        if not self.times:
            self.first = position
            self.times.append(now)
        else:
            self.times.extend([now] * (position - self._last))
        self._last = position

    def observe(self, loop_behind_s: float) -> None:
        """Sample the `as_of` of the service.

        `loop_behind_s` is CLOCK_MONOTONIC minus the time of the event loop, in which `as_of` is.
        """
        if self._distribution is not None:
            as_of = self._distribution.subscriber.as_of
            self.stale.observe(time.monotonic(), None if as_of is None else as_of + loop_behind_s)

    def snapshot(self, name: str) -> Applied:
        """What was recorded until now for the proxy `name`."""
        times = self.times.tobytes()
        return Applied(name, self.first, times, self.stale.periods(), self.purges, self.voids)


class StampingReceiver:
    """Wraps the receiver of a real daemon, and writes the times of positions to a stamp file."""

    def __init__(
        self,
        receiver: RecordReceiver,
        distribution: DistributionState,
        path: Path,
        stale_after_s: float,
    ) -> None:
        self._receiver, self._distribution = receiver, distribution
        self._file = path.open("ab", buffering=0)  # stays open as long as the process runs
        self._last = 0
        self._stale = StalePeriods(stale_after_s)
        self.purges, self.voids = receiver.purges, receiver.voids
        self.configurations = receiver.configurations

    def purge(self, key: str) -> None:
        """Pass the purge to the wrapped receiver, and record the time of its position."""
        self._receiver.purge(key)
        self.purges = self._receiver.purges
        self._stamp()

    def invalidate_all(self, reason: str) -> None:
        """Pass the call to the wrapped receiver, and record the time of the snapshot's position."""
        self._receiver.invalidate_all(reason)
        self.voids = self._receiver.voids
        self._stamp()

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Pass the change to the wrapped receiver, and record the time of its position."""
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
        """Sample the `as_of` now and then every STALE_SAMPLE_INTERVAL_S; write ended periods."""
        self._stale.observe(time.monotonic(), self._distribution.subscriber.as_of)
        for began, ended in self._stale.ended_periods:
            self._file.write(RECORD.pack(STALE_FROM, began) + RECORD.pack(STALE_UNTIL, ended))
        self._stale.ended_periods.clear()
        loop.call_later(STALE_SAMPLE_INTERVAL_S, self.sample_staleness, loop)


def read_stamps(name: str, path: Path) -> Applied:
    """What the real daemon `name` has recorded in its stamp file; empty if there is no file.

    An incomplete entry at the end is ignored.
    """
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
