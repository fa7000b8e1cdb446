"""What following Consul costs, and what an outage, a flapping node and a common wake-up do.

    python benchmarks/membership.py [--instances 2000] [--seconds 20] [--seeds 5]

Cost: the real daemon as a child before a stand-in agent with so many instances, one of which
changes each second: its CPU as a share of a core, against the same without changes, and its memory.
Delay: an answer of that size from its last byte until the module knows. Outage and flapping node:
the daemon's own code on the virtual clock, in turn with and without. Wake-up: so many modules that
lose their watch at one moment, and when each asks again.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import harness
import msgspec

from limebridge.standins.consul import Catalogue, Consul
from limebridge.virtual.plan import Fault, Plan
from limebridge.virtual.runner import run_plan
from limebridge.virtual.world import Outcome
from snowstall import Balancer, Effect, ListKind, RequestClass, Settings, Timer
from violetroute.membership import ConsulTable, Listing
from violetroute.membership.consul import ConsulWatch
from violetroute.transport.sockets import SocketNetwork

PROXIES = 500


def filled(instances: int) -> Catalogue:
    catalogue = Catalogue()
    for number in range(instances):
        catalogue.register(
            f"cache-{number}",
            20_000 + number % 40_000,
            address=f"127.0.{number % 200}.{1 + number // 200}",
            meta={"zone": "abc"[number % 3], "machine_type": "fast", "started_at_ms": "0"},
            checks={f"service:cache-{number}": "passing"},
        )
    return catalogue


async def cost(instances: int, seconds: float, changes: bool) -> dict[str, object]:
    catalogue = filled(instances)
    agent = await Consul(catalogue).start()
    with tempfile.TemporaryDirectory() as folder:
        operator = Path(folder) / "operator.toml"
        operator.write_text(f'[consul]\nagents = ["127.0.0.1:{agent.port}"]\n')
        async with (
            harness.nodes(1, 200) as ports,
            harness.daemon(ports, operator=operator) as daemon,
        ):
            while not any("index" in asked for asked in agent.requests):
                await asyncio.sleep(0.05)
            await asyncio.sleep(2.0)
            before = harness.cpu_seconds(daemon.pid)
            for number in range(round(seconds)):
                if changes:
                    name = f"cache-{number * 7 % instances}"
                    catalogue.check(name, "warning" if number % 2 else "passing")
                    catalogue.services[name].weights["Warning"] = 1 + number
                await asyncio.sleep(1.0)
            return {
                "instances": instances,
                "changes": changes,
                "share_of_a_core": round((harness.cpu_seconds(daemon.pid) - before) / seconds, 4),
                "resident_mb": round(harness.resident_mb(daemon.pid), 1),
            }


class ListObserver:
    def __init__(self) -> None:
        self.told = 0

    def list_changed(self, listing: Listing) -> None:
        self.told += 1

    def list_failed(self, silent: bool = False) -> None: ...


async def delay(instances: int) -> dict[str, object]:
    """From the last byte of an answer with one change until it has been told on."""
    loop = asyncio.get_running_loop()
    catalogue, observer, took = filled(instances), ListObserver(), []
    watch = ConsulWatch(
        observer,
        ConsulTable(agents=("127.0.0.1:1",)),
        SocketNetwork(loop),
        lambda: time.time() * 1000.0,
    )
    watch.start(0)
    for number in range(12):
        watch._stop_requests()  # answers are handed to it: there is no agent
        catalogue.check(f"cache-{number}", "critical")
        body = bytearray(json.dumps(catalogue.health_entries("cache")).encode())
        began = time.perf_counter()
        watch.answered(200, {"x-consul-index": str(number + 10)}, body, False)
        took.append(time.perf_counter() - began)
    watch.stop()
    return {
        "answer_kb": len(body) // 1024,
        "told": observer.told,
        "first_ms": round(took[0] * 1000.0, 1),
        "median_ms": round(statistics.median(took[1:]) * 1000.0, 1),
        "most_ms": round(max(took[1:]) * 1000.0, 1),
    }


def served(outcome: Outcome) -> float:
    assert not outcome.violations, outcome.violations[0].message
    return outcome.answers.get("served", 0) / outcome.requests


def outage(seeds: int) -> dict[str, object]:
    """60 s without Consul while one node dies, against the same with it."""
    rows: dict[str, list[float]] = {"with": [], "without": []}
    for seed in range(seeds):
        dies = (Fault(10.0, "node_dies", 1, 40.0),)
        away = tuple(Fault(5.0, "consul_stops", number, 60.0) for number in (0, 1))
        plan = Plan(seed, 70.0, 6, 8, 20.0, consul=True, faults=dies)
        rows["with"].append(served(run_plan(plan)))
        rows["without"].append(served(run_plan(msgspec.structs.replace(plan, faults=away + dies))))
    means = {name: round(statistics.mean(each), 4) for name, each in rows.items()}
    return {"outage_s": 60, "served": means, "lost": round(means["with"] - means["without"], 4)}


def flapping(seeds: int) -> dict[str, object]:
    """A node that flaps every 0.3 s for a minute: its share of the commands by 10 s."""
    spread: Counter[int] = Counter()
    total: Counter[int] = Counter()
    for seed in range(seeds):
        plan = Plan(
            seed, 90.0, 6, 8, 20.0, consul=True, faults=(Fault(10.0, "consul_flaps", 1, 60.0),)
        )
        outcome = run_plan(plan)
        assert not outcome.violations, outcome.violations[0].message
        for line in outcome.trace:
            at, _, rest = line.partition(" ")
            if " at n" in rest and ", sent " in rest:
                bin_ = int(float(at) // 10)
                total[bin_] += 1
                spread[bin_] += " at n1," in rest
    return {
        "flaps_from_s": 10,
        "to_s": 70,
        "share_by_10_s": [round(spread[b] / total[b], 3) for b in range(9)],
    }


def wake_up() -> dict[str, object]:
    """Asks a second after an outage that all heard of at once."""
    lookup = RequestClass("lookup", 300.0, 600.0, Effect.PURE)
    asks = []
    for seed in range(PROXIES):
        settings = Settings((lookup,), 4, proxies=PROXIES, must_subscribe=True)
        module = Balancer(settings, seed, 0.0)
        asks += [
            action.delay
            for action in module.on_list(1.0, ListKind.FAILED, [])
            if isinstance(action, Timer)
        ]
    bins = Counter(int(at // 250) for at in asks)
    mean = len(asks) / (max(asks) / 250.0)
    return {
        "proxies": PROXIES,
        "within_s": round(max(asks) / 1000.0, 2),
        "peak_to_mean_in_250_ms": round(max(bins.values()) / mean, 2),
    }


def told(row: dict[str, Any]) -> None:
    print(json.dumps(row), flush=True)


async def over_sockets(instances: int, seconds: float) -> None:
    for changes in (False, True, False, True):
        told(await cost(instances, seconds, changes))
    told(await delay(instances))


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--instances", type=int, default=2_000)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    asyncio.run(over_sockets(options.instances, options.seconds))
    told(wake_up())
    told(outage(options.seeds))
    told(flapping(options.seeds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
