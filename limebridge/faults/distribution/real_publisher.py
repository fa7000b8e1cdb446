"""Publishes to real control machines, and tells the judge what is committed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from limebridge.control.control_client import Machines, NoAnswerError, send_request
from violetroute.distribution.messages import Publish, Published, PublishStatus, Record, Topic

from .judge import Judge
from .plan import Plan
from .recording import record_name

ANSWER_S = 2.0  # for the answer to a publication
CONFIGURATION_EVERY = 6  # of so many publications one is configuration


class RealPublisher:
    """`machines`: whom to ask; `note`: is told each publication that is committed."""

    def __init__(
        self, plan: Plan, machines: Machines, judge: Judge, note: Callable[[str], None]
    ) -> None:
        self._plan, self._judge, self._note = plan, judge, note
        self._machines = Machines(machines.addresses, machines.keys, ANSWER_S)
        self._rng = random.Random(f"rig/{plan.seed}")
        self._count = 0

    async def run(self) -> None:
        """Publish at the plan's rate until this is cancelled."""
        pending: set[asyncio.Task[int]] = set()
        try:
            while True:
                task = asyncio.create_task(self.publish())
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(self._rng.expovariate(self._plan.publications_per_s))
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)

    async def publish(self) -> int:
        """Ask each machine once until one takes it; its position, 0 if it is not certain."""
        record = self._next_record()
        name = record_name(record)
        publish = Publish(f"{self._plan.seed}-{name}", (record,))
        addresses = self._machines.addresses
        for address in self._rng.sample(addresses, len(addresses)):
            try:
                reply: Published = await send_request(self._machines, address, publish)
            except NoAnswerError:
                return 0
            if reply.status == PublishStatus.COMMITTED:
                now = asyncio.get_running_loop().time()
                self._judge.publication_committed(now, reply.position, reply.fence, (name,))
                self._note(f"{name} is committed at {reply.position}")
                return reply.position
            if reply.status != PublishStatus.NOT_LEADER:
                return 0
        return 0

    def _next_record(self) -> Record:
        """A purge, or from time to time a table that a daemon takes on."""
        self._count += 1
        if self._count % CONFIGURATION_EVERY:
            return Record(Topic.PURGE, f"k{self._count}")
        return Record(Topic.CONFIGURATION, "log", b'level = "info"  # %d' % self._count)
