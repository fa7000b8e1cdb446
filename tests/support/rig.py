"""A proxy in this process, with cache nodes, discovery and clients on loopback sockets.

Nothing here measures load: each part plays one peer that a test can make misbehave.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeVar
from unittest import mock

from limebridge.standins import wire
from limebridge.standins.configuration import SETTINGS, configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import Behaviour, CacheNode, serves
from limebridge.standins.wire import bulk, command, read_words, reply
from violetroute import config as config_module
from violetroute.clients import Listener, listener
from violetroute.proxy import Proxy
from violetroute.transport.loop_lag import Turns
from violetroute.transport.sockets import SocketNetwork

__all__ = [
    "SETTINGS",
    "Behaviour",
    "CacheNode",
    "Discovery",
    "Rig",
    "bulk",
    "command",
    "configuration",
    "get",
    "put",
    "read_answer",
    "read_words",
    "reply",
    "serves",
    "soon",
    "until",
]

T = TypeVar("T")
PATIENCE = 20.0  # s; a bound on waiting, far above what any step needs


async def soon(what: Awaitable[T]) -> T:
    async with asyncio.timeout(PATIENCE):
        return await what


async def until(true: Callable[[], object]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not true():
            await asyncio.sleep(0.005)


def get(number: int, key: bytes = b"k", cls: bytes = b"lookup", wait: int = 8000) -> bytes:
    return command(b"OBJ.GET", key, b"id%d" % number, b"c=%b,t=x,d=%d" % (cls, wait))


def put(number: int, value: bytes = b"v", cls: bytes = b"optout", wait: int = 8000) -> bytes:
    fields = b"c=%b,t=x,d=%d,k=key%d" % (cls, wait, number)
    return command(b"OBJ.SET", b"k", b"id%d" % number, fields, value)


class Rig:
    """The proxy between the parts, as __main__ puts it together."""

    def __init__(
        self,
        *nodes: CacheNode,
        turns: Turns | None = None,
        operator: config_module.Operator | None = None,
        **limits: Any,
    ) -> None:
        self.nodes, self.limits, self.turns = nodes, limits, turns
        self.operator = operator
        self.discovery = Discovery()

    async def __aenter__(self) -> Rig:
        await self.discovery.start()
        for node in self.nodes:
            if not node.port:
                await node.start()
        known = [node.entry(f"s-{i}") for i, node in enumerate(self.nodes)]
        self.config = self.load(configuration(self.discovery.port, known, **self.limits))
        if self.operator is not None:
            self.config = replace(self.config, operator=self.operator)
        net = SocketNetwork(asyncio.get_running_loop(), self.turns)
        self.proxy = Proxy(self.config, net)
        self.listener = Listener(
            self.proxy, self.config.client_sockets, self.config.client_memory_bytes, net
        )
        self.port = self.listener.start(self.config.listen).port
        return self

    @staticmethod
    def load(raw: dict[str, Any]) -> config_module.Config:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(raw))
            return config_module.load({"PROXY_CONFIG": str(path)})

    async def watched(self) -> None:
        await until(lambda: self.discovery.open)

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await soon(asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, *commands: bytes) -> list[bytes]:
        """The answers on a connection of its own, values without their lengths."""
        reader, writer = await self.client()
        writer.write(b"".join(commands))
        answers = [await read_answer(reader) for _ in commands]
        writer.close()
        return answers

    async def __aexit__(self, *_: object) -> None:
        # A test's clients are all there by now.  One of the drain itself calls it, with its grace.
        with mock.patch.object(listener, "ACCEPT_AFTER_TERM", 0.0):
            await soon(self.listener.drain(0.2))
        self.proxy.close()
        for node in self.nodes:
            await node.stop()
        await self.discovery.stop()
        await asyncio.sleep(0)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    return await soon(wire.read_answer(reader))
