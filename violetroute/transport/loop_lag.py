"""How long this process keeps its peers waiting: the turns of its own event loop.

A loop polls all sockets, then works through what was ready.  The kernel does not tell when
a socket became readable, but two polls do within bounds: one that had to sleep ended with
the arrival; else the bytes came after the poll before, since what was ready then was taken.
The middle of the two is the estimate; it is off by half a turn at most.  The selector is
where this can be seen without private ways of the loop: it is asyncio's own parameter.
"""

from __future__ import annotations

import selectors
import time
from collections.abc import Callable

STRIDE = 7_919  # a prime: each place comes first in its turn, neighbours far apart
LONG_TURN = 0.05  # s of a turn from which it is told
PAUSE = 0.1  # s without the CPU, or beyond the time asked for, that are told as a pause
LATE = 0.03  # s that a turn's events may have stood, by the middle of twice that
CPU_READ = 0.05  # s between readings of the CPU time
SLEPT = 0.0005  # s in a poll that must have waited for something


class TurnSelector(selectors.DefaultSelector):
    """Notes when each turn began; hands out node sockets first and clients in turn.

    Work that was accepted is finished before more is taken on, and no client is always the
    first: while there is not enough for all, the first ones are those that get something.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        cpu: Callable[[], float] = time.process_time,
    ) -> None:
        super().__init__()
        self._clock, self._cpu = clock, cpu
        self._cpu_at = clock(), cpu()  # the last reading, which costs a system call
        self.on_pause: Callable[[float], None] | None = None  # told before the turn's events
        self.on_long_turn: Callable[[float], None] | None = None  # likewise, of the turn before
        self._rotation = 0
        self.first: set[int] = set()  # descriptors to be handed out before the others
        self.turn_at = self.readable_at = clock()  # s: this turn's start, and when its
        #                                  sockets are taken to have become readable
        self.turns = 0
        self.paused_for = 0.0  # s for which what this turn reads may have stood since a pause began

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll for `timeout` s at most; note when the turn began; node sockets come first."""
        asked_at = self._clock()
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        now = self._clock()
        before, self.turn_at = self.turn_at, now
        self.paused_for = 0.0
        if asked_at - before >= LONG_TURN and self.on_long_turn is not None:
            self.on_long_turn(asked_at - before)
        if now - self._cpu_at[0] > CPU_READ or now - before >= PAUSE:
            self._look_for_a_pause(before, asked_at, timeout, now)
        self.readable_at = now if now - asked_at > SLEPT else (before + now) / 2.0
        self.turns += 1
        if len(ready) > 1:
            first = self.first
            ahead = [item for item in ready if item[0].fd in first]
            if len(ahead) < len(ready) - 1:
                rest = [item for item in ready if item[0].fd not in first]
                self._rotation += STRIDE
                place = self._rotation % len(rest)
                ready = ahead + rest[place:] + rest[:place]
            else:
                ready.sort(key=lambda item: item[0].fd not in first)
        return ready

    def _look_for_a_pause(
        self, began_at: float, asked_at: float, timeout: float | None, now: float
    ) -> None:
        """What the turn before did not get of the CPU, or its poll slept beyond its time."""
        cpu = self._cpu()
        stolen = 0.0
        if asked_at - began_at >= PAUSE:  # with what was used since the last reading: less
            stolen = (asked_at - began_at) - (cpu - self._cpu_at[1])
        if timeout is not None:
            stolen = max(stolen, now - asked_at - max(0.0, timeout))
        self._cpu_at = now, cpu
        if stolen >= PAUSE:
            self.paused_for = now - began_at  # all of it came after the poll before
            if self.on_pause is not None:
                self.on_pause(stolen)


class Turns:
    """The lag of the event loop.  Without a TurnSelector every lag is 0."""

    def __init__(self, selector: TurnSelector | None = None) -> None:
        self._selector = selector

    @property
    def count(self) -> int:
        """Turns so far."""
        return self._selector.turns if self._selector is not None else 0

    def readable_for(self, now: float) -> float:
        """Seconds for which a command that is read at `now` stood readable (estimate)."""
        return max(0.0, now - self._selector.readable_at) if self._selector is not None else 0.0

    @property
    def paused_for(self) -> float:
        """Seconds for which what this turn reads may have stood, at worst, if a pause is just over.

        No estimate as `stood` is, which tells of a load: a client's time that may be over is taken
        for over.
        """
        return self._selector.paused_for if self._selector is not None else 0.0

    def reads_late(self, now: float) -> bool:
        """Whether a peer's end may have stood for long without having been read in this turn."""
        return self.paused_for > 0.0 or self.readable_for(now) > LATE

    def elapsed(self, now: float) -> float:
        """Seconds of this turn that have passed."""
        return max(0.0, now - self._selector.turn_at) if self._selector is not None else 0.0

    def call_on_pause(self, told: Callable[[float], None]) -> None:
        """Call `told` with the seconds of each pause, before what came in it is read.

        A pause within a poll shows only against a timer: keep one due while it matters.
        """
        if self._selector is not None:
            self._selector.on_pause = told

    def call_on_long_turn(self, told: Callable[[float], None]) -> None:
        """Call `told` with the seconds of each turn of LONG_TURN or more, in the turn after it."""
        if self._selector is not None:
            self._selector.on_long_turn = told

    def prefer(self, descriptor: int, on: bool) -> None:
        """Whether this descriptor's events come first."""
        if self._selector is not None:
            (self._selector.first.add if on else self._selector.first.discard)(descriptor)
