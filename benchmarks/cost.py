"""CPU time per request of the daemon and a bare relay on the same sockets, by turns in one run.

    python benchmarks/cost.py [--seconds 5] [--delay 20] [--copies] [--build CHECKOUT] [--json]

Compare the ratios, since absolute times differ between machines.  Memory is the daemon's resident
set before the first request.  `--delay`: nodes answer late, so many connections are in use at once;
`--copies`: hedging is allowed, so a second copy is scheduled for each request.  The exit status is
1 if the ratio of a row exceeds --limit.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

import harness

from limebridge.standins.clients import LoadGenerator
from limebridge.standins.configuration import SETTINGS

WARM_UP_S = 1.0  # s of load before the measurement


async def measure_cpu(
    target: harness.RunningProcess, rate: float, seconds: float
) -> tuple[float, LoadGenerator]:
    """CPU time in us of the target per request, and the load generator with the outcomes.

    The outcomes include those of the warm-up.
    """
    generator = LoadGenerator(target.port, clients=40)
    await generator.connect()
    await generator.run(rate, WARM_UP_S)
    await generator.wait_for_answers()
    before, sent_before = harness.cpu_seconds(target.pid), generator.sent
    await generator.run(rate, seconds)
    await generator.wait_for_answers()
    used = harness.cpu_seconds(target.pid) - before
    generator.close()
    return used / (generator.sent - sent_before) * 1e6, generator


async def compare(
    rate: float, size: int, seconds: float, build: Path, loop: str, delay: float, copies: bool
) -> dict[str, float]:
    """Measure relay and daemon, two times each for half of `seconds`; returns the row to print."""
    settings = {"caps": SETTINGS["caps"] | {"secondCopies": True}} if copies else {}
    async with (
        harness.nodes(4, size, delay) as ports,
        harness.relay(ports, loop) as relay,
        harness.daemon(ports, build, **settings) as daemon,
    ):
        memory = harness.resident_mb(daemon.pid)
        relay_costs, daemon_costs, served, requests = [], [], 0, 0
        for _ in range(2):  # by turns, so that a drift of the machine's speed affects both
            cost, _generator = await measure_cpu(relay, rate, seconds / 2)
            relay_costs.append(cost)
            cost, generator = await measure_cpu(daemon, rate, seconds / 2)
            daemon_costs.append(cost)
            served += generator.count_outcomes()["served"]
            requests += generator.sent
    return {
        "rate": rate,
        "bytes": size,
        "relay_us": round(sum(relay_costs) / 2, 1),
        "daemon_us": round(sum(daemon_costs) / 2, 1),
        "ratio": round(sum(daemon_costs) / sum(relay_costs), 2),
        "served_share": round(served / requests, 4),
        "rest_mb": round(memory, 1),
    }


async def main() -> int:
    """Print a row per rate and size; return 1 if a ratio exceeds `--limit`."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="per row, of relay and daemon each"
    )
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    parser.add_argument(
        "--loop", choices=("asyncio", "uvloop"), default="asyncio", help="of the relay"
    )
    parser.add_argument("--limit", type=float, help="highest ratio that passes")
    parser.add_argument("--delay", type=float, default=0.0, help="of a node's answer, in ms")
    parser.add_argument("--copies", action="store_true", help="allow hedged requests")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    exceeded = False
    for rate in (400.0, 2000.0):
        for size in (200, 32 * 1024):
            row = await compare(
                rate,
                size,
                options.seconds,
                options.build.resolve(),
                options.loop,
                options.delay,
                options.copies,
            )
            exceeded |= options.limit is not None and row["ratio"] > options.limit
            print(
                json.dumps(row)
                if options.json
                else f"{row['rate']:5.0f}/s {row['bytes']:6d} B: relay {row['relay_us']:6.1f} us, "
                f"daemon {row['daemon_us']:6.1f} us, {row['ratio']:.2f} times; "
                f"served {row['served_share']:.1%}, at rest {row['rest_mb']} MB",
                flush=True,
            )
    return int(exceeded)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
