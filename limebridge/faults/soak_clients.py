"""Clients of a soak: they keep their connections and go on using them while the daemon drains."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Mapping

from limebridge.standins.wire import command, read_answer

from .soak_plan import SoakPlan, SoakResult
from .violation import Violation

CLASSES = (b"lookup", b"lookup", b"lookup", b"optout", b"once")
WAITS = (0.2, 0.5, 1.0)  # shares of the longest deadline that a client waits
LATE = 0.5  # s after its time in which an answer only earns nothing
CROSSING = 0.25  # s before a close in which a request may not have been read
CONNECTS_FOR = 0.3  # s after SIGTERM in which new connections come
LEAST_SERVED = 0.5  # of the requests before SIGTERM, where no crowd fills the descriptors
PIPELINED = 0.2  # share of requests that are written behind another one


class Question:
    """One request and what became of it."""

    __slots__ = ("answer", "answered_at", "before", "closed_at", "id", "sent_at", "wait")

    def __init__(self, id_: bytes, sent_at: float, wait: float) -> None:
        self.id, self.sent_at, self.wait = id_, sent_at, wait
        self.before: Question | None = None  # whose answer has to come first
        self.answer: bytes | None = None
        self.answered_at = self.closed_at = 0.0

    @property
    def late_by(self) -> float:
        """s beyond its time.  Waiting for the answer before it does not count."""
        due = self.sent_at + self.wait
        if self.before is not None:
            due = max(due, self.before.answered_at)
        return self.answered_at - due

    @property
    def preceding_answer_at(self) -> float:
        """When the last answer before its own came; 0.0 if no request before it was answered."""
        preceding = self.before
        while preceding is not None and not preceding.answered_at:
            preceding = preceding.before
        return 0.0 if preceding is None else preceding.answered_at


class SoakClient:
    """One connection after another; answers come in the order of its questions."""

    def __init__(self, port: int, clients: SoakClients) -> None:
        self._port, self._clients = port, clients
        self._open: deque[Question] = deque()
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def connected(self) -> bool:
        return self._writer is not None

    @property
    def busy(self) -> bool:
        """Whether it waits for an answer."""
        return bool(self._open)

    async def connect(self) -> None:
        """Nothing where nobody accepts."""
        try:
            reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return
        self._reading = asyncio.create_task(self._read(reader))

    def ask(self, words: bytes, question: Question) -> None:
        assert self._writer is not None
        question.before = self._open[-1] if self._open else None
        self._open.append(question)
        self._writer.write(words)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                answer = await read_answer(reader)
                if not self._open:
                    self._clients.unasked.append(answer)
                    continue
                question = self._open.popleft()
                question.answer, question.answered_at = answer, loop.time()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            for question in self._open:
                question.closed_at = loop.time()
            self._open.clear()
            if self._writer is not None:
                self._writer.close()
            self._writer = None

    async def close(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.gather(self._reading, return_exceptions=True)


class SoakClients:
    """All of them.  `arrivals`: how often nodes got a command, by its id."""

    def __init__(self, plan: SoakPlan, port: int, arrivals: Mapping[bytes, int]) -> None:
        self._plan, self._arrivals = plan, arrivals
        self._random = random.Random(f"soak/{plan.seed}/clients")
        self._clients = [SoakClient(port, self) for _ in range(plan.clients)]
        self._idle = [SoakClient(port, self) for _ in range(plan.idle_clients)]
        self._questions: list[Question] = []
        self._began = 0.0
        self.unasked: list[bytes] = []

    async def begin(self) -> None:
        """Connect; a crowd of idle ones comes with the others."""
        await asyncio.gather(*(client.connect() for client in self._clients + self._idle))

    async def play(self, began: float) -> None:
        """Ask until it is cancelled: also while the daemon drains, where a connection is open."""
        self._began, loop = began, asyncio.get_running_loop()
        until = self._plan.ends_at + CONNECTS_FOR
        at = loop.time()
        while True:
            at += self._random.expovariate(self._plan.rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            client = self._random.choice(self._clients)
            if not client.connected and loop.time() - began < until:
                await client.connect()
            if client.connected and (not client.busy or self._random.random() < PIPELINED):
                self._ask(client)

    def _ask(self, client: SoakClient) -> None:
        wait = self._plan.deadline * self._random.choice(WAITS)
        class_name = self._random.choice(CLASSES)
        id_ = b"%016x" % self._random.getrandbits(64)
        key = b"key%d" % min(1000, int(self._random.paretovariate(0.9)))
        fields = b"c=%b,t=x,d=%d" % (class_name, wait * 1e3)
        question = Question(id_, asyncio.get_running_loop().time(), wait)
        self._questions.append(question)
        if class_name == b"lookup":
            client.ask(command(b"OBJ.GET", key, id_, fields), question)
        else:
            client.ask(command(b"OBJ.SET", key, id_, fields + b",k=" + id_, b"value"), question)

    async def close(self) -> None:
        for client in self._clients + self._idle:
            await client.close()

    def judge(self, result: SoakResult, ended_at: float) -> None:
        """Each question has one answer in its time, or was never read."""
        before = served = 0
        for question in self._questions:
            result.asked += 1
            at = question.sent_at - self._began
            if question.answer is None:
                self._judge_unanswered(result, question, at, ended_at)
                continue
            if question.answer.startswith(b"-BUSY"):
                result.refused += 1
            elif not question.answer.startswith(b"-"):
                result.served += 1
            if question.late_by > LATE:
                text = f"{question.id.decode()} answered {question.late_by:.3f} s late"
                self._broken(result, at, text)
            if at < self._plan.ends_at:
                before += 1
                served += not question.answer.startswith(b"-")
        if served < LEAST_SERVED * before and not self._idle:
            text = f"{served} of {before} requests before the end were served"
            result.broken.append(Violation("served", text))
        if self.unasked:
            self._broken(result, 0.0, f"{len(self.unasked)} answers that nobody asked for")

    def _judge_unanswered(
        self, result: SoakResult, question: Question, at: float, ended_at: float
    ) -> None:
        closed_at = question.closed_at - self._began if question.closed_at else ended_at
        stood = closed_at - at
        if question.preceding_answer_at:
            # The connection may end with the last answer, and what was sent behind it is unread.
            stood = min(stood, closed_at + self._began - question.preceding_answer_at)
        name = question.id.decode()
        if self._arrivals.get(question.id):
            self._broken(result, at, f"{name} came to a node and got no answer")
        elif stood > CROSSING and stood <= question.wait + LATE:
            self._broken(result, at, f"{name} stood for {stood:.3f} s on a connection that closed")
        elif stood > CROSSING:
            self._broken(result, at, f"{name} got no answer in its time")
        else:
            result.crossed += 1

    def _broken(self, result: SoakResult, at: float, text: str) -> None:
        result.broken.append(Violation("lost", f"{at:.3f} s: {text}"))
