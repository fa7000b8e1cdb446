"""The client of one daemon of the rig: sends requests at a set rate, across daemon restarts."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Protocol

from limebridge.standins.wire import command, read_answer

from .daemon import Daemon
from .plan import Plan

MAX_IDLE_S = 1.5  # idle time after which no request is sent; a daemon closes after 2 s
ONCE_SHARE = 0.2  # share of the requests of class `once`, which must have at most one effect
MAX_SLEEP_S = 0.2  # the current rate is read at least this often, also at lower rates
POLL_INTERVAL_S = 0.02  # s between checks whether a daemon is up, or answers have come
LAST_ANSWERS_TIMEOUT_S = 4.0  # longer than the deadline of a request, 3 s
KEY_COUNT = 50


class RigServices(Protocol):
    """What a client uses of its rig."""

    plan: Plan
    ending: bool  # no more requests are sent
    rates: list[float]  # requests a second, by daemon number
    refused: int  # -BUSY answers of all daemons

    @property
    def now(self) -> float:
        """Current time in s of the rig's clock."""


class Client:
    """Sends requests to one daemon and counts requests (`sent`) and answers (`answered`)."""

    def __init__(self, rig: RigServices, daemon: Daemon) -> None:
        self._rig, self._daemon = rig, daemon
        self._rng = random.Random(f"client/{rig.plan.seed}/{daemon.name}")
        self.sent = self.answered = 0

    async def run(self) -> None:
        """Connect to the daemon whenever it is up, until the rig ends."""
        while not self._rig.ending:
            if not self._daemon.up:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            await self._use_connection()
            if self.answered < self.sent and self._daemon.was_terminated:
                self.answered = self.sent  # the answers were lost with the process: no violation

    async def _use_connection(self) -> None:
        """Use one connection until it has been idle for MAX_IDLE_S, breaks, or the rig ends."""
        assert self._daemon.child is not None
        reading: asyncio.Task[None] | None = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._daemon.child.port)
            reading = asyncio.create_task(self._count_answers(reader))
            await self._send_requests(writer, reading)
            await self._wait_for_last_answers(reading)
            writer.close()
        except OSError:
            await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            if reading is not None:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)

    async def _send_requests(
        self, writer: asyncio.StreamWriter, reading: asyncio.Task[None]
    ) -> None:
        last_sent_at = self._rig.now
        while not self._rig.ending:
            delay = self._rng.expovariate(self._rig.rates[self._daemon.number])
            await asyncio.sleep(min(delay, MAX_SLEEP_S))
            # The daemon may close an idle connection while a request is in flight on it.
            if reading.done() or self._rig.now - last_sent_at > MAX_IDLE_S:
                return
            if delay < MAX_SLEEP_S:
                last_sent_at = self._rig.now
                self.sent += 1
                writer.write(self._next_request())

    def _next_request(self) -> bytes:
        rng = self._rng
        id_ = b"%b-%d" % (self._daemon.name.encode(), self.sent)
        if rng.random() < ONCE_SHARE:
            key = b"k%d" % rng.randrange(KEY_COUNT)
            return command(b"OBJ.SET", key, id_, b"c=once,d=3000", b"v")
        return command(b"OBJ.GET", b"k%d" % rng.randrange(KEY_COUNT), id_, b"c=lookup,d=3000")

    async def _count_answers(self, reader: asyncio.StreamReader) -> None:
        """Count answers and refusals until the connection ends."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                answer = await read_answer(reader)
                self.answered += 1
                self._rig.refused += answer.startswith(b"-BUSY")

    async def _wait_for_last_answers(self, reading: asyncio.Task[None]) -> None:
        if reading.done():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_TIMEOUT_S):
                while self.answered < self.sent and not reading.done():
                    await asyncio.sleep(POLL_INTERVAL_S)
