"""Thousands of connections to each kind of bad cache node: what is left of them afterwards.

    python benchmarks/bad_nodes.py [--count 10000] [--most 45] [--build CHECKOUT]

All four nodes misbehave alike while 100 clients ask, until the nodes have seen `count`
connections or `most` seconds are over.  A row a kind: how many there were, what became of the
requests, the daemon's descriptors at its start and after, its resident set before and after.
Exit status 1 when a descriptor is left, a request got no answer in time, or the nodes, good
again, don't serve.
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

RATE = 2500.0  # requests a second: with all nodes bad few get as far as a node
EASY = 400.0  # the same once they are good
SETTLES = 10.0  # s for the daemon to be rid of what it opened, idle connections too


class Node(CacheNode):
    def record(self, words: list[bytes]) -> None:
        pass


async def closes(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.close()
    raise ConnectionError


async def resets(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()
    raise ConnectionError


async def noise(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(b"\x00\xff\x17" * 50)


async def endless_line(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(b"+" + b"x" * 20_000)


async def endless_value(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(b"*3\r\n$60000000\r\n" + b"x" * 10_000)


async def half_an_answer(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(reply(b"v" * 100)[:50])


async def answers_twice(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(reply(b"v") * 2)


async def answers_and_closes(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(reply(b"v"))
    writer.close()
    raise ConnectionError


async def says_nothing(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    pass


KINDS: dict[str, Behaviour] = {
    kind.__name__: kind
    for kind in (
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


async def settled(pid: int, most: int) -> int:
    """Descriptors, once they are no more than that or SETTLES has passed."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SETTLES
    while (count := descriptors(pid)) > most and loop.time() < end:
        await asyncio.sleep(0.1)
    return count


async def played(
    nodes: list[Node], port: int, rate: float, count: int, most: float
) -> LoadGenerator:
    crowd = LoadGenerator(port, clients=100)
    await crowd.connect()
    first = sum(node.connections for node in nodes)
    end = crowd.loop.time() + most
    while sum(node.connections for node in nodes) - first < count and crowd.loop.time() < end:
        await crowd.run(rate, 1.0)
    await crowd.wait_for_answers()
    crowd.close()
    return crowd


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--most", type=float, default=45.0, help="seconds of a kind")
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    options = parser.parse_args()
    bad = False
    nodes = [await Node(serves).start() for _ in range(4)]
    async with harness.daemon(
        [node.port for node in nodes], options.build.resolve(), sockets=512
    ) as daemon:
        await played(nodes, daemon.port, EASY, 1_000_000, 1.0)
        await asyncio.sleep(SETTLES)
        before = descriptors(daemon.pid)
        for name, kind in KINDS.items():
            memory = harness.resident_mb(daemon.pid)
            for node in nodes:
                node.behaviour, node.connections = kind, 0
            crowd = await played(nodes, daemon.port, RATE, options.count, options.most)
            seen = sum(node.connections for node in nodes)
            for node in nodes:
                node.behaviour = serves
            good = await played(nodes, daemon.port, EASY, 1_000_000, 4.0)
            served = sum(ask.outcome == "served" for ask in good.finished[-1000:])
            after, kinds = await settled(daemon.pid, before), crowd.count_outcomes()
            wrong = after > before or bool(kinds["expired"]) or served < 950
            bad |= wrong
            print(
                json.dumps(
                    {
                        "kind": name,
                        "connections": seen,
                        "answers": dict(kinds),
                        "descriptors": [before, after],
                        "served_of_last_1000_when_good": served,
                        "passes": not wrong,
                        "resident_mb": [
                            round(memory, 1),
                            round(harness.resident_mb(daemon.pid), 1),
                        ],
                    }
                ),
                flush=True,
            )
    for node in nodes:
        await node.stop()
    return int(bad)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
