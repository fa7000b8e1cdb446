"""Overload at the proxy's own CPU limit, simulated on the virtual clock.

    python benchmarks/own_time.py [--times 1.5 2.5] [--seconds 5] [--cores 0.25] [--real]

The loads and the figures are those of overload.py.  The daemon's code runs on the virtual clock,
where its CPU time is charged with the costs in `limebridge/virtual/costs.json`, divided by --cores.
--real runs overload.py afterwards with the same loads, on the real daemon.  --patch FILE first
calls plant() of this Python file, which changes the simulated daemon, as in `limebridge rehearse`.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import json
import runpy
import subprocess
import sys
from pathlib import Path
from typing import Any

import harness
from nodes import FixedAnswerNode
from overload import capacity, overload

from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.wire import reply
from limebridge.virtual import Deadlock, Kernel, Livelock, VirtualLoop
from limebridge.virtual.costs import Costs, load_costs
from limebridge.virtual.process import Process
from violetroute.config import parse

CAPS = {
    "cancel": True,
    "connIdleMs": 5000.0,
    "connectTimeoutMs": 250.0,
    "maxRetryAfterMs": 1000.0,
    "mostTries": 4,
    "retryAfter": True,
    "secondCopies": False,
}


async def _serve(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(reply(b"v" * 200))


async def _run_overloads(
    kernel: Kernel,
    loop: VirtualLoop,
    costs: Costs,
    clients: int,
    times: list[float],
    seconds: float,
    start: float,
) -> list[dict[str, Any]]:
    discovery = await Discovery().start()
    nodes = [await FixedAnswerNode(_serve).start() for _ in range(4)]
    entries = [node.entry(f"s-{n}") for n, node in enumerate(nodes)]
    raw = configuration(
        discovery.port, entries, sockets=2048, memory_mb=192, caps=CAPS, classes=harness.CLASSES
    )
    discovery.publish(*entries, reset=True)
    process = Process(kernel, loop, lambda: kernel.now + 1.7e9, costs=costs)
    port = process.start(parse(raw))
    await asyncio.sleep(1.0)
    rows = []
    for multiple in times:
        estimate = await capacity(port, clients, start)
        rows.append(await overload(port, clients, estimate, multiple, seconds))
    return rows


def simulate(
    costs: Costs,
    clients: int,
    times: list[float],
    seconds: float,
    start: float = 500.0,
    seed: int = 1,
) -> list[dict[str, Any]]:
    """The rows of overload.py, one for each of `times`, from a daemon on the virtual clock.

    `start`: the first load of the search for the capacity, in requests a second.  The rows depend
    on the arguments only, not on the machine.
    """
    kernel = Kernel(seed)
    loop = VirtualLoop(kernel)
    gc.disable()
    try:
        return loop.run_until_complete(
            _run_overloads(kernel, loop, costs, clients, times, seconds, start)
        )
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.call_soon(loop.stop)
        with contextlib.suppress(Deadlock, Livelock):
            loop.run_forever()
        loop.close()
        gc.enable()


def main() -> int:
    """Print rows of the simulation, and with `--real` those of `overload.py`, which runs longer."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--times", type=float, nargs="+", default=[1.5, 2.5])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--cores", type=float, default=0.25)
    parser.add_argument("--real", action="store_true")
    parser.add_argument("--patch", type=Path)
    options = parser.parse_args()
    if options.patch is not None:
        runpy.run_path(str(options.patch))["plant"]()
    for row in simulate(
        load_costs().for_cores(options.cores), options.clients, options.times, options.seconds
    ):
        print(json.dumps({"clock": "virtual"} | row), flush=True)
    if options.real:
        here = Path(__file__).parent
        command = [
            sys.executable,
            str(here / "overload.py"),
            "--times",
            *map(str, options.times),
            "--seconds",
            str(options.seconds),
            "--clients",
            str(options.clients),
        ]
        for line in subprocess.run(
            command, check=True, capture_output=True, text=True
        ).stdout.splitlines():
            print(json.dumps({"clock": "real"} | json.loads(line)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
