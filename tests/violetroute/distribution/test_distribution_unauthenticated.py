"""Connections that send no genuine request do not keep other machines out of a control machine."""

from __future__ import annotations

import asyncio
import contextlib
import logging

import pytest

from tests.support.rig import soon, until
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
from violetroute.distribution.http_server import PROGRESS_BYTES, HttpServer

PLACES = 8
STRANGERS = 40
OTHER_KEY = b"o" * 32


def openings() -> dict[str, bytes]:
    """What a stranger sends before it falls silent."""
    return {
        "nothing": b"",
        "half a head": head("/poll", b"abc")[:20],
        "half a body": head("/poll", b"abc") + b"a",
        "another's signature": head("/poll", b"abc", key=OTHER_KEY) + b"ab",
    }


async def fill(server: HttpServer, opening: bytes) -> list[asyncio.StreamWriter]:
    """All places are taken by connections that send this and nothing more."""
    writers = []
    for _ in range(PLACES):
        _, writer = await connected(server)
        writer.write(opening)
        writers.append(writer)
    await until(lambda: server.connections == PLACES)
    await until(lambda: server.traffic.bytes_in == PLACES * len(opening))
    return writers


@pytest.mark.parametrize("opening", openings())
def test_silent_connections_make_way(opening: str, caplog: pytest.LogCaptureFixture) -> None:
    async def play() -> None:
        async with served(connections=PLACES) as (server, _):
            writers = await fill(server, openings()[opening])
            clients = [client_of(server.address) for _ in range(PLACES)]
            for client in clients:
                assert await asked(client) == (b"cba", "")
            assert server.connections == PLACES
            for each in (*clients, *writers):
                each.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert refusals(caplog) == [{"reason": "too many connections", "count": 1}]


def test_the_oldest_silent_connection_goes_first_and_authenticated_ones_stay() -> None:
    async def play() -> None:
        async with served(connections=4) as (server, _):
            first = client_of(server.address)
            assert await asked(first) == (b"cba", "")
            silent = [await connected(server) for _ in range(3)]
            await until(lambda: server.connections == 4)
            for reader, writer in silent:
                newest = client_of(server.address)
                assert await asked(newest) == (b"cba", "")
                assert await rest(reader) == b""  # this one, and not one that came later
                writer.close()
            reader, writer = await connected(server)  # now no place can be had
            assert await rest(reader) == b""
            writer.close()
            assert await asked(first) == (b"cba", "") and first.traffic.failures == 0
            server.close()

    run(play)


def test_who_sends_at_once_is_heard_while_others_connect_without_end() -> None:
    async def play() -> None:
        async with served(connections=PLACES) as (server, _):

            async def connect_again_and_again() -> None:
                while True:
                    with contextlib.suppress(OSError):
                        reader, writer = await connected(server)
                        await reader.read()
                        writer.close()

            strangers = [asyncio.create_task(connect_again_and_again()) for _ in range(STRANGERS)]
            await until(lambda: server.traffic.failures > 2 * STRANGERS)  # so many were evicted
            for _ in range(10):
                client = client_of(server.address)
                assert await asked(client) == (b"cba", "")
                client.close()
            for stranger in strangers:
                stranger.cancel()
            await soon(asyncio.gather(*strangers, return_exceptions=True))

    run(play)


def test_a_long_request_that_goes_on_arriving_is_not_evicted() -> None:
    """Between two parts of it more strangers connect than there are places in all."""

    async def play() -> None:
        async with served(connections=PLACES) as (server, recorder):
            body = bytes(3 * PROGRESS_BYTES)
            opening = head("/poll", body)
            _, writer = await connected(server)
            writer.write(opening)
            strangers = []
            for number in range(3):
                writer.write(bytes(PROGRESS_BYTES))
                arrived = len(opening) + (number + 1) * PROGRESS_BYTES
                await until(lambda: server.traffic.bytes_in == arrived)  # noqa: B023
                if number == 2:
                    break
                for _ in range(PLACES - 1):
                    strangers.append(await connected(server))
                evicted = number * (PLACES - 1)
                await until(lambda: server.traffic.failures == evicted)  # noqa: B023
            assert [path for _, path, _ in recorder.requests] == ["/poll"]
            for each in (writer, *(writer for _, writer in strangers)):
                each.close()

    run(play)
