"""The floor: a relay that passes bytes between a client and one node, and reads nothing.

`python benchmarks/relay.py PORT [PORT ...]` prints the port it listens on.
"""

from __future__ import annotations

import asyncio
import importlib
import itertools
import sys


class Half(asyncio.Protocol):
    def __init__(self) -> None:
        self.other: Half | None = None
        self.transport: asyncio.Transport | None = None
        self._early = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self._early += data
        else:
            self.other.transport.write(data)

    def pair(self, other: Half) -> None:
        self.other = other
        if self._early and other.transport is not None:
            other.transport.write(bytes(self._early))

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


async def main(ports: list[int]) -> None:
    loop = asyncio.get_running_loop()
    turn = itertools.cycle(ports)
    tasks = set()

    class Front(Half):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            task = loop.create_task(self._reach())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        async def _reach(self) -> None:
            _, back = await loop.create_connection(Half, "127.0.0.1", next(turn))
            back.pair(self)
            self.pair(back)

    server = await loop.create_server(Front, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    ports = [int(word) for word in sys.argv[1:] if word.isdigit()]
    if "--uvloop" in sys.argv:
        importlib.import_module("uvloop").run(main(ports))
    else:
        asyncio.run(main(ports))
