"""Publishes to real control machines, and reports committed publications to the rule checker."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from limebridge.control.control_client import Machines, NoAnswerError, send_request
from violetroute.distribution.messages import Publish, Published, PublishStatus, Record, Topic

from .checker import RuleChecker
from .plan import Plan
from .recording import record_name

PUBLISH_TIMEOUT_S = 2.0  # s for the reply to a publication
CONFIGURATION_INTERVAL = 6  # one in so many publications is configuration


class RealPublisher:
    """Publishes at a random rate that averages the plan's.

    `machines` are the control machines to try; `note` gets a line per committed publication.
    """

    def __init__(
        self, plan: Plan, machines: Machines, checker: RuleChecker, note: Callable[[str], None]
    ) -> None:
        self._plan, self._checker, self._note = plan, checker, note
        self._machines = Machines(machines.addresses, machines.keys, PUBLISH_TIMEOUT_S)
        self._rng = random.Random(f"rig/{plan.seed}")
        self._count = 0

    async def run(self) -> None:
        """Publishes at the plan's rate until this task is cancelled."""
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
        """Sends one record to the machines in random order, each once, until one is the leader.

        Returns the position of the commit; 0 if it is not known that the record is committed.
        """
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
                self._checker.publication_committed(now, reply.position, reply.fence, (name,))
                self._note(f"{name} is committed at {reply.position}")
                return reply.position
            if reply.status != PublishStatus.NOT_LEADER:
                return 0
        return 0

    def _next_record(self) -> Record:
        """A purge, or one time in CONFIGURATION_INTERVAL a table that a daemon can apply."""
        self._count += 1
        if self._count % CONFIGURATION_INTERVAL:
            return Record(Topic.PURGE, f"k{self._count}")
        return Record(Topic.CONFIGURATION, "log", b'level = "info"  # %d' % self._count)
