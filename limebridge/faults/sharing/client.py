"""The client of one daemon of the rig of budgets: requests at a rate, over all its incarnations."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Protocol

from limebridge.standins.wire import command, read_answer

from .daemon import Daemon
from .plan import Plan

REUSED = 1.5  # s: a daemon closes what has been idle for 2
WITHOUT = 0.2  # of the requests are of a class that may run once alone
LONGEST_WAIT = 0.2  # s between two looks at the rate, while it asks for less than that
RETRY = 0.02  # s until it looks again for a daemon that is up
LAST_ANSWERS = 4.0  # s that it waits for them; a request's deadline is 3 s
KEYS = 50


class RigServices(Protocol):
    """What a client needs of its rig."""

    plan: Plan
    ends: bool  # no more requests
    rates: list[float]  # requests a second, by daemon
    refused: int  # by all daemons

    @property
    def now(self) -> float:
        """s of the rig's clock."""


class Client:
    """Asks one daemon, and counts its answers."""

    def __init__(self, rig: RigServices, daemon: Daemon) -> None:
        self._rig, self._daemon = rig, daemon
        self._rng = random.Random(f"client/{rig.plan.seed}/{daemon.name}")
        self.sent = self.answered = 0

    async def run(self) -> None:
        """Until the rig ends: connect to the daemon whenever it is up."""
        while not self._rig.ends:
            if not self._daemon.up:
                await asyncio.sleep(RETRY)
                continue
            await self._connection()
            if self.answered < self.sent and self._daemon.died:
                self.answered = self.sent  # lost with its process, not by it

    async def _connection(self) -> None:
        """One connection, until it was idle for long, breaks, or the rig ends."""
        assert self._daemon.child is not None
        reading: asyncio.Task[None] | None = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._daemon.child.port)
            reading = asyncio.create_task(self._read(reader))
            await self._send(writer, reading)
            await self._last_answers(reading)
            writer.close()
        except OSError:
            await asyncio.sleep(RETRY)
        finally:
            if reading is not None:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)

    async def _send(self, writer: asyncio.StreamWriter, reading: asyncio.Task[None]) -> None:
        used = self._rig.now
        while not self._rig.ends:
            wait = self._rng.expovariate(self._rig.rates[self._daemon.number])
            await asyncio.sleep(min(wait, LONGEST_WAIT))
            # Idle for long it may be closed while a request is on its way.
            if reading.done() or self._rig.now - used > REUSED:
                return
            if wait < LONGEST_WAIT:
                used = self._rig.now
                self.sent += 1
                writer.write(self._request())

    def _request(self) -> bytes:
        rng = self._rng
        id_ = b"%b-%d" % (self._daemon.name.encode(), self.sent)
        if rng.random() < WITHOUT:
            key = b"k%d" % rng.randrange(KEYS)
            return command(b"OBJ.SET", key, id_, b"c=once,d=3000", b"v")
        return command(b"OBJ.GET", b"k%d" % rng.randrange(KEYS), id_, b"c=lookup,d=3000")

    async def _read(self, reader: asyncio.StreamReader) -> None:
        """Count the answers until the connection ends."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                answer = await read_answer(reader)
                self.answered += 1
                self._rig.refused += answer.startswith(b"-BUSY")

    async def _last_answers(self, reading: asyncio.Task[None]) -> None:
        if reading.done():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS):
                while self.answered < self.sent and not reading.done():
                    await asyncio.sleep(RETRY)
