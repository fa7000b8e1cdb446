"""Crossings at connections to cache nodes: an event that comes between a decision and its bytes."""

from __future__ import annotations

from snowstall import Result
from tests.violetroute.upstream.test_pool import World
from violetroute.upstream.pool import MIN_QUIET_TIME


def test_a_new_connection_that_its_node_has_closed_by_then_ends_its_attempt_at_once() -> None:
    # Found by reading: the attempt stayed behind with no connection, up to its deadline.
    world = World()
    world.send(1)
    handler, stream = world.streams[0]
    stream.is_quiet = False  # the node's end stands there as the connection is told of
    handler.opened()
    assert stream.closing and not stream.written
    handler.lost(None)
    world.passes(0.0)
    assert world.ended == [(1, Result.NO_CONNECTION)]


def written(world: World) -> list[bytes]:
    """The ids of what was written, in the order of the connections."""
    return [data.split(b"\r\n")[6] for _, stream in world.streams for data in stream.written]


def test_nothing_is_written_for_what_is_over_when_its_connection_comes() -> None:
    # Found by reading: where settings forbid to cancel, an attempt that waited for its connection
    # was written after its request had been answered, or its client had gone.
    world = World()
    world.send(1)
    world.over.add(1)
    handler, stream = world.streams[0]
    handler.opened()
    world.passes(0.0)
    assert world.ended == [(1, Result.NEVER_SENT)] and not stream.written and not stream.closing
    world.passes(MIN_QUIET_TIME * 1.1)
    world.send(2)
    assert written(world) == [b"id2"] and len(world.streams) == 1  # it was opened for something


def test_nor_when_a_connection_is_free_again_or_one_of_another_comes_first() -> None:
    world = World()
    world.send(1)
    world.streams[0][0].opened()
    world.send(2)
    world.send(3)
    world.over.add(2)
    world.answers(0)
    world.passes(MIN_QUIET_TIME * 1.1)  # the first one is free: 2 waits longest, and is over
    world.passes(0.0)
    assert world.ended == [(1, Result.OK), (2, Result.NEVER_SENT)]
    assert written(world) == [b"id1", b"id3"] and len(world.streams[0][1].written) == 2
    world.streams[1][0].opened()
    world.streams[2][0].opened()
    assert written(world) == [b"id1", b"id3"]


def test_an_idle_connection_is_kept_by_what_may_not_be_sent_any_more() -> None:
    world = World()
    world.served(1)
    world.passes(0.05)
    world.over.add(2)
    world.send(2)
    world.passes(0.0)
    assert world.ended[-1] == (2, Result.NEVER_SENT) and len(world.streams) == 1
    world.send(3)
    assert len(world.streams) == 1 and len(world.streams[0][1].written) == 2


def test_a_connection_is_left_alone_for_longer_where_second_answers_come_later() -> None:
    # Measured on join+brink: 8 of 10 second answers came more than 2 ms after the first.
    world = World()
    world.served(1)
    world.now += 0.02
    handler, stream = world.streams[0]
    handler.received(1)  # a second answer begins, and ends its connection
    assert stream.closing
    handler.lost(None)
    world.served(2)
    world.passes(0.03)
    world.send(3)
    assert len(world.streams) == 3  # 0.04 s is twice what was seen
    world.passes(0.01)
    world.send(4)
    assert len(world.streams) == 3 and len(world.streams[1][1].written) == 2
    world.streams[2][0].opened()
    world.answers(2)
    world.passes(40.0)
    world.served(5)  # long ago: forgotten
    world.passes(MIN_QUIET_TIME * 1.1)
    before = len(world.streams)
    world.send(6)
    assert len(world.streams) == before


def test_what_cannot_be_told_from_half_a_line_proves_nothing() -> None:
    # Half a line that crosses the next command reads as its answer: `-BUSY ` and the real one.
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


def test_noise_long_after_an_answer_or_before_any_teaches_nothing() -> None:
    # Found in a second reading: each such byte had all connections left alone for 0.1 s.
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
