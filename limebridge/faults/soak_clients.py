"""Clients of a soak, which go on using their connections while the daemon drains."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Mapping

from limebridge.standins.wire import command, read_answer

from .soak_plan import SoakPlan, SoakResult
from .violation import Violation

CLASSES = (b"lookup", b"lookup", b"lookup", b"optout", b"once")
DEADLINE_SHARES = (0.2, 0.5, 1.0)  # deadlines of requests, as shares of the longest one
MAX_LATENESS_S = 0.5  # s by which an answer may exceed its deadline without being a violation
CROSSING_S = 0.25  # s before a close, in which the daemon may not have read a request
CONNECT_PERIOD_S = 0.3  # s after SIGTERM, in which clients still open connections
# Share of the requests before SIGTERM that must be served, if no idle clients use up the
# descriptors.
MIN_SERVED_SHARE = 0.5
PIPELINED_SHARE = 0.2  # share of requests that are sent before the previous one is answered


class Request:
    """One request and its answer.  Times are in s of the event loop's clock, 0.0 if not known."""

    __slots__ = ("answer", "answered_at", "closed_at", "deadline_s", "id", "previous", "sent_at")

    def __init__(self, id_: bytes, sent_at: float, deadline_s: float) -> None:
        self.id, self.sent_at, self.deadline_s = id_, sent_at, deadline_s
        self.previous: Request | None = None  # answered first, on the same connection
        self.answer: bytes | None = None
        self.answered_at = self.closed_at = 0.0

    @property
    def late_by(self) -> float:
        """s after its deadline, without the wait for the previous answer on the connection."""
        due = self.sent_at + self.deadline_s
        if self.previous is not None:
            due = max(due, self.previous.answered_at)
        return self.answered_at - due

    @property
    def preceding_answer_at(self) -> float:
        """When the latest answered request before it was answered; 0.0 if there is none."""
        preceding = self.previous
        while preceding is not None and not preceding.answered_at:
            preceding = preceding.previous
        return 0.0 if preceding is None else preceding.answered_at


class SoakClient:
    """A client with at most one connection; answers arrive in the order of its requests."""

    def __init__(self, port: int, clients: SoakClients) -> None:
        self._port, self._clients = port, clients
        self._open: deque[Request] = deque()
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def connected(self) -> bool:
        """Whether its connection is open."""
        return self._writer is not None

    @property
    def busy(self) -> bool:
        """Whether a request is unanswered."""
        return bool(self._open)

    async def connect(self) -> None:
        """Connect; if the connection is refused, it stays unconnected."""
        try:
            reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return
        self._reading = asyncio.create_task(self._read(reader))

    def send(self, words: bytes, request: Request) -> None:
        """Write a request, given as encoded words, to the open connection."""
        assert self._writer is not None
        request.previous = self._open[-1] if self._open else None
        self._open.append(request)
        self._writer.write(words)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                answer = await read_answer(reader)
                if not self._open:
                    self._clients.unexpected_answers.append(answer)
                    continue
                request = self._open.popleft()
                request.answer, request.answered_at = answer, loop.time()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            for request in self._open:
                request.closed_at = loop.time()
            self._open.clear()
            if self._writer is not None:
                self._writer.close()
            self._writer = None

    async def close(self) -> None:
        """Stop reading, which closes the connection."""
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.gather(self._reading, return_exceptions=True)


class SoakClients:
    """All clients of a soak.  `arrivals`: how often nodes received a command, by its id."""

    def __init__(self, plan: SoakPlan, port: int, arrivals: Mapping[bytes, int]) -> None:
        self._plan, self._arrivals = plan, arrivals
        self._rng = random.Random(f"soak/{plan.seed}/clients")
        self._clients = [SoakClient(port, self) for _ in range(plan.clients)]
        self._idle = [SoakClient(port, self) for _ in range(plan.idle_clients)]
        self._requests: list[Request] = []
        self._started_at = 0.0
        self.unexpected_answers: list[bytes] = []

    async def connect(self) -> None:
        """Connect all clients, the idle ones too."""
        await asyncio.gather(*(client.connect() for client in self._clients + self._idle))

    async def run(self, started_at: float) -> None:
        """Send requests until cancelled; while the daemon drains, on the connections still open.

        `started_at`: start of the plan by the event loop's clock.
        """
        self._started_at, loop = started_at, asyncio.get_running_loop()
        until = self._plan.ends_at + CONNECT_PERIOD_S
        at = loop.time()
        while True:
            at += self._rng.expovariate(self._plan.rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            client = self._rng.choice(self._clients)
            if not client.connected and loop.time() - started_at < until:
                await client.connect()
            if client.connected and (not client.busy or self._rng.random() < PIPELINED_SHARE):
                self._send_request(client)

    def _send_request(self, client: SoakClient) -> None:
        deadline_s = self._plan.deadline * self._rng.choice(DEADLINE_SHARES)
        class_name = self._rng.choice(CLASSES)
        id_ = b"%016x" % self._rng.getrandbits(64)
        key = b"key%d" % min(1000, int(self._rng.paretovariate(0.9)))
        fields = b"c=%b,t=x,d=%d" % (class_name, deadline_s * 1e3)
        request = Request(id_, asyncio.get_running_loop().time(), deadline_s)
        self._requests.append(request)
        if class_name == b"lookup":
            client.send(command(b"OBJ.GET", key, id_, fields), request)
        else:
            client.send(command(b"OBJ.SET", key, id_, fields + b",k=" + id_, b"value"), request)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients + self._idle:
            await client.close()

    def check(self, result: SoakResult, ended_at: float) -> None:
        """Check that each request has one answer in time, or was never read by the daemon.

        `ended_at`: when the daemon ended, in s from the start of the plan.
        """
        sent_before = served = 0
        for request in self._requests:
            result.asked += 1
            at = request.sent_at - self._started_at
            if request.answer is None:
                self._check_unanswered(result, request, at, ended_at)
                continue
            if request.answer.startswith(b"-BUSY"):
                result.refused += 1
            elif not request.answer.startswith(b"-"):
                result.served += 1
            if request.late_by > MAX_LATENESS_S:
                text = f"{request.id.decode()} answered {request.late_by:.3f} s late"
                self._report_lost(result, at, text)
            if at < self._plan.ends_at:
                sent_before += 1
                served += not request.answer.startswith(b"-")
        if served < MIN_SERVED_SHARE * sent_before and not self._idle:
            text = f"{served} of {sent_before} requests before SIGTERM were served"
            result.broken.append(Violation("served", text))
        if self.unexpected_answers:
            self._report_lost(
                result, 0.0, f"{len(self.unexpected_answers)} answers without a request"
            )

    def _check_unanswered(
        self, result: SoakResult, request: Request, at: float, ended_at: float
    ) -> None:
        closed_at = request.closed_at - self._started_at if request.closed_at else ended_at
        readable_for = closed_at - at
        if request.preceding_answer_at:
            # The daemon may close after its last answer without reading the requests after it.
            readable_for = min(
                readable_for, closed_at + self._started_at - request.preceding_answer_at
            )
        name = request.id.decode()
        if self._arrivals.get(request.id):
            self._report_lost(result, at, f"{name} reached a node and got no answer")
        elif readable_for > CROSSING_S and readable_for <= request.deadline_s + MAX_LATENESS_S:
            self._report_lost(
                result, at, f"{name} could have been read for {readable_for:.3f} s before the close"
            )
        elif readable_for > CROSSING_S:
            self._report_lost(result, at, f"{name} got no answer by its deadline")
        else:
            result.crossed += 1

    def _report_lost(self, result: SoakResult, at: float, text: str) -> None:
        result.broken.append(Violation("lost", f"{at:.3f} s: {text}"))
