"""Whether the daemon leaks descriptors or memory on thousands of connections to faulty nodes.

    python benchmarks/bad_nodes.py [--count 10000] [--most 45] [--build CHECKOUT]

For each fault, all four nodes have it while 100 clients send requests, until the nodes have
accepted --count connections or --most seconds have passed.  Then all nodes serve again.  One row is
printed for each fault: the number of connections, the outcomes of the requests, the daemon's
descriptors before all faults and after this one, and its resident set before and after this fault.

The exit status is 1 if descriptors remain open, a request expired without an answer, or fewer than
950 of the last 1000 requests are served once the nodes serve again.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

import harness
from bad_peers import descriptors

from limebridge.standins.clients import LoadGenerator
from limebridge.standins.nodes import Behaviour, CacheNode, serves
from limebridge.standins.wire import reply

RATE = 2500.0  # requests per second; few of them reach a node while all nodes are faulty
HEALTHY_RATE = 400.0  # requests per second while all nodes serve
SETTLE_S = 10.0  # s within which the daemon must close what it opened, with idle connections


class Node(CacheNode):
    """A node that stores no commands, since a run sends too many to keep."""

    def record(self, words: list[bytes]) -> None:
        """Ignore the command."""
        pass


async def closes(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Close the connection without an answer."""
    writer.close()
    raise ConnectionError


async def resets(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Abort the connection without an answer."""
    writer.transport.abort()
    raise ConnectionError


async def noise(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Answer with bytes that are not RESP."""
    writer.write(b"\x00\xff\x17" * 50)


async def endless_line(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Answer with the first 20 kB of a line that never ends."""
    writer.write(b"+" + b"x" * 20_000)


async def endless_value(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Announce a value of 60 MB and send 10 kB of it."""
    writer.write(b"*3\r\n$60000000\r\n" + b"x" * 10_000)


async def half_an_answer(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Send the first 50 bytes of an answer and keep the connection open."""
    writer.write(reply(b"v" * 100)[:50])


async def answers_twice(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Send two answers to one command."""
    writer.write(reply(b"v") * 2)


async def answers_and_closes(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Answer and then close the connection."""
    writer.write(reply(b"v"))
    writer.close()
    raise ConnectionError


async def says_nothing(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Never answer."""
    pass


FAULTS: dict[str, Behaviour] = {
    fault.__name__: fault
    for fault in (
        closes,
        resets,
        noise,
        endless_line,
        endless_value,
        half_an_answer,
        answers_twice,
        answers_and_closes,
        says_nothing,
    )
}


async def wait_for_descriptors(pid: int, maximum: int) -> int:
    """Wait until a process has at most `maximum` open descriptors; returns the last count.

    Gives up after SETTLE_S.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + SETTLE_S
    while (count := descriptors(pid)) > maximum and loop.time() < end:
        await asyncio.sleep(0.1)
    return count


async def run_load(
    nodes: list[Node], port: int, rate: float, count: int, max_seconds: float
) -> LoadGenerator:
    """Send `rate` requests per second to the daemon on `port`, and wait for all answers.

    Sending ends after the second in which the nodes have accepted `count` connections, or after
    `max_seconds`.
    """
    generator = LoadGenerator(port, clients=100)
    await generator.connect()
    connections_before = sum(node.connections for node in nodes)
    end = generator.loop.time() + max_seconds
    while (
        sum(node.connections for node in nodes) - connections_before < count
        and generator.loop.time() < end
    ):
        await generator.run(rate, 1.0)
    await generator.wait_for_answers()
    generator.close()
    return generator


async def main() -> int:
    """Run each fault of the nodes; return 1 if the daemon fails one of them."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--most", type=float, default=45.0, help="maximum seconds per fault")
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    options = parser.parse_args()
    failed = False
    nodes = [await Node(serves).start() for _ in range(4)]
    async with harness.daemon(
        [node.port for node in nodes], options.build.resolve(), sockets=512
    ) as daemon:
        await run_load(nodes, daemon.port, HEALTHY_RATE, 1_000_000, 1.0)
        await asyncio.sleep(SETTLE_S)
        before = descriptors(daemon.pid)
        for name, fault in FAULTS.items():
            memory_before = harness.resident_mb(daemon.pid)
            for node in nodes:
                node.behaviour, node.connections = fault, 0
            generator = await run_load(nodes, daemon.port, RATE, options.count, options.most)
            connections = sum(node.connections for node in nodes)
            for node in nodes:
                node.behaviour = serves
            recovered = await run_load(nodes, daemon.port, HEALTHY_RATE, 1_000_000, 4.0)
            served = sum(request.outcome == "served" for request in recovered.finished[-1000:])
            after, outcomes = (
                await wait_for_descriptors(daemon.pid, before),
                generator.count_outcomes(),
            )
            fault_failed = after > before or bool(outcomes["expired"]) or served < 950
            failed |= fault_failed
            print(
                json.dumps(
                    {
                        "kind": name,
                        "connections": connections,
                        "answers": dict(outcomes),
                        "descriptors": [before, after],
                        "served_of_last_1000_when_good": served,
                        "passes": not fault_failed,
                        "resident_mb": [
                            round(memory_before, 1),
                            round(harness.resident_mb(daemon.pid), 1),
                        ],
                    }
                ),
                flush=True,
            )
    for node in nodes:
        await node.stop()
    return int(failed)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
