"""Memory for long replies: a reply waits unread while others use it up, and short ones do not."""

from __future__ import annotations

import asyncio

from limebridge.standins import wire
from tests.support import stall_free_loop
from tests.support.rig import CacheNode, Rig, get, read_answer, wait_until
from violetroute.config.operator import Limits, Operator
from violetroute.proxy import Proxy
from violetroute.upstream.connection import NodeConnection
from violetroute.upstream.reply_memory import UNCHARGED_REPLY, ReplyMemory

KIB = 1024
LONG = b"x" * (64 * KIB)
SHORT = b"v" * 500
CLIENTS, EACH = 8, 12  # lookups at the same time: three times what fits into the reply memory
MEMORY_MB = 24


class Waiting:
    """A reply that waits, and whether its memory was granted."""

    def __init__(self) -> None:
        self.granted = False

    def memory_granted(self) -> None:
        self.granted = True


def test_waiting_replies_are_granted_in_order_and_at_most_one_exceeds_the_size() -> None:
    memory = ReplyMemory(100)
    memory.charge(60)
    assert not memory.full
    memory.charge(60)
    assert memory.full
    first, second, third = Waiting(), Waiting(), Waiting()
    for reply in (first, second, third):
        memory.wait(reply, 60)
    memory.forget(second)
    memory.release(60)
    assert (first.granted, second.granted, third.granted) == (True, False, False)
    assert (memory.used, memory.full, memory.waiting) == (120, True, 1)
    memory.release(60)
    assert third.granted and memory.used == 120
    memory.release(120)
    assert not memory.used and not memory.full


class LongNode(CacheNode):
    """A node that serves keys `long...` with a long value in two pieces, others with a short one.

    The second piece is sent once `finish` is set.
    """

    def __init__(self) -> None:
        super().__init__(self.serve)
        self.finish = asyncio.Event()

    async def serve(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answer one command."""
        if not words[1].startswith(b"long"):
            writer.write(wire.reply(SHORT))
            return
        answer = wire.reply(LONG)
        writer.write(answer[: len(answer) * 7 // 8])
        await self.finish.wait()
        writer.write(answer[len(answer) * 7 // 8 :])


def small_rig(node: LongNode) -> Rig:
    """A proxy with little memory, which waits long for the second piece of a reply."""
    operator = Operator(limits=Limits(reply_s=5.0))
    return Rig(node, operator=operator, memory_mb=MEMORY_MB, sockets=1024)


def connections(proxy: Proxy) -> list[NodeConnection]:
    """The connections to nodes."""
    return list(proxy._pool._open)


def received(proxy: Proxy) -> int:
    """The bytes of incomplete replies that the connections to nodes hold."""
    return sum(len(each._reply.value) + each._decoder.unread for each in connections(proxy))


def all_begun(proxy: Proxy) -> bool:
    """Whether each lookup's reply has begun to arrive, and is charged or waits for memory."""
    begun = [each for each in connections(proxy) if each._charge or each._awaits_memory]
    return len(begun) == CLIENTS * EACH


def start_lookups(rig: Rig) -> list[asyncio.Task[list[bytes]]]:
    """Let all clients send their lookups of long values."""
    return [asyncio.create_task(long_lookups(rig, number)) for number in range(CLIENTS)]


async def long_lookups(rig: Rig, client: int) -> list[bytes]:
    """The answers to lookups of long values, which a client sends at once."""
    reader, writer = await rig.client()
    ids = [client * 1000 + place for place in range(EACH)]
    writer.write(b"".join(get(number, b"long%d" % number) for number in ids))
    try:
        return [await read_answer(reader) for _ in ids]
    finally:
        writer.close()


def test_long_replies_beyond_the_memory_wait_unread_and_short_ones_do_not() -> None:
    # Guards against a fault (review/8): each connection to a node stored what it had received of
    # a long answer, and a proxy with 32 MB went over its limit.
    async def run() -> None:
        node = LongNode()
        async with small_rig(node) as rig:
            memory = rig.proxy._pool.reply_memory
            clients = start_lookups(rig)
            await wait_until(lambda: all_begun(rig.proxy))
            bound = rig.config.reply_memory_bytes + len(LONG)
            start = UNCHARGED_REPLY * CLIENTS * EACH
            assert received(rig.proxy) <= bound + start
            assert (await rig.request(get(999_999, b"short")))[0] == SHORT
            node.finish.set()
            answers = [answer for client in clients for answer in await client]
            assert answers == [LONG] * (CLIENTS * EACH)
            assert not memory.used and not memory.waiting

    stall_free_loop.run(run())


def test_a_reply_that_waits_for_memory_is_not_taken_for_one_that_has_stopped() -> None:
    async def run() -> None:
        node = LongNode()
        node.finish.set()
        async with Rig(node) as rig:
            memory, size = rig.proxy._pool.reply_memory, rig.config.reply_memory_bytes
            memory.charge(size)
            answer = asyncio.create_task(rig.request(get(1, b"long")))
            await wait_until(lambda: memory.waiting)
            await asyncio.sleep(3 * rig.config.limits.reply_s)
            assert not answer.done()
            memory.release(size)
            assert await answer == [LONG]
            assert not memory.used

    stall_free_loop.run(run())


def test_a_client_that_leaves_frees_the_memory_of_its_replies() -> None:
    async def run() -> None:
        node = LongNode()
        async with small_rig(node) as rig:
            memory = rig.proxy._pool.reply_memory
            clients = start_lookups(rig)
            await wait_until(lambda: memory.waiting)
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            await wait_until(lambda: not memory.used and not memory.waiting)

    stall_free_loop.run(run())
