"""`limebridge demo --json`, used with third-party clients and with raw commands."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import consul
import redis
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.standins.database import CustomerDatabase
from tests.support.paths import ROOT
from tests.support.rig import get, read_answer, with_timeout


@asynccontextmanager
async def demo(*more: str) -> AsyncIterator[tuple[asyncio.subprocess.Process, dict[str, Any]]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "limebridge",
        "demo",
        "--json",
        "--nodes",
        "3",
        *more,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        yield process, json.loads(await with_timeout(process.stdout.readline()))
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def test_a_third_party_client_is_served_and_the_shutdown_is_clean() -> None:
    async def run() -> None:
        async with demo() as (process, addresses):
            assert (
                set(addresses) == {"proxy", "nodes", "discovery"} and len(addresses["nodes"]) == 3
            )
            host, _, port = addresses["proxy"].rpartition(":")

            def drive() -> list[Any]:
                client = redis.Redis(host, int(port), protocol=2)
                answers = [
                    client.ping(),
                    client.execute_command("OBJ.GET", "k1", "id1", "c=lookup,t=x,d=500"),
                    client.execute_command(
                        "OBJ.SET", "k1", "id2", "c=optout,t=x,d=900,k=7", "stop"
                    ),
                ]
                client.close()
                return answers

            assert await asyncio.to_thread(drive) == [True, b"template of k1", b"stored"]
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(get(5, key=b"k2", deadline_ms=500))  # a raw command
            assert await read_answer(reader) == b"template of k2"
            process.send_signal(signal.SIGTERM)
            assert await with_timeout(process.wait()) == 0
            assert process.stderr is not None and await process.stderr.read() == b""
            with_proxy = await asyncio.gather(
                asyncio.open_connection(host, int(port)), return_exceptions=True
            )
            assert isinstance(with_proxy[0], ConnectionError), "the daemon ends with the demo"
            writer.close()

    asyncio.run(run())


def test_the_proxy_follows_consul_changes_made_by_a_third_party_client() -> None:
    async def run() -> None:
        async with demo("--consul") as (process, addresses):
            host, _, port = addresses["consul"].rpartition(":")
            agent = consul.Consul(host, int(port))
            proxy = redis.Redis(*addresses["proxy"].split(":"), protocol=2)  # type: ignore[arg-type]
            ids = [each["Service"]["ID"] for each in agent.health.service("cache")[1]]
            assert len(ids) == 3
            number = 0

            def served() -> bool:
                nonlocal number
                number += 1
                try:
                    return bool(
                        proxy.execute_command("OBJ.GET", "k1", f"id{number}", "c=lookup,t=x,d=400")
                    )
                except redis.ResponseError as error:
                    assert str(error).startswith("BUSY")
                    return False

            def drive() -> None:
                assert served()
                for id_ in ids:  # all drain: no node is left to send to
                    agent.agent.service.maintenance(id_, True)
                while served():
                    pass
                agent.agent.service.maintenance(ids[1], False)
                while not served():
                    pass

            await with_timeout(asyncio.to_thread(drive))
            process.send_signal(signal.SIGTERM)
            assert await with_timeout(process.wait()) == 0

    asyncio.run(run())


def test_invalid_arguments_give_one_message_and_exit_status_2() -> None:
    result = CliRunner().invoke(app, ["demo", "--nodes", "0"])
    assert result.exit_code == 2 and "--nodes" in result.output


def test_the_database_rejects_fetches_beyond_its_queue() -> None:
    async def run() -> None:
        database = CustomerDatabase(concurrency=2, latency=0.001, queue_limit=3)
        answers = await asyncio.gather(*(database.fetch(b"%d" % n) for n in range(9)))
        assert sum(a is None for a in answers) == 4 and database.fetches == 5
        assert await database.fetch(b"k") == b"template of k" and not database.pending

    asyncio.run(run())


def test_two_proxies_share_the_slots_of_a_cluster() -> None:
    async def run() -> None:
        async with demo("--cluster") as (process, addresses):
            assert len(addresses["proxies"]) == 2 and addresses["proxy"] == addresses["proxies"][0]
            host, _, port = addresses["proxies"][1].rpartition(":")

            def drive() -> list[Any]:
                client = redis.RedisCluster(host=host, port=int(port))
                answers = [
                    client.execute_command("OBJ.GET", f"k{n}", f"id{n}", "c=lookup,t=x,d=500")
                    for n in range(40)
                ]
                answers.append(len(client.get_nodes()))
                client.close()
                return answers

            assert await asyncio.to_thread(drive) == [
                *(b"template of k%d" % n for n in range(40)),
                2,
            ]
            process.send_signal(signal.SIGTERM)
            assert await with_timeout(process.wait()) == 0

    asyncio.run(run())
