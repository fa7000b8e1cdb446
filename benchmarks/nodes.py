"""Cache nodes for the benchmarks: `python benchmarks/nodes.py COUNT BYTES [MS]` prints their ports.

MS: how long each answer takes.
"""

from __future__ import annotations

import asyncio
import json
import sys

import harness  # noqa: F401  (finds the packages of this checkout)

from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import reply


class FixedAnswerNode(CacheNode):
    def record(self, words: list[bytes]) -> None:
        pass


async def main(count: int, size: int, delay: float) -> None:
    answer = reply(b"v" * size)

    async def serve(words: list[bytes], writer: asyncio.StreamWriter) -> None:
        if delay:
            await asyncio.sleep(delay / 1000.0)
        writer.write(answer)

    nodes = [await FixedAnswerNode(serve).start() for _ in range(count)]
    print(json.dumps([node.port for node in nodes]), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float((*sys.argv, "0")[3])))
