"""Bodies of unauthenticated requests: how many bytes are buffered, and which requests succeed."""

from __future__ import annotations

import asyncio
import logging

import pytest

from tests.support.rig import wait_until
from tests.violetroute.distribution.test_distribution_http import (
    client_of,
    connect,
    logged_refusals,
    post,
    read_to_end,
    request_head,
    run,
    running_server,
)
from violetroute.distribution.http_server import SHORT_BODY_BYTES, TOO_MANY_LONG_BODIES, HttpServer
from violetroute.distribution.messages import MESSAGE_BYTES
from violetroute.distribution.unauthenticated import (
    MAX_UNAUTHENTICATED_BYTES,
    UnauthenticatedConnections,
)

PUBLICATION = bytes(800_000)
PARTIAL_BODY_BYTES = 1_000_000
UNAUTHENTICATED_CLIENTS = 40  # their bodies together exceed twice the limit
Opened = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def send_partial_body(server: HttpServer, size: int = PARTIAL_BODY_BYTES) -> Opened:
    """Send the header and `size` body bytes of a longer request; the server has read them all."""
    opened = await connect(server)
    partial_request = request_head("/publish", b"", length=MESSAGE_BYTES) + bytes(size)
    arrived = server.traffic.bytes_in + len(partial_request)
    opened[1].write(partial_request)
    await wait_until(lambda: server.traffic.bytes_in >= arrived)
    return opened


async def close_all(server: HttpServer, unauthenticated_clients: list[Opened]) -> None:
    for _, writer in unauthenticated_clients:
        writer.close()
    await wait_until(lambda: server.connections == 0)
    assert server.unauthenticated.body_bytes == 0 == server.long_body_bytes


def test_unauthenticated_bodies_are_bounded_and_authenticated_requests_succeed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """An authenticated connection keeps working; a long publication succeeds on a new one."""

    async def scenario() -> None:
        async with running_server() as (server, recorder):
            machine = client_of(server.address)
            assert await post(machine) == (b"cba", "")
            unauthenticated_clients = []
            for _ in range(UNAUTHENTICATED_CLIENTS):
                unauthenticated_clients.append(await send_partial_body(server))
                assert server.unauthenticated.body_bytes <= MAX_UNAUTHENTICATED_BYTES
                assert server.long_body_bytes <= MAX_UNAUTHENTICATED_BYTES
                assert await post(machine) == (b"cba", "")
            assert (
                server.unauthenticated.body_bytes > MAX_UNAUTHENTICATED_BYTES - PARTIAL_BODY_BYTES
            )
            publisher = client_of(server.address)
            answer, why = await post(publisher, PUBLICATION, path="/publish")
            assert (answer, why) == (PUBLICATION, "")
            # The connection whose body began first was evicted.
            assert await read_to_end(unauthenticated_clients[0][0]) == b""
            assert (
                machine.traffic.failures == 0
                and server.traffic.requests == UNAUTHENTICATED_CLIENTS + 2
            )
            assert recorder.requests[-1][1:] == ("/publish", PUBLICATION)
            machine.close()
            publisher.close()
            await close_all(server, unauthenticated_clients)

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert {"reason": TOO_MANY_LONG_BODIES, "count": 1} in logged_refusals(caplog)


def test_short_unauthenticated_bodies_count_too() -> None:
    async def scenario() -> None:
        async with running_server() as (server, _):
            size, bound = SHORT_BODY_BYTES - 1, 10 * SHORT_BODY_BYTES
            server.unauthenticated = UnauthenticatedConnections(max_body_bytes=bound)
            unauthenticated_clients = []
            for _ in range(20):
                unauthenticated_clients.append(await send_partial_body(server, size))
                assert server.unauthenticated.body_bytes <= bound
            assert server.long_body_bytes == 0 and server.connections == bound // size
            await close_all(server, unauthenticated_clients)

    run(scenario)


def test_a_slow_publication_outlasts_bodies_that_began_before_it() -> None:
    """The limit is reached before the publication begins.

    Between its parts, unauthenticated clients then send nearly as many bytes again as the limit.
    """

    async def scenario() -> None:
        async with running_server() as (server, recorder):
            unauthenticated_clients = [
                await send_partial_body(server) for _ in range(UNAUTHENTICATED_CLIENTS // 2)
            ]
            _, writer = await connect(server)
            data = request_head("/publish", PUBLICATION) + PUBLICATION
            part = len(data) // 14
            for start in range(0, len(data), part):
                arrived = server.traffic.bytes_in + len(data[start : start + part])
                writer.write(data[start : start + part])
                await wait_until(lambda: server.traffic.bytes_in >= arrived)  # noqa: B023
                if start + part < len(data):
                    unauthenticated_clients.append(await send_partial_body(server))
                assert server.unauthenticated.body_bytes <= MAX_UNAUTHENTICATED_BYTES
            assert [body for _, _, body in recorder.requests] == [PUBLICATION]
            writer.close()
            await close_all(server, unauthenticated_clients)

    run(scenario)


def test_long_requests_on_authenticated_connections_are_not_evicted() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            _, writer = await connect(server)
            writer.write(request_head("/poll", b"abc") + b"abc")
            await wait_until(lambda: len(recorder.requests) == 1)
            longest = bytes(MESSAGE_BYTES)
            writer.write(request_head("/fetch", longest) + longest[:-1])
            await wait_until(lambda: server.traffic.bytes_in > MESSAGE_BYTES)
            assert server.unauthenticated.body_bytes == 0
            unauthenticated_clients = [
                await send_partial_body(server) for _ in range(UNAUTHENTICATED_CLIENTS)
            ]
            writer.write(longest[-1:])
            await wait_until(lambda: len(recorder.requests) == 2)
            assert recorder.requests[1][1:] == ("/fetch", longest)
            writer.close()
            await close_all(server, unauthenticated_clients)

    run(scenario)


def test_the_earliest_bodies_are_evicted_until_the_rest_is_within_the_limit() -> None:
    connections = UnauthenticatedConnections[str](max_body_bytes=100)
    for name in "abcd":
        connections.add(name)
    assert connections.add_to_body("b", 30) == [] == connections.add_to_body("a", 40)
    assert connections.add_to_body("c", 30) == [] == connections.add_to_body("gone", 1_000)
    connections.renew("b")  # its connection counts as new, but its body still began first
    assert connections.oldest() == "a"
    assert connections.add_to_body("d", 50) == ["b", "a"]
    assert connections.body_bytes == 80 and len(connections) == 2
    connections.end_body("c")
    connections.remove("c")
    assert connections.body_bytes == 50 and connections.oldest() == "d"
    assert connections.add_to_body("d", 51) == ["d"]
    assert connections.body_bytes == 0 == len(connections) and connections.oldest() is None
