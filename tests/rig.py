"""A proxy in this process, with cache nodes, discovery and clients on loopback sockets.

Nothing here measures load: each part plays one peer that a test can make misbehave.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from violetroute import config as config_module
from violetroute.clients import Listener
from violetroute.proxy import Proxy

T = TypeVar("T")
PATIENCE = 20.0  # s; a bound on waiting, far above what any step needs

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "caps": {"cancel": True, "connIdleMs": 5000.0, "connectTimeoutMs": 1000.0,
             "maxRetryAfterMs": 1500.0, "mostTries": 4, "retryAfter": False,
             "secondCopies": False},
    "classes": [
        {"name": "lookup", "promiseMs": 5000.0, "deadlineMs": 10000.0, "effect": "pure",
         "worth": 2.0},
        {"name": "optout", "promiseMs": 5000.0, "deadlineMs": 10000.0, "effect": "token",
         "group": "all", "keyTtlMs": 2500.0, "worth": 5.0},
        {"name": "once", "promiseMs": 5000.0, "deadlineMs": 10000.0, "effect": "side_effect"},
    ],
    "guarantees": {"askWithinMs": 2000.0, "coldFrom": 0.13, "stopSendingWithinMs": 500.0,
                   "warmWithinMs": 23000.0},
    "membershipMode": "subscribe",
    "zone": "a",
}


async def soon(what: Awaitable[T]) -> T:
    async with asyncio.timeout(PATIENCE):
        return await what


async def until(true: Callable[[], object]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not true():
            await asyncio.sleep(0.005)


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(data), data)


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def get(number: int, key: bytes = b"k", cls: bytes = b"lookup", wait: int = 8000) -> bytes:
    return command(b"OBJ.GET", key, b"id%d" % number, b"c=%b,t=x,d=%d" % (cls, wait))


def put(number: int, value: bytes = b"v", cls: bytes = b"optout", wait: int = 8000) -> bytes:
    fields = b"c=%b,t=x,d=%d,k=key%d" % (cls, wait, number)
    return command(b"OBJ.SET", b"k", b"id%d" % number, fields, value)


def reply(value: bytes, hit: bytes = b"hit") -> bytes:
    return b"*3\r\n" + bulk(value) + bulk(hit) + b"$-1\r\n"


async def read_words(reader: asyncio.StreamReader) -> list[bytes]:
    """One command, as a cache node reads it."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


Behaviour = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[None]]


async def serves(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(reply(b"value of " + words[2]))


class CacheNode:
    """Answers each command as its behaviour says."""

    def __init__(self, behaviour: Behaviour = serves) -> None:
        self.behaviour = behaviour
        self.commands: list[list[bytes]] = []
        self.connections = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> CacheNode:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open.add(writer)
        try:
            while True:
                words = await read_words(reader)
                self.commands.append(words)
                await self.behaviour(words, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def stop(self) -> None:
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)

    def entry(self, name: str, lifecycle: str = "in_service", **more: Any) -> dict[str, Any]:
        return {"instanceId": name, "hostPort": f"127.0.0.1:{self.port}", "zone": "a",
                "machineType": "m", "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
                **more}


class Discovery:
    """Answers watches with what `tell` gives it; `refuse` makes it fail."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []
        self.asked: list[str] = []
        self.refuse = False
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.asked.append(head.split()[1].decode())
        if self.refuse:
            writer.write(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.open.add(writer)
        for line in self.lines:
            self.send(writer, json.dumps(line).encode())
        await reader.read()
        self.open.discard(writer)
        writer.close()

    def send(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        writer.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def tell(self, *entries: dict[str, Any], reset: bool = False) -> None:
        self.lines.append({"generation": 100 + len(self.lines), "reset": reset,
                           "instances": list(entries)})
        for writer in self.open:
            self.send(writer, json.dumps(self.lines[-1]).encode())

    async def stop(self) -> None:
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)


def configuration(discovery: int, known: list[dict[str, Any]], sockets: int = 256,
                  memory_mb: int = 64, listen: int = 0, **settings: Any) -> dict[str, Any]:
    return {"name": "n0", "listen": f"127.0.0.1:{listen}", "seed": "5",
            "discovery": f"127.0.0.1:{discovery}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"generation": 1, "reset": True, "instances": known},
            "settings": SETTINGS | settings}


class Rig:
    """The proxy between the parts, as __main__ puts it together."""

    def __init__(self, *nodes: CacheNode, **limits: Any) -> None:
        self.nodes, self.limits = nodes, limits
        self.discovery = Discovery()

    async def __aenter__(self) -> Rig:
        await self.discovery.start()
        for node in self.nodes:
            if not node.port:
                await node.start()
        known = [node.entry(f"s-{i}") for i, node in enumerate(self.nodes)]
        self.config = self.load(configuration(self.discovery.port, known, **self.limits))
        loop = asyncio.get_running_loop()
        self.proxy = Proxy(self.config, loop)
        self.listener = Listener(self.proxy, self.config.client_sockets,
                                 self.config.value_room, loop)
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
        await soon(self.listener.drain(0.2))
        self.proxy.close()
        for node in self.nodes:
            await node.stop()
        await self.discovery.stop()
        await asyncio.sleep(0)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    line = await soon(reader.readuntil(b"\r\n"))
    if not line.startswith(b"$"):
        return line[:-2]
    return (await soon(reader.readexactly(int(line[1:-2]) + 2)))[:-2]
