"""The real daemon as a child, with stand-ins round it, on loopback ports."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .standins.clients import Crowd
from .standins.configuration import configuration, environment
from .standins.consul import Catalogue, Consul
from .standins.database import CustomerDatabase
from .standins.discovery import Discovery
from .standins.shelf import Shelf

READY = 20.0  # s for the daemon to listen
END = 6.0  # s for it to drain; its longest deadline is 3 s
CLASSES: list[dict[str, Any]] = [
    {"name": "lookup", "promiseMs": 300.0, "deadlineMs": 600.0, "effect": "pure", "worth": 2.0},
    {"name": "optout", "promiseMs": 300.0, "deadlineMs": 1200.0, "effect": "token",
     "group": "all", "keyTtlMs": 2000.0, "worth": 5.0},
    {"name": "template-save", "promiseMs": 750.0, "deadlineMs": 3000.0, "effect": "token",
     "group": "all", "keyTtlMs": 2000.0, "worth": 5.0},
]


class DemoError(Exception):
    """The daemon did not start, or ended by itself; said in one line."""


@dataclass
class Demo:
    port: int
    nodes: list[Shelf]
    discovery: Discovery
    database: CustomerDatabase
    process: asyncio.subprocess.Process
    consul: Consul | None = None

    def describe(self) -> dict[str, Any]:
        words = {"proxy": f"127.0.0.1:{self.port}",
                 "nodes": [f"127.0.0.1:{node.port}" for node in self.nodes],
                 "discovery": f"127.0.0.1:{self.discovery.port}"}
        return words if self.consul is None else words | {
            "consul": f"127.0.0.1:{self.consul.port}"}


@asynccontextmanager
async def running(count: int, with_consul: bool = False) -> AsyncIterator[Demo]:
    """Everything started and ready; ended in order whatever happens.

    `with_consul`: the nodes are registered there as the service `cache`, and the proxy follows it.
    """
    consul = await _consul() if with_consul else None
    database, discovery = CustomerDatabase(), await Discovery().start()
    nodes = [await Shelf(database).start() for _ in range(count)]
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = int(probe.getsockname()[1])
    raw = configuration(discovery.port, [n.entry(f"node-{i}") for i, n in enumerate(nodes)],
                        sockets=1024, memory_mb=192, listen=port, classes=CLASSES)
    with tempfile.TemporaryDirectory() as folder:
        path, operator = Path(folder) / "config.json", Path(folder) / "operator.toml"
        path.write_text(json.dumps(raw))
        arguments = ["-m", "violetroute"]
        if consul is not None:
            for number, node in enumerate(nodes):
                consul.catalogue.register(f"node-{number}", node.port, address="127.0.0.1",
                                          checks={f"service:node-{number}": "passing"})
            operator.write_text(f'[consul]\nagents = ["127.0.0.1:{consul.port}"]\n')
            arguments += ["--operator", str(operator)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stderr=asyncio.subprocess.PIPE,
            env=environment(path), start_new_session=True)
        log = asyncio.create_task(_ready(process))
        try:
            await log
            draining = asyncio.create_task(_copy(process))
            yield Demo(port, nodes, discovery, database, process, consul)
            await _end(process)
            await draining
        finally:
            log.cancel()
            if process.returncode is None:
                process.kill()
                await process.wait()
            for node in nodes:
                await node.stop()
            await discovery.stop()
            if consul is not None:
                await consul.stop()


async def _consul() -> Consul:
    return await Consul(Catalogue()).start()


async def _ready(process: asyncio.subprocess.Process) -> None:
    assert process.stderr is not None
    last = "no word from it"
    try:
        async with asyncio.timeout(READY):
            async for line in process.stderr:
                last = line.decode(errors="replace").strip()
                if "daemon.listens" in last:
                    return
    except TimeoutError:
        pass
    raise DemoError(f"the daemon did not start: {last}")


async def _copy(process: asyncio.subprocess.Process) -> None:
    """Its warnings go on to ours; the pipe must not fill up."""
    assert process.stderr is not None
    async for line in process.stderr:
        if b" WARNING " in line or b" ERROR " in line:
            sys.stderr.write(line.decode(errors="replace"))


async def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.terminate()
    try:
        async with asyncio.timeout(END):
            await process.wait()
    except TimeoutError:
        process.kill()


async def play(count: int, rate: float, ready: Callable[[Demo], None],
               told: Callable[[Counter[str], list[float]], None] | None,
               with_consul: bool = False) -> None:
    """Until SIGTERM or SIGINT.  With `told`, clients ask and it hears once a second.

    DemoError when the daemon ends by itself.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    async with running(count, with_consul) as demo:
        ready(demo)
        gone = asyncio.create_task(demo.process.wait())
        crowd = Crowd(demo.port, clients=20, keys=500)
        asking = asyncio.create_task(_ask(crowd, rate, told)) if told is not None else None
        stopping = asyncio.create_task(ended.wait())
        waits: set[asyncio.Task[Any]] = {gone, stopping} | ({asking} if asking else set())
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for task in (asking, stopping):
            if task is not None:
                task.cancel()
        crowd.close()
        if gone in done:
            raise DemoError(f"the daemon ended with {gone.result()}")
        if asking is not None and asking in done:
            asking.result()


async def _ask(crowd: Crowd, rate: float,
               told: Callable[[Counter[str], list[float]], None]) -> None:
    await crowd.connect()
    while True:
        await crowd.play(rate, 1.0)
        asks, crowd.asks = crowd.asks, []
        told(Counter(a.kind for a in asks),
             sorted((a.answered_at - a.asked_at) * 1000.0 for a in asks if a.kind == "served"))
