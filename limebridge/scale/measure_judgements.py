"""Bytes that proxies spend on telling each other of cache nodes, with some of the nodes bad.

`judgements.*` counts the node health reports alone. `sharing.*` counts all that a round of the
gossip tells: node health, load and heavy hitters. One member tells; the others only have names, so
the bytes are those that this member sends. Each receives as much on average.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from functools import partial

from limebridge.virtual.session import quiet
from snowstall import CacheState, Member, Result
from violetroute.sharing import wire
from violetroute.sharing.service import Sharing

from .cost_definition import define_cost
from .measure_module import KEYS, ZIPF_EXPONENT
from .process_facts import cpu_seconds, resident_bytes
from .registry import Subject, Values
from .target import load_target
from .virtual_members import LOG_LEVEL, IdleProxy, VirtualMembers, member_name

UNHEALTHY_NODES = (0, 1, 43, 120)  # none, one, a zone, a region of the target
WARM_UP_S, MEASURED_S = 15.0, 20.0  # s of virtual time
BATCH_INTERVAL_S = 0.05  # s between two batches of requests
TENANTS = 50
OUTCOME_WEIGHT = 2.6  # outcomes at a node that have not faded, at the target's rate
LATENCY_MS, LATENCY_TARGET_MS = 20.0, 300.0


def measure(size: int) -> Values:
    """Bytes a second that one of `size` members sends, by kind and number of bad nodes."""
    memory, round_seconds = _after_healthy_period(size)
    values: Values = {
        "judgements.memory_mb": memory / 1e6,
        "judgements.round_ms": round_seconds * 1e3,
    }
    for unhealthy in UNHEALTHY_NODES:
        values[f"judgements.bytes_per_s_{unhealthy}"] = _bytes_per_second(
            size, unhealthy, all_reports=False
        )
        values[f"sharing.bytes_per_s_{unhealthy}"] = _bytes_per_second(
            size, unhealthy, all_reports=True
        )
    return values


def _after_healthy_period(size: int) -> tuple[float, float]:
    """Bytes that node health takes after a long calm, and CPU seconds of the next round.

    Every member has told of every node, no request has failed until the last report.
    """
    fleet = _fleet_with_one_member(size)
    member, rounds = fleet.members[0], fleet.members[0].rounds
    nodes = range(1, load_target().nodes + 1)
    rounds.update_nodes([Member(node, CacheState.READY, started_at=1.0) for node in nodes])
    before = resident_bytes()
    now = fleet.kernel.now
    for other in map(member_name, range(1, size)):
        for node in nodes:
            rounds.receive(now, other, "a", wire.HealthReport(node, 1, OUTCOME_WEIGHT, 0.0), 0.0)
    memory = resident_bytes() - before
    rounds.receive(now, member_name(1), "a", wire.HealthReport(1, 1, 0.0, OUTCOME_WEIGHT), 0.0)
    up = member.members.up()
    seconds = cpu_seconds(lambda: rounds.run_round(now + 1.0, up, [], {}, False))
    return memory, seconds


def _fleet_with_one_member(size: int) -> VirtualMembers:
    """One member that knows all others."""
    fleet = VirtualMembers(size)
    with quiet(LOG_LEVEL):
        member = fleet.add()
        for number in range(1, size):
            member.members.add_member(fleet.rumor(number), fleet.kernel.now)
    return fleet


def _bytes_per_second(size: int, unhealthy: int, all_reports: bool) -> float:
    fleet = _fleet_with_one_member(size)
    member = fleet.members[0]
    # The others do not answer: without this they would be probed, suspected and dead.
    member.members.tick = lambda now: []  # type: ignore[method-assign]
    load = RequestLoad(fleet, member, fleet.hosts[0], unhealthy, all_reports)
    load.run(WARM_UP_S)
    before = member.bytes_sent
    load.run(MEASURED_S)
    return (member.bytes_sent - before) / MEASURED_S


class RequestLoad:
    """Requests of one proxy at the target's rate, spread evenly over the target's nodes.

    Every request to a bad node fails, and the proxy goes on sending there: an upper bound.
    """

    def __init__(
        self,
        fleet: VirtualMembers,
        member: Sharing,
        host: IdleProxy,
        unhealthy: int,
        all_reports: bool,
    ) -> None:
        target = load_target()
        self._fleet, self._member, self._host, self._unhealthy = fleet, member, host, unhealthy
        self._all_reports, self._nodes = all_reports, target.nodes
        self._per_batch = target.requests_per_proxy * BATCH_INTERVAL_S
        self._rng = random.Random(1)
        weights = (1.0 / rank**ZIPF_EXPONENT for rank in range(1, KEYS + 1))
        self._weights = list(itertools.accumulate(weights))
        self._due_requests = 0.0  # requests that are due, with a fraction
        nodes = range(1, self._nodes + 1)
        member.update_nodes([Member(node, CacheState.READY, started_at=1.0) for node in nodes])

    def run(self, seconds: float) -> None:
        """So much virtual time under load."""
        with quiet(LOG_LEVEL):
            self._fleet.loop.run_until_complete(self._send(seconds))

    async def _send(self, seconds: float) -> None:
        for _ in range(round(seconds / BATCH_INTERVAL_S)):
            await asyncio.sleep(BATCH_INTERVAL_S)
            self._due_requests += self._per_batch
            while self._due_requests >= 1.0:
                self._due_requests -= 1.0
                self._request()

    def _request(self) -> None:
        node = self._rng.randrange(1, self._nodes + 1)
        fails = node <= self._unhealthy
        self._member.record_attempt(node, Result.LATE if fails else Result.OK)
        if not self._all_reports:
            return
        (key,) = self._rng.choices(range(KEYS), cum_weights=self._weights)
        self._member.record_request(f"tenant-{key % TENANTS}", key << 30)
        self._host.load_samples.append((True, float(fails), LATENCY_MS, LATENCY_TARGET_MS, False))


_MECHANISM = "violetroute/sharing/gossip.py"
_health_cost = partial(define_cost, "judgements", _MECHANISM)
_sharing_cost = partial(define_cost, "sharing", _MECHANISM)

HEALTHY_COSTS = (
    _health_cost(
        "memory_mb",
        "MB",
        "Resident memory of node health, after each member has told of each node and none failed.",
    ),
    _health_cost(
        "round_ms",
        "ms",
        "CPU time of the first round with a bad node after such a calm.",
    ),
)


SUBJECT = Subject(
    name="judgements",
    per="member",
    costs=HEALTHY_COSTS
    + tuple(
        cost
        for unhealthy in UNHEALTHY_NODES
        for cost in (
            _health_cost(
                f"bytes_per_s_{unhealthy}",
                "bytes/s",
                f"Bytes that a member sends in node health reports with {unhealthy} bad nodes.",
            ),
            _sharing_cost(
                f"bytes_per_s_{unhealthy}",
                "bytes/s",
                f"The same with its reports of load and heavy hitters, with {unhealthy} bad nodes.",
            ),
        )
    ),
    sizes=(170, 350, 710, 1300, 2600),
    quick_sizes=(20, 30, 40, 50, 60),
    measure=measure,
)
