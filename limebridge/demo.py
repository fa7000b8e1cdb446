"""Runs the real daemon as a child process, with test doubles as its peers, on loopback."""

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
    """The daemon did not start, or exited by itself; the message is one line."""


@dataclass
class Demo:
    """The running processes and test doubles of a demo."""

    ports: list[int]  # ports of the proxies
    nodes: list[ReadThroughNode]
    discovery: Discovery
    database: CustomerDatabase
    processes: list[Child]
    consul: Consul | None = None

    @property
    def port(self) -> int:
        """Port of the first proxy."""
        return self.ports[0]

    def describe(self) -> dict[str, Any]:
        """Addresses of all parts, as printed by `limebridge demo --json`."""
        addresses: dict[str, Any] = {"proxy": f"127.0.0.1:{self.port}"}
        if len(self.ports) > 1:
            addresses["proxies"] = [f"127.0.0.1:{port}" for port in self.ports]
        addresses |= {
            "nodes": [f"127.0.0.1:{node.port}" for node in self.nodes],
            "discovery": f"127.0.0.1:{self.discovery.port}",
        }
        return (
            addresses
            if self.consul is None
            else addresses | {"consul": f"127.0.0.1:{self.consul.port}"}
        )


@asynccontextmanager
async def running(
    count: int, with_consul: bool = False, with_cluster: bool = False
) -> AsyncIterator[Demo]:
    """Start everything and yield it when ready; stop all of it at the end, also after errors.

    `with_consul`: the nodes are registered in Consul as the service `cache`, which the proxy
    follows.  `with_cluster`: two proxies share the slots of a cluster.
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
            for index, port in enumerate(ports):
                processes.append(await _start(Path(folder), f"n{index}", raw, port, tables))
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
    """The `cluster` table for proxies n0, n1, ... that share the slots evenly."""
    step = SLOTS // len(ports)
    parts = "".join(
        f'[[cluster.proxies]]\nname = "n{index}"\naddress = "127.0.0.1:{port}"\n'
        f'slots = ["{index * step}-{(index + 1) * step - 1}"]\n'
        for index, port in enumerate(ports)
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


async def run(
    count: int,
    rate: float,
    ready: Callable[[Demo], None],
    report: Callable[[Counter[str], list[float]], None] | None,
    with_consul: bool = False,
    with_cluster: bool = False,
) -> None:
    """Run a demo with `count` nodes until SIGTERM or SIGINT.

    `ready` is called once all is started.  With `report`, clients send `rate` requests per second,
    and `report` is called each second with their outcomes and the latencies of served ones in ms,
    sorted.  Raises DemoError when a daemon does not start or exits by itself.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with running(count, with_consul, with_cluster) as demo:
        ready(demo)
        daemon_end = asyncio.create_task(_first_exit(demo.processes))
        generator = LoadGenerator(demo.port, clients=20, keys=500)
        load = (
            asyncio.create_task(_send_load(generator, rate, report)) if report is not None else None
        )
        stop = asyncio.create_task(stop_requested.wait())
        waits: set[asyncio.Task[Any]] = {daemon_end, stop} | ({load} if load else set())
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for task in (load, stop, daemon_end):
            if task is not None:
                task.cancel()
        generator.close()
        if daemon_end in done:
            raise DemoError(f"the daemon ended with {daemon_end.result()}")
        if load is not None and load in done:
            load.result()


async def _first_exit(processes: list[Child]) -> int:
    waits = [asyncio.ensure_future(process.wait()) for process in processes]
    try:
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        return next(iter(done)).result()
    finally:
        for wait in waits:
            wait.cancel()


async def _send_load(
    generator: LoadGenerator, rate: float, report: Callable[[Counter[str], list[float]], None]
) -> None:
    await generator.connect()
    while True:
        await generator.run(rate, 1.0)
        requests, generator.finished = generator.finished, []
        report(
            Counter(request.outcome for request in requests),
            sorted(
                (request.ended_at - request.sent_at) * 1000.0
                for request in requests
                if request.outcome == "served"
            ),
        )
