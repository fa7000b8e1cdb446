"""CPU time and memory of real daemons of two builds, in turns.

A process of Python has a cost of its own by how its memory happens to lie, so two processes of one
build differ by more than the rounds of one process do.  The unit of the statement is therefore a
pair of processes, one of each build, asked in blocks of four short rounds: base, build, build,
base.  The median of a pair's blocks counts; the interval is a studentized bootstrap over the pairs
(Kalibera and Jones, "Rigorous benchmarking in reasonable time", 2013, on levels of repetition).
"""

from __future__ import annotations

import asyncio
import math
import statistics
from dataclasses import dataclass
from pathlib import Path

import harness
from build_pair import BuildPair

from limebridge.experiments.statistics import paired_difference
from limebridge.standins.clients import LoadGenerator

RATE, SECONDS = 540.0, 0.2  # requests a second, of a round
CLIENTS, NODES, SIZE = 40, 4, 200  # bytes of an answer
WARM_UP = 1.0  # s
AT_REST = 1.0  # s behind the start, after which memory is read


@dataclass(frozen=True)
class CpuComparison:
    """The ratio of build to base, with the interval of 95%."""

    ratio: float
    low: float
    high: float
    pairs: tuple[float, ...]  # the ratio of each pair of processes
    base_us: float  # CPU of a request
    build_us: float


@dataclass(frozen=True)
class MemoryComparison:
    """MB of each start."""

    base: tuple[float, ...]
    build: tuple[float, ...]


class Asked:
    """One daemon and the clients that ask it."""

    def __init__(self, daemon: harness.RunningProcess) -> None:
        self._daemon = daemon
        self._crowd = LoadGenerator(daemon.port, CLIENTS)
        self.total = 0.0  # s of CPU in all rounds
        self.requests = 0

    async def start(self) -> None:
        await self._crowd.connect()
        await self._crowd.run(RATE, WARM_UP)
        await self._crowd.wait_for_answers()

    async def round(self) -> float:
        """Seconds of CPU a request."""
        before, asked = harness.cpu_seconds(self._daemon.pid), self._crowd.sent
        await self._crowd.run(RATE, SECONDS)
        await self._crowd.wait_for_answers()
        used = harness.cpu_seconds(self._daemon.pid) - before
        requests = self._crowd.sent - asked
        self.total += used
        self.requests += requests
        self._crowd.finished.clear()
        self._crowd.sent = 0
        return used / requests

    def close(self) -> None:
        self._crowd.close()


async def compare(pair: BuildPair, pairs: int, blocks: int) -> CpuComparison:
    """`pairs` times a process of each build, asked in `blocks` times four rounds."""
    ratios, base_us, build_us = [], [], []
    async with harness.nodes(NODES, SIZE) as ports:
        for number in range(-1, pairs):  # the first compiles the sources and is not counted
            async with (
                harness.daemon(ports, pair.base) as first,
                harness.daemon(ports, pair.build) as second,
            ):
                base, build = Asked(first), Asked(second)
                for asked in (base, build):
                    await asked.start()
                found = [await _block(base, build) for _ in range(blocks if number >= 0 else 1)]
                for asked in (base, build):
                    asked.close()
            if number >= 0:
                ratios.append(statistics.median(found))  # a neighbour's burst hits few blocks
                base_us.append(base.total / base.requests * 1e6)
                build_us.append(build.total / build.requests * 1e6)
    return _judged(ratios, statistics.mean(base_us), statistics.mean(build_us))


async def _block(base: Asked, build: Asked) -> float:
    """The logarithm of the ratio over four rounds; a drift in them hits both builds."""
    first, second = await base.round(), await build.round()
    third, fourth = await build.round(), await base.round()
    return math.log((second + third) / (first + fourth))


def _judged(logarithms: list[float], base_us: float, build_us: float) -> CpuComparison:
    after = dict(enumerate(logarithms))
    found = paired_difference(dict.fromkeys(after, 0.0), after, more_is_better=False)
    return CpuComparison(
        math.exp(found.mean),
        math.exp(found.low),
        math.exp(found.high),
        tuple(math.exp(each) for each in logarithms),
        base_us,
        build_us,
    )


async def memory(pair: BuildPair, starts: int) -> MemoryComparison:
    """Each build started so often, in turns, and read at rest."""
    found: dict[Path, list[float]] = {pair.base: [], pair.build: []}
    async with harness.nodes(NODES, SIZE) as ports:
        for number in range(-1, starts):  # the first compiles the sources and is not counted
            for folder, sizes in found.items():
                async with harness.daemon(ports, folder) as daemon:
                    await asyncio.sleep(AT_REST)
                    if number >= 0:
                        sizes.append(harness.resident_mb(daemon.pid))
    return MemoryComparison(tuple(found[pair.base]), tuple(found[pair.build]))


def show(found: CpuComparison, limit: float) -> None:
    verdict = "cannot tell"
    if found.high <= limit:
        verdict = "kept"
    elif found.low > limit:
        verdict = "passed over"
    print("pairs of processes: " + " ".join(f"{ratio:.3f}" for ratio in found.pairs))
    print(
        f"CPU a request {found.base_us:.1f} -> {found.build_us:.1f} us, ratio {found.ratio:.4f} "
        f"[{found.low:.4f}, {found.high:.4f}]; limit {limit:g}: {verdict}"
    )


def show_memory(found: MemoryComparison) -> None:
    for name, sizes in (("base", found.base), ("build", found.build)):
        print(f"{name:5s} " + " ".join(f"{size:.1f}" for size in sizes) + " MB")
    print(f"ratio {statistics.median(found.build) / statistics.median(found.base):.3f}")
