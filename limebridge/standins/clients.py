"""Open-loop load: clients send at random times, whether or not earlier answers have arrived.

Waiting for an answer before the next request would hide the very delays to be measured
(coordinated omission), so a client whose answer is late pipelines its next request.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable, Coroutine

from .wire import command


class ClientRequest:
    """One request and its outcome; times are seconds of the event loop's clock."""

    __slots__ = (
        "attempts",
        "client",
        "command_bytes",
        "deadline",
        "ended_at",
        "outcome",
        "sent_at",
    )

    def __init__(self, client: int, sent_at: float, deadline: float, command_bytes: bytes) -> None:
        self.command_bytes, self.attempts = command_bytes, 0
        self.client, self.sent_at, self.deadline = client, sent_at, deadline
        self.ended_at = 0.0
        self.outcome = ""  # served, refused, failed, expired (no answer in time), closed


class _Connection(asyncio.Protocol):
    """A client's persistent connection; answers arrive in the order of the requests."""

    def __init__(self, owner: Client) -> None:
        self._owner = owner
        self._buffer = bytearray()
        self.open: deque[ClientRequest] = deque()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self.open and (end := self._answer_length()):
            outcome = {b"$": "served", b"*": "served"}.get(bytes(self._buffer[:1]))
            outcome = outcome or ("refused" if self._buffer.startswith(b"-BUSY") else "failed")
            del self._buffer[:end]
            self._owner.ended(self.open.popleft(), outcome)

    def _answer_length(self) -> int:
        """Length in bytes of the first buffered answer; 0 while it is incomplete."""
        buffer = self._buffer
        line = buffer.find(b"\r\n") + 2
        if line < 2:
            return 0
        if buffer[:1] == b"$":
            end = line + int(buffer[1 : line - 2]) + 2
        elif buffer[:1] == b"*":  # directly from a cache node: value, hit or miss, null
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
            self._owner.connection_lost(self.open.popleft())


class Client:
    """Uses one connection at a time, and aborts it when an answer misses its deadline."""

    def __init__(self, generator: LoadGenerator, number: int) -> None:
        self._generator, self._number = generator, number
        self._connection: _Connection | None = None

    async def connect(self) -> None:
        """Open a connection.  Raises OSError."""
        _, self._connection = await self._generator.loop.create_connection(
            lambda: _Connection(self), "127.0.0.1", self._generator.port
        )

    def send_request(self, command_bytes: bytes, wait: float) -> None:
        """Send a command that expires after `wait` seconds."""
        now = self._generator.loop.time()
        request = ClientRequest(self._number, now, now + wait, command_bytes)
        self._generator.loop.call_at(request.deadline, self._expire, request)
        self._send(request)

    def _send(self, request: ClientRequest) -> None:
        connection = self._connection
        if connection is None or connection.transport is None or connection.transport.is_closing():
            self._generator.start(self._send_on_new_connection(request))
            return
        request.attempts += 1
        connection.open.append(request)
        connection.transport.write(request.command_bytes)

    async def _send_on_new_connection(self, request: ClientRequest) -> None:
        try:
            connection = self._connection
            if (
                connection is None
                or connection.transport is None
                or connection.transport.is_closing()
            ):
                await self.connect()
        except OSError:
            self.ended(request, "closed")
            return
        if not request.outcome:
            self._send(request)

    def connection_lost(self, request: ClientRequest) -> None:
        """Resend a request once on a new connection after its own ended: the protocol allows it."""
        if request.attempts > 1:
            self.ended(request, "closed")
        elif not request.outcome:
            self._send(request)

    def _expire(self, request: ClientRequest) -> None:
        if request.outcome:
            return
        self.ended(request, "expired")
        connection = self._connection
        if connection is not None and request in connection.open:
            connection.open.remove(request)
            if connection.transport is not None:
                connection.transport.abort()

    def ended(self, request: ClientRequest, outcome: str) -> None:
        """Record the first outcome of a request."""
        if not request.outcome:
            request.outcome, request.ended_at = outcome, self._generator.loop.time()
            self._generator.finished.append(request)

    def close(self) -> None:
        """Abort the connection, if one is open."""
        if self._connection is not None and self._connection.transport is not None:
            self._connection.transport.abort()


class LoadGenerator:
    """A number of clients that share one Poisson process of requests.

    `wait`: seconds until a request expires.  `wait_field`: the wait that requests announce to the
    proxy, in milliseconds; by default the same.
    """

    def __init__(
        self,
        port: int,
        clients: int,
        seed: int = 1,
        keys: int = 1000,
        wait: float = 0.6,
        wait_field: bytes = b"",
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.port, self._keys, self._wait = port, keys, wait
        self._wait_field = wait_field or b"%d" % int(wait * 1000.0)  # ms
        self._random = random.Random(seed)
        self.clients = [Client(self, number) for number in range(clients)]
        self.finished: list[ClientRequest] = []  # in order of completion
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent = 0
        self.max_lag = 0.0  # s that sending has been behind its schedule, at most

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task, which is kept from garbage collection."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def connect(self) -> None:
        """Connect all clients.  Raises OSError."""
        for client in self.clients:
            await client.connect()

    async def run(
        self,
        rate: float,
        seconds: float,
        pick: Callable[[int], Client | None] = lambda number: None,
        burst: int = 1,
    ) -> None:
        """Send `rate` requests per second for `seconds`; return when the last one is sent.

        `pick` may choose the client of the nth request.  Requests are sent `burst` at a time.
        """
        start = at = self.loop.time()
        while at - start < seconds:
            now = self.loop.time()
            if at > now:
                await asyncio.sleep(at - now)
            else:
                self.max_lag = max(self.max_lag, now - at)
            self.send_request(pick(self.sent + 1) or self._random.choice(self.clients))
            if self.sent % burst == 0:
                at += self._random.expovariate(rate / burst)

    def send_request(self, client: Client) -> None:
        """Send one request from this client now."""
        self.sent += 1
        client.send_request(self._command(), self._wait)

    def _command(self) -> bytes:
        key = b"key%d" % min(self._keys, int(self._random.paretovariate(0.9)))
        return command(
            b"OBJ.GET",
            key,
            b"%016x" % self._random.getrandbits(64),
            b"c=lookup,t=x,d=" + self._wait_field,
        )

    async def wait_for_answers(self) -> None:
        """Return once every request has an outcome."""
        async with asyncio.timeout(self._wait + 5.0):
            while len(self.finished) < self.sent:
                await asyncio.sleep(0.01)

    def count_outcomes(self, since: float = 0.0, until: float = float("inf")) -> Counter[str]:
        """Number of requests per outcome, of those sent in this interval."""
        return Counter(a.outcome for a in self.finished if since <= a.sent_at < until)

    def close(self) -> None:
        """Abort the connections of all clients."""
        for client in self.clients:
            client.close()
