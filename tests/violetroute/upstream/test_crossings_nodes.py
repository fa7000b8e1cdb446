"""Races at connections to cache nodes: events between a decision and the bytes it sends."""

from __future__ import annotations

from snowstall import Result
from tests.violetroute.upstream.test_pool import World
from violetroute.upstream.answer_times import MAX_COPY_DELAY, PERIOD, AnswerTimes
from violetroute.upstream.pool import MIN_QUIET_TIME


def test_a_new_connection_that_is_already_closed_ends_its_attempt_at_once() -> None:
    # Guards against a fault: the attempt stayed without a connection until its deadline.
    world = World()
    world.send(1)
    handler, stream = world.streams[0]
    stream.is_quiet = False  # the node has closed before the connection is reported
    handler.opened()
    assert stream.closing and not stream.written
    handler.lost(None)
    world.advance(0.0)
    assert world.ended == [(1, Result.NO_CONNECTION)]


def written(world: World) -> list[bytes]:
    """The ids of the written commands, in the order of the connections."""
    return [data.split(b"\r\n")[6] for _, stream in world.streams for data in stream.written]


def test_an_attempt_that_ended_while_waiting_for_its_connection_is_not_sent() -> None:
    # Guards against a fault where connections cannot be cancelled: an attempt that waited for its
    # connection was sent after its request had been answered or its client had disconnected.
    world = World()
    world.send(1)
    world.unsendable.add(1)
    handler, stream = world.streams[0]
    handler.opened()
    world.advance(0.0)
    assert world.ended == [(1, Result.NEVER_SENT)] and not stream.written and not stream.closing
    world.advance(MIN_QUIET_TIME * 1.1)
    world.send(2)
    assert written(world) == [b"id2"] and len(world.streams) == 1  # the connection is used for 2


def test_an_ended_attempt_is_not_sent_on_a_reused_or_another_connection() -> None:
    world = World()
    world.send(1)
    world.streams[0][0].opened()
    world.send(2)
    world.send(3)
    world.unsendable.add(2)
    world.answers(0)
    # The first connection is free.  Attempt 2 has waited longest, but has ended.
    world.advance(MIN_QUIET_TIME * 1.1)
    world.advance(0.0)
    assert world.ended == [(1, Result.OK), (2, Result.NEVER_SENT)]
    assert written(world) == [b"id1", b"id3"] and len(world.streams[0][1].written) == 2
    world.streams[1][0].opened()
    world.streams[2][0].opened()
    assert written(world) == [b"id1", b"id3"]


def test_an_attempt_that_may_not_be_sent_leaves_the_idle_connection_open() -> None:
    world = World()
    world.served(1)
    world.advance(0.05)
    world.unsendable.add(2)
    world.send(2)
    world.advance(0.0)
    assert world.ended[-1] == (2, Result.NEVER_SENT) and len(world.streams) == 1
    world.send(3)
    assert len(world.streams) == 1 and len(world.streams[0][1].written) == 2


def test_the_quiet_time_grows_with_the_delay_of_second_answers() -> None:
    # In the scenario join+brink, 8 of 10 second answers arrived more than 2 ms after the first.
    world = World()
    world.served(1)
    world.now += 0.02
    handler, stream = world.streams[0]
    handler.received(1)  # a second answer begins, which closes the connection
    assert stream.closing
    handler.lost(None)
    world.served(2)
    world.advance(0.03)
    world.send(3)
    assert len(world.streams) == 3  # 0.04 s is twice the observed delay
    world.advance(0.01)
    world.send(4)
    assert len(world.streams) == 3 and len(world.streams[1][1].written) == 2
    world.streams[2][0].opened()
    world.answers(2)
    world.advance(40.0)
    world.served(5)  # the observed delay has decayed
    world.advance(MIN_QUIET_TIME * 1.1)
    before = len(world.streams)
    world.send(6)
    assert len(world.streams) == before


def learned(world: World, seconds: float) -> None:
    """Let the node answer its first request after so many seconds."""
    world.send(1)
    world.streams[0][0].opened()
    world.advance(seconds)
    world.answers(0)


def next_answer(world: World, number: int, seconds: float, value: bytes = b"v") -> Result:
    """The result of a request on the same connection, answered after so many seconds."""
    world.advance(MIN_QUIET_TIME * 1.5)
    world.send(number)
    world.advance(seconds)
    world.answers(0, value)
    return world.ended[-1][1]


def test_a_late_copy_of_an_answer_is_not_given_to_the_next_request() -> None:
    # Guards against a fault (review/2): over a path of 2 ms a copy that came 3 to 6 ms after an
    # answer was served to the next request on its connection.
    for seconds in (0.0, 0.001, 0.005):
        world = World()
        learned(world, 0.024)
        assert next_answer(world, 2, 0.023) is Result.OK
        assert next_answer(world, 3, seconds) is Result.MALFORMED
        assert world.streams[0][1].closing


def test_an_answer_is_used_if_it_is_no_copy_or_not_much_faster_than_others() -> None:
    world = World()
    learned(world, 0.024)
    assert next_answer(world, 2, 0.019) is Result.OK
    assert next_answer(world, 3, 0.001, b"w") is Result.OK  # so the node has become fast
    assert next_answer(world, 4, 0.001, b"w") is Result.OK
    world = World()
    learned(world, 0.024)
    world.advance(2 * MAX_COPY_DELAY)
    assert next_answer(world, 2, 0.001) is Result.OK  # too long after the answer before it
    world = World()
    learned(world, 0.001)
    assert next_answer(world, 2, 0.0005) is Result.OK  # too little to tell


def test_the_shortest_answer_time_is_forgotten_after_two_periods() -> None:
    times = AnswerTimes()
    assert not times.is_early(0.0, 0.0)
    times.record(0.01, 0.0)
    times.record(0.1, PERIOD)
    assert not times.is_early(0.009, PERIOD) and times.is_early(0.005, PERIOD)
    times.record(0.1, 2 * PERIOD)
    assert times.is_early(0.05, 2 * PERIOD)
    assert not times.is_early(0.0, 4 * PERIOD)


def test_a_reply_that_may_be_a_partial_stray_line_is_malformed() -> None:
    # A partial line `-BUSY ` received as the next command is sent merges with the real answer.
    for late, result in (
        (b"-BUSY *3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", Result.MALFORMED),
        (b"-BUSY 5\r\n-BUSY 5\r\n", Result.MALFORMED),
        (b"-BUSY 5\r\n", Result.FULL),
        (b"-BUSY\r\n", Result.FULL),
    ):
        world = World()
        world.send(1)
        handler, stream = world.streams[0]
        handler.opened()
        handler.buffer()[: len(late)] = late
        handler.received(len(late))
        assert world.ended == [(1, result)] and stream.closing == (result is Result.MALFORMED)


def test_noise_long_after_an_answer_or_before_any_does_not_change_the_quiet_time() -> None:
    # Guards against a fault: each such byte prevented the reuse of all connections for 0.1 s.
    for answered in (True, False):
        world = World()
        if answered:
            world.served(1)
            world.now += 2.0
        else:
            world.send(1)
            world.streams[0][0].opened()
            world.pool.give_up(world.send(2))
            world.streams[1][0].opened()
        world.streams[-1][0].received(1)
        assert world.streams[-1][1].closing and world.pool._quiet_time(world.now) == MIN_QUIET_TIME
