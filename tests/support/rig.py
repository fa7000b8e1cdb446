"""A proxy in this process, with cache nodes, discovery and clients on loopback sockets.

The stand-ins are for correctness and not for load: a test can make each of them misbehave.
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
from violetroute.clients import Listener, drain
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
    "wait_until",
    "with_timeout",
]

T = TypeVar("T")
TIMEOUT_S = 20.0  # far above the time that any step needs


async def with_timeout(awaitable: Awaitable[T]) -> T:
    """The result of an awaitable.  Raises TimeoutError after TIMEOUT_S."""
    async with asyncio.timeout(TIMEOUT_S):
        return await awaitable


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition is true.  Raises TimeoutError after TIMEOUT_S."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def get(number: int, key: bytes = b"k", cls: bytes = b"lookup", deadline_ms: int = 8000) -> bytes:
    """The bytes of an OBJ.GET with ID `id{number}` and class `cls`."""
    return command(b"OBJ.GET", key, b"id%d" % number, b"c=%b,t=x,d=%d" % (cls, deadline_ms))


def put(number: int, value: bytes = b"v", cls: bytes = b"optout", deadline_ms: int = 8000) -> bytes:
    """The bytes of an OBJ.SET with ID `id{number}` and idempotency key `key{number}`."""
    fields = b"c=%b,t=x,d=%d,k=key%d" % (cls, deadline_ms, number)
    return command(b"OBJ.SET", b"k", b"id%d" % number, fields, value)


class Rig:
    """A proxy with its listener, built as in __main__, and its discovery.

    `limits`: more arguments of `configuration`.
    """

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
        entries = [node.entry(f"s-{i}") for i, node in enumerate(self.nodes)]
        self.config = self.load(configuration(self.discovery.port, entries, **self.limits))
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
        """Load a configuration through a file, as the daemon does."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(raw))
            return config_module.load({"PROXY_CONFIG": str(path)})

    async def wait_for_watch(self) -> None:
        """Wait until the proxy has an open watch at the discovery."""
        await wait_until(lambda: self.discovery.open)

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection to the proxy."""
        return await with_timeout(asyncio.open_connection("127.0.0.1", self.port))

    async def request(self, *commands: bytes) -> list[bytes]:
        """Send commands on a new connection.

        Returns the answers in order, values without their lengths.
        """
        reader, writer = await self.client()
        writer.write(b"".join(commands))
        answers = [await read_answer(reader) for _ in commands]
        writer.close()
        return answers

    async def __aexit__(self, *_: object) -> None:
        # All clients of a test are connected by now, so this drain need not accept late ones.
        # Tests of the drain call `drain` themselves, with its grace period for late clients.
        with mock.patch.object(drain, "ACCEPT_AFTER_TERM", 0.0):
            await with_timeout(self.listener.drain(0.2))
        self.proxy.close()
        for node in self.nodes:
            await node.stop()
        await self.discovery.stop()
        await asyncio.sleep(0)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer, as `wire.read_answer` returns it.  Raises TimeoutError after TIMEOUT_S."""
    return await with_timeout(wire.read_answer(reader))
