"""Costs and benefits of sharing between proxies: budgets, membership, node health, heavy hitters.

    python benchmarks/sharing.py use --daemons 10          # use of a budget, load on one proxy
    python benchmarks/sharing.py split                     # use of a budget in a network split
    python benchmarks/sharing.py members --count 710       # traffic, detection time of a crash
    python benchmarks/sharing.py judged --count 710        # time until an unhealthy node is avoided
    python benchmarks/sharing.py counts                    # error and size of heavy hitter reports
    python benchmarks/sharing.py request                   # CPU time per request
    python benchmarks/sharing.py rest                      # memory and CPU of an idle daemon
    python benchmarks/sharing.py fuzz --datagrams 1000000  # malformed and random datagrams
    python benchmarks/sharing.py whole --states 1000000    # model check of budget loans

`use`, `split` and `rest` start real daemons; `members`, `judged` and `fuzz` run in memory on a
virtual clock.  Each command makes one run on this machine (`rest` and `request` print medians of
several) and prints one line of JSON.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import resource
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from emulated_fleet import KEYS, EmulatedFleet, RecordingProxy

from limebridge.faults.budgets import Bounds, World
from limebridge.faults.sharing import checker, rig
from limebridge.faults.sharing.plan import Fault, Plan
from limebridge.faults.state_space import check
from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from snowstall import CacheState, Member, Result
from violetroute.sharing import wire
from violetroute.sharing.heavy_hitters import Summary, merge
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import BudgetTable, SharingTable
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

NODES = 46
REQUEST_INTERVAL = 2.0  # s on average between two requests of a member: 355 a second for 710


def budget_use(daemons: int, seconds: float) -> dict[str, Any]:
    """Share of the budget spent when one of `daemons` real daemons is overloaded and no other is.

    `fixed_parts`: the share it could spend if each daemon had a fixed, equal part of the budget.
    """
    plan = Plan(1, seconds, daemons, 120.0, 3.0)
    outcome = rig.run_plan(plan)
    return {
        "daemons": daemons,
        "spent": round(outcome.final_share, 3),
        "fixed_parts": round(1.0 / daemons, 3),
        "broken": outcome.violations,
    }


def budget_use_in_split(daemons: int) -> dict[str, Any]:
    """Share of the budget spent before, during and after a split of 6 s.

    The split separates a fifth of the daemons from the others, among which is the loaded one.
    """
    plan = Plan(1, 14.0, daemons, 120.0, 1.0, [Fault(4.0, "split", max(0, daemons // 5 - 1), 6.0)])
    outcome = rig.run_plan(plan)
    observed = outcome.observed
    split_at = observed.started_at + 4.0
    return {
        "before": round(checker.budget_share(plan, observed, split_at - 2.0, split_at), 3),
        "split": round(checker.budget_share(plan, observed, split_at + 1.0, split_at + 6.0), 3),
        "five_seconds_after": round(
            checker.budget_share(plan, observed, split_at + 6.0, split_at + 11.0), 3
        ),
        "broken": outcome.violations,
    }


def membership(count: int, loss: float) -> dict[str, Any]:
    """Traffic and CPU time of a fleet without changes, false suspicions, and detection of a crash.

    `loss`: probability that a datagram is lost.  `death_known_s`: seconds from the crash of a
    member until the first, the median and the last of the others that consider it dead do so.
    """
    fleet = EmulatedFleet(count, loss)
    fleet.run(5.0)
    sent, size = sum(s.sent for s in fleet.sharings), sum(s.bytes_sent for s in fleet.sharings)
    fleet.state_changes.clear()
    start = time.process_time()
    fleet.run(30.0)
    cpu = time.process_time() - start
    states = Counter(state for _, _, state in fleet.state_changes)
    sent, size = (
        sum(s.sent for s in fleet.sharings) - sent,
        sum(s.bytes_sent for s in fleet.sharings) - size,
    )
    crashed = fleet.sharings[3]
    crashed._timer.cancel()
    crashed._socket.close()
    crashed_at = fleet.kernel.now
    fleet.state_changes.clear()
    fleet.run(40.0 + 20.0 * math.log10(count))
    detected = sorted(
        when - crashed_at
        for when, name, state in fleet.state_changes
        if name == crashed.name and state == "d"
    )
    return {
        "members": count,
        "loss": loss,
        "datagrams_a_second": round(sent / count / 30.0, 2),
        "bytes_a_second": round(size / count / 30.0),
        "cpu_share": round(cpu / 30.0 / count, 5),
        "suspected_a_minute": 2 * states["s"],
        "dead_for_nothing": states["d"],
        "death_known_s": [
            round(detected[0], 1),
            round(detected[len(detected) // 2], 1),
            round(detected[-1], 1),
        ]
        if detected
        else [],
        "known_to": len(detected),
    }


def unhealthy_node(count: int, calm: float) -> dict[str, Any]:
    """Time until the members avoid a node that fails all requests from `calm` seconds on.

    Each member makes a request every REQUEST_INTERVAL on average.  `s`: quantiles of the time (s)
    over the members.  `false_looks`: healthy nodes that are avoided, summed over all requests.
    """
    fleet = EmulatedFleet(count)
    nodes = [Member(number, CacheState.READY, started_at=1.0) for number in range(1, NODES + 1)]
    for sharing in fleet.sharings:
        sharing.update_nodes(nodes)
    failing_from, rng = fleet.kernel.now + calm, random.Random(2)
    false = 0
    avoided: dict[int, float] = {}

    def request(index: int) -> None:
        nonlocal false
        sharing, proxy, now = fleet.sharings[index], fleet.proxies[index], fleet.kernel.now
        node = rng.randrange(1, NODES + 1)
        if node not in proxy.unhealthy:
            # One request in a hundred fails at any node.
            fails = (node == 1 and now >= failing_from) or rng.random() < 0.01
            sharing.record_attempt(node, Result.LATE if fails else Result.OK)
        false += sum(avoided_node != 1 or now < failing_from for avoided_node in proxy.unhealthy)
        if 1 in proxy.unhealthy and now >= failing_from:
            avoided.setdefault(index, now - failing_from)
        fleet.kernel.at(now + rng.expovariate(1.0 / REQUEST_INTERVAL), lambda: request(index))

    for index in range(count):
        fleet.kernel.at(
            fleet.kernel.now + rng.random() * REQUEST_INTERVAL,
            lambda index=index: request(index),  # type: ignore[misc]
        )
    fleet.run(calm + 20.0)
    times = sorted(avoided.values())
    return {
        "members": count,
        "avoided_by": len(times),
        "s": {
            str(part): round(times[min(len(times) - 1, int(part * len(times)))], 2)
            for part in (0.1, 0.5, 0.9)
        }
        if times
        else {},
        "false_looks": false,
    }


def heavy_hitters() -> list[dict[str, Any]]:
    """Error of merged summaries against an exact count, and bytes of a report.

    The keys follow a Zipf distribution with exponent 1.1.  Errors are fractions of all requests.
    """
    rows = []
    for members in (8, 46, 710):
        rng = random.Random(members)
        keys = list(range(20_000))
        weights = [1.0 / (rank + 1) ** 1.1 for rank in keys]
        exact: Counter[int] = Counter()
        summaries = []
        for _ in range(members):
            summary = Summary()
            for key in rng.choices(keys, weights, k=400):
                summary.add(key)
                exact[key] += 1
            summaries.append(summary)
        merged = merge(summaries)
        top = [key for key, _ in exact.most_common(10)]
        size = len(
            wire.encode_item(
                wire.HeavyHitterReport(
                    "key",
                    [k << 40 for k, _, _ in summaries[0].top()],
                    [c for _, c, _ in summaries[0].top()],
                    [e for _, _, e in summaries[0].top()],
                )
            )
        )
        total = sum(exact.values())
        rows.append(
            {
                "members": members,
                "bytes_each": size,
                "top_ten_found": sum(key in merged.counters for key in top),
                "error_of_top_ten": round(
                    max(
                        abs(merged.counters[key].count - exact[key]) / total
                        for key in top
                        if key in merged.counters
                    ),
                    4,
                ),
                "error_stated": round(max(c.error for c in merged.counters.values()) / total, 4),
            }
        )
    return rows


def request_cpu(rounds: int) -> dict[str, Any]:
    """CPU time in microseconds of the three calls into `Sharing` that each request makes.

    The calls are `admits`, `record_request` and `record_attempt`.  No baseline is subtracted.
    """
    loop = VirtualLoop(Kernel(1))
    net = SocketNetwork(loop, make=loop.kernel.maker("p"), clock=lambda: 1.7e9)
    table = SharingTable(listen="127.0.0.1:20000", proxies=1, budget=(BudgetTable("all", 1e6),))
    sharing = Sharing(table, KEYS, "p", "a", 1000.0, net, RecordingProxy())
    sharing.update_nodes([Member(number, CacheState.READY) for number in range(NODES)])
    rng = random.Random(1)
    keys = [rng.getrandbits(52) for _ in range(10_000)]
    costs = []
    for _ in range(5):
        start = time.process_time()
        for index in range(rounds):
            sharing.admits("t", "lookup")
            sharing.record_request("t", keys[index % 10_000])
            sharing.record_attempt(index % NODES, Result.OK)
        costs.append((time.process_time() - start) / rounds * 1e6)
    return {"us_a_request": round(statistics.median(costs), 2)}


def idle_cost(seconds: float) -> dict[str, Any]:
    """Resident MB and share of a core of an idle real daemon, with sharing off and on.

    The two alternate; the medians of three starts each are returned.
    """
    import asyncio

    from limebridge.child import Child
    from limebridge.ports import free_ports
    from limebridge.standins.configuration import configuration

    async def measure(folder: Path, on: bool) -> tuple[float, float]:
        key = folder / "key"
        key.write_text("a key of sixteen bytes and more\n")
        operator = folder / "operator.toml"
        operator.write_text(
            ""
            if not on
            else (
                f'[sharing]\nlisten = "127.0.0.1:{free_ports(1)[0]}"\nkey_file = "{key}"\n'
                'budget = [{name = "all", per_s = 100.0}]\n'
            )
        )
        child = Child(folder, "p0")
        try:
            await child.start(configuration(free_ports(1)[0], []), free_ports(1)[0], operator)
            await asyncio.sleep(1.0)
            stat = Path(f"/proc/{child.pid}/stat")
            ticks_before = sum(map(int, stat.read_text().split()[13:15]))
            await asyncio.sleep(seconds)
            ticks = sum(map(int, stat.read_text().split()[13:15])) - ticks_before
            pages = int(Path(f"/proc/{child.pid}/statm").read_text().split()[1])
            return pages * resource.getpagesize() / 1e6, ticks / 100.0 / seconds
        finally:
            await child.kill()

    results: dict[str, list[tuple[float, float]]] = {"off": [], "on": []}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(3):
            for name in results:
                results[name].append(asyncio.run(measure(Path(folder), name == "on")))
    return {
        name: {
            "mb": round(statistics.median(mb for mb, _ in runs), 1),
            "cores": round(statistics.median(cpu for _, cpu in runs), 4),
        }
        for name, runs in results.items()
    }


def fuzz(datagrams: int) -> dict[str, Any]:
    """CPU time and memory for malformed and random datagrams, and how many of them were accepted.

    Four kinds alternate: random bytes, a valid datagram with one bit flipped, random bytes with a
    valid MAC, and a valid envelope with random items.
    """
    fleet = EmulatedFleet(3)
    fleet.run(3.0)
    target, rng = fleet.sharings[0], random.Random(3)
    valid = KEYS.seal(
        wire.Envelope(
            "p1", "l1", 1, 10**6, "p0", "l0", 0, 0, [wire.raw(wire.encode_item(wire.Ping(1)))]
        )
    )
    origin = Address("127.0.0.1", 20_001)
    initial_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    start = time.process_time()
    for number in range(datagrams):
        kind = number % 4
        if kind == 0:
            data = rng.randbytes(rng.randrange(1300))
        elif kind == 1:
            at = rng.randrange(len(valid))
            data = valid[:at] + bytes([valid[at] ^ (1 << rng.randrange(8))]) + valid[at + 1 :]
        elif kind == 2:
            body = rng.randbytes(rng.randrange(200))
            data = wire.MAGIC + KEYS._first + wire._mac(KEYS._keys[KEYS._first], body) + body
        else:
            data = KEYS.seal(
                wire.Envelope(
                    f"p{rng.randrange(9)}",
                    f"l{rng.randrange(9)}",
                    rng.getrandbits(40),
                    number,
                    "p0",
                    "l0",
                    rng.getrandbits(20),
                    rng.getrandbits(40),
                    [
                        msgspec.Raw(
                            msgspec.msgpack.encode(
                                [
                                    rng.choice("panqrgGsblkwoc"),
                                    *(
                                        rng.choice(
                                            (
                                                rng.getrandbits(60),
                                                rng.random(),
                                                "x" * rng.randrange(70),
                                                True,
                                                [],
                                                -1,
                                            )
                                        )
                                        for _ in range(rng.randrange(8))
                                    ),
                                ]
                            )
                        )
                        for _ in range(rng.randrange(5))
                    ],
                )
            )
        fleet.kernel.now += 0.003  # otherwise most exceed the receive rate of a member
        target.datagram(data, origin)
    elapsed = time.process_time() - start
    fleet.run(1.0)
    return {
        "datagrams": datagrams,
        "us_each": round(elapsed / datagrams * 1e6, 1),
        "refused": target.refused,
        "taken": target.received,
        "members": len(target.members.members),
        "mb_more": round(
            (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - initial_kb) / 1e3, 1
        ),
    }


def model_check(states: int, names: int) -> dict[str, Any]:
    """Model check of budget loans between `names` processes, until `states` states are known."""
    start = time.monotonic()
    found = check(World(Bounds(processes=names)), states)
    return {
        "names": names,
        "states": found.states,
        "steps": found.steps,
        "depth": found.depth,
        "all": found.complete,
        "healed": found.liveness_checks,
        "broken": found.traces,
        "seconds": round(time.monotonic() - start),
    }


def main() -> None:
    """Run the measurement that the command line names and print its result as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "what",
        choices=["use", "split", "members", "judged", "counts", "request", "rest", "fuzz", "whole"],
    )
    parser.add_argument("--daemons", type=int, default=10)
    parser.add_argument("--count", type=int, default=46)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--calm", type=float, default=10.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--datagrams", type=int, default=1_000_000)
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument("--names", type=int, default=2)
    options = parser.parse_args()
    match options.what:
        case "use":
            result: Any = budget_use(options.daemons, options.seconds)
        case "split":
            result = budget_use_in_split(options.daemons)
        case "members":
            result = membership(options.count, options.loss)
        case "judged":
            result = unhealthy_node(options.count, options.calm)
        case "counts":
            result = heavy_hitters()
        case "request":
            result = request_cpu(100_000)
        case "rest":
            result = idle_cost(options.seconds)
        case "fuzz":
            result = fuzz(options.datagrams)
        case _:
            result = model_check(options.states, options.names)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
