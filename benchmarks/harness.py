"""Shared parts of the benchmarks: child processes, their CPU and memory, and a daemon to measure.

The cache nodes, the relay and the daemon run as processes of their own, so that the CPU of each can
be read from /proc.  Discovery runs in the process of the benchmark.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from limebridge.child import Child, print_warnings  # noqa: E402
from limebridge.ports import free_ports  # noqa: E402
from limebridge.standins.configuration import SETTINGS, configuration  # noqa: E402
from limebridge.standins.discovery import Discovery  # noqa: E402

CLASSES = [
    {
        "name": "lookup",
        "promiseMs": 300.0,
        "deadlineMs": 600.0,
        "effect": "pure",
        "worth": 2.0,
        "lateValue": 0.3,
    }
]
START_TIMEOUT_S = 30.0  # s until a child process prints that it is ready


def cpu_seconds(pid: int) -> float:
    """CPU time in s of all current threads of a process, which the kernel counts in nanoseconds."""
    total = 0.0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0]) / 1e9
    return total


def resident_mb(pid: int) -> float:
    """Resident set of a process in MiB.  Raises ValueError for one without memory, a zombie."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024.0
    raise ValueError("no VmRSS")


@dataclass
class RunningProcess:
    """A process under load and the port on which it serves clients."""

    process: asyncio.subprocess.Process | Child
    port: int

    @property
    def pid(self) -> int:
        """The process's id, also after its end."""
        return self.process.pid


async def spawn(*args: str, **options: Any) -> asyncio.subprocess.Process:
    """Start this Python interpreter with `args` in the root folder of the checkout.

    `options` are those of `asyncio.create_subprocess_exec`.
    """
    return await asyncio.create_subprocess_exec(sys.executable, *args, cwd=ROOT, **options)


async def stop(process: asyncio.subprocess.Process) -> None:
    """Kill a process, if it still runs, and wait for its exit."""
    if process.returncode is None:
        process.kill()
    await process.wait()


async def first_line(process: asyncio.subprocess.Process) -> bytes:
    """The first line of a process's standard output; TimeoutError after START_TIMEOUT_S."""
    assert process.stdout is not None
    async with asyncio.timeout(START_TIMEOUT_S):
        return await process.stdout.readline()


@asynccontextmanager
async def nodes(count: int, size: int, delay: float = 0.0) -> AsyncIterator[list[int]]:
    """Run `count` cache nodes; yields their ports.

    Each answer has `size` bytes and is sent `delay` ms after the command.
    """
    process = await spawn(
        "benchmarks/nodes.py", str(count), str(size), str(delay), stdout=asyncio.subprocess.PIPE
    )
    try:
        yield json.loads(await first_line(process))
    finally:
        await stop(process)


@asynccontextmanager
async def relay(ports: list[int], loop: str) -> AsyncIterator[RunningProcess]:
    """Run a relay in front of nodes on these ports.  `loop`: asyncio or uvloop, its event loop."""
    flags = ["--uvloop"] if loop == "uvloop" else []
    process = await spawn(
        "benchmarks/relay.py", *map(str, ports), *flags, stdout=asyncio.subprocess.PIPE
    )
    try:
        yield RunningProcess(process, int(await first_line(process)))
    finally:
        await stop(process)


@asynccontextmanager
async def daemon(
    ports: list[int],
    build: Path = ROOT,
    sockets: int = 1024,
    operator: Path | None = None,
    **settings: Any,
) -> AsyncIterator[RunningProcess]:
    """Run the daemon of the checkout `build` in front of nodes on these ports; yields it listening.

    `sockets` limits its sockets, `operator` is its operator's file, and `settings` override those
    of `configuration`.  Raises DaemonStartError.
    """
    discovery = await Discovery().start()
    entries = [
        {
            "instanceId": f"s-{port}",
            "hostPort": f"127.0.0.1:{port}",
            "zone": "a",
            "machineType": "m",
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for port in ports
    ]
    (listen,) = free_ports(1)
    raw = configuration(
        discovery.port,
        entries,
        sockets=sockets,
        memory_mb=192,
        listen=listen,
        **({"classes": CLASSES} | settings),
    )
    assert SETTINGS["membershipMode"] == "subscribe"
    with tempfile.TemporaryDirectory() as folder:
        child = Child(Path(folder), "config", build=build, on_log_line=print_warnings)
        try:
            await child.start(raw, listen, operator)
            yield RunningProcess(child, listen)
        finally:
            await child.kill()
            await discovery.stop()
