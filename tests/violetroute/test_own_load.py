"""Overload of the proxy's own event loop: unread commands, rejections, fairness, pauses."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from pathlib import Path
from typing import Any

from limebridge.standins.wire import command
from snowstall import (
    Balancer,
    Effect,
    ListKind,
    Member,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
)
from snowstall.balance import (
    HIGH_VALUE_TURN_FACTOR,
    MAX_PER_CONNECTION,
    TURN_BUDGET_MS,
)
from snowstall.gate import LOOP_DELAY_INTERVAL_MS, LOOP_DELAY_TARGET_MS
from tests.support import stall_free_loop
from tests.support.rig import (
    CacheNode,
    Discovery,
    Rig,
    get,
    put,
    read_answer,
    serves,
    wait_until,
    with_timeout,
)
from tests.violetroute.test_program import program
from violetroute.clients.connection import ClientConnection
from violetroute.transport.loop_lag import Turns, TurnSelector

LOOKUP = RequestClass("lookup", latency_target=300.0, deadline=600.0, effect=Effect.PURE, value=2.0)
OPTOUT = RequestClass(
    "optout", latency_target=300.0, deadline=600.0, effect=Effect.UNSAFE, value=5.0
)


def balancer() -> Balancer:
    made = Balancer(
        Settings(classes=(LOOKUP, OPTOUT), max_attempts=4, max_backoff=1000.0), seed=1, now=0.0
    )
    made.on_list(0.0, ListKind.FULL, [Member(1), Member(2)])
    return made


def arrives(
    made: Balancer,
    now: float,
    name: str = "lookup",
    unread: float = LOOP_DELAY_TARGET_MS,
    left: float = 500.0,
    spent: float = TURN_BUDGET_MS,
    taken: int = 0,
) -> float | None:
    return made.on_arrival(now, name, unread, left, spent, taken)


def test_a_burst_or_a_pause_is_no_overload() -> None:
    made = balancer()
    for now in range(0, 1000, 10):  # 300 ms unread at times, but not throughout
        assert arrives(made, now, unread=300.0 if now % 40 else 1.0) is None


def test_a_lasting_overload_rejects_low_value_requests_and_ends_at_once() -> None:
    made = balancer()
    assert arrives(made, 0.0) is None
    now = LOOP_DELAY_INTERVAL_MS
    backoff = arrives(made, now)
    assert backoff is not None and 40.0 < backoff <= 1000.0, "the backoff is given"
    assert arrives(made, now, spent=TURN_BUDGET_MS - 1.0) is None, "room in this turn"
    assert arrives(made, now, "optout") is None, "a higher value"
    assert arrives(made, now, "optout", spent=TURN_BUDGET_MS * HIGH_VALUE_TURN_FACTOR) is not None
    assert arrives(made, now, spent=0.0, taken=MAX_PER_CONNECTION) is not None, (
        "it is the others' turn"
    )
    assert arrives(made, now, unread=LOOP_DELAY_TARGET_MS / 2) is None, "the overload is over"
    assert arrives(made, now + 1.0) is None


def test_an_expired_command_is_rejected_in_any_state() -> None:
    assert arrives(balancer(), 0.0, "optout", unread=700.0, left=-1.0, spent=0.0) is not None


def test_a_process_pause_does_not_count_against_any_cache() -> None:
    def requests_during_pause(paused: bool) -> tuple[Balancer, int]:
        """Send requests whose attempts are in flight during a pause and end late or never.

        Returns the balancer, and how many of 200 later requests it refuses.
        """
        made, now, number = balancer(), 0.0, 0
        for _ in range(40):  # the usual latency: 20 ms
            number, now = number + 1, now + 25.0
            made.on_request(now - 20.0, Request(number, "lookup", now + 580.0, number))
            made.on_outcome(now, Outcome(number, 0, Result.OK, True, 20.0, True))
        first = number + 1
        for number in range(first, first + 20):
            made.on_request(now, Request(number, "lookup", now + 590.0, number))
        now += 320.0
        if paused:
            made.on_pause(now, 300.0)
        for number in range(first, first + 10):
            made.on_outcome(now, Outcome(number, 0, Result.OK, True, 320.0, True))
        now += 270.0
        for number in range(first + 10, first + 20):
            made.on_outcome(now, Outcome(number, 0, Result.LATE, False, 590.0))
        refused = 0
        for number in range(2000, 2200):
            now += 5.0
            actions = made.on_request(now, Request(number, "lookup", now + 590.0, number))
            refused += isinstance(actions[0], Refuse)
            made.on_outcome(now, Outcome(number, 0, Result.OK, True, 20.0, True))
        return made, refused

    assert requests_during_pause(paused=True)[1] == 0
    assert requests_during_pause(paused=False)[1] > 0, "without the pause the failures must count"


def test_a_pause_keeps_the_window_of_a_keyed_repeat() -> None:
    keyed = RequestClass(
        "save", latency_target=300.0, deadline=3000.0, effect=Effect.KEYED, repeat_window=1000.0
    )
    made = Balancer(Settings(classes=(keyed,), max_attempts=4), seed=1, now=0.0)
    made.on_list(0.0, ListKind.FULL, [Member(number) for number in range(1, 9)])
    made.on_request(0.0, Request(1, "save", 2900.0, 5, True))
    made.on_pause(950.0, 900.0)
    actions = made.on_outcome(950.0, Outcome(1, 0, Result.RESET, False, 950.0))
    assert not [action for action in actions if isinstance(action, Send)]


def test_a_process_serves_on_after_sigstop_and_sigcont(tmp_path: Path) -> None:
    async def scenario() -> None:
        held: list[asyncio.StreamWriter] = []

        async def hold(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            held.append(writer)

        node, discovery = await CacheNode().start(), await Discovery().start()
        brisk = [{"name": "lookup", "promiseMs": 300.0, "deadlineMs": 600.0, "effect": "pure"}]
        async with program(tmp_path, discovery, node, classes=brisk) as one:
            reader, writer = await asyncio.open_connection("127.0.0.1", one.port)
            for number in range(50):
                writer.write(get(number, deadline_ms=550))
                assert (await read_answer(reader)).startswith(b"value of")
            node.behaviour = hold
            late = [await asyncio.open_connection("127.0.0.1", one.port) for _ in range(20)]
            for place, (_, other) in enumerate(late):
                other.write(get(1000 + place, deadline_ms=550))
            await wait_until(lambda: len(held) == len(late))
            one.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.4)  # the pause itself
            one.process.send_signal(signal.SIGCONT)
            await one.logged("the process was paused")
            for other_reader, _ in late:
                assert (await read_answer(other_reader)).startswith(b"-BUSY")
            node.behaviour = serves
            for number in range(2000, 2100):
                writer.write(get(number, deadline_ms=550))
                assert (await read_answer(reader)).startswith(b"value of"), "nothing is shed"
            for _, other in [*late, (reader, writer)]:
                other.close()
        await node.stop()
        await discovery.stop()

    asyncio.run(scenario())


class Late(Turns):
    """Reports a fixed time for which commands were readable and unread."""

    def __init__(self, unread: float = 0.0) -> None:
        super().__init__()
        self.seconds = unread

    def readable_for(self, now: float) -> float:
        return self.seconds


def test_an_expired_unsafe_request_is_refused_and_never_sent() -> None:
    async def scenario() -> None:
        node, turns = CacheNode(), Late(9.0)
        async with Rig(node, turns=turns) as rig:
            for answer in await rig.request(get(1, cls=b"once"), put(2)):
                assert answer.startswith(b"-BUSY")
            assert not node.commands
            turns.seconds = 0.0
            assert await rig.request(get(3, cls=b"once")) == [b"value of id3"]

    asyncio.run(scenario())


def test_time_spent_unread_is_deducted_from_the_clients_wait() -> None:
    async def scenario() -> None:
        node = CacheNode()
        async with Rig(node, turns=Late(5.0)) as rig:
            assert await rig.request(get(1, deadline_ms=8000)) == [b"value of id1"]
            left = int(node.commands[0][3].rpartition(b"d=")[2])
            assert left <= 3000

    asyncio.run(scenario())


def test_time_spent_unread_is_deducted_from_the_class_deadline_if_shorter() -> None:
    # A wait beyond the class's deadline is cut to it, so it cannot make up for the unread time.
    async def scenario() -> None:
        node, turns = CacheNode(), Late(6.0)
        async with Rig(node, turns=turns) as rig:  # the deadline is 10 s
            assert await rig.request(get(1, deadline_ms=60_000)) == [b"value of id1"]
            assert int(node.commands[0][3].rpartition(b"d=")[2]) <= 4000
            turns.seconds = 11.0
            assert (await rig.request(get(2, deadline_ms=60_000)))[0].startswith(b"-BUSY")
            assert len(node.commands) == 1

    asyncio.run(scenario())


def test_a_pipelining_client_does_not_starve_the_others() -> None:
    async def scenario() -> None:
        node, turns = CacheNode(), Late(0.02)
        async with Rig(node, turns=turns) as rig:
            numbers = iter(range(1, 10_000))

            async def burst(count: int) -> list[bytes]:
                return await rig.request(*(get(next(numbers)) for _ in range(count)))

            async with asyncio.timeout(20.0):
                while not (await burst(MAX_PER_CONNECTION + 1))[-1].startswith(b"-BUSY"):
                    pass  # repeated until the overload has lasted for its interval
            answers = await burst(128)
            assert [a.startswith(b"value of") for a in answers] == [True] * MAX_PER_CONNECTION + [
                False
            ] * (128 - MAX_PER_CONNECTION), "in their order"
            assert all(a.startswith(b"-BUSY") for a in answers[MAX_PER_CONNECTION:])
            others = await asyncio.gather(*(rig.request(get(next(numbers))) for _ in range(60)))
            assert all(a[0].startswith(b"value of") for a in others)
            turns.seconds = 0.0
            assert all(a.startswith(b"value of") for a in await burst(64)), "full service again"

    asyncio.run(scenario())


def test_rejected_clients_that_retry_keep_their_connection() -> None:
    # Guards against a fault: clients whose commands were rejected at once counted as idle since
    # their first command, so their connections were closed first.
    async def scenario() -> None:
        async with Rig(CacheNode(), turns=Late(9.0), sockets=80) as rig:
            reader, writer = await rig.client()
            writer.write(get(0))
            assert (await read_answer(reader)).startswith(b"-BUSY")
            stay = [await rig.client() for _ in range(rig.config.client_sockets - 2)]
            for number, (_, other) in enumerate(stay):  # these send one request
                other.write(get(number + 1))
            first = stay[0][0]
            assert (await read_answer(first)).startswith(b"-BUSY")
            number = 1000
            async with asyncio.timeout(20.0):
                while not first.at_eof():  # the longest idle one is closed, not this one
                    number += 1
                    writer.write(get(number))
                    assert (await read_answer(reader)).startswith(b"-BUSY")
                    await asyncio.sleep(0.01)

    stall_free_loop.run(scenario())  # a stall of this process for 2 s would make them idle


class Unread:
    """A stream to a client that reads nothing: the first write stays buffered."""

    def peer_ended(self) -> bool:
        return False

    def __init__(self, connection: ClientConnection) -> None:
        self._connection, self.written, self.reading = connection, bytearray(), True
        self.descriptor, self.closing = -1, False

    @property
    def unsent(self) -> int:
        return len(self.written)

    def write(self, data: Any) -> bool:
        self.written += data
        return False

    def write_all(self, parts: Any) -> bool:
        return self.write(b"".join(parts))

    def pause(self) -> None:
        self.reading = False

    def resume(self) -> None:
        self.reading = True

    def no_pending_input(self) -> bool:
        return True

    def receive_buffer(self) -> int:
        return 65536

    def delivered(self) -> bool:
        return False

    def abort(self, discard: bool = False) -> None:
        self.closing = True
        self._connection.lost(None)

    end = close = abort


def test_unread_refusals_stop_reading_from_the_client() -> None:
    async def scenario() -> None:
        async with Rig(CacheNode(), turns=Late(9.0)) as rig:
            connection = ClientConnection(rig.listener)
            rig.listener._slots_used += 1  # takes a slot, as accepting a connection does
            stream = Unread(connection)
            connection.accepted(stream)  # type: ignore[arg-type]
            for number in range(10 * rig.config.limits.depth):
                if not stream.reading:
                    break
                data = get(number)
                connection.buffer()[: len(data)] = data
                connection.received(len(data))
            assert not stream.reading and number <= rig.config.limits.depth + 1
            assert stream.written.count(b"-BUSY") == 1
            stream.abort()
            assert rig.listener.budget.used == 0

    asyncio.run(scenario())


def test_node_sockets_come_first_and_client_sockets_rotate() -> None:
    pairs = [socket.socketpair() for _ in range(6)]
    now = [0.0]
    selector = TurnSelector(lambda: now[0])
    for ours, theirs in pairs:
        selector.register(ours, 1)
        theirs.send(b"x")
    nodes = {pairs[1][0].fileno(), pairs[4][0].fileno()}
    turns = Turns(selector)
    for descriptor in nodes:
        turns.prefer(descriptor, True)
    firsts = set()
    for turn in range(40):
        now[0] = float(turn)
        order = [key.fd for key, _ in selector.select(0)]
        assert len(order) == 6 and set(order[:2]) == nodes
        firsts.add(order[2])
    assert firsts == {ours.fileno() for ours, _ in pairs} - nodes, "each client came first once"
    # Sockets ready at this poll became readable after the one before: the estimate is the midpoint.
    assert (
        turns.readable_for(39.0) == 0.5
        and turns.readable_for(41.0) == 2.5
        and turns.elapsed(41.0) == 2.0
    )
    turns.prefer(pairs[1][0].fileno(), False)
    assert selector.first == {pairs[4][0].fileno()}
    selector.close()
    for pair in pairs:
        for end in pair:
            end.close()


def test_only_a_turn_that_lacked_cpu_time_is_a_pause() -> None:
    now, cpu, pauses = [0.0], [0.0], list[float]()
    selector = TurnSelector(lambda: now[0], lambda: cpu[0])
    Turns(selector).call_on_pause(pauses.append)
    selector.select(0)
    for worked, passed in ((0.3, 0.3), (0.02, 0.05), (0.01, 0.32)):
        now[0], cpu[0] = now[0] + passed, cpu[0] + worked
        selector.select(0)
    assert len(pauses) == 1 and 0.28 < pauses[0] < 0.32, (
        "less the CPU time used since the last reading"
    )
    selector.close()


def test_a_backlog_is_answered_in_full_across_a_drain_or_a_reload(tmp_path: Path) -> None:
    """SIGTERM or SIGHUP arrives with commands unread; each command is answered."""

    async def scenario(number: signal.Signals) -> None:
        node, discovery = await CacheNode().start(), await Discovery().start()
        path = tmp_path / number.name
        path.mkdir()
        async with program(path, discovery, node) as one:
            peers = [await asyncio.open_connection("127.0.0.1", one.port) for _ in range(40)]
            for reader, writer in peers:
                writer.write(command(b"PING"))
                assert await read_answer(reader) == b"+PONG"
            one.process.send_signal(signal.SIGSTOP)
            for place, (_, writer) in enumerate(peers):
                for count in range(20):
                    writer.write(get(place * 100 + count))
                await with_timeout(writer.drain())
            if number is signal.SIGHUP:
                one.path.write_text(json.dumps(one.raw))
            one.process.send_signal(number)
            one.process.send_signal(signal.SIGCONT)
            for reader, _ in peers:
                for _ in range(20):
                    answer = await read_answer(reader)
                    assert answer.startswith((b"value of", b"-BUSY")), answer
            if number is signal.SIGTERM:
                assert await one.ended() == os.EX_OK
            else:
                await one.logged("reloaded")
            for _, writer in peers:
                writer.close()
            assert not [line for line in one.log if "fault" in line or "Traceback" in line]
        await node.stop()
        await discovery.stop()

    for number in (signal.SIGTERM, signal.SIGHUP):
        asyncio.run(scenario(number))


def test_an_overload_of_rejected_clients_alone_ends_with_its_cause() -> None:
    # All clients are rejected and retry after the given backoff.  A retry costs only a rejection,
    # and the first one after the cause has ended is served.
    async def scenario() -> None:
        node, turns = CacheNode(), Late(9.0)
        async with Rig(node, turns=turns) as rig:
            refusals = 0

            async def returns(client: int) -> int:
                nonlocal refusals
                reader, writer = await rig.client()
                tries = 0
                while True:
                    tries += 1
                    writer.write(get(client * 1000 + tries))
                    answer = await read_answer(reader)
                    if not answer.startswith(b"-BUSY "):
                        break
                    refusals += 1
                    if refusals == 60:
                        turns.seconds = 0.0
                    assert turns.seconds == 0.0 or not node.commands, (
                        "sent to a node during the overload"
                    )
                    await asyncio.sleep(int(answer[6:]) / 1000.0)
                writer.close()
                assert answer == b"value of id%d" % (client * 1000 + tries)
                return tries

            tries = await with_timeout(asyncio.gather(*(returns(client) for client in range(20))))
            assert sum(tries) == refusals + 20 == len(node.commands) + refusals
            assert min(tries) >= 2, "each client was rejected and retried"
            await wait_until(lambda: not rig.listener.connections)
            assert not rig.proxy.open_requests and rig.listener.budget.used == 0

    asyncio.run(scenario())
