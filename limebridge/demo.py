"""The real daemon as a child, with stand-ins round it, on loopback ports."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from violetroute.cluster import SLOTS

from .child import Child, DaemonStartError, print_warnings
from .ports import free_ports
from .standins.cache_store import ReadThroughNode
from .standins.clients import LoadGenerator
from .standins.configuration import configuration
from .standins.consul import Catalogue, Consul
from .standins.database import CustomerDatabase
from .standins.discovery import Discovery

CLASSES: list[dict[str, Any]] = [
    {"name": "lookup", "promiseMs": 300.0, "deadlineMs": 600.0, "effect": "pure", "worth": 2.0},
    {
        "name": "optout",
        "promiseMs": 300.0,
        "deadlineMs": 1200.0,
        "effect": "token",
        "group": "all",
        "keyTtlMs": 2000.0,
        "worth": 5.0,
    },
    {
        "name": "template-save",
        "promiseMs": 750.0,
        "deadlineMs": 3000.0,
        "effect": "token",
        "group": "all",
        "keyTtlMs": 2000.0,
        "worth": 5.0,
    },
]


class DemoError(Exception):
    """The daemon did not start, or ended by itself; said in one line."""


@dataclass
class Demo:
    ports: list[int]  # of the proxies
    nodes: list[ReadThroughNode]
    discovery: Discovery
    database: CustomerDatabase
    processes: list[Child]
    consul: Consul | None = None

    @property
    def port(self) -> int:
        return self.ports[0]

    def describe(self) -> dict[str, Any]:
        words: dict[str, Any] = {"proxy": f"127.0.0.1:{self.port}"}
        if len(self.ports) > 1:
            words["proxies"] = [f"127.0.0.1:{port}" for port in self.ports]
        words |= {
            "nodes": [f"127.0.0.1:{node.port}" for node in self.nodes],
            "discovery": f"127.0.0.1:{self.discovery.port}",
        }
        return words if self.consul is None else words | {"consul": f"127.0.0.1:{self.consul.port}"}


@asynccontextmanager
async def running(
    count: int, with_consul: bool = False, with_cluster: bool = False
) -> AsyncIterator[Demo]:
    """Everything started and ready; ended in order whatever happens.

    `with_consul`: the nodes are registered there as the service `cache`, and the proxy follows it.
    `with_cluster`: two proxies appear as the nodes of a cluster and share its slots.
    """
    consul = await _consul() if with_consul else None
    database, discovery = CustomerDatabase(), await Discovery().start()
    nodes = [await ReadThroughNode(database).start() for _ in range(count)]
    if consul is not None:
        for number, node in enumerate(nodes):
            consul.catalogue.register(
                f"node-{number}",
                node.port,
                address="127.0.0.1",
                checks={f"service:node-{number}": "passing"},
            )
    ports = free_ports(2 if with_cluster else 1)
    tables = ""
    if consul is not None:
        tables += f'[consul]\nagents = ["127.0.0.1:{consul.port}"]\n'
    if with_cluster:
        tables += _cluster(ports)
    raw = configuration(
        discovery.port,
        [n.entry(f"node-{i}") for i, n in enumerate(nodes)],
        sockets=1024,
        memory_mb=192,
        classes=CLASSES,
    )
    with tempfile.TemporaryDirectory() as folder:
        processes: list[Child] = []
        try:
            for place, port in enumerate(ports):
                processes.append(await _start(Path(folder), f"n{place}", raw, port, tables))
            yield Demo(ports, nodes, discovery, database, processes, consul)
            await asyncio.gather(*(process.term() for process in processes))
        finally:
            for process in processes:
                await process.kill()
            for node in nodes:
                await node.stop()
            await discovery.stop()
            if consul is not None:
                await consul.stop()


def _cluster(ports: list[int]) -> str:
    """The operator's table for proxies n0, n1, ... that share the slots evenly."""
    step = SLOTS // len(ports)
    parts = "".join(
        f'[[cluster.proxies]]\nname = "n{place}"\naddress = "127.0.0.1:{port}"\n'
        f'slots = ["{place * step}-{(place + 1) * step - 1}"]\n'
        for place, port in enumerate(ports)
    )
    return f'[cluster]\nappear = "several"\n{parts}'


async def _start(folder: Path, name: str, raw: dict[str, Any], port: int, tables: str) -> Child:
    operator = folder / f"{name}.toml" if tables else None
    if operator is not None:
        operator.write_text(tables)
    child = Child(folder, name, on_log_line=print_warnings)
    try:
        await child.start(raw | {"name": name}, port, operator)
    except DaemonStartError as error:
        raise DemoError(f"the daemon did not start: {error}") from None
    return child


async def _consul() -> Consul:
    return await Consul(Catalogue()).start()


async def play(
    count: int,
    rate: float,
    ready: Callable[[Demo], None],
    told: Callable[[Counter[str], list[float]], None] | None,
    with_consul: bool = False,
    with_cluster: bool = False,
) -> None:
    """Until SIGTERM or SIGINT.  With `told`, clients ask and it hears once a second.

    DemoError when the daemon ends by itself.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    async with running(count, with_consul, with_cluster) as demo:
        ready(demo)
        gone = asyncio.create_task(_first_end(demo.processes))
        crowd = LoadGenerator(demo.port, clients=20, keys=500)
        asking = asyncio.create_task(_ask(crowd, rate, told)) if told is not None else None
        stopping = asyncio.create_task(ended.wait())
        waits: set[asyncio.Task[Any]] = {gone, stopping} | ({asking} if asking else set())
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for task in (asking, stopping, gone):
            if task is not None:
                task.cancel()
        crowd.close()
        if gone in done:
            raise DemoError(f"the daemon ended with {gone.result()}")
        if asking is not None and asking in done:
            asking.result()


async def _first_end(processes: list[Child]) -> int:
    waits = [asyncio.ensure_future(process.wait()) for process in processes]
    try:
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        return next(iter(done)).result()
    finally:
        for wait in waits:
            wait.cancel()


async def _ask(
    crowd: LoadGenerator, rate: float, told: Callable[[Counter[str], list[float]], None]
) -> None:
    await crowd.connect()
    while True:
        await crowd.run(rate, 1.0)
        asks, crowd.finished = crowd.finished, []
        told(
            Counter(a.outcome for a in asks),
            sorted((a.ended_at - a.sent_at) * 1000.0 for a in asks if a.outcome == "served"),
        )
