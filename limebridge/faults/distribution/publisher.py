"""The callers that publish in the simulated world, and what they are answered."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from violetroute.distribution.messages import (
    Message,
    Publish,
    Published,
    PublishStatus,
    Record,
    Topic,
)

from .network import Exchange
from .processes import Process, ProcessClock

if TYPE_CHECKING:
    from .world import World

NAME = "caller"
TIMEOUT_S = 3.0
RETRY_S = 0.2
TRIES_AT_MOST = 40
BURST = 30
LAST = "last"  # key of the publication after the healing


@dataclass
class Attempt:
    """One publication that is under way."""

    id: str
    keys: tuple[str, ...]
    tries: int = 0
    to: str = ""
    exchange: Exchange | None = None


class Publisher(Process):
    """Publishes at a random rate, and asks again where it was not answered."""

    def __init__(self, world: World) -> None:
        super().__init__(world.simulation, NAME, ProcessClock(0.0, 1.0))
        self.world = world
        self._rng = random.Random(f"publisher/{world.plan.seed}")
        self._count = 0
        self.last_position = 0  # of the publication after the healing, once it is committed
        self.committed = 0

    def start(self) -> None:
        """Publish from now on."""
        self.begin()
        self._next()

    def _next(self) -> None:
        self.publish()
        wait = self._rng.expovariate(self.world.plan.publications_per_s)
        self.simulation.after(wait, self._next)

    def publish(self) -> None:
        """One publication of one to three records."""
        self._count += 1
        count = self._rng.choice((1, 1, 1, 3))
        keys = tuple(f"k{self._count}.{number}" for number in range(count))
        self._try(Attempt(f"id{self._count}", keys))

    def burst(self) -> None:
        """Many publications at once."""
        for _ in range(BURST):
            self.publish()

    def publish_last(self) -> None:
        """The publication by which it is seen that all goes on."""
        self._try(Attempt("id-last", (LAST,)))

    def _try(self, attempt: Attempt) -> None:
        attempt.tries += 1
        attempt.to = attempt.to or self._rng.choice(self.world.controls).name
        records = tuple(self._record(key) for key in attempt.keys)
        publish = Publish(attempt.id, records)
        exchange = attempt.exchange = self.world.network.request(
            NAME, attempt.to, publish, lambda reply: self._answered(attempt, reply)
        )
        self.simulation.after(TIMEOUT_S, lambda: self._timed_out(attempt, exchange))

    @staticmethod
    def _record(key: str) -> Record:
        if key.endswith("0") and len(key) % 2:
            return Record(Topic.CONFIGURATION, key, b"text")
        return Record(Topic.PURGE, key)

    def _timed_out(self, attempt: Attempt, exchange: Exchange) -> None:
        if exchange.open:
            self.world.network.abandon(exchange)
            self._answered(attempt, None)

    def _answered(self, attempt: Attempt, reply: Message | None) -> None:
        attempt.to = ""
        if isinstance(reply, Published):
            if reply.status == PublishStatus.COMMITTED:
                self._committed(attempt, reply)
                return
            if reply.status == PublishStatus.UNKNOWN and attempt.keys != (LAST,):
                return
            if reply.status == PublishStatus.NOT_LEADER:
                attempt.to = reply.leader
        if attempt.to not in self.world.network.endpoints:
            attempt.to = ""
        if attempt.tries < TRIES_AT_MOST or attempt.keys == (LAST,):
            self.simulation.after(RETRY_S, lambda: self._try(attempt))

    def _committed(self, attempt: Attempt, reply: Published) -> None:
        self.committed += 1
        now = self.simulation.now
        self.world.note(f"{' '.join(attempt.keys)} is committed at {reply.position}")
        self.world.checker.publication_committed(now, reply.position, reply.fence, attempt.keys)
        if attempt.keys == (LAST,):
            self.last_position = reply.position
