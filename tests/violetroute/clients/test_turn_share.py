"""Connections with many commands at once: their share of each turn, and everybody else's."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from tests.support.rig import CacheNode, Rig, get, read_answer, wait_until
from violetroute.clients import dispatch
from violetroute.clients.turn_share import QUEUE_TIME, SLICE_COMMANDS, SLICE_TIME, TurnShare
from violetroute.transport.loop_lag import Turns, TurnSelector

PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"


def run_with_turns(part: Callable[[Turns], Awaitable[None]]) -> None:
    """Run on an event loop whose turns are counted."""
    selector = TurnSelector()

    async def run() -> None:
        await part(Turns(selector))

    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(run())


@pytest.fixture
def most_in_a_turn(monkeypatch: pytest.MonkeyPatch) -> Callable[[], int]:
    """Counts the commands of each connection in each turn; returns the highest count."""
    counts: Counter[tuple[int, int]] = Counter()
    run = dispatch.CommandDispatcher.run

    def counted(self: dispatch.CommandDispatcher, source: Any, *more: Any) -> None:
        counts[self._context.turns.count, id(source)] += 1
        run(self, source, *more)

    monkeypatch.setattr(dispatch.CommandDispatcher, "run", counted)
    return lambda: max(counts.values())


@pytest.mark.parametrize(
    ("connections", "commands", "requests"),
    [(1, 4000, False), (40, 500, False), (1, 600, True), (5, 200, True)],
)
def test_one_connection_has_a_bounded_share_of_each_turn(
    most_in_a_turn: Callable[[], int], connections: int, commands: int, requests: bool
) -> None:
    # Guards against a fault that operators reported: one client that sent PING at full speed had
    # 1,170 commands of a read run in one turn, and 42% of the others' requests were refused.
    async def part(turns: Turns) -> None:
        async with Rig(CacheNode(), turns=turns) as rig:
            clients = [await rig.client() for _ in range(connections)]
            for place, (_, writer) in enumerate(clients):
                numbers = range(place * commands + 2, (place + 1) * commands + 2)
                writer.write(b"".join(get(number) if requests else PING for number in numbers))
            for reader, _ in clients:
                for _ in range(commands):
                    await read_answer(reader)
            assert await rig.request(get(1)) == [b"value of id1"]
            for _, writer in clients:
                writer.close()

    run_with_turns(part)
    assert most_in_a_turn() <= SLICE_COMMANDS


def test_others_are_served_while_a_client_sends_ping_at_full_speed() -> None:
    # Guards against the same fault, seen by the others.
    async def part(turns: Turns) -> None:
        async with Rig(CacheNode(), turns=turns) as rig:
            reader, writer = await rig.client()
            flooding = asyncio.ensure_future(flood(writer))
            draining = asyncio.ensure_future(discard(reader))
            await wait_until(lambda: rig.listener.turn_share.waits > 20)
            for number in range(30):
                assert await rig.request(get(number)) == [b"value of id%d" % number]
            assert not flooding.done()
            for task in (flooding, draining):
                task.cancel()
            writer.transport.abort()

    async def flood(writer: asyncio.StreamWriter) -> None:
        for _ in range(5000):
            writer.write(PING * 1000)
            await writer.drain()

    async def discard(reader: asyncio.StreamReader) -> None:
        while await reader.read(65536):
            pass

    run_with_turns(part)


def test_a_waiting_connection_keeps_its_slot_and_all_its_commands_are_answered() -> None:
    # Its commands are complete, so it must not give way like one in the middle of a command.
    async def part(turns: Turns) -> None:
        async with Rig(CacheNode(), turns=turns, sockets=64) as rig:
            flooders = [await rig.client() for _ in range(rig.config.client_sockets)]
            for _, writer in flooders:
                writer.write(PING * 1000)
            others = asyncio.ensure_future(rig.request(get(1)))
            for reader, _ in flooders:
                assert await reader.readexactly(len(PONG) * 1000) == PONG * 1000
            assert await others == [b"value of id1"]
            for _, writer in flooders:
                writer.close()

    run_with_turns(part)


def test_a_drain_answers_the_commands_of_a_waiting_connection() -> None:
    async def part(turns: Turns) -> None:
        async with Rig(CacheNode(), turns=turns) as rig:
            reader, writer = await rig.client()
            writer.write(PING * 3000)
            await wait_until(lambda: rig.listener.turn_share.waiting)
            draining = asyncio.ensure_future(rig.listener.drain(1.0))
            assert await reader.readexactly(len(PONG) * 3000) == PONG * 3000
            writer.close()
            await draining

    run_with_turns(part)


class FakeLoop:
    """Time moves only by the work of connections; callbacks run in `turn`."""

    def __init__(self) -> None:
        self.now = 0.0
        self.callbacks: list[Callable[[], None]] = []

    def time(self) -> float:
        return self.now

    def call_soon(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def turn(self) -> None:
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


class Worker:
    """A connection with work for this number of slices."""

    def __init__(self, loop: FakeLoop, share: TurnShare, slices: int) -> None:
        self._loop, self._share, self._slices = loop, share, slices
        self.turns: list[float] = []

    def run_slice(self) -> None:
        self.turns.append(self._loop.now)
        self._loop.now += SLICE_TIME
        self._slices -= 1
        if self._slices:
            self._share.wait(self)


def test_waiting_connections_take_turns_and_a_fixed_time_of_each() -> None:
    loop = FakeLoop()
    share = TurnShare(cast(asyncio.AbstractEventLoop, loop))
    workers = [Worker(loop, share, 5) for _ in range(30)]
    for worker in workers:
        share.wait(worker)
    while loop.callbacks:
        began = loop.now
        loop.turn()
        assert loop.now - began <= QUEUE_TIME + SLICE_TIME
        done = [len(worker.turns) for worker in workers]
        assert max(done) - min(done) <= 1
    assert not share.waiting and all(len(worker.turns) == 5 for worker in workers)


def test_a_connection_that_has_ended_runs_no_further_slice() -> None:
    loop = FakeLoop()
    share = TurnShare(cast(asyncio.AbstractEventLoop, loop))
    workers = [Worker(loop, share, 2) for _ in range(3)]
    for worker in workers:
        share.wait(worker)
    share.remove(workers[1])
    while loop.callbacks:
        loop.turn()
    assert [len(worker.turns) for worker in workers] == [2, 0, 2]
