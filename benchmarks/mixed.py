"""Simulates a mixed fleet behind many proxies with little traffic, with even or planned shares.

If each proxy has only a few requests per second, its own counts of load say little about which
nodes are large, so choosing the least loaded node is not enough.  This is where operators set
weights by hand today.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass, replace

import harness  # noqa: F401  (makes the packages of this checkout importable)

from limebridge.placement.fleet import Fleet, parse_fleet
from limebridge.placement.plan import make_plan
from limebridge.placement.solver import solve
from limebridge.standins.clients import LoadGenerator
from limebridge.standins.configuration import SETTINGS, configuration
from limebridge.standins.database import CustomerDatabase
from limebridge.standins.discovery import Discovery
from limebridge.standins.fleet import FleetNode, IdempotencyKeys
from limebridge.standins.node_list import Lifecycle, NodeEntry
from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from limebridge.virtual.net import network
from violetroute.clients import Listener
from violetroute.config import parse
from violetroute.placement import Plan
from violetroute.proxy import Proxy

PROXIES = 24
LOAD_FACTOR = 0.72  # load as a share of the fleet's capacity
WORK_S = 0.09  # CPU time of a request on a core of speed 1
# Cores and their speed, as specified for the project.
MACHINE_KINDS = {"fast": (6, 1.3), "standard": (6, 0.97), "old": (7, 0.7)}
SITES = ("catania-nord", "acireale", "paterno")
WARM_UP_S = 6.0  # s at the start that are not counted
CLASS = {"name": "lookup", "promiseMs": 300.0, "deadlineMs": 600.0, "effect": "pure", "worth": 2.0}


@dataclass(frozen=True)
class LoadResult:
    """Statistics of a run after its warm-up."""

    in_time: float  # share of all requests, served within 300 ms
    p99: float  # s, of the served requests
    busiest: float  # highest utilization: arrivals per second at a node, divided by its capacity
    least_busy: float  # lowest utilization
    fetches: int  # fetches from the customer database
    off_plan: float  # share of the arrivals that deviate from the nodes' shares of the capacity


def fleet() -> Fleet:
    """The fleet file: three sites, each with one machine of each of three kinds."""
    return parse_fleet(
        {
            "load": {"requests_per_s": rate(), "work_ms": WORK_S * 1000.0, "busiest": 0.85},
            "sites": {site: {} for site in SITES},
            "kinds": {
                kind: {"cores": cores, "speed": speed}
                for kind, (cores, speed) in MACHINE_KINDS.items()
            },
            "nodes": [
                {"name": f"{site}-{kind}", "site": site, "kind": kind}
                for site in SITES
                for kind in MACHINE_KINDS
            ],
            "lost": [{"name": "a site", "any": "site", "busiest": 1.3}],
        },
        "mixed",
    )


def rate() -> float:
    """Requests per second of all proxies together."""
    return (
        LOAD_FACTOR
        * len(SITES)
        * sum(cores * speed / WORK_S for cores, speed in MACHINE_KINDS.values())
    )


def solve_plan() -> Plan:
    """The plan that the placement solver makes for the fleet."""
    solution = solve(fleet())
    assert solution is not None
    return make_plan(solution.model.fleet, solution.shares, 0.0)


class ArrivalCounter:
    """An observer that counts the arrivals at each node after the warm-up."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.arrivals = loop, Counter[str]()
        self.counted_from = loop.time() + WARM_UP_S

    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        """Count an arrival after the warm-up."""
        if at >= self.counted_from:
            self.arrivals[node] += 1

    def accepted(self, at: float, node: str, id_: str) -> None:
        """Ignored: only arrivals count."""
        ...

    def effect(self, at: float, node: str, id_: str) -> None:
        """Ignored: only arrivals count."""
        ...

    def started(self, at: float, node: str, capacity: float) -> None:
        """Ignored: only arrivals count."""
        ...


def run_load(seed: int, seconds: float, plan: Plan | None, lost: bool) -> LoadResult:
    """Run the load for `seconds` after the warm-up, with a plan or with even shares (None).

    With `lost`, all nodes of the last site crash at the end of the warm-up.
    """
    kernel = Kernel(seed)
    loop = VirtualLoop(kernel)
    logging.getLogger("violetroute").setLevel(logging.CRITICAL)
    try:
        return loop.run_until_complete(_run_load(kernel, loop, seed, seconds, plan, lost))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.call_soon(loop.stop)
        loop.run_forever()
        loop.close()


async def _run_load(
    kernel: Kernel, loop: VirtualLoop, seed: int, seconds: float, plan: Plan | None, lost: bool
) -> LoadResult:
    counter = ArrivalCounter(loop)
    database = CustomerDatabase(concurrency=64, latency=0.05, queue_limit=1024, seed=seed)
    nodes: list[FleetNode] = []
    for site in SITES:
        for kind, (cores, speed) in MACHINE_KINDS.items():
            name = f"{site}-{kind}"
            node = FleetNode(
                name,
                database,
                IdempotencyKeys(2.0),
                counter,
                f"{seed}/{name}",
                slots=cores,
                queue_limit=4 * cores,
                service_time=WORK_S / speed,
            )
            await node.start()
            nodes.append(node)
    discovery = await Discovery().start()

    def entry(node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        site, _, kind = node.name.rpartition("-")
        return node.entry(node.name, lifecycle, zone=site, machineType=kind)

    proxies, generators = [], []
    for number in range(PROXIES):
        raw = configuration(
            discovery.port,
            [entry(node) for node in nodes],
            classes=[CLASS],
            caps=SETTINGS["caps"] | {"connectTimeoutMs": 250.0},
            balancers=PROXIES,
            zone=SITES[number % len(SITES)],
        )
        raw["seed"] = f"{seed * PROXIES + number:x}"
        config = replace(parse(raw), plan=plan)
        kernel.limit(f"p{number}", 256)
        net = network(kernel, f"p{number}", loop, lambda: kernel.now + 1.7e9)
        proxy = Proxy(config, net)
        listener = Listener(
            proxy, config.client_sockets, config.client_memory_bytes, net, config.limits
        )
        port = listener.start(config.listen).port
        proxies.append((proxy, listener))
        generators.append(LoadGenerator(port, 4, seed=seed * PROXIES + number, keys=2_000))
    for generator in generators:
        await generator.connect()
    load_tasks = [
        loop.create_task(generator.run(rate() / PROXIES, WARM_UP_S + seconds))
        for generator in generators
    ]
    await asyncio.sleep(WARM_UP_S)
    if lost:
        for node in nodes:
            if node.name.startswith(SITES[-1]):
                await node.crash()
                discovery.publish(entry(node, "terminated"))
    await asyncio.gather(*load_tasks)
    for generator in generators:
        await generator.wait_for_answers()
        generator.close()
    result = _result(generators, nodes, counter, database, seconds, lost)
    for proxy, listener in proxies:
        await listener.drain(1.0)
        proxy.close()
    for node in nodes:
        await node.crash()
    await discovery.stop()
    await asyncio.sleep(0.01)
    return result


def _result(
    generators: list[LoadGenerator],
    nodes: list[FleetNode],
    counter: ArrivalCounter,
    database: CustomerDatabase,
    seconds: float,
    lost: bool,
) -> LoadResult:
    requests = [
        request
        for generator in generators
        for request in generator.finished
        if request.sent_at >= counter.counted_from
    ]
    latencies = sorted(
        request.ended_at - request.sent_at for request in requests if request.outcome == "served"
    )
    remaining = [node for node in nodes if not (lost and node.name.startswith(SITES[-1]))]
    capacity = sum(node.capacity for node in remaining)
    utilizations = [counter.arrivals[node.name] / seconds / node.capacity for node in remaining]
    arrivals = sum(counter.arrivals[node.name] for node in remaining)
    return LoadResult(
        in_time=sum(latency <= 0.3 for latency in latencies) / max(1, len(requests)),
        p99=latencies[int(0.99 * len(latencies))] if latencies else 0.0,
        busiest=max(utilizations),
        least_busy=min(utilizations),
        fetches=database.fetches,
        off_plan=sum(
            abs(counter.arrivals[node.name] / arrivals - node.capacity / capacity)
            for node in remaining
        )
        / 2,
    )
