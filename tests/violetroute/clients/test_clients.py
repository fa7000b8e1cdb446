"""Client connections over loopback sockets: pipelining, errors, limits, departures and drains."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable
from contextvars import Context
from typing import Any

import msgspec
import pytest

from tests.support import stall_free_loop
from tests.support.rig import (
    Behaviour,
    CacheNode,
    Rig,
    bulk,
    command,
    get,
    put,
    read_answer,
    reply,
    serves,
    wait_until,
    with_timeout,
)
from violetroute.clients.listener import ACCEPT_RETRY_INTERVAL, MIN_IDLE_TIME


def run_case(part: Callable[..., Awaitable[None]], *nodes: Any, **limits: Any) -> None:
    async def run() -> None:
        built = [node() if callable(node) else node for node in nodes or (CacheNode,)]
        async with Rig(*built, **limits) as rig:
            await part(rig, *built)

    stall_free_loop.run(run())


def delayed_answer() -> tuple[asyncio.Event, Behaviour]:
    """A node behaviour that answers with the id once the event is set."""
    event = asyncio.Event()

    async def answer_late(words: list[bytes], writer: asyncio.StreamWriter) -> None:
        await event.wait()
        writer.write(reply(words[2]))

    return event, answer_late


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    """All data until the proxy closes the connection, by FIN or reset."""
    data = b""
    try:
        while piece := await with_timeout(reader.read(4096)):
            data += piece
    except ConnectionError:
        pass
    return data


def test_pipelined_answers_come_in_the_order_of_the_commands() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        first = asyncio.Event()

        async def late_first(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            if words[2] == b"id0":
                await first.wait()
            writer.write(reply(words[2]))
            if words[2] == b"id9":
                first.set()

        node.behaviour = late_first
        answers = await rig.request(*map(get, range(10)), command(b"PING"), put(11))
        assert answers == [*(b"id%d" % n for n in range(10)), b"+PONG", b"id11"]

    run_case(part)


def test_a_client_that_closes_frees_its_request_and_its_node() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        async def never(words: list[bytes], writer: asyncio.StreamWriter) -> None: ...

        node.behaviour = never
        _, writer = await rig.client()
        writer.write(get(1))
        await wait_until(lambda: node.commands)
        writer.write_eof()  # the proxy treats a half-closed client as one that has left
        await wait_until(lambda: not node.open and not rig.proxy.open_requests)

    run_case(part)


def test_nothing_is_sent_for_a_client_that_has_left() -> None:
    # If the proxy did not check for this, no other test would fail: the request would stay open
    # until its deadline, and each failed attempt would be retried.
    async def part(rig: Rig, node: CacheNode) -> None:
        release = asyncio.Event()

        async def breaks(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.transport.abort()

        node.behaviour = breaks
        _, writer = await rig.client()
        writer.write(get(1))
        await wait_until(lambda: node.commands)
        writer.close()
        await wait_until(lambda: not rig.listener.connections)
        assert not rig.proxy.open_requests, "the request must end at once, not at its deadline"
        release.set()
        await wait_until(lambda: not node.open)
        node.behaviour = serves
        assert await rig.request(get(2)) == [b"value of id2"]
        assert [words[2] for words in node.commands] == [b"id1", b"id2"]

    run_case(part)


BROKEN_FRAMING = {
    "noise": b"\x00\xff\x17\x80" * 8,
    "endless line": b"*" + b"1" * 5000,
    "endless status": b"+" + b"x" * 5000,
    "negative": b"*-3\r\n",
    "negative bulk": b"*1\r\n$-5\r\n",
    "huge array": b"*999999999\r\n",
    "huge value": b"*5\r\n"
    + bulk(b"OBJ.SET")
    + bulk(b"k")
    + bulk(b"i")
    + bulk(b"c=optout,d=9")
    + b"$60000000\r\n",
    "wrong length": b"*4\r\n$3\r\nOBJ.GET\r\n",
    "not a bulk": b"*1\r\n:5\r\n",
    "letters": b"*4x\r\n",
}


@pytest.mark.parametrize("name", BROKEN_FRAMING)
def test_broken_framing_is_answered_and_closed_at_once(name: str) -> None:
    # Guards against a fault: an endless line was read up to 8 KiB, and data without a line end was
    # kept for 15 s.
    async def part(rig: Rig, node: CacheNode) -> None:
        reader, writer = await rig.client()
        writer.write(get(1) + BROKEN_FRAMING[name])
        data = await read_until_closed(reader)
        assert data.startswith(bulk(b"value of id1") + b"-ERR ") and data.endswith(b"\r\n")
        writer.close()

    run_case(part)


INVALID_COMMANDS = {
    "class": get(1, cls=b"nothing"),
    "wait": command(b"OBJ.GET", b"k", b"i", b"c=lookup,d=soon"),
    "blank wait": command(b"OBJ.GET", b"k", b"i", b"c=lookup,d=1_0"),
    "no end": command(b"OBJ.GET", b"k", b"i", b"c=lookup,d=nan"),
    "negative wait": command(b"OBJ.GET", b"k", b"i", b"c=lookup,d=-5"),
    "no id": command(b"OBJ.GET", b"k", b"", b"c=lookup,d=500"),
    "no key": command(b"OBJ.GET", b"", b"i", b"c=lookup,d=500"),
    "no idempotency key": command(b"OBJ.SET", b"k", b"i", b"c=optout,d=500", b"v"),
    "unknown command": command(b"FLUSHALL"),
    "too few": command(b"OBJ.GET", b"k"),
}


@pytest.mark.parametrize("name", INVALID_COMMANDS)
def test_invalid_commands_are_answered_and_reach_no_node(name: str) -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        answers = await rig.request(INVALID_COMMANDS[name], get(7))
        assert answers[0].startswith(b"-ERR ") and answers[1] == b"value of id7"
        assert [words[2] for words in node.commands] == [b"id7"]

    run_case(part)


def test_too_many_invalid_commands_in_a_row_end_the_connection() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        reader, writer = await rig.client()
        writer.write(INVALID_COMMANDS["class"] * 500)
        assert 0 < (await read_until_closed(reader)).count(b"-ERR") < 500
        writer.close()

    run_case(part)


def test_the_id_of_an_open_request_is_rejected() -> None:
    # Guards against a fault: the second request was sent to a node, which cannot distinguish the
    # two, and could be served.
    async def part(rig: Rig, node: CacheNode) -> None:
        go = asyncio.Event()

        async def waits(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(reply(b"mine"))

        node.behaviour = waits
        reader, writer = await rig.client()
        writer.write(get(1))
        await wait_until(lambda: node.commands)
        assert (await rig.request(get(1)))[0].startswith(b"-ERR")
        go.set()
        assert await read_answer(reader) == b"mine"
        assert await rig.request(get(1)) == [b"mine"]  # the id is free again
        assert len(node.commands) == 2
        writer.close()

    run_case(part)


def test_new_connections_are_served_while_connections_without_data_fill_the_limit() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        crowd = [await rig.client() for _ in range(2 * rig.config.client_sockets)]
        assert await rig.request(get(1)) == [b"value of id1"]
        for reader, writer in crowd:  # each is closed without further input
            assert await read_until_closed(reader) == b""
            writer.close()

    run_case(part, sockets=80)


def test_a_partial_command_is_ended_in_bounded_time() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        reader, writer = await rig.client()
        writer.write(get(1)[:-5])
        assert (await read_until_closed(reader)).startswith(b"-ERR")
        writer.close()

    run_case(part)


def test_idle_connections_are_evicted_for_new_ones() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        stay = []
        for number in range(3 * rig.config.client_sockets):
            reader, writer = await rig.client()
            writer.write(get(number))
            assert await read_answer(reader) == b"value of id%d" % number
            stay.append(writer)
        for writer in stay:
            writer.close()

    run_case(part, sockets=80)


def test_new_ids_and_connections_leak_no_objects() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        async def send_requests(start: int) -> None:
            for number in range(start, start + 60):
                await rig.request(
                    get(number, key=b"key%d" % (number % 60)),
                    put(number + 100_000),
                    INVALID_COMMANDS["class"],
                )
            await wait_until(lambda: not rig.listener.connections and not rig.proxy.open_requests)
            node.commands.clear()
            for writer in list(node.open):  # connections kept for reuse are no leak
                writer.close()
            await wait_until(lambda: not node.open)

        def objects() -> int:
            gc.collect()
            # A cancelled timer stays in the loop, with its context, until it is due.
            return sum(
                not isinstance(o, Context)
                and not (isinstance(o, asyncio.TimerHandle) and o.cancelled())
                for o in gc.get_objects()
            )

        await send_requests(0)  # the balancer learns the keys
        await send_requests(1_000)
        before = objects()
        await send_requests(2_000)
        # Once the connections have ended, fewer new objects are left than one for every two of the
        # 120 requests.
        await wait_until(lambda: objects() < before + 60)

    run_case(part)


def test_values_that_do_not_fit_wait_for_the_budget() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        value = b"x" * 64 * 1024
        clients = []
        for number in range(40):  # 2.5 MB for a budget of 1 MB
            reader, writer = await rig.client()
            writer.write(put(number, value)[:-10])
            clients.append((reader, writer, put(number, value)[-10:]))
        await wait_until(lambda: rig.listener.budget.used > 800_000)
        assert rig.listener.budget.used <= 1024 * 1024
        for _, writer, rest in clients:
            writer.write(rest)
        for reader, writer, _ in clients:
            assert (await read_answer(reader)).startswith((b"value", b"-ERR half"))
            writer.close()

    run_case(part, memory_mb=20)


def test_clients_that_do_not_read_use_bounded_memory() -> None:
    # Guards against a fault: data in the transports' own buffers was not charged to the budget.
    async def part(rig: Rig, node: CacheNode) -> None:
        async def large(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            writer.write(reply(b"x" * 60_000))

        node.behaviour = large
        clients = []
        for number in range(20):
            reader, writer = await rig.client()
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(b"".join(get(number * 1000 + n) for n in range(300)))
            clients.append(writer)
        await wait_until(lambda: rig.listener.budget.full)
        quiet = len(node.commands)
        await asyncio.sleep(0.5)
        # Independent of admission: one value per node connection (45% of the sockets that are not
        # reserved, of 256) may be under way when the budget is full.
        assert rig.listener.budget.used < 1024 * 1024 + 100 * 64 * 1024
        assert len(node.commands) < 20 * 300 and len(node.commands) - quiet < 300
        for writer in clients:
            writer.transport.abort()
        await wait_until(lambda: rig.listener.budget.used == 0)

    run_case(part, memory_mb=20)


def test_idle_connections_above_their_share_are_closed() -> None:
    # Guards against a fault: a client with a connection limit of its own had no connection left,
    # since all of them were idle, although the proxy had free slots.
    async def part(rig: Rig, node: CacheNode) -> None:
        stay = []
        for number in range(rig.config.client_sockets // 2):
            reader, writer = await rig.client()
            writer.write(get(number))
            await read_answer(reader)
            stay.append((reader, writer))
        assert await read_until_closed(stay[0][0]) == b""
        await wait_until(lambda: rig.listener.connections <= rig.config.client_sockets // 4)
        for _, writer in stay:
            writer.close()

    run_case(part, sockets=128)


async def idle_with_unread(
    rig: Rig,
    *commands: bytes,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection that has been idle and whose next commands are unread in the kernel."""
    reader, writer = await rig.client()
    writer.write(command(b"PING"))
    assert await read_answer(reader) == b"+PONG"
    await wait_until(
        lambda: (
            list(rig.listener._idle)
            and rig.listener.loop.time() - next(iter(rig.listener._idle)).since > MIN_IDLE_TIME
        )
    )
    writer.write(b"".join(commands))  # into the kernel at once, without a loop turn in between
    return reader, writer


@pytest.mark.parametrize("close", ["trim", "evict", "idle time", "drain"])
def test_a_connection_with_an_unread_request_is_not_closed_as_idle(close: str) -> None:
    # Guards against a fault: with all CPU time in use, a turn took longer than the idle time, and a
    # connection was closed before its unread request was read.
    async def part(rig: Rig, node: CacheNode) -> None:
        listener = rig.listener
        reader, _ = await idle_with_unread(rig, get(1))
        if close == "trim":
            listener._idle_limit = 0
            listener._trim_idle()
        elif close == "evict":
            assert not listener._evict_one()
        elif close == "idle time":
            listener._slots, listener.limits = (
                1,
                msgspec.structs.replace(listener.limits, idle_s=MIN_IDLE_TIME),
            )
            next(iter(listener._idle)).check_timeouts(listener.loop.time())
        else:
            drained = asyncio.create_task(listener.drain(5.0))
        assert await read_answer(reader) == b"value of id1"
        if close == "drain":
            assert await read_until_closed(reader) == b""
            await with_timeout(drained)

    run_case(part)


def test_commands_unread_when_a_drain_stops_accepting_are_answered() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        served, node.behaviour = delayed_answer()
        reader, writer = await rig.client()
        writer.write(get(1))
        await wait_until(lambda: rig.proxy.open_requests)
        connection = next(iter(rig.listener._serving))
        ends = rig.listener.stop_accepting

        def cut() -> None:  # arrives in the turn in which accepting ends
            writer.write(get(2))
            ends()

        rig.listener.stop_accepting = cut  # type: ignore[method-assign]
        drained = asyncio.create_task(rig.listener.drain(5.0))
        await wait_until(lambda: connection.draining)
        await wait_until(lambda: rig.proxy.open_requests == 2)
        served.set()
        assert [await read_answer(reader) for _ in range(2)] == [b"id1", b"id2"]
        await with_timeout(drained)

    run_case(part)


@pytest.mark.parametrize("drain", [False, True])
def test_an_answer_in_a_drain_does_not_close_on_the_next_command(drain: bool) -> None:
    # A turn handles replies of nodes first, so the next command is read later in the same turn.
    async def part(rig: Rig, node: CacheNode) -> None:
        listener = rig.listener
        reader, writer = await idle_with_unread(rig)
        connection = next(iter(listener._idle))
        listener.draining = True
        if drain:  # accepting has ended
            listener.stop_accepting()
        writer.write(get(1))
        listener.mark_idle(connection)  # as after the previous answer
        assert await read_answer(reader) == b"value of id1"
        assert await read_until_closed(reader) == b""

    run_case(part)


def test_a_partial_command_with_unread_input_can_be_evicted() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        reader, writer = await rig.client()
        writer.write(b"*4\r\n$7\r\nOBJ")
        await wait_until(lambda: rig.listener._partial)
        connection = next(iter(rig.listener._partial))
        connection.since -= rig.listener.limits.command_s
        writer.write(b".")
        assert rig.listener._evict_one()
        assert await read_until_closed(reader) == b""

    run_case(part)


def test_a_client_that_reads_nothing_is_disconnected() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        async def large(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            writer.write(reply(b"x" * 60_000))

        node.behaviour = large
        rig.listener.limits = msgspec.structs.replace(rig.listener.limits, reader_s=1.0)
        _, writer = await rig.client()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(b"".join(map(get, range(120))))
        await wait_until(
            lambda: any(c._stream is not None and c._stream.unsent for c in rig.listener._serving)
        )
        stuck = rig.listener.loop.time()
        await wait_until(lambda: not rig.listener.connections)
        assert rig.listener.loop.time() - stuck > 0.7  # not at the first check

    run_case(part)


def test_without_a_free_slot_accepting_is_retried_at_intervals() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        answer, node.behaviour = delayed_answer()
        listener, loop = rig.listener, asyncio.get_running_loop()
        asking = asyncio.create_task(rig.request(get(1)))
        await wait_until(lambda: rig.proxy.open_requests)
        listener._slots, looks, gives = 1, [], listener._evict_one

        def looked() -> bool:
            looks.append(loop.time())
            return gives()

        listener._evict_one = looked  # type: ignore[method-assign]
        second = asyncio.create_task(rig.request(command(b"PING")))
        await wait_until(lambda: len(looks) > 3)
        assert looks[3] - looks[0] > 2 * ACCEPT_RETRY_INTERVAL  # not at each poll
        answer.set()
        assert await with_timeout(asking) == [b"id1"] and await with_timeout(second) == [b"+PONG"]

    run_case(part)


def test_a_just_answered_connection_is_not_trimmed() -> None:
    async def part(rig: Rig, node: CacheNode) -> None:
        reader, writer = await rig.client()
        for _ in range(2):
            writer.write(command(b"PING"))
            assert await read_answer(reader) == b"+PONG"
            rig.listener._idle_limit = 0
            rig.listener._trim_idle()
            assert rig.listener._idle and not rig.listener._lingering

    run_case(part)
