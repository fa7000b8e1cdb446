"""A cache node that answers commands with a replaceable function, its behaviour."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self, Unpack

from .node_list import Lifecycle, NodeEntry, NodeFields
from .wire import read_words, reply

# Called with the command's words (name, key, id, list, value) and the writer for the answer.
Behaviour = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[None]]


async def serves(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Answer at once with a value that contains the request's id."""
    writer.write(reply(b"value of " + words[2]))


class CacheNode:
    """One node on a loopback port; `behaviour` may be changed while it runs."""

    def __init__(self, behaviour: Behaviour = serves) -> None:
        self.behaviour = behaviour
        self.commands: list[list[bytes]] = []
        self.connections = 0
        self.open: dict[asyncio.StreamWriter, None] = {}
        self.port = 0
        self.up = False  # whether its process runs

    async def start(self, port: int = 0) -> Self:
        """Listen; port 0 lets the kernel pick one, which is then in `port`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.up = True
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open[writer] = None
        try:
            while True:
                words = await read_words(reader)
                self.record(words)
                await self.behaviour(words, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    def record(self, words: list[bytes]) -> None:
        """Store a command for tests; subclasses that run for long store less."""
        self.commands.append(words)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.up = False
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)

    def entry(
        self, name: str, lifecycle: Lifecycle = "in_service", **fields: Unpack[NodeFields]
    ) -> NodeEntry:
        """The list entry of this node; `fields` override the default values."""
        return {
            "instanceId": name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "a",
            "machineType": "m",
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
            **fields,
        }
