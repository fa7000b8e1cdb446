"""The clients that publish in the simulated world, and the replies that they get."""

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
MAX_ATTEMPTS = 40
BURST_SIZE = 30
LAST_KEY = "last"  # key of the publication that is sent after all faults were undone


@dataclass
class PendingPublication:
    """A publication that is not committed yet; `to` is the machine to which it is sent."""

    id: str
    keys: tuple[str, ...]
    attempts: int = 0
    to: str = ""
    exchange: Exchange | None = None


class Publisher(Process):
    """Publishes at random times.

    A publication is retried up to MAX_ATTEMPTS times, until it is committed or the reply says that
    its outcome is unknown.
    """

    def __init__(self, world: World) -> None:
        super().__init__(world.simulation, NAME, ProcessClock(0.0, 1.0))
        self.world = world
        self._rng = random.Random(f"publisher/{world.plan.seed}")
        self._count = 0
        self.last_position = 0  # position of the publication with LAST_KEY; 0 until it is committed
        self.committed = 0

    def start(self) -> None:
        """Starts to publish at the plan's average rate."""
        self.begin_incarnation()
        self._publish_next()

    def _publish_next(self) -> None:
        self.publish()
        delay = self._rng.expovariate(self.world.plan.publications_per_s)
        self.simulation.schedule_after(delay, self._publish_next)

    def publish(self) -> None:
        """Sends a publication of one or three records."""
        self._count += 1
        count = self._rng.choice((1, 1, 1, 3))
        keys = tuple(f"k{self._count}.{number}" for number in range(count))
        self._send(PendingPublication(f"id{self._count}", keys))

    def burst(self) -> None:
        """Sends BURST_SIZE publications at once."""
        for _ in range(BURST_SIZE):
            self.publish()

    def publish_last(self) -> None:
        """Sends the publication whose commit shows that the machines have recovered.

        Unlike others, it is retried without limit and after every reply but COMMITTED.
        """
        self._send(PendingPublication("id-last", (LAST_KEY,)))

    def _send(self, publication: PendingPublication) -> None:
        publication.attempts += 1
        publication.to = publication.to or self._rng.choice(self.world.controls).name
        records = tuple(self._record(key) for key in publication.keys)
        publish = Publish(publication.id, records)
        exchange = publication.exchange = self.world.network.request(
            NAME, publication.to, publish, lambda reply: self._replied(publication, reply)
        )
        self.simulation.schedule_after(TIMEOUT_S, lambda: self._timed_out(publication, exchange))

    @staticmethod
    def _record(key: str) -> Record:
        if key.endswith("0") and len(key) % 2:
            return Record(Topic.CONFIGURATION, key, b"text")
        return Record(Topic.PURGE, key)

    def _timed_out(self, publication: PendingPublication, exchange: Exchange) -> None:
        if exchange.open:
            self.world.network.abandon(exchange)
            self._replied(publication, None)

    def _replied(self, publication: PendingPublication, reply: Message | None) -> None:
        publication.to = ""
        if isinstance(reply, Published):
            if reply.status == PublishStatus.COMMITTED:
                self._committed(publication, reply)
                return
            if reply.status == PublishStatus.UNKNOWN and publication.keys != (LAST_KEY,):
                return
            if reply.status == PublishStatus.NOT_LEADER:
                publication.to = reply.leader
        if publication.to not in self.world.network.endpoints:
            publication.to = ""
        if publication.attempts < MAX_ATTEMPTS or publication.keys == (LAST_KEY,):
            self.simulation.schedule_after(RETRY_S, lambda: self._send(publication))

    def _committed(self, publication: PendingPublication, reply: Published) -> None:
        self.committed += 1
        now = self.simulation.now
        self.world.note(f"{' '.join(publication.keys)} is committed at {reply.position}")
        self.world.checker.publication_committed(now, reply.position, reply.fence, publication.keys)
        if publication.keys == (LAST_KEY,):
            self.last_position = reply.position
