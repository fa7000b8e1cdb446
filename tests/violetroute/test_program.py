"""The program as a process: configuration, signals and exit."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from limebridge.ports import free_ports
from limebridge.standins.configuration import environment
from tests.support.paths import ROOT
from tests.support.rig import (
    CacheNode,
    Discovery,
    configuration,
    get,
    read_answer,
    reply,
    wait_until,
    with_timeout,
)

WITHOUT_LAG = "tests.support.program_without_lag"  # admits each command, even without CPU time


class Program:
    """One process of the proxy, its log and its port."""

    def __init__(self, process: asyncio.subprocess.Process, path: Path, raw: dict[str, Any]):
        self.process, self.path, self.raw = process, path, raw
        self.log: list[str] = []
        self.port = int(raw["listen"].rpartition(":")[2])
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode())

    async def logged(self, text: str) -> None:
        await wait_until(lambda: any(text in line for line in self.log))

    def configure(self, text: str) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)
        self.process.send_signal(signal.SIGHUP)

    async def ended(self) -> int:
        code = await with_timeout(self.process.wait())
        await with_timeout(self._reading)
        return code


async def launch(
    path: Path, module: str = "violetroute", **more: str
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env=environment(path) | more,
    )


@asynccontextmanager
async def program(
    tmp_path: Path,
    discovery: Discovery,
    node: CacheNode,
    module: str = "violetroute",
    **settings: Any,
) -> AsyncIterator[Program]:
    raw = configuration(discovery.port, [node.entry("s-0")], listen=free_ports(1)[0], **settings)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    # As in production, the environment names the discovery address of the start-up.
    process = await launch(path, module, PROXY_DISCOVERY=raw["discovery"])
    one = Program(process, path, raw)
    try:
        await one.logged("listens on")
        yield one
    finally:
        if one.process.returncode is None:
            one.process.kill()
            await one.ended()


def test_sighup_moves_the_watch_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    # Guards against a fault: SIGHUP ended the process, and PROXY_DISCOVERY kept the old address in
    # force for good.
    async def scenario() -> None:
        node = await CacheNode().start()
        old, new = await Discovery().start(), await Discovery().start()
        async with program(tmp_path, old, node) as one:
            await wait_until(lambda: old.open)
            for bad in (
                "{",
                "[]",
                json.dumps(one.raw | {"discovery": "nowhere"}),
                json.dumps({k: v for k, v in one.raw.items() if k != "settings"}),
            ):
                count = len(one.log)
                one.configure(bad)
                await wait_until(lambda count=count: len(one.log) > count)
                assert "not reloaded" in one.log[-1] and len(one.log) == count + 1
            assert old.open, "the old watch is still open"
            one.configure(json.dumps(one.raw | {"discovery": f"127.0.0.1:{new.port}"}))
            await wait_until(lambda: new.open and not old.open)
            assert new.requests == ["/v1/servers?follow=1&since=0"]
            reader, writer = await with_timeout(asyncio.open_connection("127.0.0.1", one.port))
            writer.write(get(1))
            assert await read_answer(reader) == b"value of id1"
            writer.close()
            one.process.terminate()
            assert await one.ended() == 0
            assert "Traceback" not in "".join(one.log)
        for part in (node, old, new):
            await part.stop()

    asyncio.run(scenario())


def test_a_failed_request_after_a_discovery_move_is_retried(tmp_path: Path) -> None:
    async def scenario() -> None:
        node = await CacheNode().start()
        old, new = await Discovery().start(), await Discovery().start()
        new.unavailable = True
        async with program(tmp_path, old, node) as one:
            await wait_until(lambda: old.open)
            one.configure(json.dumps(one.raw | {"discovery": f"127.0.0.1:{new.port}"}))
            await wait_until(lambda: len(new.requests) >= 2)
            new.unavailable = False
            await wait_until(lambda: new.open)
        for part in (node, old, new):
            await part.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", "{}", '{"settings": {}}', "[" * 100_000],
    ids=["empty", "cut", "array", "nothing", "no figures", "deep"],
)
def test_an_invalid_configuration_prints_one_line_and_exits(tmp_path: Path, text: str) -> None:
    async def scenario() -> None:
        path = tmp_path / "config.json"
        path.write_text(text)
        process = await launch(path)
        _, errors = await with_timeout(process.communicate())
        assert process.returncode == 2
        assert errors.startswith(b"violetroute: ") and errors.count(b"\n") == 1

    asyncio.run(scenario())


def test_termination_under_load_answers_accepted_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        go = asyncio.Event()

        async def waits(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(reply(words[2]))

        node, discovery = await CacheNode(waits).start(), await Discovery().start()
        # The program rejects commands when its event loop lags, as on a busy machine.
        async with program(tmp_path, discovery, node, WITHOUT_LAG) as one:
            clients = [
                await with_timeout(asyncio.open_connection("127.0.0.1", one.port))
                for _ in range(24)
            ]
            for number, (_, writer) in enumerate(clients[:16]):
                writer.write(get(number) + get(number + 100))
            await wait_until(lambda: len(node.commands) == 32)
            one.process.terminate()
            await one.logged("drains")
            late = await with_timeout(asyncio.open_connection("127.0.0.1", one.port))
            late[1].write(get(500))  # new clients go on connecting for a short time
            await wait_until(lambda: len(node.commands) == 33)
            one.process.send_signal(signal.SIGHUP)  # both have no effect during the drain
            one.process.terminate()
            go.set()
            for number, (reader, _) in enumerate(clients[:16]):
                assert await read_answer(reader) == b"id%d" % number
                assert await read_answer(reader) == b"id%d" % (number + 100)
            assert await read_answer(late[0]) == b"id500"
            for reader, writer in [*clients, late]:
                assert await with_timeout(reader.read()) == b"", "closed, and not reset"
                writer.close()
            assert await one.ended() == 0
            assert "Traceback" not in "".join(one.log)
        for part in (node, discovery):
            await part.stop()

    asyncio.run(scenario())


def test_an_address_in_use_prints_one_line_and_exits(tmp_path: Path) -> None:
    async def scenario() -> None:
        taken = await CacheNode().start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration(1, [], listen=taken.port)))
        process = await launch(path)
        _, errors = await with_timeout(process.communicate())
        assert process.returncode == 1
        assert errors.startswith(b"violetroute: cannot listen") and errors.count(b"\n") == 1
        await taken.stop()

    asyncio.run(scenario())
