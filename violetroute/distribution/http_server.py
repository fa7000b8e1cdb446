"""HTTP/1.1 server with bounded resources: one request at a time on each connection.

A request is passed to the handler once it is complete and its signature is valid, with a *ticket*:
the number by which it is answered, at once or much later.  If the connection closes first, the
handler is notified exactly once that the ticket was abandoned; an answer to it has no effect.

Limits: connections; a request's header, body and duration; the bytes of all long bodies not yet
complete, and of all bodies on unauthenticated connections; idle time; the time to read an answer.
A peer that sends more data while its request is in progress is disconnected: the server never
buffers data that it is not ready to process.

A connection is *unauthenticated* until a request with a valid signature has arrived on it.  At the
limit of connections, a new one evicts the oldest unauthenticated one, so that a host without a key
cannot lock out the others.  A connection on which a long request is arriving counts as new again
after every `PROGRESS_BYTES`.  An authenticated connection is never evicted.
"""

from __future__ import annotations

from typing import Protocol

import h11

from violetroute import logs
from violetroute.sharing.wire import Keys
from violetroute.transport import Address, Network, Stream

from .messages import MESSAGE_BYTES
from .signing import (
    HEADER,
    HEADER_NAME,
    RequestSignature,
    parse_request_header,
    sign_answer,
    verify_request,
)
from .traffic import HEADER_BYTES, READ_BUFFER, LogThrottle, Traffic
from .unauthenticated import UnauthenticatedConnections

MAX_CONNECTIONS = 4096
BACKLOG = 1024
REQUEST_TIMEOUT_S = 10.0  # s from a request's first byte, or the connection's start, to its last
IDLE_TIMEOUT_S = 60.0  # s between an answer and the next request
ANSWER_TIMEOUT_S = 20.0  # s for the peer to read an answer
SWEEP_INTERVAL_S = 1.0  # s between two checks of the connections' deadlines
SHORT_BODY_BYTES = 16 * 1024  # only bytes beyond this count towards MAX_LONG_BODIES_BYTES
MAX_LONG_BODIES_BYTES = 64 * 1024 * 1024  # bytes of all long bodies that are incomplete
MAX_ACCEPTS_PER_ITERATION = 64  # accepts per loop iteration: open connections are served too
ACCEPT_RETRY_S = 1.0  # s until the next accept after the process ran out of file descriptors
MAX_PATH_BYTES = 64
PROGRESS_BYTES = 16_384  # bytes of a body after which its connection counts as new again
NEVER = float("inf")
INVALID_REQUEST = "invalid request"
TOO_MANY_CONNECTIONS = "too many connections"
TOO_MANY_LONG_BODIES = "too many long requests of unauthenticated connections"


class RequestHandler(Protocol):
    """Handles the server's requests.  It may answer from within `requested`."""

    def requested(self, ticket: int, path: str, body: bytes) -> None:
        """A request with a valid signature.  It must be answered or refused exactly once."""

    def abandoned(self, ticket: int) -> None:
        """The request's connection was closed; an answer would have no effect."""


class HttpServer:
    """Listens on `address`; port 0 is any free one (see `self.address`).  Raises OSError."""

    def __init__(
        self,
        net: Network,
        address: Address,
        keys: Keys,
        handler: RequestHandler,
        connections: int = MAX_CONNECTIONS,
        traffic: Traffic | None = None,
    ) -> None:
        self.net, self.keys, self.handler = net, keys, handler
        self.traffic = traffic if traffic is not None else Traffic()
        self.long_body_bytes = 0  # bytes beyond SHORT_BODY_BYTES of bodies not complete yet
        self._connections_max = connections
        self._connections: set[_Connection] = set()
        self.unauthenticated = UnauthenticatedConnections[_Connection]()
        self._tickets: dict[int, _Connection] = {}
        self._last_ticket = 0
        self._refusals = LogThrottle(_log_refusal)
        self._closed = False
        self._listener = net.listen(address, BACKLOG, self._accept)
        self.address = self._listener.address
        self._listener.watch(True)
        self._sweeper = net.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def answer(self, ticket: int, body: bytes) -> None:
        """Answer with status 200.  Has no effect for an abandoned ticket."""
        connection = self._tickets.pop(ticket, None)
        if connection is not None:
            connection.answer(body)

    def refuse(self, ticket: int, status: int, reason: str = INVALID_REQUEST) -> None:
        """Answer with an empty body and close.  `reason` is logged: one of few fixed texts."""
        connection = self._tickets.pop(ticket, None)
        if connection is not None:
            connection.refuse(status, reason)

    def close(self) -> None:
        """Stop listening and close every connection.  The handler is not called any more."""
        self._closed = True
        self._tickets.clear()
        self._sweeper.cancel()
        self._listener.close()
        for connection in list(self._connections):
            connection.abort()

    # --- from the connections ---
    def new_ticket(self, connection: _Connection) -> int:
        """Return a ticket, unique in this server, for `answer` or `refuse` on this connection."""
        self._last_ticket += 1
        self._tickets[self._last_ticket] = connection
        return self._last_ticket

    def abandon(self, ticket: int) -> None:
        if self._tickets.pop(ticket, None) is not None:
            self.handler.abandoned(ticket)

    def record_refusal(self, reason: str) -> None:
        """Count a refusal; each reason is logged at most once a minute."""
        self.traffic.failures += 1
        self._refusals.record(self.net.loop.time(), reason)

    def body_grew(self, connection: _Connection, count: int) -> None:
        """Count `count` more bytes of a body.  May close this connection or others."""
        for evicted in self.unauthenticated.add_to_body(connection, count):
            self.record_refusal(TOO_MANY_LONG_BODIES)
            self._evict(evicted)

    def forget(self, connection: _Connection) -> None:
        self._connections.discard(connection)
        self.unauthenticated.remove(connection)

    # --- the listening socket and the timer ---
    @property
    def _accepts_per_iteration(self) -> int:
        """At most half of the connections that are left for unauthenticated ones.

        So a new connection is not evicted before the event loop has read the data that came with
        it: a client that sends its request at once is served, however many others connect.
        """
        authenticated = len(self._connections) - len(self.unauthenticated)
        places = self._connections_max - authenticated
        return max(1, min(MAX_ACCEPTS_PER_ITERATION, places // 2))

    def _accept(self) -> None:
        for _ in range(self._accepts_per_iteration):
            if self._closed:
                return
            connection = _Connection(self)
            try:
                stream = self._listener.accept(connection)
            except OSError:
                self.record_refusal("out of file descriptors")
                self._listener.watch(False)
                self.net.loop.call_later(ACCEPT_RETRY_S, self._accept_again)
                return
            if stream is None:
                return
            connection.begin(stream)
            self._admit(connection)

    def _admit(self, connection: _Connection) -> None:
        """Add a connection.  At the limit, evict the oldest unauthenticated one or reject it."""
        if len(self._connections) >= self._connections_max:
            self.record_refusal(TOO_MANY_CONNECTIONS)
            oldest = self.unauthenticated.oldest()
            if oldest is None:
                connection.abort()
                return
            self._evict(oldest)
        self._connections.add(connection)
        self.unauthenticated.add(connection)

    def _evict(self, connection: _Connection) -> None:
        self.forget(connection)
        connection.abort()

    def _accept_again(self) -> None:
        if not self._closed:
            self._listener.watch(True)

    def _sweep(self) -> None:
        self._sweeper = self.net.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.net.loop.time()
        for connection in [each for each in self._connections if each.deadline <= now]:
            connection.deadline_passed()


class _Connection:
    """One connection of the server."""

    __slots__ = (
        "_body",
        "_http",
        "_path",
        "_server",
        "_signature",
        "_stream",
        "_ticket",
        "deadline",
    )

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_BYTES)
        self._stream: Stream | None = None
        self._ticket = 0  # ticket of the request that the handler processes; 0: none
        self._path = ""
        self._signature: RequestSignature | None = None
        self._body = bytearray()
        self.deadline = NEVER

    def begin(self, stream: Stream) -> None:
        self._stream = stream
        self.deadline = self._now() + REQUEST_TIMEOUT_S

    def answer(self, body: bytes) -> None:
        signature = self._signature
        assert signature is not None
        self._ticket = 0
        try:
            mac = sign_answer(self._server.keys, signature, body)
        except KeyError:  # the key was removed from the key file during the request
            self.abort()
            return
        self._send(200, [("Content-Length", str(len(body))), (HEADER, mac)], body)
        self._signature = None
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.deadline = self._now() + (IDLE_TIMEOUT_S if self._all_sent() else ANSWER_TIMEOUT_S)
        else:
            self._close()

    def refuse(self, status: int, reason: str) -> None:
        """Answer with an error status and close the connection."""
        self._server.record_refusal(reason)
        self._ticket = 0
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(status, [("Content-Length", "0"), ("Connection", "close")], b"")
        self._close()

    def deadline_passed(self) -> None:
        """Close the connection: its deadline has passed."""
        if self._http.our_state is not h11.IDLE or self._body or self._http.trailing_data[0]:
            self._server.record_refusal("timeout of an incomplete request or an unread answer")
        self.abort()

    def abort(self) -> None:
        self._discard_body()
        if self._stream is not None:
            self._stream.abort()

    # --- stream ---
    def opened(self) -> None:
        pass

    def buffer(self) -> memoryview:
        return READ_BUFFER

    def received(self, count: int) -> None:
        self._server.traffic.bytes_in += count
        if self._ticket:
            self._server.record_refusal("data received while a request is in progress")
            self.abort()
            return
        if self._http.our_state is h11.IDLE and not self._http.trailing_data[0]:
            self.deadline = self._now() + REQUEST_TIMEOUT_S
        self._parse(bytes(READ_BUFFER[:count]))

    def ended(self) -> None:
        self.abort()

    def drained(self) -> None:
        if not self._ticket and self._http.our_state is h11.IDLE:
            self.deadline = self._now() + IDLE_TIMEOUT_S

    def lost(self, error: OSError | None) -> None:
        self._discard_body()
        self._server.forget(self)
        ticket, self._ticket = self._ticket, 0
        if ticket:
            self._server.abandon(ticket)

    # --- the request ---
    def _parse(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self._next_event():
                pass
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, "malformed or oversized HTTP request")

    def _next_event(self) -> bool:
        """Process the next event.  Returns whether to continue with the received data."""
        event = self._http.next_event()
        match event:
            case h11.Request():
                return self._begin_request(event)
            case h11.Data(data=data):
                return self._take_body(data)
            case h11.EndOfMessage():
                return self._complete()
            case _:
                return False

    def _begin_request(self, request: h11.Request) -> bool:
        signature = parse_request_header(dict(request.headers).get(HEADER_NAME, b""))
        if request.method != b"POST" or len(request.target) > MAX_PATH_BYTES:
            self.refuse(400, INVALID_REQUEST)
        elif signature is None:
            self.refuse(403, "missing or invalid signature")
        else:
            self._path = request.target.decode("ascii")
            self._signature = signature
            if self._http.they_are_waiting_for_100_continue:
                self._write(self._http.send(h11.InformationalResponse(status_code=100, headers=[])))
            return True
        return False

    def _take_body(self, data: bytes | bytearray) -> bool:
        length = len(self._body) + len(data)
        if length // PROGRESS_BYTES > len(self._body) // PROGRESS_BYTES:
            self._server.unauthenticated.renew(self)
        counted_before = max(0, len(self._body) - SHORT_BODY_BYTES)
        self._server.long_body_bytes += max(0, length - SHORT_BODY_BYTES) - counted_before
        self._body += data
        self._server.body_grew(self, len(data))
        if self._stream is None or self._stream.closing:
            return False  # `body_grew` has closed this connection
        if length > MESSAGE_BYTES:
            self.refuse(413, "malformed or oversized HTTP request")
        elif length > SHORT_BODY_BYTES and self._server.long_body_bytes > MAX_LONG_BODIES_BYTES:
            self.refuse(503, "too many long requests in progress")
        return not self._stream.closing

    def _complete(self) -> bool:
        body = bytes(self._body)
        self._discard_body()
        assert self._signature is not None
        if not verify_request(self._server.keys, self._signature, self._path, body):
            self.refuse(403, "missing or invalid signature")
            return False
        self._server.unauthenticated.remove(self)
        self._server.traffic.requests += 1
        self._ticket = self._server.new_ticket(self)
        self.deadline = NEVER
        self._server.handler.requested(self._ticket, self._path, body)
        if self._ticket and self._http.trailing_data[0]:
            self._server.record_refusal("data received while a request is in progress")
            self.abort()
        return not self._ticket and self._stream is not None and not self._stream.closing

    # --- writing ---
    def _send(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        parts = (
            self._http.send(h11.Response(status_code=status, headers=headers)),
            self._http.send(h11.Data(data=body)),
            self._http.send(h11.EndOfMessage()),
        )
        self._write(b"".join(part for part in parts if part))

    def _write(self, data: bytes | None) -> None:
        if data and self._stream is not None:
            self._server.traffic.bytes_out += len(data)
            self._stream.write(data)

    def _all_sent(self) -> bool:
        return self._stream is None or not self._stream.unsent

    def _close(self) -> None:
        self._discard_body()
        self.deadline = self._now() + ANSWER_TIMEOUT_S
        if self._stream is not None:
            self._stream.close()

    def _discard_body(self) -> None:
        self._server.long_body_bytes -= max(0, len(self._body) - SHORT_BODY_BYTES)
        self._server.unauthenticated.end_body(self)
        self._body.clear()

    def _now(self) -> float:
        return self._server.net.loop.time()


def _log_refusal(reason: str, _: str, count: int) -> None:
    logs.event("distribution.refused", reason=reason, count=count)
