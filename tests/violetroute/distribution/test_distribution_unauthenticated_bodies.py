"""Bodies of strangers: how many bytes a control machine keeps, and who gets through meanwhile."""

from __future__ import annotations

import asyncio
import logging

import pytest

from tests.support.rig import until
from tests.violetroute.distribution.test_distribution_http import (
    asked,
    client_of,
    connected,
    head,
    refusals,
    rest,
    run,
    served,
)
from violetroute.distribution.http_server import SHORT_BODY_BYTES, TOO_MANY_LONG_BODIES, HttpServer
from violetroute.distribution.messages import MESSAGE_BYTES
from violetroute.distribution.unauthenticated import (
    MAX_UNAUTHENTICATED_BYTES,
    UnauthenticatedConnections,
)

PUBLICATION = bytes(800_000)
STRANGERS_BODY = 1_000_000
STRANGERS = 40  # together more than twice the bound
Opened = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def half_body(server: HttpServer, size: int = STRANGERS_BODY) -> Opened:
    """A stranger who sends so much of a request and falls silent; the server has read it all."""
    opened = await connected(server)
    opening = head("/publish", b"", length=MESSAGE_BYTES) + bytes(size)
    arrived = server.traffic.bytes_in + len(opening)
    opened[1].write(opening)
    await until(lambda: server.traffic.bytes_in >= arrived)
    return opened


async def hang_up(server: HttpServer, strangers: list[Opened]) -> None:
    for _, writer in strangers:
        writer.close()
    await until(lambda: server.connections == 0)
    assert server.unauthenticated.body_bytes == 0 == server.long_body_bytes


def test_bodies_of_strangers_are_bounded_and_those_with_the_key_get_through(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A control machine's polls go on; a publication of full length comes on a new connection."""

    async def play() -> None:
        async with served() as (server, recorder):
            machine = client_of(server.address)
            assert await asked(machine) == (b"cba", "")
            strangers = []
            for _ in range(STRANGERS):
                strangers.append(await half_body(server))
                assert server.unauthenticated.body_bytes <= MAX_UNAUTHENTICATED_BYTES
                assert server.long_body_bytes <= MAX_UNAUTHENTICATED_BYTES
                assert await asked(machine) == (b"cba", "")
            assert server.unauthenticated.body_bytes > MAX_UNAUTHENTICATED_BYTES - STRANGERS_BODY
            publisher = client_of(server.address)
            answer, why = await asked(publisher, PUBLICATION, path="/publish")
            assert (answer, why) == (PUBLICATION, "")
            assert await rest(strangers[0][0]) == b""  # the body that began first was ended
            assert machine.traffic.failures == 0 and server.traffic.requests == STRANGERS + 2
            assert recorder.requests[-1][1:] == ("/publish", PUBLICATION)
            machine.close()
            publisher.close()
            await hang_up(server, strangers)

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert {"reason": TOO_MANY_LONG_BODIES, "count": 1} in refusals(caplog)


def test_short_bodies_of_strangers_count_as_well() -> None:
    async def play() -> None:
        async with served() as (server, _):
            size, bound = SHORT_BODY_BYTES - 1, 10 * SHORT_BODY_BYTES
            server.unauthenticated = UnauthenticatedConnections(max_body_bytes=bound)
            strangers = []
            for _ in range(20):
                strangers.append(await half_body(server, size))
                assert server.unauthenticated.body_bytes <= bound
            assert server.long_body_bytes == 0 and server.connections == bound // size
            await hang_up(server, strangers)

    run(play)


def test_a_slow_publication_outlasts_the_bodies_that_began_before_it() -> None:
    """Between its parts strangers bring bodies; in all nearly the bound, on top of a full one."""

    async def play() -> None:
        async with served() as (server, recorder):
            strangers = [await half_body(server) for _ in range(STRANGERS // 2)]
            _, writer = await connected(server)
            data = head("/publish", PUBLICATION) + PUBLICATION
            part = len(data) // 14
            for start in range(0, len(data), part):
                arrived = server.traffic.bytes_in + len(data[start : start + part])
                writer.write(data[start : start + part])
                await until(lambda: server.traffic.bytes_in >= arrived)  # noqa: B023
                if start + part < len(data):
                    strangers.append(await half_body(server))
                assert server.unauthenticated.body_bytes <= MAX_UNAUTHENTICATED_BYTES
            assert [body for _, _, body in recorder.requests] == [PUBLICATION]
            writer.close()
            await hang_up(server, strangers)

    run(play)


def test_long_requests_of_authenticated_connections_are_not_ended_by_strangers() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            _, writer = await connected(server)
            writer.write(head("/poll", b"abc") + b"abc")
            await until(lambda: len(recorder.requests) == 1)
            longest = bytes(MESSAGE_BYTES)
            writer.write(head("/fetch", longest) + longest[:-1])
            await until(lambda: server.traffic.bytes_in > MESSAGE_BYTES)
            assert server.unauthenticated.body_bytes == 0
            strangers = [await half_body(server) for _ in range(STRANGERS)]
            writer.write(longest[-1:])
            await until(lambda: len(recorder.requests) == 2)
            assert recorder.requests[1][1:] == ("/fetch", longest)
            writer.close()
            await hang_up(server, strangers)

    run(play)


def test_the_bodies_that_began_first_go_until_the_rest_is_within_the_bound() -> None:
    connections = UnauthenticatedConnections[str](max_body_bytes=100)
    for name in "abcd":
        connections.add(name)
    assert connections.add_to_body("b", 30) == [] == connections.add_to_body("a", 40)
    assert connections.add_to_body("c", 30) == [] == connections.add_to_body("gone", 1_000)
    connections.renew("b")  # its place is as a new one's, its body began first all the same
    assert connections.oldest() == "a"
    assert connections.add_to_body("d", 50) == ["b", "a"]
    assert connections.body_bytes == 80 and len(connections) == 2
    connections.end_body("c")
    connections.remove("c")
    assert connections.body_bytes == 50 and connections.oldest() == "d"
    assert connections.add_to_body("d", 51) == ["d"]
    assert connections.body_bytes == 0 == len(connections) and connections.oldest() is None
