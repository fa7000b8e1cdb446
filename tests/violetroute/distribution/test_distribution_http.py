"""HTTP between proxies and control machines, on loopback sockets, with peers that misbehave."""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from tests.support.rig import soon, until
from violetroute.distribution import http_client, http_server, signing
from violetroute.distribution.control_choice import SubscriberSettings
from violetroute.distribution.http_client import BusyError, HttpClient, HttpPool
from violetroute.distribution.http_server import HttpServer
from violetroute.distribution.messages import MESSAGE_BYTES
from violetroute.sharing.wire import Keys
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

KEY, OTHER_KEY = b"k" * 32, b"o" * 32


class Recorder:
    """A handler that answers at once with the body reversed, or holds."""

    def __init__(self) -> None:
        self.requests: list[tuple[int, str, bytes]] = []
        self.abandoned_tickets: list[int] = []
        self.hold = False
        self.server: HttpServer

    def requested(self, ticket: int, path: str, body: bytes) -> None:
        self.requests.append((ticket, path, body))
        if not self.hold:
            self.server.answer(ticket, body[::-1])

    def abandoned(self, ticket: int) -> None:
        self.abandoned_tickets.append(ticket)


class OnResponse:
    """What a client was told, each time."""

    def __init__(self) -> None:
        self.calls: list[tuple[bytes | None, str]] = []

    def __call__(self, body: bytes | None, reason: str) -> None:
        self.calls.append((body, reason))


@asynccontextmanager
async def served(
    connections: int = 4096, keys: list[bytes] | None = None
) -> AsyncIterator[tuple[HttpServer, Recorder]]:
    net = SocketNetwork(asyncio.get_running_loop())
    recorder = Recorder()
    server = HttpServer(
        net, Address("127.0.0.1", 0), Keys(keys or [KEY]), recorder, connections=connections
    )
    recorder.server = server
    try:
        yield server, recorder
    finally:
        server.close()
        await asyncio.sleep(0)


def client_of(address: Address, *keys: bytes) -> HttpClient:
    return HttpClient(SocketNetwork(asyncio.get_running_loop()), address, Keys(list(keys) or [KEY]))


async def asked(
    client: HttpClient, body: bytes = b"abc", timeout_s: float = 10.0, path: str = "/poll"
) -> tuple[bytes | None, str]:
    told = OnResponse()
    client.request(path, body, timeout_s, told)
    assert not told.calls  # never from within the call
    await until(lambda: told.calls)
    await asyncio.sleep(0)
    assert len(told.calls) == 1
    return told.calls[0]


async def connected(server: HttpServer) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await soon(asyncio.open_connection(server.address.host, server.address.port))


async def rest(reader: asyncio.StreamReader) -> bytes:
    """All that the server sends until it closes."""
    try:
        return await soon(reader.read())
    except ConnectionError:
        return b""


def head(path: str, body: bytes, key: bytes = KEY, length: int | None = None) -> bytes:
    mac = signing.sign_request(Keys([key]), path, body).header()
    size = len(body) if length is None else length
    return f"POST {path} HTTP/1.1\r\nHost:\r\nContent-Length: {size}\r\nMAC: {mac}\r\n\r\n".encode()


def refusals(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    return [
        record.fields  # type: ignore[attr-defined]
        for record in caplog.records
        if getattr(record, "event", "") == "distribution.refused"
    ]


def run(play: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(play())  # type: ignore[arg-type]


# --- what is promised ---
def test_requests_share_a_kept_connection_and_bytes_are_counted() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            client = client_of(server.address)
            for number in range(20):
                body = b"%d" % number * 10
                assert await asked(client, body) == (body[::-1], "")
            assert server.connections == 1
            assert [path for _, path, _ in recorder.requests] == ["/poll"] * 20
            ours, theirs = client.traffic, server.traffic
            assert (ours.bytes_in, ours.bytes_out) == (theirs.bytes_out, theirs.bytes_in)
            assert ours.requests == theirs.requests == 20 and ours.bytes_out > 20 * 60
            client.close()
            await until(lambda: server.connections == 0)

    run(play)


def test_heads_are_short() -> None:
    """A proxy has 7 KB a second for all control; a poll has to cost little beside its body."""

    async def play() -> None:
        async with served() as (server, _):
            client = client_of(server.address)
            await asked(client, b"x" * 60)
            assert client.traffic.bytes_out - 60 <= 100 and client.traffic.bytes_in - 60 <= 70
            client.close()

    run(play)


def test_a_long_body_goes_both_ways_and_a_longer_one_does_not() -> None:
    async def play() -> None:
        async with served() as (server, _):
            client = client_of(server.address)
            body = bytes(range(256)) * (MESSAGE_BYTES // 256)
            assert await asked(client, body) == (body[::-1], "")
            answer, _ = await asked(client, body + b"x")
            assert answer is None and server.long_body_bytes == 0
            assert await asked(client, b"ab") == (b"ba", "")  # on a connection of its own
            client.close()

    run(play)


def test_held_requests_to_one_peer_use_connections_of_their_own() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            recorder.hold = True
            pool = HttpPool(SocketNetwork(asyncio.get_running_loop()), Keys([KEY]))
            told = [OnResponse() for _ in range(http_client.CLIENTS_PER_ADDRESS)]
            for number, each in enumerate(told):
                pool.request(server.address, "/fetch", b"%d" % number, 10.0, each)
            with pytest.raises(BusyError):
                pool.request(server.address, "/fetch", b"", 10.0, OnResponse())
            await until(lambda: len(recorder.requests) == len(told))
            assert server.connections == len(told)
            for ticket, _, body in reversed(recorder.requests):
                server.answer(ticket, body)
            await until(lambda: all(each.calls for each in told))
            assert [each.calls for each in told] == [
                [(b"%d" % number, "")] for number in range(len(told))
            ]
            pool.request(server.address, "/fetch", b"again", 10.0, again := OnResponse())
            await until(lambda: len(recorder.requests) == len(told) + 1)
            assert server.connections == len(told)
            pool.close()
            await until(lambda: recorder.abandoned_tickets == [recorder.requests[-1][0]])
            assert not again.calls

    run(play)


def test_many_connections_at_one_time() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            clients = [client_of(server.address) for _ in range(300)]
            answers = await asyncio.gather(
                *(asked(client, b"%d" % number) for number, client in enumerate(clients))
            )
            assert answers == [((b"%d" % number)[::-1], "") for number in range(300)]
            assert server.connections == len(recorder.requests) == 300
            for client in clients:
                client.close()
            await until(lambda: server.connections == 0)

    run(play)


def test_a_held_request_whose_connection_closes_is_told_once() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            recorder.hold = True
            client = client_of(server.address)
            client.request("/poll", b"x", 10.0, told := OnResponse())
            await until(lambda: recorder.requests)
            ticket = recorder.requests[0][0]
            client.close()
            await until(lambda: recorder.abandoned_tickets)
            server.answer(ticket, b"too late")
            server.refuse(ticket, 400)
            await until(lambda: server.connections == 0)
            assert recorder.abandoned_tickets == [ticket] and not told.calls

    run(play)


def test_a_server_that_closes_tells_nothing_and_the_client_connects_anew() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            recorder.hold = True
            client = client_of(server.address)
            client.request("/poll", b"x", 10.0, told := OnResponse())
            await until(lambda: recorder.requests)
            server.close()
            await until(lambda: told.calls)
            assert told.calls[0][0] is None and not recorder.abandoned_tickets
            assert (await asked(client))[0] is None  # nobody listens
            again = Recorder()
            again.server = HttpServer(
                SocketNetwork(asyncio.get_running_loop()), server.address, Keys([KEY]), again
            )
            assert await asked(client) == (b"cba", "")
            client.close()
            again.server.close()

    run(play)


# --- who may ask ---
def test_a_wrong_key_is_refused_closed_and_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            for _ in range(5):
                client = client_of(server.address, OTHER_KEY)
                assert await asked(client) == (None, "status 403")
                client.close()
            await until(lambda: server.connections == 0)
            assert not recorder.requests and server.traffic.failures == 5

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert refusals(caplog) == [{"reason": "missing or invalid signature", "count": 1}]


def test_during_a_change_of_keys_both_are_taken() -> None:
    async def play() -> None:
        async with served(keys=[OTHER_KEY, KEY]) as (server, _):
            for keys in ([KEY], [KEY, OTHER_KEY], [OTHER_KEY], [OTHER_KEY, KEY]):
                client = client_of(server.address, *keys)
                assert await asked(client) == (b"cba", "")
                client.close()

    run(play)


def test_a_signature_is_for_this_path_and_this_body() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            good = head("/poll", b"abc")
            for wrong in (
                good.replace(b"/poll", b"/fetch") + b"abc",
                good + b"abd",
                good.replace(b"MAC:", b"Max:") + b"abc",
                good.replace(b"MAC: ", b"MAC: A") + b"abc",
                good.replace(b"POST", b"PUT") + b"abc",
            ):
                reader, writer = await connected(server)
                writer.write(wrong)
                answer = await rest(reader)
                assert answer.startswith((b"HTTP/1.1 403", b"HTTP/1.1 400")), answer
                writer.close()
            assert not recorder.requests
            reader, writer = await connected(server)
            writer.write(good + b"abc")
            await until(lambda: recorder.requests)
            writer.close()

    run(play)


def test_a_request_without_a_signature_is_refused_before_its_body() -> None:
    async def play() -> None:
        async with served() as (server, _):
            reader, writer = await connected(server)
            writer.write(b"POST /poll HTTP/1.1\r\nHost:\r\nContent-Length: 1000\r\n\r\n")
            assert (await rest(reader)).startswith(b"HTTP/1.1 403")
            writer.close()

    run(play)


# --- peers that misbehave: clients ---
def test_endless_heads_and_bodies_are_cut_off() -> None:
    async def flood(server: HttpServer, start: bytes, more: bytes) -> None:
        reader, writer = await connected(server)
        writer.write(start)
        sent = 0
        try:
            while not reader.at_eof() and sent < 4 * MESSAGE_BYTES:
                writer.write(more)
                await soon(writer.drain())
                sent += len(more)
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        await rest(reader)
        writer.close()
        assert sent < 4 * MESSAGE_BYTES

    async def play() -> None:
        async with served() as (server, recorder):
            chunked = head("/poll", b"").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
            await flood(server, chunked, chunk)
            await flood(server, head("/poll", b"", length=10**12), b"x" * 65536)
            await flood(server, b"POST /poll HTTP/1.1\r\n", b"X: " + b"y" * 8000 + b"\r\n")
            await flood(server, b"POST /" + b"y" * 5000, b"y" * 65536)
            await flood(server, b"", b"\x00\xff" * 4000)
            await until(lambda: server.connections == 0)
            assert server.long_body_bytes == 0 and not recorder.requests

    run(play)


def test_long_bodies_that_are_not_whole_share_one_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "MAX_LONG_BODIES_BYTES", 300_000)

    async def play() -> None:
        async with served() as (server, _):
            first = await connected(server)
            first[1].write(head("/poll", b"", length=400_000) + b"x" * 200_000)
            await until(lambda: server.long_body_bytes > 150_000)
            second = await connected(server)
            second[1].write(head("/poll", b"", length=400_000) + b"x" * 200_000)
            assert (await rest(second[0]))[:12] in (b"HTTP/1.1 503", b"")
            client = client_of(server.address)
            assert await asked(client) == (b"cba", "")  # a short one has room all the same
            client.close()
            for _, writer in (first, second):
                writer.close()
            await until(lambda: server.connections == 0)
            assert server.long_body_bytes == 0

    run(play)


def test_half_requests_and_idle_connections_end(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(http_server, "IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.05)

    async def dribble(writer: asyncio.StreamWriter, data: bytes) -> None:
        """A byte at a time, as long as the server takes it."""
        for place in range(len(data)):
            if writer.is_closing():
                return
            writer.write(data[place : place + 1])
            await asyncio.sleep(0.02)

    async def play() -> None:
        async with served() as (server, recorder):
            whole = head("/poll", b"x" * 1000) + b"x" * 1000
            for start in (b"", whole[:20], whole[:-10]):
                reader, writer = await connected(server)
                writer.write(start)
                assert await rest(reader) == b""
                writer.close()
            reader, writer = await connected(server)
            slow = asyncio.create_task(dribble(writer, whole))
            assert await rest(reader) == b""
            slow.cancel()
            writer.close()
            assert not recorder.requests
            client = client_of(server.address)
            assert await asked(client) == (b"cba", "")
            await until(lambda: server.connections == 0)  # idle: closed without a word
            await until(lambda: client._connection is None)  # the client has read the end too
            assert await asked(client) == (b"cba", "")
            client.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert [line["reason"] for line in refusals(caplog)] == [
        "timeout of an incomplete request or an unread answer"
    ]


def test_a_request_that_crosses_the_end_of_an_idle_connection_is_told_as_lost_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The server closes for idleness, and the client asks before its loop has read the end.
    monkeypatch.setattr(http_server, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.02)

    async def play() -> None:
        async with served() as (server, recorder):
            client, told = client_of(server.address), OnResponse()
            assert await asked(client) == (b"cba", "")
            forget = server.forget

            def ask_before_the_end_is_read(connection: Any) -> None:
                forget(connection)
                if server.connections == 0 and not client.busy and len(recorder.requests) == 1:
                    client.request("/poll", b"xyz", 10.0, told)

            monkeypatch.setattr(server, "forget", ask_before_the_end_is_read)
            await until(lambda: told.calls)
            (body, reason) = told.calls[0]
            assert body is None and reason
            assert len(recorder.requests) == 1  # the server took nothing of it
            assert await asked(client) == (b"cba", "")  # on a new connection, at once
            assert len(told.calls) == 1 and client.traffic.failures == 1
            client.close()

    run(play)


def test_a_client_leaves_an_idle_connection_long_before_the_server_closes_it() -> None:
    # Both count from the same answer: the server from writing it, the client from reading it, which
    # is later by at most the request's own time as long as the client's loop is not late.
    latest_answer_s = SubscriberSettings("p0", "", ()).timeout_s
    assert http_client.IDLE_TIMEOUT_S + latest_answer_s <= http_server.IDLE_TIMEOUT_S - 20.0


def test_an_answer_that_nobody_takes_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "ANSWER_TIMEOUT_S", 0.3)
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.05)

    async def play() -> None:
        async with served() as (server, recorder):
            recorder.hold = True
            _, writer = await connected(server)
            writer.write(head("/poll", b"x") + b"x")
            await until(lambda: recorder.requests)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            server.answer(recorder.requests[0][0], b"y" * 64 * 1024 * 1024)
            assert server.connections == 1
            await until(lambda: server.connections == 0)
            writer.close()

    run(play)


def test_more_that_is_sent_while_a_request_is_held_ends_the_connection() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            recorder.hold = True
            one = head("/poll", b"x") + b"x"
            reader, writer = await connected(server)
            writer.write(one)
            await until(lambda: recorder.requests)
            writer.write(one)
            assert await rest(reader) == b""
            writer.close()
            reader, writer = await connected(server)
            writer.write(one + one)  # both in one piece
            assert await rest(reader) == b""
            writer.close()
            await until(lambda: len(recorder.abandoned_tickets) == 2)
            assert len(recorder.requests) == 2 and server.connections == 0

    run(play)


def test_connections_beyond_the_bound_are_closed(caplog: pytest.LogCaptureFixture) -> None:
    async def play() -> None:
        async with served(connections=4) as (server, _):
            inside = [client_of(server.address) for _ in range(4)]
            for client in inside:
                assert await asked(client) == (b"cba", "")
            assert server.connections == 4
            for _ in range(6):
                reader, writer = await connected(server)
                assert await rest(reader) == b""
                writer.close()
            for client in inside:
                assert await asked(client) == (b"cba", "")  # on the connection that it has
            assert sum(client.traffic.failures for client in inside) == 0
            inside[0].close()
            await until(lambda: server.connections == 3)
            another = client_of(server.address)
            assert await asked(another) == (b"cba", "")
            for client in (another, *inside):
                client.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert refusals(caplog) == [{"reason": "too many connections", "count": 1}]


# --- peers that misbehave: servers ---
@asynccontextmanager
async def playing(
    play: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[Address]:
    """A server that does what `play` says with each connection."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await play(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield Address("127.0.0.1", server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def request_from(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """The MAC header and the body of the next request."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    return headers["MAC"], await reader.readexactly(int(headers["Content-Length"]))


def answer_to(mac: str, body: bytes, key: bytes = KEY) -> bytes:
    request = signing.parse_request_header(mac.encode())
    assert request is not None
    signature = Keys([key]).sign(signing.ANSWER_PURPOSE, request.nonce + body)
    return b"HTTP/1.1 200 \r\nContent-Length: %d\r\nMAC: %b\r\n\r\n%b" % (
        len(body),
        base64.urlsafe_b64encode(signature),
        body,
    )


def test_an_answer_of_an_earlier_request_is_not_taken() -> None:
    async def play() -> None:
        recorded: list[bytes] = []

        async def replay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                mac, _ = await request_from(reader)
                if not recorded:
                    recorded.append(answer_to(mac, b"old"))
                writer.write(recorded[0])

        async with playing(replay) as address:
            client = client_of(address)
            assert await asked(client) == (b"old", "")
            body, reason = await asked(client)
            assert body is None and "no valid signature" in reason
            client.close()

    run(play)


def bad_answers() -> dict[str, Callable[[str], bytes]]:
    """What a server may send, by the request's MAC."""
    return {
        "nothing, and closes": lambda mac: b"",
        "no HTTP": lambda mac: b"-ERR what?\r\n\r\n",
        "an answer without a signature": lambda mac: b"HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
        "a wrong key": lambda mac: answer_to(mac, b"x", OTHER_KEY),
        "a spoiled signature": lambda mac: answer_to(mac, b"x").replace(b"MAC: ", b"MAC: A", 1),
        "another body": lambda mac: answer_to(mac, b"x")[:-1] + b"y",
        "half an answer": lambda mac: answer_to(mac, b"x" * 100)[:-1],
        "an error": lambda mac: b"HTTP/1.1 500 \r\nContent-Length: 0\r\n\r\n",
        "an endless head": lambda mac: b"HTTP/1.1 200 \r\n" + b"X: yyyyyyyyyyyyy\r\n" * 100_000,
        "an endless body": lambda mac: b"HTTP/1.1 200 \r\n\r\n" + b"y" * (MESSAGE_BYTES + 100_000),
        "more than was asked for": lambda mac: b"HTTP/1.1 100 \r\n\r\n" * 10,
    }


@pytest.mark.parametrize("name", bad_answers())
def test_a_bad_answer_is_none_and_told_once(name: str) -> None:
    async def play() -> None:
        answered = 0

        async def misbehave(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal answered
            mac, _ = await request_from(reader)
            answered += 1
            writer.write(bad_answers()[name](mac) if answered == 1 else answer_to(mac, b"good"))
            await writer.drain()

        async with playing(misbehave) as address:
            client = client_of(address)
            body, reason = await asked(client)
            assert body is None and reason
            assert await asked(client) == (b"good", "")  # the next request is not harmed
            client.close()

    run(play)


def test_a_late_answer_is_not_taken_for_that_of_a_later_request() -> None:
    async def play() -> None:
        late = asyncio.Event()
        first: list[asyncio.StreamWriter] = []

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            mac, body = await request_from(reader)
            if body == b"first":
                first.append(writer)
                await late.wait()
            writer.write(answer_to(mac, body))
            await writer.drain()

        async with playing(slow) as address:
            client = client_of(address)
            assert await asked(client, b"first", timeout_s=0.1) == (None, "no answer in time")
            late.set()
            assert await asked(client, b"second") == (b"second", "")
            client.close()

    run(play)


def test_a_client_that_is_closed_or_busy_says_so() -> None:
    async def play() -> None:
        async with served() as (server, recorder):
            recorder.hold = True
            client = client_of(server.address)
            client.request("/poll", b"x", 10.0, OnResponse())
            with pytest.raises(BusyError):
                client.request("/poll", b"y", 10.0, OnResponse())
            client.close()
            with pytest.raises(BusyError):
                client.request("/poll", b"z", 10.0, OnResponse())

    run(play)


def test_a_connection_that_was_idle_for_long_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_client, "IDLE_TIMEOUT_S", 0.0)

    async def play() -> None:
        connections = 0

        async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            while True:
                mac, body = await request_from(reader)
                writer.write(answer_to(mac, body))

        async with playing(count) as address:
            client = client_of(address)
            for _ in range(3):
                assert await asked(client) == (b"abc", "")
            assert connections == 3
            client.close()

    run(play)
