"""Clients that ask at the times they drew, whether or not answers come (open loop).

Waiting for one answer before the next question would hide just the delays that are looked
for (coordinated omission), so a client whose answer is late pipelines the next question.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable, Coroutine

from .wire import command


class Ask:
    """One question and what became of it."""

    __slots__ = ("answered_at", "asked_at", "client", "ends_at", "kind", "sent", "words")

    def __init__(self, client: int, asked_at: float, ends_at: float, words: bytes) -> None:
        self.words, self.sent = words, 0
        self.client, self.asked_at, self.ends_at = client, asked_at, ends_at
        self.answered_at = 0.0
        self.kind = ""  # served, refused, failed, expired (no answer in time), closed


class _Connection(asyncio.Protocol):
    """Its own kept connection; answers come in the order of the questions."""

    def __init__(self, owner: Client) -> None:
        self._owner = owner
        self._buffer = bytearray()
        self.open: deque[Ask] = deque()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self.open and (end := self._answer()):
            kind = {b"$": "served", b"*": "served"}.get(bytes(self._buffer[:1]))
            kind = kind or ("refused" if self._buffer.startswith(b"-BUSY") else "failed")
            del self._buffer[:end]
            self._owner.ended(self.open.popleft(), kind)

    def _answer(self) -> int:
        """Where the first answer ends; 0 when it is not whole."""
        buffer = self._buffer
        line = buffer.find(b"\r\n") + 2
        if line < 2:
            return 0
        if buffer[:1] == b"$":
            end = line + int(buffer[1 : line - 2]) + 2
        elif buffer[:1] == b"*":  # straight from a node: value, how it went, null
            second = buffer.find(b"\r\n", line) + 2
            if second < 2:
                return 0
            after = second + int(buffer[line + 1 : second - 2]) + 2
            end = buffer.find(b"\r\n$-1\r\n", after) + 7
            if end < 7:
                return 0
        else:
            return line
        return end if len(buffer) >= end else 0

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        while self.open:
            self._owner.crossed(self.open.popleft())


class Client:
    """One connection at a time; asks on it and gives up on it when an answer is late."""

    def __init__(self, crowd: Crowd, number: int) -> None:
        self._crowd, self._number = crowd, number
        self._connection: _Connection | None = None

    async def connect(self) -> None:
        _, self._connection = await self._crowd.loop.create_connection(
            lambda: _Connection(self), "127.0.0.1", self._crowd.port
        )

    def ask(self, words: bytes, wait: float) -> None:
        now = self._crowd.loop.time()
        ask = Ask(self._number, now, now + wait, words)
        self._crowd.loop.call_at(ask.ends_at, self._expire, ask)
        self._send(ask)

    def _send(self, ask: Ask) -> None:
        connection = self._connection
        if connection is None or connection.transport is None or connection.transport.is_closing():
            self._crowd.start(self._send_anew(ask))
            return
        ask.sent += 1
        connection.open.append(ask)
        connection.transport.write(ask.words)

    async def _send_anew(self, ask: Ask) -> None:
        try:
            connection = self._connection
            if (
                connection is None
                or connection.transport is None
                or connection.transport.is_closing()
            ):
                await self.connect()
        except OSError:
            self.ended(ask, "closed")
            return
        if not ask.kind:
            self._send(ask)

    def crossed(self, ask: Ask) -> None:
        """The connection ended under it: once more on a new one, as the protocol says."""
        if ask.sent > 1:
            self.ended(ask, "closed")
        elif not ask.kind:
            self._send(ask)

    def _expire(self, ask: Ask) -> None:
        if ask.kind:
            return
        self.ended(ask, "expired")
        connection = self._connection
        if connection is not None and ask in connection.open:
            connection.open.remove(ask)
            if connection.transport is not None:
                connection.transport.abort()

    def ended(self, ask: Ask, kind: str) -> None:
        if not ask.kind:
            ask.kind, ask.answered_at = kind, self._crowd.loop.time()
            self._crowd.asks.append(ask)

    def close(self) -> None:
        if self._connection is not None and self._connection.transport is not None:
            self._connection.transport.abort()


class Crowd:
    """Clients that together ask `rate` times a second, Poisson, for `seconds`."""

    def __init__(
        self,
        port: int,
        clients: int,
        seed: int = 1,
        keys: int = 1000,
        wait: float = 0.6,
        told: bytes = b"",
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.port, self._keys, self._wait = port, keys, wait
        self._told = told or b"%d" % int(wait * 1000.0)  # ms, as the proxy hears it
        self._random = random.Random(seed)
        self.clients = [Client(self, number) for number in range(clients)]
        self.asks: list[Ask] = []  # in the order of their ends
        self._tasks: set[asyncio.Task[None]] = set()
        self.asked = 0
        self.late = 0.0  # s, how far behind its own schedule the crowd has been at worst

    def start(self, work: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def connect(self) -> None:
        for client in self.clients:
            await client.connect()

    async def play(
        self,
        rate: float,
        seconds: float,
        pick: Callable[[int], Client | None] = lambda number: None,
        burst: int = 1,
    ) -> None:
        """Returns when the last question has been asked; `pick` may say who asks the nth.

        Questions come `burst` at a time.
        """
        start = at = self.loop.time()
        while at - start < seconds:
            now = self.loop.time()
            if at > now:
                await asyncio.sleep(at - now)
            else:
                self.late = max(self.late, now - at)
            self.ask(pick(self.asked + 1) or self._random.choice(self.clients))
            if self.asked % burst == 0:
                at += self._random.expovariate(rate / burst)

    def ask(self, client: Client) -> None:
        """One question of this client, now."""
        self.asked += 1
        client.ask(self._words(), self._wait)

    def _words(self) -> bytes:
        key = b"key%d" % min(self._keys, int(self._random.paretovariate(0.9)))
        return command(
            b"OBJ.GET",
            key,
            b"%016x" % self._random.getrandbits(64),
            b"c=lookup,t=x,d=" + self._told,
        )

    async def rest(self) -> None:
        """Until each question has had its end."""
        async with asyncio.timeout(self._wait + 5.0):
            while len(self.asks) < self.asked:
                await asyncio.sleep(0.01)

    def kinds(self, since: float = 0.0, until: float = float("inf")) -> Counter[str]:
        return Counter(a.kind for a in self.asks if since <= a.asked_at < until)

    def close(self) -> None:
        for client in self.clients:
            client.close()
