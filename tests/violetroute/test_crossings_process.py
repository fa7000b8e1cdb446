"""Races of a signal or a lost discovery with the start, the settings and the open requests."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

from limebridge.ports import free_ports
from limebridge.standins.configuration import SETTINGS, configuration
from tests.support.rig import CacheNode, Discovery, wait_until
from tests.support.virtual_rig import VirtualRig, get, read_answer, run_scenario
from tests.violetroute.membership.test_crossings_lists import NOTIFIED_WITHIN, away
from tests.violetroute.test_program import Program, launch
from violetroute import __main__ as program
from violetroute.config import LogTable, parse
from violetroute.logs import Logs
from violetroute.transport.sockets import SocketNetwork
from violetroute.upstream.pool import IDLE_TIME_SHARE

SHORT = [cls | {"deadlineMs": 200.0, "promiseMs": 100.0} for cls in SETTINGS["classes"]]


def test_a_sighup_during_start_up_is_not_lost(tmp_path: Path) -> None:
    # Guards against a fault: a SIGHUP was ignored until the event loop ran.  The file is a pipe
    # here, so that the signal arrives after the daemon has opened the old file and before it can
    # read the first line.
    async def scenario() -> None:
        before, after = await Discovery().start(), await Discovery().start()
        node = await CacheNode().start()
        raw = configuration(before.port, [node.entry("s-0")], listen=free_ports(1)[0])
        path = tmp_path / "config.json"
        os.mkfifo(path)
        one = Program(await launch(path), path, raw)
        pipe = await asyncio.to_thread(open, path, "w")  # returns once the daemon has opened it
        one.configure(json.dumps(raw | {"discovery": f"127.0.0.1:{after.port}"}))
        with pipe:
            pipe.write(json.dumps(raw))
        try:
            await wait_until(lambda: after.open)
            assert not before.open
        finally:
            one.process.send_signal(signal.SIGTERM)
            assert await one.ended() == 0
            for each in (before, after, node):
                await each.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("longer", [True, False])
def test_a_drain_lasts_until_the_longest_open_deadline(
    longer: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a fault: the deadlines of the configuration at start-up limited a drain.
    async def scenario() -> None:
        discovery, node = await Discovery().start(), await CacheNode().start()
        raw = configuration(discovery.port, [node.entry("s-0")])
        first, second = parse(raw), parse(raw | {"settings": SETTINGS | {"classes": SHORT}})
        if longer:
            first, second = second, first
        net = SocketNetwork(asyncio.get_running_loop())
        logs = Logs(lambda line: None, net.loop.time, net.wall, LogTable())
        daemon = program.Daemon(first, net, logs)
        port = daemon.listener.start(first.listen).port

        async def never(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            pass

        node.behaviour = never
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        if not longer:  # accepted before the reload, with the longer deadline
            writer.write(get(1))
            await wait_until(lambda: node.commands)
        monkeypatch.setattr(program, "load", lambda operator, merge_tables, read_known: second)
        daemon.reload()
        if longer:
            writer.write(get(1))
            await wait_until(lambda: node.commands)
        assert 7.0 < daemon.drain_time() <= 10.0 + program.DRAIN_SLACK
        writer.close()
        await wait_until(lambda: not daemon.proxy.open_requests)
        assert daemon.drain_time() == (10.0 if longer else 0.2) + program.DRAIN_SLACK
        await daemon.listener.drain(0.1)
        daemon.proxy.close()
        for each in (discovery, node):
            await each.stop()

    asyncio.run(scenario())


def test_new_settings_apply_to_open_node_connections() -> None:
    # Guards against a fault: the pool and its limits kept the settings of the start-up.
    async def scenario(here: VirtualRig) -> None:
        reader, writer = await here.client()
        writer.write(get(1))
        await read_answer(reader)
        caps = SETTINGS["caps"] | {"connIdleMs": 400.0, "connectTimeoutMs": 100.0}
        here.proxy.reload(parse(here.raw | {"settings": SETTINGS | {"caps": caps}}))
        await asyncio.sleep(0.4 * IDLE_TIME_SHARE + 0.01)  # from now on the node may close it
        writer.write(get(2))
        await read_answer(reader)
        assert here.nodes[0].connections == 2
        here.kernel.block(here.nodes[0].port)
        await asyncio.sleep(0.4)
        begun = here.loop.time()
        writer.write(get(3))
        assert (await read_answer(reader)).startswith(b"-") and here.loop.time() - begun < 0.5

    run_scenario(scenario)


def test_idle_clients_leave_descriptors_for_discovery_and_nodes_while_it_is_down() -> None:
    async def scenario(here: VirtualRig) -> None:
        trouble = asyncio.ensure_future(away(here))
        await here.wait_until(lambda: not here.discovery.open)
        idle = [await here.client() for _ in range(200)]  # more than the descriptors available
        await trouble
        back = here.loop.time()
        await here.wait_until(lambda: here.discovery.open)
        assert here.loop.time() - back <= NOTIFIED_WITHIN
        reader, writer = await here.client()
        writer.write(get(1))
        assert await read_answer(reader) == b"value of id1"
        stopped = asyncio.ensure_future(here.process.term())
        for _, each in idle:
            each.close()
        assert await stopped and here.process.leftovers()["descriptors"] == 0

    run_scenario(scenario, nodes=2, sockets=64)
