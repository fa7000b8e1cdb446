"""What proxies that talk to each other cost, and what it is good for.

    python benchmarks/sharing.py use --daemons 10      # of a budget, load on one, real daemons
    python benchmarks/sharing.py split        # of a budget, through a split and after it
    python benchmarks/sharing.py members --count 710   # bytes, time to hear, suspicions
    python benchmarks/sharing.py judged --count 710        # until a bad node is avoided, in memory
    python benchmarks/sharing.py counts                    # error and bytes against an exact count
    python benchmarks/sharing.py request               # CPU of what a request passes
    python benchmarks/sharing.py rest                      # memory and CPU at rest, off and on
    python benchmarks/sharing.py fuzz --datagrams 1000000  # noise, sealed noise, spoilt ones
    python benchmarks/sharing.py whole --states 1000000

Each figure is of one run on the machine at hand.
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
EVERY = 2.0  # s between two requests that a member judges: 710 at 355 a second


def use(daemons: int, seconds: float) -> dict[str, Any]:
    """Of the budget that is spent with load on one of so many real daemons."""
    plan = Plan(1, seconds, daemons, 120.0, 3.0)
    outcome = rig.run_plan(plan)
    return {
        "daemons": daemons,
        "spent": round(outcome.final_share, 3),
        "fixed_parts": round(1.0 / daemons, 3),
        "broken": outcome.violations,
    }


def split(daemons: int) -> dict[str, Any]:
    """A fifth is cut off for 6 s, the loaded one with the others."""
    plan = Plan(1, 14.0, daemons, 120.0, 1.0, [Fault(4.0, "split", max(0, daemons // 5 - 1), 6.0)])
    outcome = rig.run_plan(plan)
    observed = outcome.observed
    at = observed.started_at + 4.0
    return {
        "before": round(checker.budget_share(plan, observed, at - 2.0, at), 3),
        "split": round(checker.budget_share(plan, observed, at + 1.0, at + 6.0), 3),
        "five_seconds_after": round(checker.budget_share(plan, observed, at + 6.0, at + 11.0), 3),
        "broken": outcome.violations,
    }


def members(count: int, loss: float) -> dict[str, Any]:
    """Traffic at rest, time until a death is known to all, false suspicions."""
    fleet = EmulatedFleet(count, loss)
    fleet.run(5.0)
    sent, size = sum(s.sent for s in fleet.sharings), sum(s.bytes_sent for s in fleet.sharings)
    fleet.state_changes.clear()
    began = time.process_time()
    fleet.run(30.0)
    cpu = time.process_time() - began
    found = Counter(state for _, _, state in fleet.state_changes)
    sent, size = (
        sum(s.sent for s in fleet.sharings) - sent,
        sum(s.bytes_sent for s in fleet.sharings) - size,
    )
    gone = fleet.sharings[3]
    gone._timer.cancel()
    gone._socket.close()
    at = fleet.kernel.now
    fleet.state_changes.clear()
    fleet.run(40.0 + 20.0 * math.log10(count))
    heard = sorted(
        when - at for when, name, state in fleet.state_changes if name == gone.name and state == "d"
    )
    return {
        "members": count,
        "loss": loss,
        "datagrams_a_second": round(sent / count / 30.0, 2),
        "bytes_a_second": round(size / count / 30.0),
        "cpu_share": round(cpu / 30.0 / count, 5),
        "suspected_a_minute": 2 * found["s"],
        "dead_for_nothing": found["d"],
        "death_known_s": [round(heard[0], 1), round(heard[len(heard) // 2], 1), round(heard[-1], 1)]
        if heard
        else [],
        "known_to": len(heard),
    }


def judged(count: int, calm: float) -> dict[str, Any]:
    """Each member judges a request in EVERY s; from some time on one node fails all."""
    fleet = EmulatedFleet(count)
    nodes = [Member(number, CacheState.READY, started_at=1.0) for number in range(1, NODES + 1)]
    for sharing in fleet.sharings:
        sharing.update_nodes(nodes)
    bad_from, rng = fleet.kernel.now + calm, random.Random(2)
    false = 0
    avoided: dict[int, float] = {}

    def request(place: int) -> None:
        nonlocal false
        sharing, proxy, now = fleet.sharings[place], fleet.proxies[place], fleet.kernel.now
        node = rng.randrange(1, NODES + 1)
        if node not in proxy.unhealthy:
            # One in a hundred fails anywhere.
            fails = (node == 1 and now >= bad_from) or rng.random() < 0.01
            sharing.record_attempt(node, Result.LATE if fails else Result.OK)
        false += sum(bad != 1 or now < bad_from for bad in proxy.unhealthy)
        if 1 in proxy.unhealthy and now >= bad_from:
            avoided.setdefault(place, now - bad_from)
        fleet.kernel.at(now + rng.expovariate(1.0 / EVERY), lambda: request(place))

    for place in range(count):
        fleet.kernel.at(fleet.kernel.now + rng.random() * EVERY, lambda place=place: request(place))  # type: ignore[misc]
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


def counts() -> list[dict[str, Any]]:
    """Merged summaries of Zipf 1.1 keys against an exact count."""
    rows = []
    for many in (8, 46, 710):
        rng = random.Random(many)
        keys = list(range(20_000))
        weights = [1.0 / (rank + 1) ** 1.1 for rank in keys]
        exact: Counter[int] = Counter()
        made = []
        for _ in range(many):
            summary = Summary()
            for key in rng.choices(keys, weights, k=400):
                summary.add(key)
                exact[key] += 1
            made.append(summary)
        merged = merge(made)
        top = [key for key, _ in exact.most_common(10)]
        size = len(
            wire.encode_item(
                wire.HeavyHitterReport(
                    "key",
                    [k << 40 for k, _, _ in made[0].top()],
                    [c for _, c, _ in made[0].top()],
                    [e for _, _, e in made[0].top()],
                )
            )
        )
        total = sum(exact.values())
        rows.append(
            {
                "members": many,
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


def request(rounds: int) -> dict[str, Any]:
    """What a request passes of this part: `admits`, `asked`, `met`; against nothing."""
    loop = VirtualLoop(Kernel(1))
    net = SocketNetwork(loop, make=loop.kernel.maker("p"), clock=lambda: 1.7e9)
    table = SharingTable(listen="127.0.0.1:20000", proxies=1, budget=(BudgetTable("all", 1e6),))
    sharing = Sharing(table, KEYS, "p", "a", 1000.0, net, RecordingProxy())
    sharing.update_nodes([Member(number, CacheState.READY) for number in range(NODES)])
    rng = random.Random(1)
    keys = [rng.getrandbits(52) for _ in range(10_000)]
    took = []
    for _ in range(5):
        began = time.process_time()
        for place in range(rounds):
            sharing.admits("t", "lookup")
            sharing.record_request("t", keys[place % 10_000])
            sharing.record_attempt(place % NODES, Result.OK)
        took.append((time.process_time() - began) / rounds * 1e6)
    return {"us_a_request": round(statistics.median(took), 2)}


def rest(seconds: float) -> dict[str, Any]:
    """A real daemon alone: resident MB and share of a core, off and on, in turn."""
    import asyncio

    from limebridge.child import Child
    from limebridge.ports import free_ports
    from limebridge.standins.configuration import configuration

    async def one(folder: Path, on: bool) -> tuple[float, float]:
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
            before = sum(map(int, stat.read_text().split()[13:15]))
            await asyncio.sleep(seconds)
            ticks = sum(map(int, stat.read_text().split()[13:15])) - before
            pages = int(Path(f"/proc/{child.pid}/statm").read_text().split()[1])
            return pages * resource.getpagesize() / 1e6, ticks / 100.0 / seconds
        finally:
            await child.kill()

    found: dict[str, list[tuple[float, float]]] = {"off": [], "on": []}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(3):
            for name in found:
                found[name].append(asyncio.run(one(Path(folder), name == "on")))
    return {
        name: {
            "mb": round(statistics.median(mb for mb, _ in runs), 1),
            "cores": round(statistics.median(cpu for _, cpu in runs), 4),
        }
        for name, runs in found.items()
    }


def fuzz(datagrams: int) -> dict[str, Any]:
    """Noise, spoilt ones, and noise within a good seal; what is left afterwards."""
    fleet = EmulatedFleet(3)
    fleet.run(3.0)
    target, rng = fleet.sharings[0], random.Random(3)
    good = KEYS.seal(
        wire.Envelope(
            "p1", "l1", 1, 10**6, "p0", "l0", 0, 0, [wire.raw(wire.encode_item(wire.Ping(1)))]
        )
    )
    origin = Address("127.0.0.1", 20_001)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.process_time()
    for number in range(datagrams):
        kind = number % 4
        if kind == 0:
            data = rng.randbytes(rng.randrange(1300))
        elif kind == 1:
            place = rng.randrange(len(good))
            data = good[:place] + bytes([good[place] ^ (1 << rng.randrange(8))]) + good[place + 1 :]
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
        fleet.kernel.now += 0.003  # else most would be too many a second of one member
        target.datagram(data, origin)
    took = time.process_time() - began
    fleet.run(1.0)
    return {
        "datagrams": datagrams,
        "us_each": round(took / datagrams * 1e6, 1),
        "refused": target.refused,
        "taken": target.received,
        "members": len(target.members.members),
        "mb_more": round((resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1e3, 1),
    }


def whole(states: int, names: int) -> dict[str, Any]:
    began = time.monotonic()
    found = check(World(Bounds(processes=names)), states)
    return {
        "names": names,
        "states": found.states,
        "steps": found.steps,
        "depth": found.depth,
        "all": found.complete,
        "healed": found.liveness_checks,
        "broken": found.traces,
        "seconds": round(time.monotonic() - began),
    }


def main() -> None:
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
    given = parser.parse_args()
    match given.what:
        case "use":
            told: Any = use(given.daemons, given.seconds)
        case "split":
            told = split(given.daemons)
        case "members":
            told = members(given.count, given.loss)
        case "judged":
            told = judged(given.count, given.calm)
        case "counts":
            told = counts()
        case "request":
            told = request(100_000)
        case "rest":
            told = rest(given.seconds)
        case "fuzz":
            told = fuzz(given.datagrams)
        case _:
            told = whole(given.states, given.names)
    print(json.dumps(told))


if __name__ == "__main__":
    main()
