"""Connections without an authenticated request do not lock other hosts out of a control machine."""

from __future__ import annotations

import asyncio
import contextlib
import logging

import pytest

from tests.support.rig import wait_until, with_timeout
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
from violetroute.distribution.http_server import PROGRESS_BYTES, HttpServer

CONNECTION_LIMIT = 8
UNAUTHENTICATED_CLIENTS = 40
OTHER_KEY = b"o" * 32


def partial_requests() -> dict[str, bytes]:
    """What an unauthenticated client sends before it stops sending."""
    return {
        "nothing": b"",
        "part of a header": request_head("/poll", b"abc")[:20],
        "part of a body": request_head("/poll", b"abc") + b"a",
        "a signature by another key": request_head("/poll", b"abc", key=OTHER_KEY) + b"ab",
    }


async def fill(server: HttpServer, partial_request: bytes) -> list[asyncio.StreamWriter]:
    """Open as many connections as the limit allows; each sends this and nothing more."""
    writers = []
    for _ in range(CONNECTION_LIMIT):
        _, writer = await connect(server)
        writer.write(partial_request)
        writers.append(writer)
    await wait_until(lambda: server.connections == CONNECTION_LIMIT)
    await wait_until(lambda: server.traffic.bytes_in == CONNECTION_LIMIT * len(partial_request))
    return writers


@pytest.mark.parametrize("partial_request", partial_requests())
def test_silent_connections_are_evicted(
    partial_request: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        async with running_server(connections=CONNECTION_LIMIT) as (server, _):
            writers = await fill(server, partial_requests()[partial_request])
            clients = [client_of(server.address) for _ in range(CONNECTION_LIMIT)]
            for client in clients:
                assert await post(client) == (b"cba", "")
            assert server.connections == CONNECTION_LIMIT
            for each in (*clients, *writers):
                each.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert logged_refusals(caplog) == [{"reason": "too many connections", "count": 1}]


def test_the_oldest_silent_connection_is_evicted_first_and_authenticated_ones_stay() -> None:
    async def scenario() -> None:
        async with running_server(connections=4) as (server, _):
            first = client_of(server.address)
            assert await post(first) == (b"cba", "")
            silent = [await connect(server) for _ in range(3)]
            await wait_until(lambda: server.connections == 4)
            for reader, writer in silent:
                newest = client_of(server.address)
                assert await post(newest) == (b"cba", "")
                assert await read_to_end(reader) == b""  # this one was evicted, no later one
                writer.close()
            reader, writer = await connect(server)  # rejected, since all others are authenticated
            assert await read_to_end(reader) == b""
            writer.close()
            assert await post(first) == (b"cba", "") and first.traffic.failures == 0
            server.close()

    run(scenario)


def test_a_client_that_sends_at_once_is_served_during_a_flood_of_connections() -> None:
    async def scenario() -> None:
        async with running_server(connections=CONNECTION_LIMIT) as (server, _):

            async def connect_again_and_again() -> None:
                while True:
                    with contextlib.suppress(OSError):
                        reader, writer = await connect(server)
                        await reader.read()
                        writer.close()

            unauthenticated_clients = [
                asyncio.create_task(connect_again_and_again())
                for _ in range(UNAUTHENTICATED_CLIENTS)
            ]
            # Each failure is an eviction.
            await wait_until(lambda: server.traffic.failures > 2 * UNAUTHENTICATED_CLIENTS)
            for _ in range(10):
                client = client_of(server.address)
                assert await post(client) == (b"cba", "")
                client.close()
            for task in unauthenticated_clients:
                task.cancel()
            await with_timeout(asyncio.gather(*unauthenticated_clients, return_exceptions=True))

    run(scenario)


def test_a_long_request_that_keeps_arriving_is_not_evicted() -> None:
    """Between two parts of the request, other clients open almost as many connections as allowed.

    Over the whole request they open more than the limit, so the connection would be evicted if it
    did not count as new again after each part.
    """

    async def scenario() -> None:
        async with running_server(connections=CONNECTION_LIMIT) as (server, recorder):
            body = bytes(3 * PROGRESS_BYTES)
            partial_request = request_head("/poll", body)
            _, writer = await connect(server)
            writer.write(partial_request)
            unauthenticated_clients = []
            for number in range(3):
                writer.write(bytes(PROGRESS_BYTES))
                arrived = len(partial_request) + (number + 1) * PROGRESS_BYTES
                await wait_until(lambda: server.traffic.bytes_in == arrived)  # noqa: B023
                if number == 2:
                    break
                for _ in range(CONNECTION_LIMIT - 1):
                    unauthenticated_clients.append(await connect(server))
                evicted = number * (CONNECTION_LIMIT - 1)
                await wait_until(lambda: server.traffic.failures == evicted)  # noqa: B023
            assert [path for _, path, _ in recorder.requests] == ["/poll"]
            for each in (writer, *(writer for _, writer in unauthenticated_clients)):
                each.close()

    run(scenario)
