"""Costs of the reports that proxies gossip about cache nodes, with some of the nodes unhealthy.

`judgements.*` covers the node health reports alone.  `sharing.*` covers all reports of a gossip
round: node health, load and heavy hitters.  Only one member runs, and the others exist only in its
member list.  The measured bytes are those that it sends; on average a member receives as many.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from functools import partial

from limebridge.virtual.session import isolated_run
from snowstall import CacheState, Member, Result
from violetroute.sharing import wire
from violetroute.sharing.service import Sharing

from .cost_definition import define_cost
from .measure_module import KEYS, ZIPF_EXPONENT
from .process_facts import cpu_seconds, resident_bytes
from .registry import Subject, Values
from .target import load_target
from .virtual_members import LOG_LEVEL, IdleProxy, VirtualMembers, member_name

UNHEALTHY_NODES = (0, 1, 43, 120)  # none, one, a zone and a region of the target
WARM_UP_S, MEASURED_S = 15.0, 20.0  # virtual time
BATCH_INTERVAL_S = 0.05  # s between two batches of requests
TENANTS = 50
OUTCOME_WEIGHT = 2.6  # decayed number of outcomes of a node, at the target's rate of requests
LATENCY_MS, LATENCY_TARGET_MS = 20.0, 300.0


def measure(size: int) -> Values:
    """Measure one of `size` members: memory, a round, and bytes by number of unhealthy nodes."""
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
    """Resident bytes of node health, and CPU seconds of the first round with an unhealthy node.

    Every member has reported every node, without a failed request.  After the memory is measured,
    one further report says that a node is unhealthy, and the next round is measured.
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
    """A fleet in which only one member runs; its member list has all others."""
    fleet = VirtualMembers(size)
    with isolated_run(LOG_LEVEL):
        member = fleet.add()
        for number in range(1, size):
            member.members.add_member(fleet.rumor(number), fleet.kernel.now)
    return fleet


def _bytes_per_second(size: int, unhealthy: int, all_reports: bool) -> float:
    """Bytes per second that one of `size` members sends in reports, under load.

    Without `all_reports` it sends only node health reports.
    """
    fleet = _fleet_with_one_member(size)
    member = fleet.members[0]
    # The others do not run and cannot answer probes: with probes they would be declared dead.
    member.members.tick = lambda now: []  # type: ignore[method-assign]
    load = RequestLoad(fleet, member, fleet.hosts[0], unhealthy, all_reports)
    load.run(WARM_UP_S)
    before = member.bytes_sent
    load.run(MEASURED_S)
    return (member.bytes_sent - before) / MEASURED_S


class RequestLoad:
    """Records requests of one proxy at the target's rate, spread evenly over the target's nodes.

    The first `unhealthy` nodes fail all requests.  The proxy continues to send requests to them,
    so the measured bytes are an upper bound.
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
        self._due_requests = 0.0  # requests to record; the fraction is carried to the next batch
        nodes = range(1, self._nodes + 1)
        member.update_nodes([Member(node, CacheState.READY, started_at=1.0) for node in nodes])

    def run(self, seconds: float) -> None:
        """Run the fleet for `seconds` of virtual time under load."""
        with isolated_run(LOG_LEVEL):
            self._fleet.loop.run_until_complete(self._record_requests(seconds))

    async def _record_requests(self, seconds: float) -> None:
        for _ in range(round(seconds / BATCH_INTERVAL_S)):
            await asyncio.sleep(BATCH_INTERVAL_S)
            self._due_requests += self._per_batch
            while self._due_requests >= 1.0:
                self._due_requests -= 1.0
                self._record_request()

    def _record_request(self) -> None:
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
        "Resident memory of node health, after each member reported each node without failures.",
    ),
    _health_cost(
        "round_ms",
        "ms",
        "CPU time of the first round with an unhealthy node after that.",
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
                f"Bytes that a member sends in node health reports, {unhealthy} nodes unhealthy.",
            ),
            _sharing_cost(
                f"bytes_per_s_{unhealthy}",
                "bytes/s",
                f"The same with reports of load and heavy hitters, {unhealthy} nodes unhealthy.",
            ),
        )
    ),
    sizes=(170, 350, 710, 1300, 2600),
    quick_sizes=(20, 30, 40, 50, 60),
    measure=measure,
)
