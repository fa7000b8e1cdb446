"""The pool alone, on a fake clock and network: which connections it opens, reuses and closes."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from snowstall import Result
from violetroute import resp
from violetroute.transport import Address
from violetroute.upstream import Attempt, Pool
from violetroute.upstream.pool import AGE_DECAY_TIME, MIN_QUIET_TIME, SWEEP_INTERVAL

HERE = Address("127.0.0.1", 1)
IDLE = 10.0  # s; a node's idle timeout, of which the pool uses 0.6


class Stream:
    def __init__(self) -> None:
        self.unsent, self.closing, self.discarded = 0, False, False
        self.unacknowledged = 0
        self.written: list[bytes] = []
        self.is_quiet = True
        self.within: list[float] = []

    def deliver_within(self, seconds: float) -> None:
        self.within.append(seconds)

    def write(self, data: bytes) -> bool:
        self.written.append(data)
        return True

    def delivered(self) -> bool:
        return not (self.unsent or self.unacknowledged)

    def no_pending_input(self) -> bool:
        return self.is_quiet

    def abort(self, discard: bool = False) -> None:
        self.closing, self.discarded = True, discard


class World:
    """A fake event loop, network and owner of attempts; time moves only by `advance`."""

    def __init__(self, limit: int = 10) -> None:
        self.loop = self
        self.now = 100.0
        self.timers: list[tuple[float, Any, tuple[Any, ...]]] = []
        self.streams: list[tuple[Any, Stream]] = []
        self.ended: list[tuple[int, Result]] = []
        self.unsendable: set[int] = set()  # requests whose attempts may not be sent any more
        self.pool = Pool(cast(Any, self), cast(Any, self), limit, 1.0, IDLE)
        self.pool.add(1, HERE)

    def time(self) -> float:
        return self.now

    def clock(self) -> float:
        return self.now * 1000.0

    def call_soon(self, callback: Any, *args: Any) -> None:
        self.call_later(0.0, callback, *args)

    def call_later(self, delay: float, callback: Any, *args: Any) -> asyncio.TimerHandle:
        self.timers.append((self.now + delay, callback, args))
        return cast(asyncio.TimerHandle, self)

    def cancel(self) -> None:
        pass

    def advance(self, seconds: float) -> None:
        self.now += seconds
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, callback, args in due:
            callback(*args)

    def connect(self, address: Address, handler: Any, limit: float, first: bool) -> Stream:
        self.streams.append((handler, Stream()))
        return self.streams[-1][1]

    def may_send(self, attempt: Attempt) -> bool:
        return attempt.request_id not in self.unsendable

    def attempt_ended(self, attempt: Attempt, result: Result, *_: Any, **__: Any) -> None:
        attempt.ended = True
        self.ended.append((attempt.request_id, result))

    def send(self, number: int, node: int = 1) -> Attempt:
        command = resp.parse_command([b"OBJ.GET", b"k", b"id%d" % number, b"c=lookup,t=x,d=600"])
        attempt = Attempt(number, 0, node, command, self.clock(), self.clock() + 600.0)
        self.pool.send(attempt)
        return attempt

    def answers(self, place: int, value: bytes = b"v") -> None:
        handler, _ = self.streams[place]
        data = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)
        handler.buffer()[: len(data)] = data
        handler.received(len(data))

    def served(self, number: int) -> None:
        """Send a request on a connection of its own, and answer it."""
        self.send(number)
        self.streams[-1][0].opened()
        self.answers(-1)


def test_an_attempt_waiting_for_a_connection_cannot_have_run() -> None:
    world = World()
    waiting = world.send(1)
    assert world.pool.give_up(waiting) is False
    running = world.send(2)
    world.streams[0][0].opened()
    assert world.streams[0][1].written and world.pool.give_up(running) is True
    assert world.streams[0][1].discarded  # undelivered data must not arrive later


def test_a_connection_to_a_removed_node_is_closed_after_its_answer() -> None:
    world = World()
    world.send(1)
    handler, stream = world.streams[0]
    handler.opened()
    world.pool.remove(1)
    assert not stream.closing
    world.answers(0)
    assert world.ended == [(1, Result.OK)] and stream.closing and not stream.discarded


def test_a_connection_is_reused_only_after_the_quiet_time() -> None:
    world = World()
    world.served(1)
    world.send(2)  # within the quiet time: a new connection is opened
    assert len(world.streams) == 2
    world.streams[1][0].opened()
    world.advance(MIN_QUIET_TIME * 1.1)
    world.send(3)
    assert len(world.streams) == 2 and len(world.streams[0][1].written) == 2
    world.answers(0)
    world.advance(MIN_QUIET_TIME * 1.1)
    world.streams[0][1].is_quiet = False  # data is pending after the answer
    world.send(4)
    assert len(world.streams) == 3 and world.streams[0][1].closing


def test_a_connection_idle_for_too_long_is_not_reused_and_is_closed() -> None:
    world = World()
    world.served(1)
    assert world.pool.likely_alive(IDLE * 0.6 - 0.1, world.now)
    assert not world.pool.likely_alive(IDLE * 0.6 + 0.1, world.now)
    world.now += IDLE * 0.6 + 0.1
    world.send(2)
    assert len(world.streams) == 2 and world.streams[0][1].closing
    world = World()
    world.served(1)
    world.advance(IDLE * 0.6 - SWEEP_INTERVAL)
    assert not world.streams[0][1].closing
    world.advance(SWEEP_INTERVAL + 0.1)
    assert world.streams[0][1].closing and not world.streams[0][1].discarded


def test_the_socket_limit_holds_and_the_oldest_idle_connection_is_closed() -> None:
    world = World(limit=2)
    world.pool.add(2, HERE)
    world.served(1)
    world.advance(0.1)
    world.send(2, node=2)
    world.send(3, node=2)
    assert world.streams[0][1].closing and len(world.streams) == 3
    world.send(4)
    world.advance(0.0)
    assert world.ended[-1] == (4, Result.NEVER_SENT) and len(world.streams) == 3


def test_connections_that_break_when_reused_are_kept_for_less_time_for_a_while() -> None:
    # Guards against a fault: nodes closed connections after a tenth of the idle timeout that the
    # pool relied on.
    world, age = World(), 0.005

    def reused() -> bool:
        """Whether a request after this idle time reuses the connection, which then breaks."""
        world.served(1)
        handler, stream = world.streams[-1]
        world.advance(age)
        world.send(2)
        again = len(stream.written) == 2
        if again:
            handler.lost(ConnectionResetError())
            assert world.ended[-1] == (2, Result.RESET)
        else:
            assert stream.closing
            world.streams[-1][0].opened()
            world.answers(-1)
            world.streams[-1][0].lost(None)
        return again

    tries = [reused() for _ in range(20)]
    assert tries[0] and sum(tries) < 5 and not tries[-1]
    assert world.pool.likely_alive(0.05, world.now)  # other idle times are not affected
    assert not world.pool.likely_alive(age, world.now)
    assert world.pool.likely_alive(age, world.now + 4 * AGE_DECAY_TIME)


@pytest.mark.parametrize(
    ("left", "expected"), [(2500.0, 2.0), (600.0, 0.3), (-5.0, 0.001), (None, 0.0)]
)
def test_the_delivery_bound_of_a_command_is_passed_to_the_kernel(
    left: float | None, expected: float
) -> None:
    world = World()
    command = resp.parse_command([b"OBJ.GET", b"k", b"id1", b"c=lookup,t=x,d=600"])
    by = 0.0 if left is None else world.clock() + left
    world.pool.send(Attempt(1, 0, 1, command, world.clock(), world.clock() + 600.0, deliver_by=by))
    handler, stream = world.streams[0]
    handler.opened()
    assert stream.written and stream.within == [pytest.approx(expected)]
