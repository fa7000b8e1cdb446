"""The load of a scale run: publishes purges and configuration changes, and polls the leader."""

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

KEY_BYTES = 48  # length of a purge's key
CHANGED_TABLE = "log"  # table of the operator's file that every proxy can apply while it runs
CHANGE_BYTES = 1024  # length of a changed table's text, padded with a comment
STATUS_POLL_INTERVAL_S = 0.2  # interval at which the leader's status is requested
BURST_START_SHARE = 0.5  # start of the burst as a share of the measured time


class Publication(msgspec.Struct, kw_only=True):
    """One publish request and its outcome.  Times are CLOCK_MONOTONIC."""

    topic: Topic
    published_at: float
    answered_at: float = 0.0
    answer: str = "none"  # name of the PublishStatus in the reply, or "none" without a reply
    position: int = 0  # position of the record in the log, from the reply

    @property
    def committed(self) -> bool:
        """Whether the reply says that the record is committed."""
        return self.answer == PublishStatus.COMMITTED.name


class StatusSample(msgspec.Struct, frozen=True):
    """The state of the log and its sessions in one status reply of the leader."""

    at: float  # CLOCK_MONOTONIC when the reply was received
    commit: int  # this and the next two: log positions
    applied: int
    in_force: int
    sessions: int  # proxies with a session
    stale: int  # how many of these proxies are stale


class PublicationLoad:
    """Publishes records through `client`, and keeps their outcomes and the leader's status.

    The status is requested from the construction on until `close`.
    """

    def __init__(self, plan: RunPlan, client: ControlClient) -> None:
        self._plan, self._client = plan, client
        self._tasks: set[asyncio.Task[None]] = set()
        self.publications: list[Publication] = []
        self._numbers = itertools.count()  # source of unique ids: an id is published only once
        self.status_samples: list[StatusSample] = []
        self._status_task = asyncio.get_running_loop().create_task(self._poll_status())

    async def publish(self) -> None:
        """Publish for the plan's `seconds`, at random times that are determined by its seed."""
        plan = self._plan
        await asyncio.gather(
            self._publish_at_rate(self._purge_rate, self._purge, f"load/{plan.seed}"),
            self._publish_at_rate(lambda _: plan.changes, self._change, f"changes/{plan.seed}"),
        )

    async def _publish_at_rate(
        self, rate: Callable[[float], float], make_record: Callable[[int], Record], seed: str
    ) -> None:
        """Publish records as a Poisson process.

        `rate` gives the rate per second by the time since the start; a rate of 0 ends the process.
        """
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
        """A change of CHANGED_TABLE that differs from those with another number."""
        text = f'format = "json"\n[events]\n"daemon.paused" = {1.0 + number / 1000.0}\n#'
        return Record(Topic.CONFIGURATION, CHANGED_TABLE, text.ljust(CHANGE_BYTES, "x").encode())

    async def _publish_one(self, number: int, record: Record) -> None:
        publication = Publication(topic=Topic(record.topic), published_at=time.monotonic())
        self.publications.append(publication)
        reply = await self._client.publish(number, record)
        publication.answered_at = time.monotonic()
        if reply is not None:
            publication.answer = PublishStatus(reply.status).name
            publication.position = reply.position

    async def wait_until_in_force(self, seconds: float) -> None:
        """Wait until all replies have come and the last committed record is in force.

        Returns after `seconds` at the latest.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end and (self._tasks or not self._all_in_force()):
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)

    def _all_in_force(self) -> bool:
        last = max((each.position for each in self.publications if each.committed), default=0)
        return bool(self.status_samples) and self.status_samples[-1].in_force >= last

    async def wait_for_sessions(self, sessions: int, seconds: float) -> bool:
        """Wait up to `seconds` until the leader reports this many sessions of proxies.

        Returns whether it did.
        """
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
        """Cancel all tasks and wait for their end."""
        tasks = [self._status_task, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def count_answers(self) -> dict[str, int]:
        """The number of publications by their `answer`."""
        return dict(Counter(publication.answer for publication in self.publications))
