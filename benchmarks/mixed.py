"""A mixed fleet before many quiet proxies, on the virtual clock: what planned shares are worth.

Many proxies that each see a few requests a second: that is where least local load knows little of
which node is large, and where weights are set by hand today.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass, replace

import harness  # noqa: F401  (puts the checkout on the path)

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
RATE = 0.72  # of the fleet's capacity
WORK = 0.09  # s on a core of speed 1
KINDS = {"fast": (6, 1.3), "standard": (6, 0.97), "old": (7, 0.7)}  # cores, speed: the brief's
SITES = ("catania-nord", "acireale", "paterno")
WARM = 6.0  # s before anything is counted
CLASS = {"name": "lookup", "promiseMs": 300.0, "deadlineMs": 600.0, "effect": "pure", "worth": 2.0}


@dataclass(frozen=True)
class LoadResult:
    in_time: float  # share of what was asked, within 300 ms
    p99: float  # s, of what was served
    busiest: float  # arrivals at the node with most for its capacity, as a share of it
    least_busy: float
    fetches: int  # from the customer database
    off_plan: float  # share of the arrivals that went elsewhere than the capacities say


def fleet() -> Fleet:
    """Three kinds of machines at three sites, one of each."""
    return parse_fleet(
        {
            "load": {"requests_per_s": rate(), "work_ms": WORK * 1000.0, "busiest": 0.85},
            "sites": {site: {} for site in SITES},
            "kinds": {
                kind: {"cores": cores, "speed": speed} for kind, (cores, speed) in KINDS.items()
            },
            "nodes": [
                {"name": f"{site}-{kind}", "site": site, "kind": kind}
                for site in SITES
                for kind in KINDS
            ],
            "lost": [{"name": "a site", "any": "site", "busiest": 1.3}],
        },
        "mixed",
    )


def rate() -> float:
    return RATE * len(SITES) * sum(cores * speed / WORK for cores, speed in KINDS.values())


def solve_plan() -> Plan:
    found = solve(fleet())
    assert found is not None
    return make_plan(found.model.fleet, found.shares, 0.0)


class Seen:
    """The witness of all nodes."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.arrivals = loop, Counter[str]()
        self.counts_from = loop.time() + WARM

    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        if at >= self.counts_from:
            self.arrivals[node] += 1

    def accepted(self, at: float, node: str, id_: str) -> None: ...
    def effect(self, at: float, node: str, id_: str) -> None: ...
    def started(self, at: float, node: str, capacity: float) -> None: ...


def run_load(seed: int, seconds: float, plan: Plan | None, lost: bool) -> LoadResult:
    """One run of `seconds` after the warm-up; with `lost` a site dies when it begins."""
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
    seen = Seen(loop)
    database = CustomerDatabase(concurrency=64, latency=0.05, queue_limit=1024, seed=seed)
    nodes: list[FleetNode] = []
    for site in SITES:
        for kind, (cores, speed) in KINDS.items():
            name = f"{site}-{kind}"
            node = FleetNode(
                name,
                database,
                IdempotencyKeys(2.0),
                seen,
                f"{seed}/{name}",
                slots=cores,
                queue_limit=4 * cores,
                service_time=WORK / speed,
            )
            await node.start()
            nodes.append(node)
    discovery = await Discovery().start()

    def entry(node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        site, _, kind = node.name.rpartition("-")
        return node.entry(node.name, lifecycle, zone=site, machineType=kind)

    proxies, crowds = [], []
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
        crowds.append(LoadGenerator(port, 4, seed=seed * PROXIES + number, keys=2_000))
    for crowd in crowds:
        await crowd.connect()
    plays = [loop.create_task(crowd.run(rate() / PROXIES, WARM + seconds)) for crowd in crowds]
    await asyncio.sleep(WARM)
    if lost:
        for node in nodes:
            if node.name.startswith(SITES[-1]):
                await node.crash()
                discovery.publish(entry(node, "terminated"))
    await asyncio.gather(*plays)
    for crowd in crowds:
        await crowd.wait_for_answers()
        crowd.close()
    result = _result(crowds, nodes, seen, database, seconds, lost)
    for proxy, listener in proxies:
        await listener.drain(1.0)
        proxy.close()
    for node in nodes:
        await node.crash()
    await discovery.stop()
    await asyncio.sleep(0.01)
    return result


def _result(
    crowds: list[LoadGenerator],
    nodes: list[FleetNode],
    seen: Seen,
    database: CustomerDatabase,
    seconds: float,
    lost: bool,
) -> LoadResult:
    asks = [ask for crowd in crowds for ask in crowd.finished if ask.sent_at >= seen.counts_from]
    served = sorted(ask.ended_at - ask.sent_at for ask in asks if ask.outcome == "served")
    here = [node for node in nodes if not (lost and node.name.startswith(SITES[-1]))]
    whole = sum(node.capacity for node in here)
    busy = [seen.arrivals[node.name] / seconds / node.capacity for node in here]
    total = sum(seen.arrivals[node.name] for node in here)
    return LoadResult(
        in_time=sum(time <= 0.3 for time in served) / max(1, len(asks)),
        p99=served[int(0.99 * len(served))] if served else 0.0,
        busiest=max(busy),
        least_busy=min(busy),
        fetches=database.fetches,
        off_plan=sum(abs(seen.arrivals[node.name] / total - node.capacity / whole) for node in here)
        / 2,
    )
