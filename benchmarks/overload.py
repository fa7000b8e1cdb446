"""The daemon on a quarter of a core, offered more than it can do.

    python benchmarks/overload.py [--times 1.5 2.5] [--seconds 5] [--clients 200] [--build CHECKOUT]
    python benchmarks/overload.py --deep 128    # each client holds that many commands, always

The daemon shares one core with three processes that never rest, so the kernel gives it a
quarter when it wants more.  Its capacity is the most that it serves in time on a rising
load, found before each overload and again after it (the kernel shares the core unevenly from
second to second), and the mean counts; goodput is what is served within the clients' 600 ms
while several times that is offered by clients at times of their own.  One of the clients
sends 128 commands at once in between.  What a refusal costs is measured apart (refusal.py).
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

STEP = 1.2  # from one load to the next on the way to the capacity
STEP_SECONDS = 2.5
BURST = 128  # commands that the one greedy client sends at once


@asynccontextmanager
async def quarter(pid: int, core: int) -> AsyncIterator[None]:
    os.sched_setaffinity(pid, {core})
    burners = [await harness.spawn("-c", "while True: pass") for _ in range(3)]
    try:
        for burner in burners:
            os.sched_setaffinity(burner.pid, {core})
        yield
    finally:
        for burner in burners:
            await harness.stop(burner)


def share(asks: list[ClientRequest], kind: str) -> float:
    return sum(a.outcome == kind for a in asks) / max(1, len(asks))


def percentile(figures: list[float], part: float) -> float:
    return sorted(figures)[min(len(figures) - 1, int(part * len(figures)))] if figures else 0.0


async def capacity(port: int, clients: int, start: float) -> float:
    """Requests a second that are served in time, at the load at which most are."""
    best, rate, falls = 0.0, start, 0
    while falls < 2:
        crowd = LoadGenerator(port, clients)
        await crowd.connect()
        await crowd.run(rate, STEP_SECONDS)
        await crowd.wait_for_answers()
        crowd.close()
        served = crowd.count_outcomes()["served"] / STEP_SECONDS
        falls = falls + 1 if served < best * 1.02 else 0
        best, rate = max(best, served), rate * STEP
    return best


async def overload(
    port: int, clients: int, able: float, times: float, seconds: float
) -> dict[str, float]:
    crowd = LoadGenerator(port, clients, seed=2)
    loop = asyncio.get_running_loop()
    await crowd.connect()
    await crowd.run(able * 0.5, 1.0)
    start = loop.time()

    def pick(count: int) -> Client | None:
        return crowd.clients[0] if count % (20 * BURST) < BURST else None

    await crowd.run(able * times, seconds, pick)
    end = loop.time()
    await crowd.run(able * 0.5, 1.0)
    await crowd.run(able * 0.5, 1.0)
    await crowd.wait_for_answers()
    crowd.close()
    during = [a for a in crowd.finished if start <= a.sent_at < end]
    after = [a for a in crowd.finished if a.sent_at >= end + 1.0]
    refused = [(a.ended_at - a.sent_at) * 1000.0 for a in during if a.outcome == "refused"]
    each = Counter(a.client for a in during if a.outcome == "served")
    again = await capacity(port, clients, able * 0.8)
    before, able = able, (able + again) / 2.0
    goodput = share(during, "served") * len(during) / seconds / able
    fair = sum(each.values()) / clients
    return {
        "clients": clients,
        "times": times,
        "capacity": round(able),
        "capacity_spread": round(abs(again - before) / able, 3),
        "offered": round(len(during) / seconds),
        "goodput": round(goodput, 3),
        "refused": round(share(during, "refused"), 4),
        "expired": round(share(during, "expired"), 4),
        "failed": round(share(during, "failed") + share(during, "closed"), 4),
        "refusal_p50_ms": round(percentile(refused, 0.5), 1),
        "refusal_p99_ms": round(percentile(refused, 0.99), 1),
        "least_of_fair_share": round(min(each[c] for c in range(clients)) / max(fair, 1e-9), 2),
        "after_1s_served": round(share(after, "served"), 4),
        "crowd_late_ms": round(crowd.max_lag * 1000.0, 1),
    }


async def standing(
    daemon: harness.RunningProcess, clients: int, deep: int, seconds: float
) -> dict[str, Any]:
    """Each client holds `deep` commands at any time: what is answered, it asks again."""
    crowd = LoadGenerator(daemon.port, clients, seed=3)
    await crowd.connect()
    loop, asks = asyncio.get_running_loop(), crowd.finished
    before = harness.resident_mb(daemon.pid)
    most, seen, end = before, 0, loop.time() + seconds
    for client in crowd.clients:
        for _ in range(deep):
            crowd.send_request(client)
    while loop.time() < end:
        await asyncio.sleep(0.005)
        ended, seen = asks[seen:], len(asks)
        for ask in ended:
            crowd.send_request(crowd.clients[ask.client])
        most = max(most, harness.resident_mb(daemon.pid))
    await crowd.wait_for_answers()
    crowd.close()
    during = [ask for ask in asks if ask.ended_at < end]
    waits = [(ask.ended_at - ask.sent_at) * 1000.0 for ask in during if ask.outcome != "expired"]
    each = Counter(ask.client for ask in during if ask.outcome == "served")
    return {
        "clients": clients,
        "deep": deep,
        "asked_per_s": round(len(during) / seconds),
        "served_per_s": round(share(during, "served") * len(during) / seconds),
        "answers": dict(Counter(ask.outcome for ask in asks)),
        "answer_p50_ms": round(percentile(waits, 0.5), 1),
        "answer_p99_ms": round(percentile(waits, 0.99), 1),
        "clients_served": len(each),
        "resident_mb": [round(before, 1), round(most, 1)],
    }


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--times", type=float, nargs="+", default=[1.5, 2.5])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--start", type=float, default=500.0, help="first load, requests/s")
    parser.add_argument("--deep", type=int, default=0, help="commands that each client holds")
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
        quarter(daemon.pid, options.core),
    ):
        if options.deep:
            print(
                json.dumps(await standing(daemon, options.clients, options.deep, options.seconds)),
                flush=True,
            )
            return 0
        for times in options.times:
            able = await capacity(daemon.port, options.clients, options.start)
            row = await overload(daemon.port, options.clients, able, times, options.seconds)
            print(json.dumps(row), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
