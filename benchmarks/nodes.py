"""Cache nodes for the benchmarks, in a process of their own.

`python benchmarks/nodes.py COUNT BYTES [MS]` starts COUNT nodes that answer every command with a
value of BYTES bytes, MS milliseconds (default 0) after it has arrived.  It prints the nodes' ports
as one JSON list and then runs until it is killed.
"""

from __future__ import annotations

import asyncio
import json
import sys

import harness  # noqa: F401  (adds this checkout to sys.path)

from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import reply


class FixedAnswerNode(CacheNode):
    """A cache node that does not store the commands it receives, so its memory stays constant."""

    def record(self, words: list[bytes]) -> None:
        """Store nothing."""
        pass


async def main(count: int, size: int, delay: float) -> None:
    """Start `count` nodes that answer `size` bytes after `delay` ms; never returns."""
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
