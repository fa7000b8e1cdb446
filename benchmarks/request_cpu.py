"""CPU time and memory of real daemons of two builds, measured alternately.

The CPU time of a request depends on the memory layout of the Python process, which is different in
each process.  So two processes of one build differ by more than the rounds of one process do, and
the unit of the statistics is a pair of processes, one of each build.  Their load comes in blocks of
four short rounds: base, build, build, base.  The ratio of a pair is the median of its blocks; the
confidence interval is a studentized bootstrap over the pairs (Kalibera and Jones, "Rigorous
benchmarking in reasonable time", 2013, on levels of repetition).
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

RATE, SECONDS = 540.0, 0.2  # requests a second; duration of a round
CLIENTS, NODES, SIZE = 40, 4, 200  # size: bytes of an answer
WARM_UP = 1.0  # s
IDLE_DELAY = 1.0  # s without load from the start until memory is read


@dataclass(frozen=True)
class CpuComparison:
    """The ratio of the CPU time of a request, build to base, with its 95% confidence interval."""

    ratio: float
    low: float
    high: float
    pairs: tuple[float, ...]  # the ratio of each pair of processes
    base_us: float  # CPU time of a request in microseconds
    build_us: float


@dataclass(frozen=True)
class MemoryComparison:
    """Resident memory in MB of each started process."""

    base: tuple[float, ...]
    build: tuple[float, ...]


class MeasuredDaemon:
    """One daemon, the clients that load it, and the CPU time it has used for their requests."""

    def __init__(self, daemon: harness.RunningProcess) -> None:
        self._daemon = daemon
        self._generator = LoadGenerator(daemon.port, CLIENTS)
        self.cpu_total = 0.0  # s of CPU in all rounds
        self.requests = 0

    async def start(self) -> None:
        """Connect the clients and warm the daemon up."""
        await self._generator.connect()
        await self._generator.run(RATE, WARM_UP)
        await self._generator.wait_for_answers()

    async def run_round(self) -> float:
        """Run one round; returns its CPU time per request in seconds."""
        cpu_before, sent_before = harness.cpu_seconds(self._daemon.pid), self._generator.sent
        await self._generator.run(RATE, SECONDS)
        await self._generator.wait_for_answers()
        used = harness.cpu_seconds(self._daemon.pid) - cpu_before
        requests = self._generator.sent - sent_before
        self.cpu_total += used
        self.requests += requests
        self._generator.finished.clear()
        self._generator.sent = 0
        return used / requests

    def close(self) -> None:
        """Abort the clients' connections."""
        self._generator.close()


async def compare(pair: BuildPair, pairs: int, blocks: int) -> CpuComparison:
    """Measure `pairs` pairs of processes, one of each build, each in `blocks` blocks of rounds."""
    ratios, base_us, build_us = [], [], []
    async with harness.nodes(NODES, SIZE) as ports:
        for number in range(-1, pairs):  # the first compiles the sources and is not counted
            async with (
                harness.daemon(ports, pair.base) as first,
                harness.daemon(ports, pair.build) as second,
            ):
                base, build = MeasuredDaemon(first), MeasuredDaemon(second)
                for measured in (base, build):
                    await measured.start()
                log_ratios = [
                    await _run_block(base, build) for _ in range(blocks if number >= 0 else 1)
                ]
                for measured in (base, build):
                    measured.close()
            if number >= 0:
                # The median, since a CPU burst of another process affects few blocks.
                ratios.append(statistics.median(log_ratios))
                base_us.append(base.cpu_total / base.requests * 1e6)
                build_us.append(build.cpu_total / build.requests * 1e6)
    return _comparison(ratios, statistics.mean(base_us), statistics.mean(build_us))


async def _run_block(base: MeasuredDaemon, build: MeasuredDaemon) -> float:
    """The logarithm of the ratio over four rounds.

    Their order makes a drift of the machine's speed during the block affect both builds equally.
    """
    first, second = await base.run_round(), await build.run_round()
    third, fourth = await build.run_round(), await base.run_round()
    return math.log((second + third) / (first + fourth))


def _comparison(logarithms: list[float], base_us: float, build_us: float) -> CpuComparison:
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
    """Resident memory of `starts` processes of each build, started alternately and left idle."""
    found: dict[Path, list[float]] = {pair.base: [], pair.build: []}
    async with harness.nodes(NODES, SIZE) as ports:
        for number in range(-1, starts):  # the first compiles the sources and is not counted
            for folder, sizes in found.items():
                async with harness.daemon(ports, folder) as daemon:
                    await asyncio.sleep(IDLE_DELAY)
                    if number >= 0:
                        sizes.append(harness.resident_mb(daemon.pid))
    return MemoryComparison(tuple(found[pair.base]), tuple(found[pair.build]))


def show(found: CpuComparison, limit: float) -> None:
    """Print the ratios, the interval, and on which side of the limit the interval lies."""
    verdict = "cannot tell"
    if found.high <= limit:
        verdict = "kept"
    elif found.low > limit:
        verdict = "exceeded"
    print("pairs of processes: " + " ".join(f"{ratio:.3f}" for ratio in found.pairs))
    print(
        f"CPU per request {found.base_us:.1f} -> {found.build_us:.1f} us, ratio {found.ratio:.4f} "
        f"[{found.low:.4f}, {found.high:.4f}]; limit {limit:g}: {verdict}"
    )


def show_memory(found: MemoryComparison) -> None:
    """Print the memory of each process and the ratio of the medians, build to base."""
    for name, sizes in (("base", found.base), ("build", found.build)):
        print(f"{name:5s} " + " ".join(f"{size:.1f}" for size in sizes) + " MB")
    print(f"ratio {statistics.median(found.build) / statistics.median(found.base):.3f}")
