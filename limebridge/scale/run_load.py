"""The load of a scale run: purges with a burst, changes of configuration, looks at the leader."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from violetroute.distribution.messages import PublishStatus, Record, Topic

from .control_client import ControlClient
from .run_plan import BURST_SHARE, RunPlan

KEY_BYTES = 48  # of a purge
CHANGED_TABLE = "log"  # of the operator's file: every proxy can take it on
CHANGE_BYTES = 1024  # of a changed table's text, padded with a comment
STATUS_POLL_INTERVAL_S = 0.2  # between two looks at the status
BURST_START_SHARE = 0.5  # share of the time at which the burst begins


class Publication(msgspec.Struct, kw_only=True):
    """One record that was published.  Times are CLOCK_MONOTONIC."""

    topic: Topic
    published_at: float
    answered_at: float = 0.0
    answer: str = "none"  # a PublishStatus by name, or "none"
    position: int = 0

    @property
    def committed(self) -> bool:
        """Whether it was answered so."""
        return self.answer == PublishStatus.COMMITTED.name


class StatusSample(msgspec.Struct, frozen=True):
    """What the leader said at one time."""

    at: float  # its answer was here
    commit: int
    applied: int
    in_force: int
    sessions: int
    stale: int


class PublicationLoad:
    """Publishes until it is stopped, and keeps what came of it."""

    def __init__(self, plan: RunPlan, client: ControlClient) -> None:
        self._plan, self._client = plan, client
        self._tasks: set[asyncio.Task[None]] = set()
        self.publications: list[Publication] = []
        self._numbers = itertools.count()  # each publication's own: an id is published once
        self.status_samples: list[StatusSample] = []
        self._status_task = asyncio.get_running_loop().create_task(self._poll_status())

    async def publish(self) -> None:
        """Purges and changes for the plan's seconds, at times drawn from its seed."""
        plan = self._plan
        await asyncio.gather(
            self._publish_at_rate(self._purge_rate, self._purge, f"load/{plan.seed}"),
            self._publish_at_rate(lambda _: plan.changes, self._change, f"changes/{plan.seed}"),
        )

    async def _publish_at_rate(
        self, rate: Callable[[float], float], make_record: Callable[[int], Record], seed: str
    ) -> None:
        """A Poisson process of publications; `rate` is a second, by the time since the start."""
        rng = random.Random(seed)
        began = time.monotonic()
        due = 0.0
        while (current_rate := rate(due)) > 0.0:
            due += rng.expovariate(current_rate)
            if due >= self._plan.seconds:
                break
            await asyncio.sleep(max(0.0, began + due - time.monotonic()))
            number = next(self._numbers)
            task = asyncio.create_task(self._publish_one(number, make_record(number)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _purge_rate(self, at: float) -> float:
        plan = self._plan
        first = BURST_START_SHARE * plan.seconds
        in_burst = first <= at < first + BURST_SHARE * plan.seconds
        return plan.purges * (plan.burst if in_burst else 1.0)

    def _purge(self, number: int) -> Record:
        key = f"run/{self._plan.seed}/{number}/".ljust(KEY_BYTES, "x")
        return Record(Topic.PURGE, key)

    def _change(self, number: int) -> Record:
        """A table that differs from the one before."""
        text = f'format = "json"\n[events]\n"daemon.paused" = {1.0 + number / 1000.0}\n#'
        return Record(Topic.CONFIGURATION, CHANGED_TABLE, text.ljust(CHANGE_BYTES, "x").encode())

    async def _publish_one(self, number: int, make_record: Record) -> None:
        publication = Publication(topic=Topic(make_record.topic), published_at=time.monotonic())
        self.publications.append(publication)
        reply = await self._client.publish(number, make_record)
        publication.answered_at = time.monotonic()
        if reply is not None:
            publication.answer = PublishStatus(reply.status).name
            publication.position = reply.position

    async def wait_until_in_force(self, seconds: float) -> None:
        """Wait until every answer is here and the last record is in force, at most so long."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and (self._tasks or not self._all_in_force()):
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)

    def _all_in_force(self) -> bool:
        last = max((each.position for each in self.publications if each.committed), default=0)
        return bool(self.status_samples) and self.status_samples[-1].in_force >= last

    async def wait_for_sessions(self, sessions: int, seconds: float) -> bool:
        """Wait until so many proxies have a session with a control machine; whether they have."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.status_samples and self.status_samples[-1].sessions >= sessions:
                return True
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)
        return False

    async def _poll_status(self) -> None:
        while True:
            leader = self._client.leader
            reply = await self._client.status()
            if reply is not None and reply.leader == reply.replica == leader:
                sample = StatusSample(
                    time.monotonic(),
                    reply.commit,
                    reply.applied,
                    reply.in_force,
                    reply.sessions,
                    reply.stale,
                )
                self.status_samples.append(sample)
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)

    async def close(self) -> None:
        """End all tasks."""
        tasks = [self._status_task, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def count_answers(self) -> dict[str, int]:
        """How the publications were answered."""
        return dict(Counter(publication.answer for publication in self.publications))
