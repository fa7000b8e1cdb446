"""A daemon with cache nodes, discovery and clients on the virtual network.

The order of events there is exact, so a test can force either order of two racing events.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from limebridge.standins.configuration import SETTINGS, configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import command, read_answer
from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.process import OWNER, Process
from violetroute.config import Config, parse

__all__ = ["VirtualRig", "get", "put", "read_answer", "run_scenario"]

NO_CANCEL = SETTINGS["caps"] | {"cancel": False}


def get(number: int, deadline_ms: int = 8000, cls: bytes = b"lookup") -> bytes:
    """The bytes of an OBJ.GET with ID `id{number}` and class `cls`."""
    return command(b"OBJ.GET", b"k", b"id%d" % number, b"c=%b,t=x,d=%d" % (cls, deadline_ms))


def put(number: int, deadline_ms: int = 8000, value: bytes = b"v", cls: bytes = b"optout") -> bytes:
    """The bytes of an OBJ.SET with ID `id{number}` and idempotency key `key{number}`."""
    return command(
        b"OBJ.SET",
        b"k",
        b"id%d" % number,
        b"c=%b,t=x,d=%d,k=key%d" % (cls, deadline_ms, number),
        value,
    )


class VirtualRig:
    """The daemon and its peers.  `arrivals`: time (s), node port and ID of each arrived command."""

    def __init__(self, kernel: Kernel, loop: VirtualLoop) -> None:
        self.kernel, self.loop = kernel, loop
        self.arrivals: list[tuple[float, int, bytes]] = []
        self.nodes: list[CacheNode] = []
        self.discovery = Discovery()
        self.process = Process(kernel, loop, lambda: kernel.now + 1.7e9)

    async def start_all(self, nodes: int, sockets: int, seed: int, **settings: Any) -> None:
        """Start the peers and the daemon.

        `sockets`: the daemon's limit of descriptors.  `settings`: more arguments of
        `configuration`.
        """
        await self.discovery.start()
        for _ in range(nodes):
            self.nodes.append(await self.start_node())
        self.raw = configuration(self.discovery.port, self.entries(), sockets=sockets, **settings)
        self.raw["seed"] = f"{seed:x}"
        self.config: Config = parse(self.raw)
        self.kernel.limit(OWNER, sockets)
        self.port = self.process.start(self.config)

    async def start_node(self) -> CacheNode:
        """Start a cache node whose commands are recorded in `arrivals`."""
        node = CacheNode()

        def record(words: list[bytes]) -> None:
            self.arrivals.append((self.loop.time(), node.port, words[2]))

        node.record = record  # type: ignore[method-assign]
        return await node.start()

    def entries(self, lifecycle: str = "in_service") -> list[dict[str, Any]]:
        """The nodes as entries of the discovery."""
        return [node.entry(f"s-{index}", lifecycle) for index, node in enumerate(self.nodes)]

    @property
    def proxy(self) -> Any:
        """The proxy of the running daemon."""
        return self.process.proxy

    @property
    def listener(self) -> Any:
        """The listener of the running daemon."""
        return self.process.listener

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection to the daemon."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def wait_until(self, condition: Callable[[], object], limit_s: float = 60.0) -> None:
        """Wait at most `limit_s` of virtual time for a condition, checked each millisecond."""
        end = self.loop.time() + limit_s
        while not condition():
            assert self.loop.time() < end, "the condition never became true"
            await asyncio.sleep(0.001)

    def request_ids(self) -> list[bytes]:
        """The IDs of the commands that arrived at nodes, in order."""
        return [name for _, _, name in self.arrivals]


def run_scenario(
    scenario: Callable[[VirtualRig], Awaitable[None]],
    nodes: int = 1,
    sockets: int = 256,
    seed: int = 5,
    **settings: Any,
) -> None:
    """Run a scenario on a new virtual rig, and stop everything that it has started."""
    kernel = Kernel(seed)
    loop = VirtualLoop(kernel, kernel.random("order"))

    async def run() -> None:
        rig = VirtualRig(kernel, loop)
        await rig.start_all(nodes, sockets, seed, **settings)
        await scenario(rig)
        if rig.process.state == "up":
            rig.process.kill()
        await rig.discovery.stop()
        for node in rig.nodes:
            await node.stop()

    try:
        loop.run_until_complete(run())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.call_soon(loop.stop)
        loop.run_forever()
        loop.close()
