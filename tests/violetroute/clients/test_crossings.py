"""Two events in either order, at a client's connection: its end against all that may be under way.

On the virtual network, where the order is exact.  docs/design/crossings.md has the whole table.
"""

from __future__ import annotations

import asyncio
import gc
import time
from dataclasses import dataclass
from typing import Any

import pytest

from limebridge.standins.configuration import SETTINGS
from tests.support.rig import CacheNode, Rig, until
from tests.support.scene import NO_CANCEL, Scene, get, put, read_answer, scene
from tests.support.send_times import SendTimes
from violetroute.clients.connection import ClientConnection
from violetroute.upstream import Attempt

EARLY_MS = 100.0  # by which a repeat has to be decided, so that its bounds are still far away
TRIES = 10  # on a machine that is too slow for that
GONE = 0.1  # s after which nothing more begins for a client that has left


async def never(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """A node that takes commands and answers none."""


def late(here: Scene, left_at: float) -> list[tuple[float, int, bytes]]:
    return [each for each in here.begun if each[0] > left_at + GONE]


# --- a client's end ---------------------------------------------------------------------
@pytest.mark.parametrize("caps", [{}, {"caps": NO_CANCEL}], ids=["may cancel", "may not"])
@pytest.mark.parametrize("left_first", [True, False])
def test_what_waits_for_a_connection_is_not_sent_once_its_client_has_left(
    caps: dict[str, Any], left_first: bool
) -> None:
    async def part(here: Scene) -> None:
        here.kernel.link(here.nodes[0].port).latency = 0.2  # a connect takes 0.4 s
        _, writer = await here.client()
        writer.write(get(1))
        await here.until(lambda: here.proxy.open_requests)
        if left_first:
            writer.transport.abort()
            await asyncio.sleep(1.0)
            assert here.begun == []
        else:
            await here.until(lambda: here.begun)
            writer.transport.abort()
        await here.until(lambda: not here.proxy.open_requests)

    scene(part, **caps)


@pytest.mark.parametrize("end", ["closes", "resets"])
@pytest.mark.parametrize("held_by", ["depth", "budget", "half a value"])
def test_a_client_that_leaves_while_it_is_not_read_has_left(end: str, held_by: str) -> None:
    # Found by reading: its end stands behind what is not read, and nobody asked for it.  Requests
    # that it had made went on being sent, tried again and counted up to their deadlines.
    async def part(here: Scene) -> None:
        here.nodes[0].behaviour = never
        # A connect of 1 s, so that each of them waits for its connection as the client leaves.
        here.kernel.link(here.nodes[0].port).latency = 0.45
        budget = here.listener.budget
        if held_by != "depth":
            budget.hold(budget._size)
        _, writer = await here.client()
        if held_by == "depth":
            for number in range(300):
                writer.write(get(number))
        elif held_by == "budget":
            writer.write(get(1) + get(2))
        else:
            writer.write(put(1, value=b"v" * 60_000)[:30_000])
        await here.until(lambda: here.listener._paused)
        assert here.proxy.open_requests == (128 if held_by == "depth" else 0)
        if end == "closes":
            writer.close()
        else:
            writer.transport.abort()
        left_at = here.loop.time()
        await here.until(lambda: not here.listener.connections)
        assert here.loop.time() - left_at <= GONE / 2
        await here.until(lambda: not here.proxy.open_requests, GONE / 2)
        await asyncio.sleep(3.0)
        assert late(here, left_at) == [] and not here.listener._paused
        if held_by != "depth":
            budget.release(budget._size)
        assert budget.used == 0 and here.listener._departure_timer is None

    scene(part, sockets=1024)


def test_so_it_does_on_real_sockets() -> None:
    async def play() -> None:
        async with Rig(CacheNode(never), sockets=1024) as rig:
            _, writer = await rig.client()
            for number in range(300):
                writer.write(get(number))
            await until(lambda: rig.listener._paused and rig.proxy.open_requests == 128)
            writer.close()
            await until(lambda: not rig.listener.connections and not rig.proxy.open_requests)
            assert not rig.listener._paused and rig.listener.budget.used == 0

    asyncio.run(play())


@pytest.mark.parametrize("left", [True, False])
def test_a_process_that_stood_asks_whether_the_client_is_still_there(left: bool) -> None:
    # Nodes come first in a turn: the connection that came up in the pause would be written to
    # before the client's end, which came in the same pause, is read.
    async def part(here: Scene) -> None:
        here.kernel.link(here.nodes[0].port).latency = 0.2
        _, writer = await here.client()
        writer.write(get(1))
        await here.until(lambda: here.proxy.open_requests)
        here.process.pause(2.0)
        if left:
            writer.close()
        await asyncio.sleep(4.0)
        assert here.ids() == ([] if left else [b"id1"])

    scene(part)


def test_a_connection_that_has_ended_is_free_without_the_collector() -> None:
    # Found on `soak`: 3 MB more, since a command in pieces and its connection knew each other.
    async def play() -> None:
        async with Rig(CacheNode()) as rig:

            def held() -> int:
                return sum(isinstance(each, ClientConnection) for each in gc.get_objects())

            gc.collect()
            before = held()
            gc.disable()
            try:
                for number in range(4):
                    reader, writer = await rig.client()
                    writer.write(get(number) + put(9, value=b"v" * 9000)[:5000])
                    await read_answer(reader)
                    writer.close()
                await until(lambda: not rig.listener.connections)
                await until(lambda: held() == before)  # nor those made for nobody in an accept
            finally:
                gc.enable()

    asyncio.run(play())


# --- the time, and the window of a keyed one ---------------------------------------------
@dataclass
class Repeat:
    """One request whose first attempt broke, by the clock of the proxy (ms)."""

    sends: int  # commands whose first byte the proxy's streams took
    arrived: int  # commands that a node has read
    answered_at: float
    attempts: list[tuple[float, Attempt]]  # when the module decided on each
    asked: list[tuple[float, bool]]  # for the repeat: when it was asked for, and whether it may go

    keyed: bool

    @property
    def bound(self) -> float:
        """By which the repeat has to be sent."""
        repeat = self.attempts[1][1]
        return repeat.deliver_by if self.keyed else repeat.wait_until

    def is_forced(self, window_ms: float) -> bool:
        """Whether the repeat was decided while nearly all of its window was left.

        Else the machine was slow before the process stood: the proxy took that time off the
        window, or decided on no repeat.
        """
        if len(self.attempts) != 2:
            return False
        (first_at, _), (decided_at, _) = self.attempts
        return decided_at - first_at < EARLY_MS and self.bound - first_at > window_ms - EARLY_MS

    def check(self, window_ms: float) -> None:
        """It is sent if, and only if, its time was not over when it was asked for."""
        first_at, bound = self.attempts[0][0], self.bound
        assert bound - first_at <= window_ms
        if self.asked:
            ((asked_at, allowed),) = self.asked
            assert allowed == (asked_at < bound)
        else:  # its connection came up after the timer that gave it up
            allowed = False
            assert self.answered_at >= bound - 1.0
        assert self.sends == 1 + allowed
        assert self.arrived <= self.sends


async def repeat_after_a_stall(stands: float, words: bytes, keyed: bool) -> Repeat:
    """Both nodes break each connection; the process stands once the second one is asked for."""

    async def breaks(words: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    nodes, times = [CacheNode(breaks), CacheNode(breaks)], SendTimes()
    classes = [each | {"keyTtlMs": 400.0} for each in SETTINGS["classes"]]
    async with Rig(*nodes, classes=classes) as rig:
        proxy, ports = rig.proxy, {node.port for node in nodes}
        times.watch(proxy, ports)
        pool, net, opened = proxy._pool, proxy._pool._net, 0
        connect, send, may_send = net.connect, pool.send, proxy.may_send
        attempts: list[tuple[float, Attempt]] = []
        asked: list[tuple[float, bool]] = []

        def stalls(*arguments: Any, **more: Any) -> Any:
            nonlocal opened
            stream = connect(*arguments, **more)
            opened += arguments[0].port in ports
            if opened == 2:
                time.sleep(stands)
            return stream

        def notes(attempt: Attempt) -> None:
            attempts.append((attempt.sent_at, attempt))
            send(attempt)

        def asks(attempt: Attempt) -> bool:
            allowed = may_send(attempt)
            if len(attempts) == 2 and attempt is attempts[1][1]:
                asked.append((proxy._time.latest, allowed))  # the time by which it was decided
            return allowed

        net.connect = stalls  # type: ignore[method-assign]
        pool.send = notes  # type: ignore[method-assign]
        proxy.may_send = asks  # type: ignore[method-assign]
        reader, writer = await rig.client()
        writer.write(words)
        await read_answer(reader)
        arrived = sum(len(node.commands) for node in nodes)
        return Repeat(times.sends, arrived, proxy.clock(), attempts, asked, keyed)


@pytest.mark.parametrize("stands", [0.0, 0.3, 0.7])
@pytest.mark.parametrize("cls", [b"optout", b"lookup"])
def test_a_repeat_that_waited_past_its_window_or_its_time_is_not_sent(
    stands: float, cls: bytes
) -> None:
    # Found by reading: after a stall the loop gives sockets their turn ahead of timers, so the
    # connection that had come up was written to and only then the window found to be over.  On the
    # real loop, whose order that is; the process stands right after it has asked for a connection.
    # How long the repeat waited in fact is read from the proxy's clock.
    keyed = cls == b"optout"
    window_ms = 400.0 if keyed else 500.0
    words = put(1) if keyed else get(1, wait=int(window_ms))
    for _ in range(TRIES):
        repeat = asyncio.run(repeat_after_a_stall(stands, words, keyed))
        if repeat.is_forced(window_ms):
            break
    assert repeat.is_forced(window_ms), "the window is too short, or the machine too slow each time"
    repeat.check(window_ms)
    if stands * 1000.0 > window_ms:
        assert repeat.sends == 1


# --- SIGTERM ------------------------------------------------------------------------------
def test_what_has_been_read_by_the_last_call_is_answered_and_nothing_else_is_sent_on() -> None:
    # Found by reading: of commands that stood read but not yet begun, behind those that a
    # connection may have open at once, a drain answered none.
    async def part(here: Scene) -> None:
        here.kernel.link(here.nodes[0].port).latency = 0.35  # answers come after the last call
        reader, writer = await here.client()
        for number in range(170):  # 128 of them are begun; all come in one read of 16 KiB
            writer.write(get(number))
        await here.until(lambda: here.proxy.open_requests == 128)
        connection = next(iter(here.listener._serving))
        assert connection._decoder.unread
        stopped = asyncio.ensure_future(here.process.term())
        await here.until(lambda: connection.draining)
        writer.write(get(1000))  # crosses the close: its client asks again elsewhere
        answers = [await read_answer(reader) for _ in range(170)]  # some of them refused
        served = [b"id%d" % n for n in range(170) if answers[n] == b"value of id%d" % n]
        assert all(answer.startswith((b"value", b"-BUSY")) for answer in answers)
        assert await reader.read() == b""
        writer.close()
        assert await stopped
        assert set(here.ids()) == set(served) and len(here.ids()) == len(served) >= 100

    scene(part, sockets=1024)


def test_a_client_that_leaves_after_the_last_call_has_left() -> None:
    async def part(here: Scene) -> None:
        here.nodes[0].behaviour = never
        _, writer = await here.client()
        writer.write(get(1))
        await here.until(lambda: here.begun)
        connection = next(iter(here.listener._serving))
        stopped = asyncio.ensure_future(here.process.term())
        await here.until(lambda: connection.draining)
        writer.close()
        await here.until(lambda: not here.proxy.open_requests, GONE)
        assert await stopped

    scene(part)


def test_an_answer_that_was_taken_late_has_its_time_to_be_read_before_the_connection_ends() -> None:
    # The time to read and close counts from when the client can see the end, not from when it was
    # decided: behind a closed window that is much later, and a reset then eats the answer.
    async def part(here: Scene) -> None:
        async def large(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            value = b"v" * 60_000
            writer.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))

        here.nodes[0].behaviour = large
        reader, writer = await asyncio.open_connection("127.0.0.1", here.port, limit=1024)
        for number in range(8):
            writer.write(get(number))
        await here.until(lambda: any(c._stream.unsent for c in here.listener._serving))
        connection = next(iter(here.listener._serving))
        stopped = asyncio.ensure_future(here.process.term())
        for _ in range(5):
            assert len(await read_answer(reader)) == 60_000
        await here.until(lambda: connection.lingering_since)
        assert connection._stream.unsent
        await asyncio.sleep(2.0)  # the client takes its time
        assert len(await read_answer(reader)) == 60_000
        await here.until(lambda: not connection._stream.unsent)  # the kernels have the rest
        await asyncio.sleep(0.3)
        writer.write(b"x" * 100)  # to who has closed it would be answered with a reset
        for _ in range(2):
            assert len(await read_answer(reader)) == 60_000
        assert await reader.read() == b""
        writer.close()
        assert await stopped

    scene(part)


def test_a_fault_over_one_that_is_not_read_leaves_the_others_looked_at() -> None:
    async def part(here: Scene) -> None:
        here.nodes[0].behaviour = never
        here.loop.set_exception_handler(lambda loop, context: None)
        clients = [await here.client() for _ in range(2)]
        for place, (_, writer) in enumerate(clients):
            for number in range(200):
                writer.write(get(1000 * place + number))
        await here.until(lambda: len(here.listener._paused) == 2)

        def fault() -> bool:
            raise RuntimeError("a fault of ours")

        first = next(iter(here.listener._paused))
        first.client_left = fault
        await asyncio.sleep(0.2)
        clients[1][1].close()
        clients[0][1].close()
        del first.client_left
        await here.until(lambda: not here.listener.connections, GONE)

    scene(part, sockets=1024)
