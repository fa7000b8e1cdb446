"""What a refusal costs: CPU of a run of refusals alone against a run of answers alone, in turn.

    python benchmarks/refusal.py [--seconds 4] [--rate 2000] [--build CHECKOUT]

A client that says that it waits a microsecond has no time left when its command is read, so
the module turns it away in any state; that is the refusal of an overload, with no overload
needed.  `deep` is how many commands a client sends at once.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

import harness

from limebridge.standins.clients import Client, LoadGenerator


async def measure(
    target: harness.RunningProcess, rate: float, seconds: float, deep: int, told: bytes
) -> tuple[float, float]:
    """Microseconds of CPU a question, and the share that was refused."""
    crowd = LoadGenerator(target.port, clients=200, wait_field=told)
    await crowd.connect()

    def pick(number: int) -> Client | None:
        return crowd.clients[number // deep % len(crowd.clients)] if deep > 1 else None

    await crowd.run(rate, 0.5, pick, deep)
    await crowd.wait_for_answers()
    used, asked = harness.cpu_seconds(target.pid), crowd.sent
    await crowd.run(rate, seconds, pick, deep)
    await crowd.wait_for_answers()
    crowd.close()
    cost = (harness.cpu_seconds(target.pid) - used) / (crowd.sent - asked) * 1e6
    return cost, crowd.count_outcomes()["refused"] / crowd.sent


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=4.0, help="a row and side")
    parser.add_argument("--rate", type=float, default=2000.0)
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    options = parser.parse_args()
    for deep in (1, 16):
        async with (
            harness.nodes(4, 200) as ports,
            harness.daemon(ports, options.build.resolve(), sockets=2048) as daemon,
        ):
            costs: dict[bytes, list[float]] = {b"": [], b"0.001": []}
            refused = 0.0
            for _ in range(2):
                for told, found in costs.items():
                    cost, refused = await measure(
                        daemon, options.rate, options.seconds / 2, deep, told
                    )
                    found.append(cost)
        answer, refusal = (sum(found) / 2 for found in costs.values())
        print(
            json.dumps(
                {
                    "deep": deep,
                    "answer_us": round(answer, 1),
                    "refusal_us": round(refusal, 1),
                    "refused": round(refused, 3),
                    "ratio": round(refusal / answer, 3),
                }
            ),
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
