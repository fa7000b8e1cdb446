"""CPU cost of the cluster dialect per request: the daemon with and without it, by turns in one run.

    python benchmarks/cluster.py [--seconds 4] [--rate 2000] [--limit 1.10]

`one`: the daemon appears as a single node that owns all slots.  `several`: it appears as one of two
and serves the other's slots as well, so each key's slot is looked up and nothing is redirected.
Also measured: the daemon's CPU time per request if about half are redirected, and per CLUSTER
SLOTS.  The exit status is 1 if a ratio exceeds --limit.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path

import harness
from cost import measure_cpu

from limebridge.standins.clients import LoadGenerator
from limebridge.standins.wire import bulk, read_answer

ONE = '[cluster]\nappear = "one"\n'
SEVERAL = (
    '[cluster]\nappear = "several"\nforeign = "{}"\n'
    '[[cluster.proxies]]\nname = "n0"\naddress = "127.0.0.1:7000"\nslots = ["0-8191"]\n'
    '[[cluster.proxies]]\nname = "n1"\naddress = "127.0.0.1:7001"\n'
    'slots = ["8192-16383"]\n'
)
OPERATOR_FILES = {"off": "", "one": ONE, "several": SEVERAL.format("serve")}
ROUNDS = 3  # measurements of each variant, by turns


async def command_cost(port: int, pid: int, command: bytes, count: int = 5000) -> float:
    """CPU time in us of an encoded command that the daemon answers without a cache node.

    The answer of CLUSTER SLOTS is read until the empty array at its end.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    before = harness.cpu_seconds(pid)
    for _ in range(count):
        writer.write(command)
        await read_answer(reader) if not command.startswith(
            b"*2\r\n$7\r\nCLUSTER"
        ) else await reader.readuntil(b"*0\r\n")
    used = harness.cpu_seconds(pid) - before
    writer.close()
    return used / count * 1e6


async def redirection_cost(port: int, pid: int, rate: float, seconds: float) -> float:
    """CPU time in us per request if about half of the requests are answered with -MOVED."""
    generator = LoadGenerator(port, clients=40)
    await generator.connect()
    before = harness.cpu_seconds(pid)
    await generator.run(rate, seconds)
    await generator.wait_for_answers()
    generator.close()
    return (harness.cpu_seconds(pid) - before) / generator.sent * 1e6


async def main() -> int:
    """Print the costs as JSON; return 1 if a ratio to the ordinary daemon exceeds `--limit`."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=4.0, help="per measurement")
    parser.add_argument("--rate", type=float, default=2000.0)
    parser.add_argument("--limit", type=float)
    options = parser.parse_args()
    costs: dict[str, list[float]] = {name: [] for name in OPERATOR_FILES}
    served = 1.0
    with tempfile.TemporaryDirectory() as folder:
        paths = {}
        for name, text in [*OPERATOR_FILES.items(), ("moved", SEVERAL.format("moved"))]:
            paths[name] = Path(folder) / f"{name}.toml"
            paths[name].write_text(text)
        async with harness.nodes(4, 200) as ports:
            for _ in range(ROUNDS):
                for name in OPERATOR_FILES:
                    async with harness.daemon(ports, operator=paths[name]) as daemon:
                        cost, generator = await measure_cpu(daemon, options.rate, options.seconds)
                        costs[name].append(cost)
                        served = min(served, generator.count_outcomes()["served"] / generator.sent)
            async with harness.daemon(ports, operator=paths["moved"]) as daemon:
                moved = await redirection_cost(
                    daemon.port, daemon.pid, options.rate, options.seconds
                )
                slots = await command_cost(
                    daemon.port, daemon.pid, b"*2\r\n" + bulk(b"CLUSTER") + bulk(b"SLOTS")
                )
    means = {name: sum(samples) / ROUNDS for name, samples in costs.items()}
    ratios = {name: round(means[name] / means["off"], 3) for name in ("one", "several")}
    print(
        json.dumps(
            {
                "rate": options.rate,
                "us": {n: [round(c, 1) for c in samples] for n, samples in costs.items()},
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
