"""Installed daemons that gossip: inspected, reloaded, flooded and drained."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomli_w
from typer.testing import CliRunner

from limebridge.child import Child
from limebridge.cli import app
from limebridge.fleet.introspection import query_proxy
from limebridge.ports import free_ports
from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import command, read_answer
from violetroute.sharing.table import SharingTable

PER_S = 40.0  # the budget that both share
BURST_S = SharingTable().burst_s


class Pair:
    """Two daemons, one cache node."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.lines = folder, list[str]()
        self.ports = free_ports(2)
        (folder / "key").write_text("a key of sixteen bytes and more\n")

    def operator(self, number: int, **more: Any) -> Path:
        path = self.folder / f"p{number}.toml"
        path.write_text(
            tomli_w.dumps(
                {
                    "sharing": {
                        "listen": f"127.0.0.1:{self.ports[number]}",
                        "key_file": str(self.folder / "key"),
                        "seeds": [f"127.0.0.1:{port}" for port in self.ports],
                        "proxies": 2,
                        "loan_s": 0.4,
                        "probe_s": 0.2,
                        "socket": str(self.folder / f"{number}.sock"),
                        "budget": [{"name": "acme", "per_s": PER_S, "tenant": "acme"}],
                        **more,
                    }
                }
            )
        )
        return path

    async def start(self) -> None:
        self.discovery = await Discovery().start()
        self.node = await CacheNode().start()
        self.children = [
            Child(self.folder, f"p{n}", on_log_line=self.lines.append) for n in range(2)
        ]
        raw = configuration(self.discovery.port, [self.node.entry("s-0")])
        async with asyncio.TaskGroup() as starts:
            for number, child in enumerate(self.children):
                named = raw | {"name": f"p{number}"}
                start = child.start(named, free_ports(1)[0], self.operator(number))
                starts.create_task(start)

    async def stop(self) -> None:
        for child in self.children:
            await child.kill()
        await self.node.stop()
        await self.discovery.stop()

    async def inspect(self, number: int, what: str) -> dict[str, Any]:
        return await asyncio.to_thread(query_proxy, str(self.folder / f"{number}.sock"), what)

    async def until(self, what: Callable[[], Any]) -> None:
        async with asyncio.timeout(15.0):
            while not await what():
                await asyncio.sleep(0.02)


def test_two_daemons_gossip_and_can_be_inspected(tmp_path: Path) -> None:
    async def run() -> None:
        pair = Pair(tmp_path)
        try:
            await pair.start()

            async def sees() -> bool:
                return [
                    (m["name"], m["state"]) for m in (await pair.inspect(0, "members"))["members"]
                ] == [("p1", "alive")]

            await pair.until(sees)
            reader, writer = await asyncio.open_connection("127.0.0.1", pair.children[0].port)
            got = []
            loop = asyncio.get_running_loop()
            began = loop.time()
            for n in range(400):  # ten times what both may admit
                writer.write(command(b"OBJ.GET", b"k", b"i%d" % n, b"c=lookup,t=acme,d=3000"))
                got.append(await read_answer(reader))
                await asyncio.sleep(0.005)
            took = loop.time() - began
            writer.close()
            served = sum(answer.startswith(b"value") for answer in got)
            refused = [answer for answer in got if answer.startswith(b"-BUSY ")]
            most = PER_S * (took + BURST_S) + len(pair.children)  # the bound in `sharing/budget.py`
            assert served + len(refused) == 400 and 60 <= served <= most
            assert all(40 <= int(answer.split()[1]) <= 1500 for answer in refused)
            (budget,) = (await pair.inspect(0, "budgets"))["budgets"]
            assert budget["let_in"] == served and budget["turned_away"] == len(refused)
            for what, shows in (("members", "p1"), ("beliefs", "node"), ("budgets", "acme")):
                shown = await asyncio.to_thread(
                    CliRunner().invoke,
                    app,
                    ["fleet", what, "--operator", str(tmp_path / "p0.toml")],
                )
                assert shown.exit_code == 0 and shows in shown.output, shown.output
            assert os.stat(tmp_path / "0.sock").st_mode & 0o077 == 0

            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flood:
                for n in range(3000):
                    flood.sendto(
                        b"LBf\x01" + bytes([n % 256]) * (n % 1400), ("127.0.0.1", pair.ports[0])
                    )
            assert await sees()

            pair.operator(0, budget=[{"name": "acme", "per_s": 10.0, "tenant": "acme"}])
            os.kill(pair.children[0].pid, signal.SIGHUP)

            async def smaller() -> bool:
                return (await pair.inspect(0, "budgets"))["budgets"][0]["home"] == 5.0

            await pair.until(smaller)
            pair.operator(0, budget=[{"name": "acme", "per_s": -1.0}])
            os.kill(pair.children[0].pid, signal.SIGHUP)

            async def refuses() -> bool:
                return any("config.unusable" in line and "budget" in line for line in pair.lines)

            await pair.until(refuses)
            assert await smaller()

            assert await pair.children[1].term()

            async def left() -> bool:
                return any("sharing.gone" in line and "how=left" in line for line in pair.lines)

            await pair.until(left)
            assert not (tmp_path / "1.sock").exists()
        finally:
            await pair.stop()

    asyncio.run(run())


def test_an_address_in_use_is_a_one_line_error(tmp_path: Path) -> None:
    async def run() -> None:
        pair = Pair(tmp_path)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            pair.ports[0] = taken.getsockname()[1]
            process = await asyncio.create_subprocess_exec(
                *Child(tmp_path, "p0")._command,
                "--operator",
                str(pair.operator(0)),
                stderr=asyncio.subprocess.PIPE,
                env=os.environ | {"PROXY_CONFIG": str(_config(tmp_path))},
            )
            _, said = await process.communicate()
        assert process.returncode == 1
        assert b"[sharing]" in said and b"Traceback" not in said

    asyncio.run(run())


def _config(folder: Path) -> Path:
    import json

    path = folder / "config.json"
    path.write_text(json.dumps(configuration(free_ports(1)[0], [], listen=free_ports(1)[0])))
    return path
