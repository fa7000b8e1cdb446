"""What the benchmarks share: processes and their CPU, the daemon with stand-ins round it."""

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
PATIENCE = 30.0  # s for a process to say that it is ready


def cpu_seconds(pid: int) -> float:
    """Seconds of CPU that this process has had, to the nanosecond where the kernel tells."""
    total = 0.0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0]) / 1e9
    return total


def resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024.0
    raise ValueError("no VmRSS")


@dataclass
class RunningProcess:
    process: asyncio.subprocess.Process | Child
    port: int

    @property
    def pid(self) -> int:
        return self.process.pid


async def spawn(*args: str, **more: Any) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(sys.executable, *args, cwd=ROOT, **more)


async def stop(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


async def first_line(process: asyncio.subprocess.Process) -> bytes:
    assert process.stdout is not None
    async with asyncio.timeout(PATIENCE):
        return await process.stdout.readline()


@asynccontextmanager
async def nodes(count: int, size: int, delay: float = 0.0) -> AsyncIterator[list[int]]:
    """Cache nodes that answer `size` bytes after `delay` ms."""
    process = await spawn(
        "benchmarks/nodes.py", str(count), str(size), str(delay), stdout=asyncio.subprocess.PIPE
    )
    try:
        yield json.loads(await first_line(process))
    finally:
        await stop(process)


@asynccontextmanager
async def relay(ports: list[int], loop: str) -> AsyncIterator[RunningProcess]:
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
    """The daemon of `build` in front of nodes on these ports, ready to be asked."""
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
