"""A client of an explored run: all that it sees is judged."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from limebridge.rules import RuleChecker
from limebridge.standins.wire import read_answer

from .network import Network

CLASSES: list[dict[str, Any]] = [
    {"name": "lookup", "promiseMs": 300.0, "deadlineMs": 600.0, "effect": "pure", "worth": 2.0},
    {
        "name": "optout",
        "promiseMs": 300.0,
        "deadlineMs": 1200.0,
        "effect": "token",
        "group": "all",
        "keyTtlMs": 800.0,
        "worth": 5.0,
    },
    {"name": "once", "promiseMs": 300.0, "deadlineMs": 1500.0, "effect": "side_effect"},
]
WAITS = {c["name"]: c["deadlineMs"] / 1000.0 for c in CLASSES}


class RunContext(Protocol):
    """What a client asks of the run it is in."""

    checker: RuleChecker
    keys: dict[str, bytes]
    port: int

    @property
    def kernel(self) -> Network: ...
    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...
    @property
    def leaving(self) -> dict[Any, list[str]]: ...
    def note(self, text: str) -> None: ...
    def start(self, work: Any) -> None: ...


class Client:
    """One connection at a time; answers in order; asks again on a new one when it closes."""

    def __init__(self, world: RunContext, number: int) -> None:
        self._world, self.number = world, number
        self._writer: asyncio.StreamWriter | None = None
        self.open: dict[str, asyncio.TimerHandle] = {}
        self._opening = asyncio.Lock()
        self._leaving = False

    async def ask(self, id_: str, words: bytes, cls: str) -> None:
        """Write one question; on a connection of its own time where there is none."""
        world = self._world
        async with self._opening:
            if self._writer is None or self._writer.transport.is_closing():
                self._leaving = False
                try:
                    reader, self._writer = await asyncio.open_connection("127.0.0.1", world.port)
                except OSError:
                    return  # the proxy is away: nothing was taken
                world.start(self._read(reader, self._writer))
            writer = self._writer
        writer.write(words)
        now, wait = world.kernel.now, WAITS[cls]
        world.checker.request_sent(now, id_, cls, wait)
        world.note(f"asked {id_} {cls} by {self.number}")
        self.open[id_] = world.loop.call_at(now + wait, self._expire, id_)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        world = self._world
        try:
            while True:
                answer = await read_answer(reader)
                kind = (
                    "refused"
                    if answer.startswith(b"-BUSY")
                    else "failed"
                    if answer.startswith(b"-")
                    else "served"
                )
                if not self.open:
                    world.checker.unexpected_answer(world.kernel.now, repr(answer[:40]))
                    break
                id_ = next(iter(self.open))
                self.open.pop(id_).cancel()
                if kind == "served" and answer not in (
                    b"stored",
                    b"template of " + world.keys[id_],
                ):
                    world.checker.report_fault(
                        world.kernel.now, f"{id_} got another's answer: {answer!r}"
                    )
                world.note(f"{kind} {id_}")
                world.checker.answered(world.kernel.now, id_, kind)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        writer.close()
        for id_, timer in self.open.items():
            timer.cancel()
            if not self._leaving:
                world.note(f"closed under {id_}")
                world.checker.connection_closed(world.kernel.now, id_)
        self.open.clear()

    def _expire(self, id_: str) -> None:
        world = self._world
        if next(iter(self.open), id_) != id_:  # it asked behind one that may take longer, and
            world.checker.excuse(id_)  # answers come in order: only the first can be judged
        self.open.pop(id_, None)
        world.note(f"expired {id_}")
        world.checker.expired(world.kernel.now, id_)
        self.leave()

    def leave(self) -> None:
        """Go away with whatever is open."""
        world = self._world
        self._leaving = True
        for id_, timer in self.open.items():
            timer.cancel()
            world.checker.client_gone(world.kernel.now, id_)
        if self._writer is not None:
            world.leaving[self._writer.get_extra_info("socket")._sock] = list(self.open)
            self._writer.transport.abort()

    def close(self) -> None:
        self._leaving = True
        if self._writer is not None:
            self._writer.close()
