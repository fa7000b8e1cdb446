"""Goodput and refusals of the daemon on a quarter of a core, at a load beyond its capacity.

    python benchmarks/overload.py [--times 1.5 2.5] [--seconds 5] [--clients 200] [--build CHECKOUT]
    python benchmarks/overload.py --deep 128    # each client keeps that many commands pending

The daemon shares one core with three processes that run endless loops, so the kernel limits it to
a quarter of the core when it needs more.  Its capacity is the highest rate that it serves in time
while the load is raised step by step.  The capacity is measured before each overload and again
after it, since the kernel's shares of the core vary from second to second, and the mean is used.
Goodput is the rate of requests served within the clients' deadline of 600 ms, as a fraction of that
capacity, under an open load of `--times` the capacity.  Of every 2,560 requests 128 in a row come
from the same client.  The cost of a refusal is measured by refusal.py.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import harness

from limebridge.standins.clients import Client, ClientRequest, LoadGenerator

STEP_FACTOR = 1.2  # each step of the search for the capacity multiplies the load by this
STEP_SECONDS = 2.5
BURST = 128  # requests in a row that come from the same client


@asynccontextmanager
async def limit_to_quarter_core(pid: int, core: int) -> AsyncIterator[None]:
    """Pin a process to a core and run three endless loops on the same core meanwhile."""
    os.sched_setaffinity(pid, {core})
    busy_loops = [await harness.spawn("-c", "while True: pass") for _ in range(3)]
    try:
        for busy_loop in busy_loops:
            os.sched_setaffinity(busy_loop.pid, {core})
        yield
    finally:
        for busy_loop in busy_loops:
            await harness.stop(busy_loop)


def share(requests: list[ClientRequest], outcome: str) -> float:
    """The share of the requests that had this outcome; 0 without requests."""
    return sum(r.outcome == outcome for r in requests) / max(1, len(requests))


def percentile(values: list[float], quantile: float) -> float:
    """The value at `quantile` (0 to 1) of the sorted values; 0 without values."""
    return sorted(values)[min(len(values) - 1, int(quantile * len(values)))] if values else 0.0


async def capacity(port: int, clients: int, start: float) -> float:
    """The highest rate of requests a second served in time, at loads that rise from `start`.

    The search ends at the second step in a row that serves less than 2% more than the best before.
    """
    best, rate, steps_without_gain = 0.0, start, 0
    while steps_without_gain < 2:
        generator = LoadGenerator(port, clients)
        await generator.connect()
        await generator.run(rate, STEP_SECONDS)
        await generator.wait_for_answers()
        generator.close()
        served = generator.count_outcomes()["served"] / STEP_SECONDS
        steps_without_gain = steps_without_gain + 1 if served < best * 1.02 else 0
        best, rate = max(best, served), rate * STEP_FACTOR
    return best


async def overload(
    port: int, clients: int, estimate: float, times: float, seconds: float
) -> dict[str, float]:
    """Offer `times` the capacity for `seconds` and return the figures of the result row.

    `estimate`: the capacity in requests a second that was measured just before.  Half of it is
    offered for a second before the overload and for two seconds after it.
    """
    generator = LoadGenerator(port, clients, seed=2)
    loop = asyncio.get_running_loop()
    await generator.connect()
    await generator.run(estimate * 0.5, 1.0)
    start = loop.time()

    def pick(count: int) -> Client | None:
        return generator.clients[0] if count % (20 * BURST) < BURST else None

    await generator.run(estimate * times, seconds, pick)
    end = loop.time()
    await generator.run(estimate * 0.5, 1.0)
    await generator.run(estimate * 0.5, 1.0)
    await generator.wait_for_answers()
    generator.close()
    during = [r for r in generator.finished if start <= r.sent_at < end]
    after = [r for r in generator.finished if r.sent_at >= end + 1.0]
    refused = [(r.ended_at - r.sent_at) * 1000.0 for r in during if r.outcome == "refused"]
    served = Counter(r.client for r in during if r.outcome == "served")
    second_estimate = await capacity(port, clients, estimate * 0.8)
    first_estimate, estimate = estimate, (estimate + second_estimate) / 2.0
    goodput = share(during, "served") * len(during) / seconds / estimate
    fair_share = sum(served.values()) / clients
    return {
        "clients": clients,
        "times": times,
        "capacity": round(estimate),
        "capacity_spread": round(abs(second_estimate - first_estimate) / estimate, 3),
        "offered": round(len(during) / seconds),
        "goodput": round(goodput, 3),
        "refused": round(share(during, "refused"), 4),
        "expired": round(share(during, "expired"), 4),
        "failed": round(share(during, "failed") + share(during, "closed"), 4),
        "refusal_p50_ms": round(percentile(refused, 0.5), 1),
        "refusal_p99_ms": round(percentile(refused, 0.99), 1),
        "least_of_fair_share": round(
            min(served[c] for c in range(clients)) / max(fair_share, 1e-9), 2
        ),
        "after_1s_served": round(share(after, "served"), 4),
        "crowd_late_ms": round(generator.max_lag * 1000.0, 1),
    }


async def measure_pipelining(
    daemon: harness.RunningProcess, clients: int, depth: int, seconds: float
) -> dict[str, Any]:
    """Keep `depth` requests of each client pending, by sending a new one for each that ends.

    Returns the rates, the latency of answers and the daemon's resident memory (before, maximum).
    """
    generator = LoadGenerator(daemon.port, clients, seed=3)
    await generator.connect()
    loop, finished = asyncio.get_running_loop(), generator.finished
    initial_mb = harness.resident_mb(daemon.pid)
    max_mb, seen, end = initial_mb, 0, loop.time() + seconds
    for client in generator.clients:
        for _ in range(depth):
            generator.send_request(client)
    while loop.time() < end:
        await asyncio.sleep(0.005)
        ended, seen = finished[seen:], len(finished)
        for request in ended:
            generator.send_request(generator.clients[request.client])
        max_mb = max(max_mb, harness.resident_mb(daemon.pid))
    await generator.wait_for_answers()
    generator.close()
    during = [request for request in finished if request.ended_at < end]
    latencies = [(r.ended_at - r.sent_at) * 1000.0 for r in during if r.outcome != "expired"]
    served = Counter(r.client for r in during if r.outcome == "served")
    return {
        "clients": clients,
        "deep": depth,
        "asked_per_s": round(len(during) / seconds),
        "served_per_s": round(share(during, "served") * len(during) / seconds),
        "answers": dict(Counter(request.outcome for request in finished)),
        "answer_p50_ms": round(percentile(latencies, 0.5), 1),
        "answer_p99_ms": round(percentile(latencies, 0.99), 1),
        "clients_served": len(served),
        "resident_mb": [round(initial_mb, 1), round(max_mb, 1)],
    }


async def main() -> int:
    """Print a row of JSON per load.  This process leaves the daemon's core, `--core`, to it."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--times", type=float, nargs="+", default=[1.5, 2.5])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--start", type=float, default=500.0, help="first load, requests/s")
    parser.add_argument("--deep", type=int, default=0, help="pending commands of each client")
    parser.add_argument("--core", type=int, default=max(os.sched_getaffinity(0)))
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    options = parser.parse_args()
    os.sched_setaffinity(0, os.sched_getaffinity(0) - {options.core})
    caps = {
        "cancel": True,
        "connIdleMs": 5000.0,
        "connectTimeoutMs": 250.0,
        "maxRetryAfterMs": 1000.0,
        "mostTries": 4,
        "retryAfter": True,
        "secondCopies": False,
    }
    async with (
        harness.nodes(4, 200) as ports,
        harness.daemon(ports, options.build.resolve(), sockets=2048, caps=caps) as daemon,
        limit_to_quarter_core(daemon.pid, options.core),
    ):
        if options.deep:
            print(
                json.dumps(
                    await measure_pipelining(daemon, options.clients, options.deep, options.seconds)
                ),
                flush=True,
            )
            return 0
        for times in options.times:
            estimate = await capacity(daemon.port, options.clients, options.start)
            row = await overload(daemon.port, options.clients, estimate, times, options.seconds)
            print(json.dumps(row), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
