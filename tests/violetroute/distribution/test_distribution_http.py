"""HTTP between proxies and control machines on loopback sockets, also with misbehaving peers."""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from tests.support.rig import wait_until, with_timeout
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
    """A handler that answers at once with the reversed body, or holds the request."""

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


class ResponseRecorder:
    """Records the calls of a client's response callback."""

    def __init__(self) -> None:
        self.calls: list[tuple[bytes | None, str]] = []

    def __call__(self, body: bytes | None, reason: str) -> None:
        self.calls.append((body, reason))


@asynccontextmanager
async def running_server(
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


async def post(
    client: HttpClient, body: bytes = b"abc", timeout_s: float = 10.0, path: str = "/poll"
) -> tuple[bytes | None, str]:
    recorded_responses = ResponseRecorder()
    client.request(path, body, timeout_s, recorded_responses)
    assert not recorded_responses.calls  # the callback is never called from within `request`
    await wait_until(lambda: recorded_responses.calls)
    await asyncio.sleep(0)
    assert len(recorded_responses.calls) == 1
    return recorded_responses.calls[0]


async def connect(server: HttpServer) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await with_timeout(asyncio.open_connection(server.address.host, server.address.port))


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """All that the server sends until it closes."""
    try:
        return await with_timeout(reader.read())
    except ConnectionError:
        return b""


def request_head(path: str, body: bytes, key: bytes = KEY, length: int | None = None) -> bytes:
    mac = signing.sign_request(Keys([key]), path, body).header()
    size = len(body) if length is None else length
    return f"POST {path} HTTP/1.1\r\nHost:\r\nContent-Length: {size}\r\nMAC: {mac}\r\n\r\n".encode()


def logged_refusals(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    return [
        record.fields  # type: ignore[attr-defined]
        for record in caplog.records
        if getattr(record, "event", "") == "distribution.refused"
    ]


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(scenario())  # type: ignore[arg-type]


# --- guarantees ---
def test_requests_share_a_persistent_connection_and_bytes_are_counted() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            client = client_of(server.address)
            for number in range(20):
                body = b"%d" % number * 10
                assert await post(client, body) == (body[::-1], "")
            assert server.connections == 1
            assert [path for _, path, _ in recorder.requests] == ["/poll"] * 20
            sent, received = client.traffic, server.traffic
            assert (sent.bytes_in, sent.bytes_out) == (received.bytes_out, received.bytes_in)
            assert sent.requests == received.requests == 20 and sent.bytes_out > 20 * 60
            client.close()
            await wait_until(lambda: server.connections == 0)

    run(scenario)


def test_headers_are_short() -> None:
    """A proxy may use 7 KB/s for all control traffic: a poll must cost little beyond its body."""

    async def scenario() -> None:
        async with running_server() as (server, _):
            client = client_of(server.address)
            await post(client, b"x" * 60)
            assert client.traffic.bytes_out - 60 <= 100 and client.traffic.bytes_in - 60 <= 70
            client.close()

    run(scenario)


def test_the_longest_body_passes_both_ways_and_a_longer_one_does_not() -> None:
    async def scenario() -> None:
        async with running_server() as (server, _):
            client = client_of(server.address)
            body = bytes(range(256)) * (MESSAGE_BYTES // 256)
            assert await post(client, body) == (body[::-1], "")
            answer, _ = await post(client, body + b"x")
            assert answer is None and server.long_body_bytes == 0
            assert await post(client, b"ab") == (b"ba", "")  # on a new connection
            client.close()

    run(scenario)


def test_held_requests_to_one_peer_use_connections_of_their_own() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            recorder.hold = True
            pool = HttpPool(SocketNetwork(asyncio.get_running_loop()), Keys([KEY]))
            recorded_responses = [
                ResponseRecorder() for _ in range(http_client.CLIENTS_PER_ADDRESS)
            ]
            for number, each in enumerate(recorded_responses):
                pool.request(server.address, "/fetch", b"%d" % number, 10.0, each)
            with pytest.raises(BusyError):
                pool.request(server.address, "/fetch", b"", 10.0, ResponseRecorder())
            await wait_until(lambda: len(recorder.requests) == len(recorded_responses))
            assert server.connections == len(recorded_responses)
            for ticket, _, body in reversed(recorder.requests):
                server.answer(ticket, body)
            await wait_until(lambda: all(each.calls for each in recorded_responses))
            assert [each.calls for each in recorded_responses] == [
                [(b"%d" % number, "")] for number in range(len(recorded_responses))
            ]
            pool.request(server.address, "/fetch", b"again", 10.0, again := ResponseRecorder())
            await wait_until(lambda: len(recorder.requests) == len(recorded_responses) + 1)
            assert server.connections == len(recorded_responses)
            pool.close()
            await wait_until(lambda: recorder.abandoned_tickets == [recorder.requests[-1][0]])
            assert not again.calls

    run(scenario)


def test_many_connections_at_one_time() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            clients = [client_of(server.address) for _ in range(300)]
            answers = await asyncio.gather(
                *(post(client, b"%d" % number) for number, client in enumerate(clients))
            )
            assert answers == [((b"%d" % number)[::-1], "") for number in range(300)]
            assert server.connections == len(recorder.requests) == 300
            for client in clients:
                client.close()
            await wait_until(lambda: server.connections == 0)

    run(scenario)


def test_a_held_request_is_abandoned_once_when_its_connection_closes() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            recorder.hold = True
            client = client_of(server.address)
            client.request("/poll", b"x", 10.0, recorded_responses := ResponseRecorder())
            await wait_until(lambda: recorder.requests)
            ticket = recorder.requests[0][0]
            client.close()
            await wait_until(lambda: recorder.abandoned_tickets)
            server.answer(ticket, b"too late")
            server.refuse(ticket, 400)
            await wait_until(lambda: server.connections == 0)
            assert recorder.abandoned_tickets == [ticket] and not recorded_responses.calls

    run(scenario)


def test_a_closed_server_abandons_no_ticket_and_the_client_reconnects() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            recorder.hold = True
            client = client_of(server.address)
            client.request("/poll", b"x", 10.0, recorded_responses := ResponseRecorder())
            await wait_until(lambda: recorder.requests)
            server.close()
            await wait_until(lambda: recorded_responses.calls)
            assert recorded_responses.calls[0][0] is None and not recorder.abandoned_tickets
            assert (await post(client))[0] is None  # the port is closed
            again = Recorder()
            again.server = HttpServer(
                SocketNetwork(asyncio.get_running_loop()), server.address, Keys([KEY]), again
            )
            assert await post(client) == (b"cba", "")
            client.close()
            again.server.close()

    run(scenario)


# --- authentication ---
def test_a_wrong_key_is_refused_and_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            for _ in range(5):
                client = client_of(server.address, OTHER_KEY)
                assert await post(client) == (None, "status 403")
                client.close()
            await wait_until(lambda: server.connections == 0)
            assert not recorder.requests and server.traffic.failures == 5

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert logged_refusals(caplog) == [{"reason": "missing or invalid signature", "count": 1}]


def test_both_keys_are_accepted_during_a_key_rotation() -> None:
    async def scenario() -> None:
        async with running_server(keys=[OTHER_KEY, KEY]) as (server, _):
            for keys in ([KEY], [KEY, OTHER_KEY], [OTHER_KEY], [OTHER_KEY, KEY]):
                client = client_of(server.address, *keys)
                assert await post(client) == (b"cba", "")
                client.close()

    run(scenario)


def test_a_signature_covers_path_and_body() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            good = request_head("/poll", b"abc")
            for wrong in (
                good.replace(b"/poll", b"/fetch") + b"abc",
                good + b"abd",
                good.replace(b"MAC:", b"Max:") + b"abc",
                good.replace(b"MAC: ", b"MAC: A") + b"abc",
                good.replace(b"POST", b"PUT") + b"abc",
            ):
                reader, writer = await connect(server)
                writer.write(wrong)
                answer = await read_to_end(reader)
                assert answer.startswith((b"HTTP/1.1 403", b"HTTP/1.1 400")), answer
                writer.close()
            assert not recorder.requests
            reader, writer = await connect(server)
            writer.write(good + b"abc")
            await wait_until(lambda: recorder.requests)
            writer.close()

    run(scenario)


def test_a_request_without_a_signature_is_refused_before_its_body() -> None:
    async def scenario() -> None:
        async with running_server() as (server, _):
            reader, writer = await connect(server)
            writer.write(b"POST /poll HTTP/1.1\r\nHost:\r\nContent-Length: 1000\r\n\r\n")
            assert (await read_to_end(reader)).startswith(b"HTTP/1.1 403")
            writer.close()

    run(scenario)


# --- misbehaving clients ---
def test_endless_headers_and_bodies_are_disconnected() -> None:
    async def flood(server: HttpServer, start: bytes, more: bytes) -> None:
        reader, writer = await connect(server)
        writer.write(start)
        sent = 0
        try:
            while not reader.at_eof() and sent < 4 * MESSAGE_BYTES:
                writer.write(more)
                await with_timeout(writer.drain())
                sent += len(more)
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        await read_to_end(reader)
        writer.close()
        assert sent < 4 * MESSAGE_BYTES

    async def scenario() -> None:
        async with running_server() as (server, recorder):
            chunked = request_head("/poll", b"").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
            await flood(server, chunked, chunk)
            await flood(server, request_head("/poll", b"", length=10**12), b"x" * 65536)
            await flood(server, b"POST /poll HTTP/1.1\r\n", b"X: " + b"y" * 8000 + b"\r\n")
            await flood(server, b"POST /" + b"y" * 5000, b"y" * 65536)
            await flood(server, b"", b"\x00\xff" * 4000)
            await wait_until(lambda: server.connections == 0)
            assert server.long_body_bytes == 0 and not recorder.requests

    run(scenario)


def test_incomplete_long_bodies_share_one_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "MAX_LONG_BODIES_BYTES", 300_000)

    async def scenario() -> None:
        async with running_server() as (server, _):
            first = await connect(server)
            first[1].write(request_head("/poll", b"", length=400_000) + b"x" * 200_000)
            await wait_until(lambda: server.long_body_bytes > 150_000)
            second = await connect(server)
            second[1].write(request_head("/poll", b"", length=400_000) + b"x" * 200_000)
            assert (await read_to_end(second[0]))[:12] in (b"HTTP/1.1 503", b"")
            client = client_of(server.address)
            assert await post(client) == (b"cba", "")  # a short body is still accepted
            client.close()
            for _, writer in (first, second):
                writer.close()
            await wait_until(lambda: server.connections == 0)
            assert server.long_body_bytes == 0

    run(scenario)


def test_incomplete_requests_and_idle_connections_time_out(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(http_server, "IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.05)

    async def dribble(writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write one byte at a time until the server closes the connection."""
        for offset in range(len(data)):
            if writer.is_closing():
                return
            writer.write(data[offset : offset + 1])
            await asyncio.sleep(0.02)

    async def scenario() -> None:
        async with running_server() as (server, recorder):
            complete_request = request_head("/poll", b"x" * 1000) + b"x" * 1000
            for start in (b"", complete_request[:20], complete_request[:-10]):
                reader, writer = await connect(server)
                writer.write(start)
                assert await read_to_end(reader) == b""
                writer.close()
            reader, writer = await connect(server)
            slow = asyncio.create_task(dribble(writer, complete_request))
            assert await read_to_end(reader) == b""
            slow.cancel()
            writer.close()
            assert not recorder.requests
            client = client_of(server.address)
            assert await post(client) == (b"cba", "")
            await wait_until(lambda: server.connections == 0)  # idle: closed without an answer
            await wait_until(lambda: client._connection is None)  # the client has seen the close
            assert await post(client) == (b"cba", "")
            client.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert [line["reason"] for line in logged_refusals(caplog)] == [
        "timeout of an incomplete request or an unread answer"
    ]


def test_a_request_that_races_with_the_idle_timeout_fails_exactly_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The server closes the idle connection, and the client sends before its loop has read the
    # close.
    monkeypatch.setattr(http_server, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        async with running_server() as (server, recorder):
            client, recorded_responses = client_of(server.address), ResponseRecorder()
            assert await post(client) == (b"cba", "")
            forget = server.forget

            def send_before_the_close_is_read(connection: Any) -> None:
                forget(connection)
                if server.connections == 0 and not client.busy and len(recorder.requests) == 1:
                    client.request("/poll", b"xyz", 10.0, recorded_responses)

            monkeypatch.setattr(server, "forget", send_before_the_close_is_read)
            await wait_until(lambda: recorded_responses.calls)
            (body, reason) = recorded_responses.calls[0]
            assert body is None and reason
            assert len(recorder.requests) == 1  # the server has not received the second request
            assert await post(client) == (b"cba", "")  # succeeds at once on a new connection
            assert len(recorded_responses.calls) == 1 and client.traffic.failures == 1
            client.close()

    run(scenario)


def test_a_client_drops_an_idle_connection_long_before_the_server_closes_it() -> None:
    # Both timeouts start with the same answer: the server's when it writes the answer, the client's
    # when it reads it.  The client reads at most the request's timeout later, unless its loop is
    # late.
    latest_answer_s = SubscriberSettings("p0", "", ()).timeout_s
    assert http_client.IDLE_TIMEOUT_S + latest_answer_s <= http_server.IDLE_TIMEOUT_S - 20.0


def test_an_unread_answer_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "ANSWER_TIMEOUT_S", 0.3)
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.05)

    async def scenario() -> None:
        async with running_server() as (server, recorder):
            recorder.hold = True
            _, writer = await connect(server)
            writer.write(request_head("/poll", b"x") + b"x")
            await wait_until(lambda: recorder.requests)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            server.answer(recorder.requests[0][0], b"y" * 64 * 1024 * 1024)
            assert server.connections == 1
            await wait_until(lambda: server.connections == 0)
            writer.close()

    run(scenario)


def test_data_sent_while_a_request_is_held_closes_the_connection() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            recorder.hold = True
            one = request_head("/poll", b"x") + b"x"
            reader, writer = await connect(server)
            writer.write(one)
            await wait_until(lambda: recorder.requests)
            writer.write(one)
            assert await read_to_end(reader) == b""
            writer.close()
            reader, writer = await connect(server)
            writer.write(one + one)  # both in one write
            assert await read_to_end(reader) == b""
            writer.close()
            await wait_until(lambda: len(recorder.abandoned_tickets) == 2)
            assert len(recorder.requests) == 2 and server.connections == 0

    run(scenario)


def test_connections_beyond_the_limit_are_closed(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with running_server(connections=4) as (server, _):
            inside = [client_of(server.address) for _ in range(4)]
            for client in inside:
                assert await post(client) == (b"cba", "")
            assert server.connections == 4
            for _ in range(6):
                reader, writer = await connect(server)
                assert await read_to_end(reader) == b""
                writer.close()
            for client in inside:
                assert await post(client) == (b"cba", "")  # on its existing connection
            assert sum(client.traffic.failures for client in inside) == 0
            inside[0].close()
            await wait_until(lambda: server.connections == 3)
            another = client_of(server.address)
            assert await post(another) == (b"cba", "")
            for client in (another, *inside):
                client.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert logged_refusals(caplog) == [{"reason": "too many connections", "count": 1}]


# --- misbehaving servers ---
@asynccontextmanager
async def scripted_server(
    scenario: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[Address]:
    """A server that runs `scenario` for each connection."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await scenario(reader, writer)
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


def test_a_replayed_answer_is_rejected() -> None:
    async def scenario() -> None:
        recorded: list[bytes] = []

        async def replay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                mac, _ = await request_from(reader)
                if not recorded:
                    recorded.append(answer_to(mac, b"old"))
                writer.write(recorded[0])

        async with scripted_server(replay) as address:
            client = client_of(address)
            assert await post(client) == (b"old", "")
            body, reason = await post(client)
            assert body is None and "no valid signature" in reason
            client.close()

    run(scenario)


def invalid_answers() -> dict[str, Callable[[str], bytes]]:
    """Invalid answers of a server; each function gets the request's MAC."""
    return {
        "nothing, and closes": lambda mac: b"",
        "no HTTP": lambda mac: b"-ERR what?\r\n\r\n",
        "an answer without a signature": lambda mac: b"HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
        "a wrong key": lambda mac: answer_to(mac, b"x", OTHER_KEY),
        "a malformed signature": lambda mac: answer_to(mac, b"x").replace(b"MAC: ", b"MAC: A", 1),
        "another body": lambda mac: answer_to(mac, b"x")[:-1] + b"y",
        "half an answer": lambda mac: answer_to(mac, b"x" * 100)[:-1],
        "an error": lambda mac: b"HTTP/1.1 500 \r\nContent-Length: 0\r\n\r\n",
        "an endless header": lambda mac: b"HTTP/1.1 200 \r\n" + b"X: yyyyyyyyyyyyy\r\n" * 100_000,
        "an endless body": lambda mac: b"HTTP/1.1 200 \r\n\r\n" + b"y" * (MESSAGE_BYTES + 100_000),
        "interim responses without end": lambda mac: b"HTTP/1.1 100 \r\n\r\n" * 10,
    }


@pytest.mark.parametrize("name", invalid_answers())
def test_an_invalid_answer_is_reported_as_none_once(name: str) -> None:
    async def scenario() -> None:
        answered = 0

        async def misbehave(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal answered
            mac, _ = await request_from(reader)
            answered += 1
            writer.write(invalid_answers()[name](mac) if answered == 1 else answer_to(mac, b"good"))
            await writer.drain()

        async with scripted_server(misbehave) as address:
            client = client_of(address)
            body, reason = await post(client)
            assert body is None and reason
            assert await post(client) == (b"good", "")  # the next request succeeds
            client.close()

    run(scenario)


def test_a_late_answer_is_not_taken_for_that_of_a_later_request() -> None:
    async def scenario() -> None:
        late = asyncio.Event()
        first: list[asyncio.StreamWriter] = []

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            mac, body = await request_from(reader)
            if body == b"first":
                first.append(writer)
                await late.wait()
            writer.write(answer_to(mac, body))
            await writer.drain()

        async with scripted_server(slow) as address:
            client = client_of(address)
            assert await post(client, b"first", timeout_s=0.1) == (None, "no answer in time")
            late.set()
            assert await post(client, b"second") == (b"second", "")
            client.close()

    run(scenario)


def test_a_closed_or_busy_client_raises_busy_error() -> None:
    async def scenario() -> None:
        async with running_server() as (server, recorder):
            recorder.hold = True
            client = client_of(server.address)
            client.request("/poll", b"x", 10.0, ResponseRecorder())
            with pytest.raises(BusyError):
                client.request("/poll", b"y", 10.0, ResponseRecorder())
            client.close()
            with pytest.raises(BusyError):
                client.request("/poll", b"z", 10.0, ResponseRecorder())

    run(scenario)


def test_a_connection_idle_for_too_long_is_not_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_client, "IDLE_TIMEOUT_S", 0.0)

    async def scenario() -> None:
        connections = 0

        async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            while True:
                mac, body = await request_from(reader)
                writer.write(answer_to(mac, body))

        async with scripted_server(count) as address:
            client = client_of(address)
            for _ in range(3):
                assert await post(client) == (b"abc", "")
            assert connections == 3
            client.close()

    run(scenario)
