"""What the cluster dialect costs a request: the daemon with it and without, in turn in one run.

    python benchmarks/cluster.py [--seconds 4] [--rate 2000] [--limit 1.10]

`one`: a node that owns all slots.  `several`: one of two that serves what is the other's, so that
each key's slot is looked up and nothing is redirected.  Also what a redirection costs, and CLUSTER
SLOTS, in CPU of the daemon.  Exit status 1 when a ratio is over --limit.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path

import harness
from cost import measure

from limebridge.standins.clients import LoadGenerator
from limebridge.standins.wire import bulk, read_answer

ONE = '[cluster]\nappear = "one"\n'
SEVERAL = (
    '[cluster]\nappear = "several"\nforeign = "{}"\n'
    '[[cluster.proxies]]\nname = "n0"\naddress = "127.0.0.1:7000"\nslots = ["0-8191"]\n'
    '[[cluster.proxies]]\nname = "n1"\naddress = "127.0.0.1:7001"\n'
    'slots = ["8192-16383"]\n'
)
TABLES = {"off": "", "one": ONE, "several": SEVERAL.format("serve")}
TURNS = 3


async def repeated(port: int, pid: int, words: bytes, count: int = 5000) -> float:
    """Microseconds of CPU of one command that is answered from memory."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    before = harness.cpu_seconds(pid)
    for _ in range(count):
        writer.write(words)
        await read_answer(reader) if not words.startswith(
            b"*2\r\n$7\r\nCLUSTER"
        ) else await reader.readuntil(b"*0\r\n")
    used = harness.cpu_seconds(pid) - before
    writer.close()
    return used / count * 1e6


async def redirected(port: int, pid: int, rate: float, seconds: float) -> float:
    """Microseconds of CPU a question when about half are answered with -MOVED."""
    crowd = LoadGenerator(port, clients=40)
    await crowd.connect()
    before = harness.cpu_seconds(pid)
    await crowd.run(rate, seconds)
    await crowd.wait_for_answers()
    crowd.close()
    return (harness.cpu_seconds(pid) - before) / crowd.sent * 1e6


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=4.0, help="a turn and side")
    parser.add_argument("--rate", type=float, default=2000.0)
    parser.add_argument("--limit", type=float)
    options = parser.parse_args()
    costs: dict[str, list[float]] = {name: [] for name in TABLES}
    served = 1.0
    with tempfile.TemporaryDirectory() as folder:
        paths = {}
        for name, text in [*TABLES.items(), ("moved", SEVERAL.format("moved"))]:
            paths[name] = Path(folder) / f"{name}.toml"
            paths[name].write_text(text)
        async with harness.nodes(4, 200) as ports:
            for _ in range(TURNS):
                for name in TABLES:
                    async with harness.daemon(ports, operator=paths[name]) as daemon:
                        cost, crowd = await measure(daemon, options.rate, options.seconds)
                        costs[name].append(cost)
                        served = min(served, crowd.count_outcomes()["served"] / crowd.sent)
            async with harness.daemon(ports, operator=paths["moved"]) as daemon:
                moved = await redirected(daemon.port, daemon.pid, options.rate, options.seconds)
                slots = await repeated(
                    daemon.port, daemon.pid, b"*2\r\n" + bulk(b"CLUSTER") + bulk(b"SLOTS")
                )
    means = {name: sum(found) / TURNS for name, found in costs.items()}
    ratios = {name: round(means[name] / means["off"], 3) for name in ("one", "several")}
    print(
        json.dumps(
            {
                "rate": options.rate,
                "us": {n: [round(c, 1) for c in found] for n, found in costs.items()},
                "ratio": ratios,
                "served_share": round(served, 4),
                "half_moved_us": round(moved, 1),
                "cluster_slots_us": round(slots, 1),
            }
        )
    )
    return int(options.limit is not None and max(ratios.values()) > options.limit)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
