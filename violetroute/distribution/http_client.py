"""HTTP client: persistent HTTP/1.1 connections that carry one request at a time.

Guarantees of `HttpClient.request`:

- `on_response` is called exactly once, by the event loop, never from within `request` and never
  after `close`.
- A response is accepted only if it is complete, has status 200 and is signed for this request.
- The connection is closed if there is no response within `timeout_s`, so that a late response
  cannot be taken for that of a later request.

A missing response does not mean that the request failed: the server may have processed it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

from violetroute.sharing.wire import Keys
from violetroute.transport import Address, Network, Stream

from .messages import MESSAGE_BYTES
from .signing import HEADER, HEADER_NAME, RequestSignature, sign_request, verify_answer
from .traffic import HEADER_BYTES, READ_BUFFER, Traffic

# A connection is not reused after this idle time, which is less than the server's idle timeout.
IDLE_TIMEOUT_S = 30.0
CLIENTS_PER_ADDRESS = 8  # maximum of clients for one address in a pool
OK = 200

OnResponse = Callable[[bytes | None, str], None]  # the body, or None and the reason


class BusyError(Exception):
    """A request is in progress on this client, or on all clients that a pool may have."""


class HttpClient:
    """Sends requests to one address, one at a time, over a persistent connection."""

    __slots__ = (
        "_address",
        "_closed",
        "_connection",
        "_idle_since",
        "_keys",
        "_net",
        "_on_response",
        "_timer",
        "traffic",
    )

    def __init__(
        self, net: Network, address: Address, keys: Keys, traffic: Traffic | None = None
    ) -> None:
        self._net, self._address, self._keys = net, address, keys
        self.traffic = traffic if traffic is not None else Traffic()
        self._connection: _Connection | None = None
        self._on_response: OnResponse | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0
        self._closed = False

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._on_response is not None

    def request(self, path: str, body: bytes, timeout_s: float, on_response: OnResponse) -> None:
        """POST `body` to `path`.  Raises BusyError during another request and after `close`."""
        if self._on_response is not None or self._closed:
            raise BusyError
        self._on_response = on_response
        self.traffic.requests += 1
        loop = self._net.loop
        self._timer = loop.call_later(timeout_s, self._failed, "no answer in time")
        connection = self._connection
        if connection is None or loop.time() - self._idle_since > IDLE_TIMEOUT_S:
            self._disconnect()
            connection = self._connection = _Connection(self, self._net, self._address, timeout_s)
        connection.send(path, body, sign_request(self._keys, path, body))

    def close(self) -> None:
        """Close the connection; `on_response` is not called any more.

        The server may still process a request that was in progress.
        """
        self._closed = True
        self._finish()
        self._disconnect()

    # --- from the connection ---
    def _response_received(self, body: bytes, keep_alive: bool) -> None:
        on_response = self._finish()
        self._idle_since = self._net.loop.time()
        if not keep_alive:
            self._disconnect()
        if on_response is not None:
            on_response(body, "")

    def _failed(self, reason: str) -> None:
        on_response = self._finish()
        self._disconnect()
        if on_response is not None:
            self.traffic.failures += 1
            on_response(None, reason)

    def _finish(self) -> OnResponse | None:
        on_response, self._on_response = self._on_response, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return on_response

    def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.drop()


class _Connection:
    """One connection of a client.  After `drop` it does not call its client any more."""

    __slots__ = (
        "_body",
        "_client",
        "_http",
        "_mac",
        "_opened",
        "_pending",
        "_signature",
        "_status",
        "_stream",
    )

    def __init__(
        self, client: HttpClient, net: Network, address: Address, timeout_s: float
    ) -> None:
        self._client: HttpClient | None = client
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_BYTES)
        self._pending = b""  # a request to send once the connection is established
        self._opened = False
        self._signature: RequestSignature | None = None  # the request's, while one is open
        self._status, self._mac = 0, b""
        self._body = bytearray()
        self._stream: Stream = net.connect(address, self, timeout_s)

    def send(self, path: str, body: bytes, signature: RequestSignature) -> None:
        self._signature = signature
        self._status, self._mac = 0, b""
        self._body.clear()
        request = h11.Request(
            method="POST",
            target=path,
            headers=[
                ("Host", ""),  # RFC 9112, 3.2: empty where there is no authority to name
                ("Content-Length", str(len(body))),
                (HEADER, signature.header()),
            ],
        )
        parts = (
            self._http.send(request),
            self._http.send(h11.Data(data=body)),
            self._http.send(h11.EndOfMessage()),
        )
        data = b"".join(part for part in parts if part)
        if self._opened:
            self._write(data)
        else:
            self._pending = data

    def drop(self) -> None:
        self._client = None
        self._stream.abort()

    def _write(self, data: bytes) -> None:
        assert self._client is not None
        self._client.traffic.bytes_out += len(data)
        self._stream.write(data)

    def _fail(self, reason: str) -> None:
        if self._client is not None:
            self._client._failed(reason)

    # --- stream ---
    def opened(self) -> None:
        self._opened = True
        if self._client is not None and self._pending:
            data, self._pending = self._pending, b""
            self._write(data)

    def buffer(self) -> memoryview:
        return READ_BUFFER

    def received(self, count: int) -> None:
        if self._client is None:
            return
        self._client.traffic.bytes_in += count
        if self._signature is None:
            self._fail("the server sent data without a request")
            return
        self._parse(bytes(READ_BUFFER[:count]))

    def ended(self) -> None:
        if self._signature is not None:
            self._parse(b"")
        self._fail("the server closed the connection")

    def drained(self) -> None:
        pass

    def lost(self, error: OSError | None) -> None:
        self._fail(str(error or "the connection is closed"))

    # --- the answer ---
    def _parse(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self._client is not None and self._next_event():
                pass
        except (h11.RemoteProtocolError, ValueError) as error:
            self._fail(f"invalid HTTP response: {error}")

    def _next_event(self) -> bool:
        """Process the next event.  Returns whether to continue.

        Raises ValueError if the response is too long.
        """
        event = self._http.next_event()
        match event:
            case h11.Response(status_code=status, headers=headers):
                self._status = status
                self._mac = dict(headers).get(HEADER_NAME, b"")
            case h11.Data(data=data):
                if len(self._body) + len(data) > MESSAGE_BYTES:
                    raise ValueError("the body is too long")
                self._body += data
            case h11.EndOfMessage():
                self._complete()
                return False
            case h11.InformationalResponse():
                pass
            case _:
                return False
        return True

    def _complete(self) -> None:
        client, signature = self._client, self._signature
        assert client is not None and signature is not None
        self._signature = None
        body = bytes(self._body)
        self._body.clear()
        if self._status != OK:
            self._fail(f"status {self._status}")
        elif not verify_answer(client._keys, signature, self._mac, body):
            self._fail("the response has no valid signature for this request")
        else:
            keep_alive = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
            keep_alive = keep_alive and not self._http.trailing_data[0]
            if keep_alive:
                self._http.start_next_cycle()
            client._response_received(body, keep_alive)


class HttpPool:
    """Clients for several addresses; concurrent requests to one address use several clients."""

    __slots__ = ("_clients", "_keys", "_net", "traffic")

    def __init__(self, net: Network, keys: Keys, traffic: Traffic | None = None) -> None:
        self._net, self._keys = net, keys
        self.traffic = traffic if traffic is not None else Traffic()
        self._clients: dict[Address, list[HttpClient]] = {}

    def request(
        self, address: Address, path: str, body: bytes, timeout_s: float, on_response: OnResponse
    ) -> None:
        """As `HttpClient.request`.  BusyError if CLIENTS_PER_ADDRESS requests are in progress."""
        clients = self._clients.setdefault(address, [])
        client = next((each for each in clients if not each.busy), None)
        if client is None:
            if len(clients) >= CLIENTS_PER_ADDRESS:
                raise BusyError
            client = HttpClient(self._net, address, self._keys, self.traffic)
            clients.append(client)
        client.request(path, body, timeout_s, on_response)

    def close(self) -> None:
        """Close all clients; no `on_response` is called any more."""
        for clients in self._clients.values():
            for client in clients:
                client.close()
        self._clients.clear()
