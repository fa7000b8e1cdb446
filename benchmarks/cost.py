"""CPU a request: the daemon against a bare relay on the same sockets, in turn in one run.

    python benchmarks/cost.py [--seconds 5] [--delay 20] [--copies] [--build CHECKOUT] [--json]

The ratio is what counts: machines differ.  Memory is the daemon's resident set before the
first request.  `--delay`: nodes that answer late, so that many connections are in use at once;
`--copies`: second copies are allowed, so that one is planned for each request.  Exit status 1
when a row is over --limit.
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

WARM_UP = 1.0  # s, not counted


async def measure(
    target: harness.RunningProcess, rate: float, seconds: float
) -> tuple[float, LoadGenerator]:
    """Microseconds of CPU a question."""
    crowd = LoadGenerator(target.port, clients=40)
    await crowd.connect()
    await crowd.run(rate, WARM_UP)
    await crowd.wait_for_answers()
    before, asked = harness.cpu_seconds(target.pid), crowd.sent
    await crowd.run(rate, seconds)
    await crowd.wait_for_answers()
    used = harness.cpu_seconds(target.pid) - before
    crowd.close()
    return used / (crowd.sent - asked) * 1e6, crowd


async def compare(
    rate: float, size: int, seconds: float, build: Path, loop: str, delay: float, copies: bool
) -> dict[str, float]:
    more = {"caps": SETTINGS["caps"] | {"secondCopies": True}} if copies else {}
    async with (
        harness.nodes(4, size, delay) as ports,
        harness.relay(ports, loop) as floor,
        harness.daemon(ports, build, **more) as daemon,
    ):
        rest = harness.resident_mb(daemon.pid)
        floors, costs, served, asked = [], [], 0, 0
        for _ in range(2):  # in turn, so that a drift of the machine's speed hits both
            cost, _crowd = await measure(floor, rate, seconds / 2)
            floors.append(cost)
            cost, crowd = await measure(daemon, rate, seconds / 2)
            costs.append(cost)
            served += crowd.count_outcomes()["served"]
            asked += crowd.sent
    return {
        "rate": rate,
        "bytes": size,
        "relay_us": round(sum(floors) / 2, 1),
        "daemon_us": round(sum(costs) / 2, 1),
        "ratio": round(sum(costs) / sum(floors), 2),
        "served_share": round(served / asked, 4),
        "rest_mb": round(rest, 1),
    }


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=6.0, help="a row and side")
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    parser.add_argument(
        "--loop", choices=("asyncio", "uvloop"), default="asyncio", help="of the relay"
    )
    parser.add_argument("--limit", type=float, help="highest ratio that passes")
    parser.add_argument("--delay", type=float, default=0.0, help="ms that a node's answer takes")
    parser.add_argument("--copies", action="store_true", help="second copies are allowed")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    over = False
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
            over |= options.limit is not None and row["ratio"] > options.limit
            print(
                json.dumps(row)
                if options.json
                else f"{row['rate']:5.0f}/s {row['bytes']:6d} B: relay {row['relay_us']:6.1f} us, "
                f"daemon {row['daemon_us']:6.1f} us, {row['ratio']:.2f} times; "
                f"served {row['served_share']:.1%}, at rest {row['rest_mb']} MB",
                flush=True,
            )
    return int(over)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
