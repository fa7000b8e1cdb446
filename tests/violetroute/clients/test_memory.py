"""The memory for commands: unfinished commands cannot keep complete ones from their answers."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import Awaitable, Callable
from unittest import mock

import pytest

from tests.support import stall_free_loop
from tests.support.rig import (
    SETTINGS,
    CacheNode,
    Rig,
    bulk,
    get,
    put,
    read_answer,
    reply,
    wait_until,
    with_timeout,
)
from violetroute.resp import Command, Reply
from violetroute.upstream import Attempt

KIB = 1024
ANSWER_TIME = 0.4  # s in which each small command has to be answered
OWED = 3.0  # s in which a client that stops in the middle of a command gets an error or a close


def run_memory(part: Callable[[Rig, CacheNode], Awaitable[None]], memory_mb: int) -> None:
    """Run `part` with a proxy of this memory and one node."""

    async def run() -> None:
        node = CacheNode()
        async with Rig(node, memory_mb=memory_mb, sockets=1024) as rig:
            await part(rig, node)

    stall_free_loop.run(run())


async def timed_request(
    rig: Rig, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
) -> tuple[bytes, float]:
    """The answer to a command, and the seconds until it came."""
    began = rig.listener.loop.time()
    writer.write(data)
    answer = await read_answer(reader)
    return answer, rig.listener.loop.time() - began


class HalfClients:
    """Clients that send a part of a save and stay; some go on byte by byte."""

    def __init__(self, rig: Rig, value_bytes: int, sent_bytes: int) -> None:
        self._rig, self._value_bytes, self._sent_bytes = rig, value_bytes, sent_bytes
        self.waits: list[float] = []  # s until each got an error or a close
        self._tasks: list[asyncio.Task[None]] = []
        self._number = 1_000_000

    def start(self, count: int, trickle_s: float = 0.0) -> None:
        """Start `count` of them; `trickle_s`: seconds between further bytes, 0 for none."""
        self._tasks += [asyncio.create_task(self._run(trickle_s)) for _ in range(count)]

    async def _run(self, trickle_s: float) -> None:
        self._number += 1
        reader, writer = await self._rig.client()
        began = self._rig.listener.loop.time()
        whole = put(self._number, b"x" * self._value_bytes)
        writer.write(whole[: len(whole) - self._value_bytes - 2 + self._sent_bytes])
        waiting = asyncio.create_task(reader.read(200))
        while trickle_s and not waiting.done():
            await asyncio.sleep(trickle_s)
            writer.write(b"x")
        with contextlib.suppress(ConnectionError):
            await with_timeout(waiting)
        self.waits.append(self._rig.listener.loop.time() - began)
        writer.close()

    async def finish(self) -> None:
        """Wait until each of them got an error or a close."""
        await asyncio.gather(*self._tasks)


@pytest.mark.parametrize(
    ("memory_mb", "value_bytes", "count", "trickle_s"),
    [
        (20, 64 * KIB, 40, 0.0),
        (20, 64 * KIB, 14, 0.0),
        (20, 5 * KIB, 300, 0.0),
        (21, 20 * KIB, 120, 0.0),
        (24, 64 * KIB, 66, 0.0),
        (32, 64 * KIB, 130, 0.0),
        (20, 64 * KIB, 40, 0.01),
        (24, 30 * KIB, 100, 0.1),
    ],
)
def test_complete_commands_are_served_while_unfinished_ones_want_all_memory(
    memory_mb: int, value_bytes: int, count: int, trickle_s: float
) -> None:
    # Guards against a fault (review/3): values that were announced and not sent used up the budget,
    # and commands on other connections were not even read until these timed out.
    async def part(rig: Rig, node: CacheNode) -> None:
        budget = rig.listener.budget
        peers = [await rig.client() for _ in range(20)]
        half = HalfClients(rig, value_bytes, value_bytes // 2)
        half.start(count, trickle_s)
        await wait_until(lambda: budget.used > 0.7 * budget._for_commands)
        for turn in range(8):
            answers = await asyncio.gather(
                *(
                    timed_request(rig, *peer, get(turn * 100 + place))
                    for place, peer in enumerate(peers)
                )
            )
            assert all(answer.startswith(b"value of") for answer, _ in answers), answers
            assert max(seconds for _, seconds in answers) < ANSWER_TIME
            assert budget.used <= budget._size
            await asyncio.sleep(0.05)
        await half.finish()
        assert max(half.waits) < OWED
        for _, writer in peers:
            writer.close()
        await wait_until(lambda: not budget.used)

    run_memory(part, memory_mb)


@pytest.mark.parametrize("value_bytes", [64 * KIB, 6 * KIB])
def test_a_long_value_is_served_while_unfinished_commands_want_all_memory(value_bytes: int) -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        half = HalfClients(rig, 64 * KIB, 10 * KIB)
        half.start(60)
        await wait_until(lambda: rig.listener.budget.waiting > 20)
        reader, writer = await rig.client()
        for number in range(5):
            value = b"v" * value_bytes
            answer, seconds = await timed_request(rig, reader, writer, put(number, value))
            assert answer == b"value of id%d" % number and seconds < ANSWER_TIME
        await half.finish()
        writer.close()

    run_memory(part, 20)


@pytest.mark.parametrize("pressure", [False, True])
def test_a_client_that_sends_a_long_value_slowly_is_served(pressure: bool) -> None:
    # Under pressure, who has made no progress for longest gives way first.
    async def part(rig: Rig, node: CacheNode) -> None:
        half = HalfClients(rig, 64 * KIB, 10 * KIB)
        reader, writer = await rig.client()
        data = put(1, b"v" * 64 * KIB)
        for start in range(0, len(data), 4 * KIB):
            writer.write(data[start : start + 4 * KIB])
            if pressure:
                half.start(4)
            await asyncio.sleep(0.04)
        assert await read_answer(reader) == b"value of id1"
        await half.finish()
        writer.close()

    run_memory(part, 20)


@pytest.mark.parametrize("memory_mb", [20, 22])
def test_commands_are_refused_in_time_while_open_requests_hold_all_memory(memory_mb: int) -> None:
    # Guards against a fault: connections were not read while the budget was full, so that their
    # commands were not even refused.  A value that waits for the budget had no time limit.
    async def part(rig: Rig, node: CacheNode) -> None:
        release = asyncio.Event()

        async def hang(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(reply(b"late"))

        node.behaviour = hang
        budget = rig.listener.budget
        resting, _resting_writer = await rig.client()
        holders: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        while not budget.full:
            number = len(holders)
            reader, writer = await rig.client()
            size = 64 * KIB if budget.used + 70 * KIB < budget._for_commands else 1
            writer.write(put(number, b"v" * size))
            holders.append((reader, writer))
            await wait_until(lambda: rig.proxy.open_requests == len(holders))
        small = await timed_request(rig, resting, _resting_writer, get(10_001))
        reader, writer = await rig.client()
        large = await timed_request(
            rig, reader, writer, put(10_002, b"v" * 60_000, deadline_ms=900)
        )
        again = await timed_request(rig, reader, writer, get(10_003))
        assert [answer for answer, _ in (small, large, again)] == [b"-BUSY"] * 3
        assert small[1] < ANSWER_TIME and large[1] < 0.9 and again[1] < ANSWER_TIME
        release.set()
        for reader, writer in holders:
            assert await read_answer(reader) == b"late"
            writer.close()
        for each in (_resting_writer, writer):
            each.close()
        await wait_until(lambda: not budget.used)

    run_memory(part, memory_mb)


def test_a_refused_command_leaves_the_connection_usable() -> None:
    # The rest of a command that lost its memory is discarded by its announced lengths.
    async def part(rig: Rig, node: CacheNode) -> None:
        reader, writer = await rig.client()
        data = put(1, b"v" * 60_000)
        writer.write(data[:30_000])
        await wait_until(lambda: rig.listener.budget.used >= 60_000)
        assert rig.listener.budget.make_room(rig.listener.loop.time()), "the budget is not full"
        rig.listener.budget.hold(rig.listener.budget._size)
        assert not rig.listener.budget.make_room(rig.listener.loop.time() + 1.0)
        assert rig.listener.budget.used == rig.listener.budget._size
        rig.listener.budget.release(rig.listener.budget._size)
        writer.write(data[30_000:] + get(2))
        assert await read_answer(reader) == b"-BUSY"
        assert await read_answer(reader) == b"value of id2"
        assert [words[2] for words in node.commands] == [b"id2"]
        writer.close()

    run_memory(part, 24)


def test_arguments_of_a_command_are_charged_together() -> None:
    # Guards against a fault: each argument of up to 4 KiB was free, so that a command of 16 such
    # arguments, of which one is missing, kept 60 KiB outside the budget.
    async def part(rig: Rig, node: CacheNode) -> None:
        crowd = []
        for _ in range(100):
            reader, writer = await rig.client()
            writer.write(b"*16\r\n" + bulk(b"x" * 4000) * 15)
            crowd.append((reader, writer))
        await wait_until(lambda: len(rig.listener._partial) == 100)
        budget = rig.listener.budget
        await wait_until(lambda: budget.used > 0.9 * budget._for_commands or budget.reclaimed)
        assert budget.used <= budget._size
        for _, writer in crowd:
            writer.close()
        await wait_until(lambda: not budget.used)

    run_memory(part, 20)


@pytest.mark.parametrize("value_bytes", [64 * KIB, 100])
def test_an_open_request_does_not_stop_the_time_of_a_partial_command(value_bytes: int) -> None:
    # Guards against a fault: the time limit of a part of a command began once the requests before
    # it were answered, and a wait for memory began it anew, so that it held memory for longer.
    async def part(rig: Rig, node: CacheNode) -> None:
        release = asyncio.Event()

        async def hang(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(reply(words[2]))

        node.behaviour = hang
        reader, writer = await rig.client()
        writer.write(get(1))
        await wait_until(lambda: rig.proxy.open_requests)
        open_bytes = rig.listener.budget.used
        writer.write(put(2, b"v" * value_bytes)[:-10])
        await asyncio.sleep(OWED)
        assert rig.listener.budget.used <= open_bytes + 4 * KIB
        release.set()
        answered = rig.listener.loop.time()
        assert await read_answer(reader) == b"id1"
        assert (await read_answer(reader)).startswith(b"-ERR half")
        assert rig.listener.loop.time() - answered < ANSWER_TIME
        assert await reader.read() == b""
        writer.close()

    run_memory(part, 24)


def test_clients_that_do_not_read_give_way_when_no_memory_is_left() -> None:
    # Guards against a fault: answers that their clients did not read held the memory for 15 s, and
    # the commands of other clients were not read meanwhile.
    async def part(rig: Rig, node: CacheNode) -> None:
        async def long_answers(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            writer.write(reply(b"x" * 60_000 if words[2] != b"id9" else b"short"))

        node.behaviour = long_answers
        budget = rig.listener.budget
        crowd = []
        for client in range(20):
            reader, writer = await rig.client()
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(b"".join(get(client * 1000 + number + 10) for number in range(300)))
            crowd.append((reader, writer))
        await wait_until(lambda: budget.full)
        reader, writer = await rig.client()
        began = rig.listener.loop.time()
        answer = b"-BUSY"
        while answer.startswith(b"-BUSY"):
            answer, seconds = await timed_request(rig, reader, writer, get(9))
            assert seconds < ANSWER_TIME
        assert answer == b"short"
        assert rig.listener.loop.time() - began < OWED
        for _, each in [*crowd, (reader, writer)]:
            each.transport.abort()
        await wait_until(lambda: not budget.used)

    run_memory(part, 20)


def held_values() -> int:
    """Bytes of the values that commands in this process hold."""
    commands = [each for each in gc.get_objects() if isinstance(each, Command)]
    return sum(len(each.value) for each in commands if each.value is not None)


@pytest.mark.parametrize(
    ("value_bytes", "count", "at_once"), [(64 * KIB, 30, 1), (64 * KIB, 40, 20), (5 * KIB, 200, 50)]
)
def test_a_value_is_held_no_longer_than_it_is_charged(
    value_bytes: int, count: int, at_once: int
) -> None:
    # Guards against a fault: a timer of the repeat window kept each saved value for up to 2 s after
    # its answer, outside the budget; a proxy with a limit of 64 MB grew to 84 MB.
    async def part(rig: Rig, node: CacheNode) -> None:
        peers = [await rig.client() for _ in range(at_once)]
        for first in range(0, count, at_once):
            await asyncio.gather(
                *(
                    timed_request(rig, *peer, put(first + place, b"v" * value_bytes))
                    for place, peer in enumerate(peers)
                )
            )
        await wait_until(lambda: not rig.proxy.open_requests)
        assert not rig.listener.budget.used
        assert not held_values()
        assert not [each for each in gc.get_objects() if isinstance(each, Attempt)]
        for _, writer in peers:
            writer.close()

    run_memory(part, 32)


def test_an_attempt_that_goes_on_holds_no_value_of_an_ended_request() -> None:
    # The client has left, its bytes are back in the budget, and the node may not be called off.
    async def part(rig: Rig, node: CacheNode) -> None:
        release = asyncio.Event()

        async def hang(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(reply(b"late"))

        node.behaviour = hang
        _, writer = await rig.client()
        writer.write(put(1, b"v" * 64 * KIB))
        await wait_until(lambda: node.commands)
        writer.transport.abort()
        await wait_until(lambda: not rig.listener.budget.used)
        assert rig.proxy.open_requests == 1
        assert not held_values()
        release.set()
        await wait_until(lambda: not rig.proxy.open_requests)

    with mock.patch.dict(SETTINGS["caps"], cancel=False):
        run_memory(part, 32)


@pytest.mark.parametrize(("value_bytes", "at_once"), [(64 * KIB, 20), (64 * KIB, 1), (3000, 40)])
def test_an_idle_node_connection_holds_no_answer(value_bytes: int, at_once: int) -> None:
    # Guards against a fault: each idle connection to a node kept its last value, outside the
    # budget, so that lookups of 60 KB grew a proxy with a limit of 32 MB to 50 MB.
    async def part(rig: Rig, node: CacheNode) -> None:
        async def long_answers(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            writer.write(reply(b"x" * value_bytes))

        node.behaviour = long_answers
        peers = [await rig.client() for _ in range(at_once)]
        await asyncio.gather(
            *(timed_request(rig, *peer, get(place)) for place, peer in enumerate(peers))
        )
        await wait_until(lambda: not rig.proxy.open_requests)
        assert rig.proxy._pool._open and not rig.listener.budget.used
        assert not [each for each in gc.get_objects() if isinstance(each, Reply) and each.value]
        for _, writer in peers:
            writer.close()

    run_memory(part, 32)
