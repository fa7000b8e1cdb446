"""Runs one fixed load on the daemon of a build, on the virtual network and clock.

    PYTHONPATH=FOLDER python benchmarks/request_load.py LOAD REQUESTS [--count]

FOLDER contains the packages of the daemon and of the test kit.  The load is open: the times, keys
and clients of the requests come from a seed, so two builds receive the same requests.  The printed
digest covers the time, client, outcome and end of each request, and each command that a node has
received.  The load `explored` runs the first seeds of `limebridge explore` instead: commands with
effects, retries, refusals, failing nodes and restarts of the process.

With --count bytecode instructions are counted, after a warm-up (`explored` has none); without it
no tracing is enabled.  `request_cost.py` runs this in a separate process for each build.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import logging
import sys
from pathlib import Path

import msgspec
from instruction_count import Counts, InstructionCounter

import limebridge
import violetroute
from limebridge.standins.clients import LoadGenerator
from limebridge.standins.configuration import SETTINGS, configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import reply
from limebridge.virtual import Kernel, VirtualLoop, plan, runner
from limebridge.virtual.process import Process
from limebridge.virtual.session import isolated_run, run
from violetroute.config import parse

FOLDER = Path(limebridge.__file__).resolve().parent.parent
COUNTED = ("snowstall", "violetroute", "limebridge")
SEED = 1
NODES, CLIENTS = 4, 40
STARTUP_TIME = 1.0  # s from the start until the first request
WALL_CLOCK = 1.7e9  # s since 1970 at the virtual clock's zero
CLASSES = [
    {
        "name": "lookup",
        "promiseMs": 300.0,
        "deadlineMs": 600.0,
        "effect": "pure",
        "worth": 2.0,
        "lateValue": 0.3,
    }
]


class Load(msgspec.Struct, frozen=True):
    """Which requests the daemon receives and how its nodes answer."""

    rate: float  # requests a second
    size: int  # bytes of an answer
    delay: float = 0.002  # s from a command to the node's answer
    burst: int = 1  # requests that are sent at once
    second_copies: bool = False  # whether the platform allows hedged requests


LOADS = {
    "target": Load(rate=540.0, size=200),  # the rate that the target requires of one proxy
    "large": Load(rate=540.0, size=32 * 1024),
    "quiet": Load(rate=18.0, size=200),  # timers between requests have a larger share of the cost
    "bursts": Load(rate=540.0, size=200, burst=8),
    "copies": Load(rate=540.0, size=200, delay=0.02, second_copies=True),
}
EXPLORED = "explored"
LOAD_NAMES = (*LOADS, EXPLORED)


class RunResult(msgspec.Struct, frozen=True):
    """The result of a run; printed as one line of JSON and read by `build_pair.decode_result`."""

    asked: int  # requests sent, including those of the warm-up
    requests: int  # requests sent after the warm-up
    served: int  # how many of these were served
    digest: str  # SHA-256 of the traffic
    counts: Counts | None  # None without --count


class HashingNode(CacheNode):
    """A node that adds the commands it receives to the run's digest instead of storing them."""

    def __init__(self, load: Load, digest: hashlib._Hash) -> None:
        super().__init__(self._answer_after_delay)
        self._delay, self._reply, self._digest = load.delay, reply(b"v" * load.size), digest

    def record(self, words: list[bytes]) -> None:
        """Add the command and the node's port to the digest."""
        self._digest.update(b"%d %r\n" % (self.port, words))

    async def _answer_after_delay(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._delay)
        writer.write(self._reply)


class LoadRun:
    """One run of a load on one daemon, on the virtual network and clock."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._digest = hashlib.sha256()
        self._kernel = Kernel(SEED)
        self._loop = VirtualLoop(self._kernel)
        self._run_result: RunResult | None = None
        self._problems: list[str] = []

    def run(self, requests: int, counter: InstructionCounter | None) -> RunResult:
        """Send about `requests` requests after a warm-up.  RuntimeError if the run fails."""
        with isolated_run(logging.ERROR, logging.StreamHandler(sys.stderr)):
            run(self._loop, self._run(requests, counter), self._problems.append)
        if self._run_result is None or self._problems:
            raise RuntimeError(f"the run of the load failed: {self._problems}")
        return self._run_result

    async def _run(self, requests: int, counter: InstructionCounter | None) -> None:
        discovery = await Discovery().start()
        nodes = [await HashingNode(self._load, self._digest).start() for _ in range(NODES)]
        process = Process(self._kernel, self._loop, lambda: self._kernel.now + WALL_CLOCK)
        port = process.start(parse(self._configuration(discovery, nodes)))
        await asyncio.sleep(STARTUP_TIME)
        generator = LoadGenerator(port, CLIENTS, seed=SEED)
        await generator.connect()
        # Warm-up: connections are opened and the balancer learns about the nodes.
        await self._send_requests(generator, requests // 4)
        if counter is not None:
            counter.start()
        sent_before = generator.sent
        await self._send_requests(generator, requests)
        counts = None if counter is None else counter.stop()
        self._run_result = self._result(generator, generator.sent - sent_before, counts)
        generator.close()
        await process.term()
        for node in nodes:
            await node.stop()
        await discovery.stop()

    async def _send_requests(self, generator: LoadGenerator, requests: int) -> None:
        """Send about `requests` requests: the load generator stops after a time, not a number."""
        await generator.run(self._load.rate, requests / self._load.rate, burst=self._load.burst)
        await generator.wait_for_answers()

    def _configuration(self, discovery: Discovery, nodes: list[HashingNode]) -> dict[str, object]:
        caps = SETTINGS["caps"] | {"secondCopies": self._load.second_copies}
        entries = [node.entry(f"s-{number}") for number, node in enumerate(nodes)]
        discovery.publish(*entries, reset=True)
        return configuration(
            discovery.port, entries, sockets=1024, memory_mb=192, caps=caps, classes=CLASSES
        )

    def _result(self, generator: LoadGenerator, requests: int, counts: Counts | None) -> RunResult:
        for request in generator.finished:
            self._digest.update(
                b"%d %r %r %s\n"
                % (request.client, request.sent_at, request.ended_at, request.outcome.encode())
            )
        served = sum(request.outcome == "served" for request in generator.finished[-requests:])
        return RunResult(generator.sent, requests, served, self._digest.hexdigest(), counts)


def run_explored(requests: int, counter: InstructionCounter | None) -> RunResult:
    """Run whole plans of `limebridge explore` until they have sent at least `requests` requests.

    RuntimeError if the build violates a rule in one of them.
    """
    digest = hashlib.sha256()
    sent = served = seed = 0
    if counter is not None:
        counter.start()
    while sent < requests:
        seed += 1
        outcome = runner.run_plan(plan.generate(seed))
        if outcome.violations:
            raise RuntimeError(f"seed {seed}: {outcome.violations}")
        digest.update(outcome.digest.encode())
        sent += outcome.requests
        served += outcome.answers.get("served", 0)
    counts = None if counter is None else counter.stop()
    return RunResult(sent, sent, served, digest.hexdigest(), counts)


def main() -> int:
    """Write the result of one load to standard output as JSON.

    Raises SystemExit if the daemon's code is not from this checkout, as the test kit is.
    """
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("load", choices=LOAD_NAMES)
    parser.add_argument("requests", type=int)
    parser.add_argument("--count", action="store_true")
    options = parser.parse_args()
    if not Path(violetroute.__file__).resolve().is_relative_to(FOLDER):
        raise SystemExit(f"daemon and test kit are from different folders: {violetroute.__file__}")
    counter = InstructionCounter(FOLDER, COUNTED) if options.count else None
    if options.load == EXPLORED:
        result = run_explored(options.requests, counter)
    else:
        result = LoadRun(LOADS[options.load]).run(options.requests, counter)
    sys.stdout.buffer.write(msgspec.json.encode(result) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
