"""Plays one fixed load on the daemon of a build, on the virtual network and clock.

    PYTHONPATH=FOLDER python benchmarks/request_load.py LOAD REQUESTS [--count]

FOLDER holds the daemon's packages and the kit.  The load is open: the times, keys and clients of
the requests come from a seed, so two builds are asked the same.  The digest covers each request's
time, client, end and time of its end, and each command that a node has received.  `explored` plays
the first seeds of `limebridge explore` instead: commands with effects, repeats, refusals, nodes
that fail, starts of the process.  With --count the bytecode instructions are counted (but for
`explored`, behind a warm-up); without, nothing is traced.  `request_cost.py` runs this in a process
of its own for each build.
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
SETTLING = 1.0  # s from the start until the first request
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
    """How the daemon is asked and how its nodes answer."""

    rate: float  # requests a second
    size: int  # bytes of an answer
    delay: float = 0.002  # s that a node takes
    burst: int = 1  # requests that are asked at once
    second_copies: bool = False  # the platform allows them


LOADS = {
    "target": Load(rate=540.0, size=200),  # what the target asks of one proxy
    "large": Load(rate=540.0, size=32 * 1024),
    "quiet": Load(rate=18.0, size=200),  # timers between requests weigh more
    "bursts": Load(rate=540.0, size=200, burst=8),
    "copies": Load(rate=540.0, size=200, delay=0.02, second_copies=True),
}
EXPLORED = "explored"
LOAD_NAMES = (*LOADS, EXPLORED)


class RunResult(msgspec.Struct, frozen=True):
    """What came of a run."""

    asked: int  # requests, with those of the warm-up
    requests: int  # behind the warm-up
    served: int  # of these
    digest: str
    counts: Counts | None  # None: not counted


class HashingNode(CacheNode):
    """A node whose received commands go into the run's digest, not into memory."""

    def __init__(self, load: Load, digest: hashlib._Hash) -> None:
        super().__init__(self._answer_late)
        self._delay, self._reply, self._digest = load.delay, reply(b"v" * load.size), digest

    def record(self, words: list[bytes]) -> None:
        self._digest.update(b"%d %r\n" % (self.port, words))

    async def _answer_late(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._delay)
        writer.write(self._reply)


class LoadRun:
    """One load on one daemon, in memory."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._digest = hashlib.sha256()
        self._kernel = Kernel(SEED)
        self._loop = VirtualLoop(self._kernel)
        self._played: RunResult | None = None
        self._problems: list[str] = []

    def play(self, requests: int, counter: InstructionCounter | None) -> RunResult:
        """RuntimeError when the run does not come to its end."""
        with isolated_run(logging.ERROR, logging.StreamHandler(sys.stderr)):
            run(self._loop, self._play(requests, counter), self._problems.append)
        if self._played is None or self._problems:
            raise RuntimeError(f"the load was not played: {self._problems}")
        return self._played

    async def _play(self, requests: int, counter: InstructionCounter | None) -> None:
        discovery = await Discovery().start()
        nodes = [await HashingNode(self._load, self._digest).start() for _ in range(NODES)]
        process = Process(self._kernel, self._loop, lambda: self._kernel.now + WALL_CLOCK)
        port = process.start(parse(self._configuration(discovery, nodes)))
        await asyncio.sleep(SETTLING)
        crowd = LoadGenerator(port, CLIENTS, seed=SEED)
        await crowd.connect()
        await self._ask(crowd, requests // 4)  # a warm-up: first connections, first learning
        if counter is not None:
            counter.start()
        before = crowd.sent
        await self._ask(crowd, requests)
        counts = None if counter is None else counter.stop()
        self._played = self._result(crowd, crowd.sent - before, counts)
        crowd.close()
        await process.term()
        for node in nodes:
            await node.stop()
        await discovery.stop()

    async def _ask(self, crowd: LoadGenerator, requests: int) -> None:
        """About so many: the crowd ends by time."""
        await crowd.run(self._load.rate, requests / self._load.rate, burst=self._load.burst)
        await crowd.wait_for_answers()

    def _configuration(self, discovery: Discovery, nodes: list[HashingNode]) -> dict[str, object]:
        caps = SETTINGS["caps"] | {"secondCopies": self._load.second_copies}
        entries = [node.entry(f"s-{number}") for number, node in enumerate(nodes)]
        discovery.publish(*entries, reset=True)
        return configuration(
            discovery.port, entries, sockets=1024, memory_mb=192, caps=caps, classes=CLASSES
        )

    def _result(self, crowd: LoadGenerator, requests: int, counts: Counts | None) -> RunResult:
        for ask in crowd.finished:
            self._digest.update(
                b"%d %r %r %s\n" % (ask.client, ask.sent_at, ask.ended_at, ask.outcome.encode())
            )
        served = sum(ask.outcome == "served" for ask in crowd.finished[-requests:])
        return RunResult(crowd.sent, requests, served, self._digest.hexdigest(), counts)


def play_explored(requests: int, counter: InstructionCounter | None) -> RunResult:
    """At least so many requests of explored plans, from start to end of each.

    RuntimeError where the build breaks a rule of the judge.
    """
    digest = hashlib.sha256()
    asked = served = seed = 0
    if counter is not None:
        counter.start()
    while asked < requests:
        seed += 1
        outcome = runner.run_plan(plan.generate(seed))
        if outcome.broken:
            raise RuntimeError(f"seed {seed}: {outcome.broken}")
        digest.update(outcome.digest.encode())
        asked += outcome.requests
        served += outcome.answers.get("served", 0)
    counts = None if counter is None else counter.stop()
    return RunResult(asked, asked, served, digest.hexdigest(), counts)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("load", choices=LOAD_NAMES)
    parser.add_argument("requests", type=int)
    parser.add_argument("--count", action="store_true")
    options = parser.parse_args()
    if not Path(violetroute.__file__).resolve().is_relative_to(FOLDER):
        raise SystemExit(f"the daemon and the kit come from two folders: {violetroute.__file__}")
    counter = InstructionCounter(FOLDER, COUNTED) if options.count else None
    if options.load == EXPLORED:
        played = play_explored(options.requests, counter)
    else:
        played = LoadRun(LOADS[options.load]).play(options.requests, counter)
    sys.stdout.buffer.write(msgspec.json.encode(played) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
