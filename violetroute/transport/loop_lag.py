"""Measures event loop lag: how long readable sockets wait until this process reads them.

A turn is one iteration of the event loop, which polls all sockets and then handles the ready ones.
The kernel does not report when a socket became readable, but two polls bound the time.  If the
latest poll had to sleep, the data arrived when it ended.  Otherwise it arrived after the poll
before, and the estimate is the midpoint of both polls, which is off by half a turn at most.  A
selector of its own measures this without private interfaces: asyncio takes it as a parameter.
"""

from __future__ import annotations

import selectors
import time
from collections.abc import Callable

ROTATION_STRIDE = 7_919  # a prime: the rotation reaches every position, and in distant steps
LONG_TURN = 0.05  # s from which a turn is reported as long
MIN_PAUSE = 0.1  # s without the CPU, or beyond the poll timeout, that count as a pause
LATE_AFTER = 0.03  # s of estimated lag; as a midpoint, it stands for up to twice that
CPU_READ_INTERVAL = 0.05  # s between readings of the CPU time, a system call each
MIN_SLEEP = 0.0005  # s from which a poll is taken to have slept


class TurnSelector(selectors.DefaultSelector):
    """Records when each turn began, and orders ready sockets: preferred ones first, then others.

    Node sockets are preferred, so that admitted requests are finished before more are read.  The
    other sockets rotate, since under overload the first ones get the capacity.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        cpu: Callable[[], float] = time.process_time,
    ) -> None:
        super().__init__()
        self._clock, self._cpu = clock, cpu
        self._cpu_at = clock(), cpu()  # time and CPU time of the last reading
        # Called after a pause, before the turn's events.
        self.on_pause: Callable[[float], None] | None = None
        # Called after a long turn, before the next turn's events.
        self.on_long_turn: Callable[[float], None] | None = None
        self._rotation = 0
        self.first: set[int] = set()  # descriptors whose events come first
        # In seconds: the start of this turn, and the estimated time its sockets became readable.
        self.turn_at = self.readable_at = clock()
        self.turns = 0
        self.paused_for = 0.0  # s; upper bound of the lag of this turn after a pause, else 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll for up to `timeout` seconds, and return the ready sockets in order of preference."""
        polled_at = self._clock()
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        now = self._clock()
        before, self.turn_at = self.turn_at, now
        self.paused_for = 0.0
        if polled_at - before >= LONG_TURN and self.on_long_turn is not None:
            self.on_long_turn(polled_at - before)
        if now - self._cpu_at[0] > CPU_READ_INTERVAL or now - before >= MIN_PAUSE:
            self._detect_pause(before, polled_at, timeout, now)
        self.readable_at = now if now - polled_at > MIN_SLEEP else (before + now) / 2.0
        self.turns += 1
        if len(ready) > 1:
            first = self.first
            ahead = [item for item in ready if item[0].fd in first]
            if len(ahead) < len(ready) - 1:
                rest = [item for item in ready if item[0].fd not in first]
                self._rotation += ROTATION_STRIDE
                place = self._rotation % len(rest)
                ready = ahead + rest[place:] + rest[:place]
            else:
                ready.sort(key=lambda item: item[0].fd not in first)
        return ready

    def _detect_pause(
        self, began_at: float, polled_at: float, timeout: float | None, now: float
    ) -> None:
        """Detect a pause: the last turn lacked CPU time, or its poll exceeded its timeout."""
        cpu = self._cpu()
        stolen = 0.0
        if polled_at - began_at >= MIN_PAUSE:  # CPU use since the last reading: a lower bound
            stolen = (polled_at - began_at) - (cpu - self._cpu_at[1])
        if timeout is not None:
            stolen = max(stolen, now - polled_at - max(0.0, timeout))
        self._cpu_at = now, cpu
        if stolen >= MIN_PAUSE:
            # All data read in this turn arrived after the previous poll, so the lag counts from it.
            self.paused_for = now - began_at
            if self.on_pause is not None:
                self.on_pause(stolen)


class Turns:
    """The lag of the event loop's turns.  Without a TurnSelector every lag is 0."""

    def __init__(self, selector: TurnSelector | None = None) -> None:
        self._selector = selector

    @property
    def count(self) -> int:
        """The number of turns so far."""
        return self._selector.turns if self._selector is not None else 0

    def readable_for(self, now: float) -> float:
        """Estimated seconds for which a command read at `now` was readable and unread."""
        return max(0.0, now - self._selector.readable_at) if self._selector is not None else 0.0

    @property
    def paused_for(self) -> float:
        """Upper bound, in seconds, of the lag of data read in the first turn after a pause; else 0.

        Unlike `readable_for`, this is no estimate: a client's wait that may be over counts as over.
        """
        return self._selector.paused_for if self._selector is not None else 0.0

    def reads_late(self, now: float) -> bool:
        """Whether a peer's close may have been pending for long, yet unread in this turn."""
        return self.paused_for > 0.0 or self.readable_for(now) > LATE_AFTER

    def elapsed(self, now: float) -> float:
        """Seconds since this turn began."""
        return max(0.0, now - self._selector.turn_at) if self._selector is not None else 0.0

    def call_on_pause(self, callback: Callable[[float], None]) -> None:
        """Call `callback` with the length in seconds of each pause, before later data is read.

        A pause during a poll is detected only if the poll has a timeout, so keep a timer scheduled.
        """
        if self._selector is not None:
            self._selector.on_pause = callback

    def call_on_long_turn(self, callback: Callable[[float], None]) -> None:
        """Call `callback` with the length of each turn of LONG_TURN or more, in the next turn."""
        if self._selector is not None:
            self._selector.on_long_turn = callback

    def prefer(self, descriptor: int, on: bool) -> None:
        """Set whether this descriptor's events come first."""
        if self._selector is not None:
            (self._selector.first.add if on else self._selector.first.discard)(descriptor)
