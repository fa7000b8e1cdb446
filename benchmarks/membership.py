"""Measures the cost of watching Consul, and the effects of an outage and of a flapping node.

    python benchmarks/membership.py [--instances 2000] [--seconds 20] [--seeds 5]

- Cost: the real daemon watches a stand-in agent with this number of instances.  Its CPU as a share
  of a core while one instance changes each second and while none does, and its memory.
- Delay: from the last byte of an answer of that size until the watch has reported the change.
- Reconnection: when proxies that lose their watch at one moment request the list again.
- Outage and flapping node: runs of the daemon's own code on the virtual clock; an outage is
  compared with the same run without it.
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
from violetroute.membership.agent_call import AgentAnswer
from violetroute.membership.consul import ConsulWatch
from violetroute.transport.sockets import SocketNetwork

PROXIES = 500  # proxies that reconnect


def fill_catalogue(instances: int) -> Catalogue:
    """A catalogue with this number of healthy instances of the service `cache`."""
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
    """CPU and memory of the daemon while it watches; with `changes`, of one instance a second."""
    catalogue = fill_catalogue(instances)
    agent = await Consul(catalogue).start()
    with tempfile.TemporaryDirectory() as folder:
        operator = Path(folder) / "operator.toml"
        operator.write_text(f'[consul]\nagents = ["127.0.0.1:{agent.port}"]\n')
        async with (
            harness.nodes(1, 200) as ports,
            harness.daemon(ports, operator=operator) as daemon,
        ):
            while not any("index" in request for request in agent.requests):
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
    """Counts the lists that a watch reports."""

    def __init__(self) -> None:
        self.lists = 0

    def list_changed(self, listing: Listing) -> None:
        """Count a list."""
        self.lists += 1

    def list_failed(self, silent: bool = False) -> None:
        """Ignored: failures of the watch are not counted."""
        ...


async def delay(instances: int) -> dict[str, object]:
    """Time from the last byte of an answer with one change until the watch has reported it."""
    loop = asyncio.get_running_loop()
    catalogue, observer, durations = fill_catalogue(instances), ListObserver(), []
    watch = ConsulWatch(
        observer,
        ConsulTable(agents=("127.0.0.1:1",)),
        SocketNetwork(loop),
        lambda: time.time() * 1000.0,
    )
    watch.start(0)
    for number in range(12):
        watch._stop_requests()  # there is no agent: answers are passed to the watch directly
        catalogue.check(f"cache-{number}", "critical")
        body = bytearray(json.dumps(catalogue.health_entries("cache")).encode())
        started = time.perf_counter()
        watch.call_answered(AgentAnswer(200, {"x-consul-index": str(number + 10)}, body))
        durations.append(time.perf_counter() - started)
    watch.stop()
    return {
        "answer_kb": len(body) // 1024,
        "told": observer.lists,
        "first_ms": round(durations[0] * 1000.0, 1),
        "median_ms": round(statistics.median(durations[1:]) * 1000.0, 1),
        "most_ms": round(max(durations[1:]) * 1000.0, 1),
    }


def served_share(outcome: Outcome) -> float:
    """The served share of a run's requests; AssertionError if the run violated a rule."""
    assert not outcome.violations, outcome.violations[0].message
    return outcome.answers.get("served", 0) / outcome.requests


def outage(seeds: int) -> dict[str, object]:
    """Served shares of a run in which a node crashes, with Consul and during an outage of 60 s."""
    rows: dict[str, list[float]] = {"with": [], "without": []}
    for seed in range(seeds):
        crash = (Fault(10.0, "node_dies", 1, 40.0),)
        outages = tuple(Fault(5.0, "consul_stops", number, 60.0) for number in (0, 1))
        plan = Plan(seed, 70.0, 6, 8, 20.0, consul=True, faults=crash)
        rows["with"].append(served_share(run_plan(plan)))
        rows["without"].append(
            served_share(run_plan(msgspec.structs.replace(plan, faults=outages + crash)))
        )
    means = {name: round(statistics.mean(each), 4) for name, each in rows.items()}
    return {"outage_s": 60, "served": means, "lost": round(means["with"] - means["without"], 4)}


def flapping(seeds: int) -> dict[str, object]:
    """The share of the commands that a node receives, in steps of 10 s; it flaps for a minute.

    A flapping node changes its state every 0.3 s.
    """
    at_flapping: Counter[int] = Counter()
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
                at_flapping[bin_] += " at n1," in rest
    return {
        "flaps_from_s": 10,
        "to_s": 70,
        "share_by_10_s": [round(at_flapping[b] / total[b], 3) for b in range(9)],
    }


def reconnection() -> dict[str, object]:
    """How evenly the proxies spread their requests for the list after all lose it at one moment."""
    lookup = RequestClass("lookup", 300.0, 600.0, Effect.PURE)
    delays = []  # ms
    for seed in range(PROXIES):
        settings = Settings((lookup,), 4, proxies=PROXIES, must_subscribe=True)
        module = Balancer(settings, seed, 0.0)
        delays += [
            action.delay
            for action in module.on_list(1.0, ListKind.FAILED, [])
            if isinstance(action, Timer)
        ]
    bins = Counter(int(at // 250) for at in delays)
    mean = len(delays) / (max(delays) / 250.0)
    return {
        "proxies": PROXIES,
        "within_s": round(max(delays) / 1000.0, 2),
        "peak_to_mean_in_250_ms": round(max(bins.values()) / mean, 2),
    }


def print_row(row: dict[str, Any]) -> None:
    """Print a result as one line of JSON."""
    print(json.dumps(row), flush=True)


async def measure_watch(instances: int, seconds: float) -> None:
    """Print the cost of the watch twice without and with changes, by turns; then the delay."""
    for changes in (False, True, False, True):
        print_row(await cost(instances, seconds, changes))
    print_row(await delay(instances))


def main() -> int:
    """Print the result of each measurement as a row."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--instances", type=int, default=2_000)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    asyncio.run(measure_watch(options.instances, options.seconds))
    print_row(reconnection())
    print_row(outage(options.seeds))
    print_row(flapping(options.seeds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
