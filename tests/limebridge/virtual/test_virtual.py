"""The simulated event loop: its clock, livelock, deadlock, and the daemon's code running on it."""

from __future__ import annotations

import asyncio

import pytest

from limebridge.rules.checker import MIN_DETECTABLE_PAUSE_S
from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import command, read_answer
from limebridge.virtual import Deadlock, Kernel, Livelock, VirtualLoop
from limebridge.virtual.net import network
from violetroute.clients import Listener
from violetroute.config import parse
from violetroute.membership import Listing
from violetroute.membership.native import DiscoveryWatch
from violetroute.proxy import Proxy
from violetroute.transport import Address
from violetroute.transport.loop_lag import MIN_PAUSE
from violetroute.transport.sockets import SocketNetwork


def test_sleeps_of_hours_advance_the_clock_at_once() -> None:
    kernel = Kernel()
    loop = VirtualLoop(kernel)

    async def work() -> float:
        async with asyncio.TaskGroup() as group:
            group.create_task(asyncio.sleep(7200))
            group.create_task(asyncio.sleep(3600))
        return loop.time()

    assert loop.run_until_complete(work()) == pytest.approx(8200.0)
    loop.close()


def test_endless_loop_at_one_instant_raises_livelock() -> None:
    loop = VirtualLoop(Kernel())

    async def work() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(Livelock):
        loop.run_until_complete(work())


def test_waiting_without_a_pending_event_raises_deadlock() -> None:
    loop = VirtualLoop(Kernel())
    with pytest.raises(Deadlock):
        loop.run_until_complete(asyncio.Event().wait())


def test_threads_raise_an_error() -> None:
    loop = VirtualLoop(Kernel())
    with pytest.raises(RuntimeError, match="threads"):
        loop.run_until_complete(asyncio.to_thread(print))
    loop.close()


def test_watch_reports_silence_only_for_a_blocked_path_not_for_a_closed_connection() -> None:
    kernel = Kernel()
    loop = VirtualLoop(kernel)
    failures: list[bool] = []

    class Observer:
        def list_changed(self, listing: Listing) -> None:
            pass

        def list_failed(self, silent: bool = False) -> None:
            failures.append(silent)

    async def work() -> None:
        discovery = await Discovery().start()
        net = SocketNetwork(loop, make=kernel.maker("p"))
        watch = DiscoveryWatch(Observer(), Address("127.0.0.1", discovery.port), net)
        watch.start(0)
        await asyncio.sleep(1.0)
        for writer in list(discovery.open):
            writer.transport.abort()
        await asyncio.sleep(1.0)
        assert failures == [False]
        watch.start(0)
        await asyncio.sleep(1.0)
        kernel.block(discovery.port)
        began = loop.time()
        while len(failures) < 2:
            await asyncio.sleep(0.01)
        assert failures == [False, True] and loop.time() - began <= 3.1
        watch.stop()
        await discovery.stop()

    loop.run_until_complete(work())
    loop.close()


def test_the_daemon_serves_in_memory() -> None:
    kernel = Kernel()
    loop = VirtualLoop(kernel)

    async def work() -> list[bytes]:
        discovery = await Discovery().start()
        nodes = [await CacheNode().start() for _ in range(3)]
        raw = configuration(discovery.port, [n.entry(f"n{i}") for i, n in enumerate(nodes)])
        config = parse(raw)
        net = network(kernel, "proxy", loop, lambda: kernel.now)
        proxy = Proxy(config, net)
        listener = Listener(proxy, config.client_sockets, config.client_memory_bytes, net)
        port = listener.start(config.listen).port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        answers = []
        for number in range(20):
            writer.write(
                command(b"OBJ.GET", b"k%d" % number, b"id%d" % number, b"c=lookup,t=x,d=5000")
            )
            answers.append(await read_answer(reader))
            await asyncio.sleep(0.5)
        writer.close()
        await listener.drain(1.0)
        proxy.close()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert kernel.held("proxy") == 0
        for node in nodes:
            await node.stop()
        await discovery.stop()
        return answers

    assert loop.run_until_complete(work()) == [b"value of id%d" % n for n in range(20)]
    loop.close()


def test_rule_checker_and_daemon_use_the_same_minimum_pause() -> None:
    """The simulated process uses the checker's constant, since older builds have no MIN_PAUSE."""
    assert MIN_DETECTABLE_PAUSE_S == MIN_PAUSE
