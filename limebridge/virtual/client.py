"""Client of an explored run; it reports the outcome of each request to the rule checker."""

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
# Time in s for which a client waits for a response, by class.
WAITS = {c["name"]: c["deadlineMs"] / 1000.0 for c in CLASSES}


class RunContext(Protocol):
    """The attributes of `World` that a client uses."""

    checker: RuleChecker
    keys: dict[str, bytes]
    port: int

    @property
    def kernel(self) -> Network:
        """The simulated network, which has the clock."""
        ...

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the simulation."""
        ...

    @property
    def leaving(self) -> dict[Any, list[str]]:
        """Open requests of departed clients, by client socket, until its FIN or RST arrives."""
        ...

    def note(self, text: str) -> None:
        """Add a line to the trace, with the time since the start of the run."""
        ...

    def start(self, work: Any) -> None:
        """Run the coroutine `work` as a task; the reference to it is kept until it ends."""
        ...


class Client:
    """Client with one connection at a time; it reconnects for the next request after a close.

    Responses belong to requests in the order of sending.  `open` holds the open requests and the
    timers of their deadlines.
    """

    def __init__(self, world: RunContext, number: int) -> None:
        self._world, self.number = world, number
        self._writer: asyncio.StreamWriter | None = None
        self.open: dict[str, asyncio.TimerHandle] = {}
        self._opening = asyncio.Lock()
        self._leaving = False

    async def send_request(self, id_: str, request: bytes, class_name: str) -> None:
        """Send one request, on a new connection if there is none; responses are read by a task."""
        world = self._world
        async with self._opening:
            if self._writer is None or self._writer.transport.is_closing():
                self._leaving = False
                try:
                    reader, self._writer = await asyncio.open_connection("127.0.0.1", world.port)
                except OSError:
                    return  # the proxy is unavailable: nothing was sent
                world.start(self._read(reader, self._writer))
            writer = self._writer
        writer.write(request)
        now, wait = world.kernel.now, WAITS[class_name]
        world.checker.request_sent(now, id_, class_name, wait)
        world.note(f"asked {id_} {class_name} by {self.number}")
        self.open[id_] = world.loop.call_at(now + wait, self._expire, id_)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        world = self._world
        try:
            while True:
                answer = await read_answer(reader)
                outcome = (
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
                if outcome == "served" and answer not in (
                    b"stored",
                    b"template of " + world.keys[id_],
                ):
                    world.checker.report_fault(
                        world.kernel.now, f"{id_} got another's answer: {answer!r}"
                    )
                world.note(f"{outcome} {id_}")
                world.checker.answered(world.kernel.now, id_, outcome)
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
        # Responses come in order, so only the first open request is checked: the response to a
        # later one may be delayed by an earlier one with a longer deadline.
        if next(iter(self.open), id_) != id_:
            world.checker.excuse(id_)
        self.open.pop(id_, None)
        world.note(f"expired {id_}")
        world.checker.expired(world.kernel.now, id_)
        self.leave()

    def leave(self) -> None:
        """Reset the connection and give up its open requests."""
        world = self._world
        self._leaving = True
        for id_, timer in self.open.items():
            timer.cancel()
            world.checker.client_gone(world.kernel.now, id_)
        if self._writer is not None:
            world.leaving[self._writer.get_extra_info("socket")._sock] = list(self.open)
            self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection at the end of the run."""
        self._leaving = True
        if self._writer is not None:
            self._writer.close()
