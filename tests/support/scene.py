"""One daemon between peers on the virtual network, where the order of two events is exact."""

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

__all__ = ["Scene", "get", "put", "read_answer", "scene"]

NO_CANCEL = SETTINGS["caps"] | {"cancel": False}


def get(number: int, wait: int = 8000, cls: bytes = b"lookup") -> bytes:
    return command(b"OBJ.GET", b"k", b"id%d" % number, b"c=%b,t=x,d=%d" % (cls, wait))


def put(number: int, wait: int = 8000, value: bytes = b"v", cls: bytes = b"optout") -> bytes:
    return command(
        b"OBJ.SET", b"k", b"id%d" % number, b"c=%b,t=x,d=%d,k=key%d" % (cls, wait, number), value
    )


class Scene:
    """`begun`: when each command came to a node, by its id; `net` may be shaped at any time."""

    def __init__(self, kernel: Kernel, loop: VirtualLoop) -> None:
        self.kernel, self.loop = kernel, loop
        self.begun: list[tuple[float, int, bytes]] = []
        self.nodes: list[CacheNode] = []
        self.discovery = Discovery()
        self.process = Process(kernel, loop, lambda: kernel.now + 1.7e9)

    async def begin(self, nodes: int, sockets: int, seed: int, **settings: Any) -> None:
        await self.discovery.start()
        for _ in range(nodes):
            self.nodes.append(await self.node())
        self.raw = configuration(self.discovery.port, self.entries(), sockets=sockets, **settings)
        self.raw["seed"] = f"{seed:x}"
        self.config: Config = parse(self.raw)
        self.kernel.limit(OWNER, sockets)
        self.port = self.process.start(self.config)

    async def node(self) -> CacheNode:
        node = CacheNode()

        def record(words: list[bytes]) -> None:
            self.begun.append((self.loop.time(), node.port, words[2]))

        node.record = record  # type: ignore[method-assign]
        return await node.start()

    def entries(self, lifecycle: str = "in_service") -> list[dict[str, Any]]:
        return [node.entry(f"s-{place}", lifecycle) for place, node in enumerate(self.nodes)]

    @property
    def proxy(self) -> Any:
        return self.process.proxy

    @property
    def listener(self) -> Any:
        return self.process.listener

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def until(self, true: Callable[[], object], most: float = 60.0) -> None:
        """In virtual seconds; looks at each thousandth of one."""
        end = self.loop.time() + most
        while not true():
            assert self.loop.time() < end, "it never came to be"
            await asyncio.sleep(0.001)

    def ids(self) -> list[bytes]:
        return [name for _, _, name in self.begun]


def scene(
    part: Callable[[Scene], Awaitable[None]],
    nodes: int = 1,
    sockets: int = 256,
    seed: int = 5,
    **settings: Any,
) -> None:
    """Play one, and end all that it has started."""
    kernel = Kernel(seed)
    loop = VirtualLoop(kernel, kernel.random("order"))

    async def whole() -> None:
        here = Scene(kernel, loop)
        await here.begin(nodes, sockets, seed, **settings)
        await part(here)
        if here.process.state == "up":
            here.process.kill()
        await here.discovery.stop()
        for node in here.nodes:
            await node.stop()

    try:
        loop.run_until_complete(whole())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.call_soon(loop.stop)
        loop.run_forever()
        loop.close()
