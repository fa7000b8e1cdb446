"""CPU cost of a refusal: runs that consist of refusals alternate with runs of answers.

    python benchmarks/refusal.py [--seconds 4] [--rate 2000] [--build CHECKOUT]

A command that announces a wait of one microsecond has no time left when it is read, so the
balancer refuses it in any state.  This is the same refusal as in an overload, but it needs no
overload.  In the printed rows `deep` is the number of commands that a client sends at once, and
`ratio` the CPU time of a refusal divided by that of an answer.
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
    target: harness.RunningProcess, rate: float, seconds: float, burst: int, wait_field: bytes
) -> tuple[float, float]:
    """CPU time of a request in microseconds, and the share of the requests that was refused.

    `wait_field`: the wait that commands announce, in milliseconds; empty for the clients' own.
    """
    generator = LoadGenerator(target.port, clients=200, wait_field=wait_field)
    await generator.connect()

    def pick(number: int) -> Client | None:
        return generator.clients[number // burst % len(generator.clients)] if burst > 1 else None

    await generator.run(rate, 0.5, pick, burst)
    await generator.wait_for_answers()
    cpu_before, sent_before = harness.cpu_seconds(target.pid), generator.sent
    await generator.run(rate, seconds, pick, burst)
    await generator.wait_for_answers()
    generator.close()
    cost = (harness.cpu_seconds(target.pid) - cpu_before) / (generator.sent - sent_before) * 1e6
    return cost, generator.count_outcomes()["refused"] / generator.sent


async def main() -> int:
    """Print a row of JSON per burst: the cost of an answer, of a refusal, and their ratio."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--seconds", type=float, default=4.0, help="per row, of answers and refusals each"
    )
    parser.add_argument("--rate", type=float, default=2000.0)
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    options = parser.parse_args()
    for burst in (1, 16):
        async with (
            harness.nodes(4, 200) as ports,
            harness.daemon(ports, options.build.resolve(), sockets=2048) as daemon,
        ):
            costs: dict[bytes, list[float]] = {b"": [], b"0.001": []}
            refused = 0.0
            for _ in range(2):
                for wait_field, measured in costs.items():
                    cost, refused = await measure(
                        daemon, options.rate, options.seconds / 2, burst, wait_field
                    )
                    measured.append(cost)
        answer, refusal = (sum(measured) / 2 for measured in costs.values())
        print(
            json.dumps(
                {
                    "deep": burst,
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
