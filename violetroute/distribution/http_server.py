"""The server's side: bounded HTTP/1.1 connections, one request at a time on each.

A request is told to the handler once it is whole and its signature holds, with a *ticket*: the
number by which it is answered, at once or much later.  If the connection goes first, the handler is
told that the ticket was abandoned, exactly once, and an answer to it does nothing.

Bounds: connections; a request's head, body and the time it may take; the bytes of all long bodies
that are not whole yet, and of all bodies on unauthenticated connections; idle time; the time to
take an answer.  A peer that sends more while its request is under way is disconnected: we never
keep what we are not ready for.

A connection is *unauthenticated* until a genuine request has come on it.  When all places are
taken, the oldest unauthenticated connection makes way for a new one, so that a host without a key
cannot keep the others out.  One on which a long request is arriving counts as new again with every
`PROGRESS_BYTES`.  One that has been authenticated keeps its place.
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
REQUEST_TIMEOUT_S = 10.0  # from a request's first byte, or the connection's begin, to its last byte
IDLE_TIMEOUT_S = 60.0  # between an answer and the next request
ANSWER_TIMEOUT_S = 20.0  # for the peer to take an answer
SWEEP_INTERVAL_S = 1.0  # between two looks at these times
SHORT_BODY_BYTES = 16 * 1024  # up to here a body does not count towards MAX_LONG_BODIES_BYTES
MAX_LONG_BODIES_BYTES = 64 * 1024 * 1024  # of all long bodies that are not whole yet
MAX_ACCEPTS_PER_ITERATION = 64  # of the loop: what is open has to be served meanwhile
ACCEPT_RETRY_S = 1.0  # after the descriptors ran out
MAX_PATH_BYTES = 64
PROGRESS_BYTES = 16_384  # of a body, after which a connection counts as a new one again
NEVER = float("inf")
NOT_UNDERSTOOD = "a request that is not understood"
TOO_MANY = "too many connections"
TOO_LONG = "too many long requests of unauthenticated connections"


class RequestHandler(Protocol):
    """What the server tells.  It may answer from within `requested`."""

    def requested(self, ticket: int, path: str, body: bytes) -> None:
        """A genuine request.  It has to be answered or refused once."""

    def abandoned(self, ticket: int) -> None:
        """Who asked is gone; an answer would do nothing."""


class HttpServer:
    """`address.port` 0 is any free one; `self.address` has it.  OSError when it cannot listen."""

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
        self.long_body_bytes = 0  # bytes, of those that are not whole yet
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
        """Open ones."""
        return len(self._connections)

    def answer(self, ticket: int, body: bytes) -> None:
        """With status 200.  Nothing happens for a ticket that was abandoned."""
        connection = self._tickets.pop(ticket, None)
        if connection is not None:
            connection.answer(body)

    def refuse(self, ticket: int, status: int, reason: str = NOT_UNDERSTOOD) -> None:
        """With an empty body; the connection is closed.  `reason`: one of few, for the log."""
        connection = self._tickets.pop(ticket, None)
        if connection is not None:
            connection.refuse(status, reason)

    def close(self) -> None:
        """Nobody new; every connection is closed, and nothing more is told."""
        self._closed = True
        self._tickets.clear()
        self._sweeper.cancel()
        self._listener.close()
        for connection in list(self._connections):
            connection.abort()

    # --- from the connections ---
    def new_ticket(self, connection: _Connection) -> int:
        self._last_ticket += 1
        self._tickets[self._last_ticket] = connection
        return self._last_ticket

    def abandon(self, ticket: int) -> None:
        if self._tickets.pop(ticket, None) is not None:
            self.handler.abandoned(ticket)

    def refused(self, reason: str) -> None:
        """Counted, and logged at most once a minute for each reason."""
        self.traffic.failures += 1
        self._refusals.record(self.net.loop.time(), reason)

    def body_grew(self, connection: _Connection, count: int) -> None:
        """So many more bytes of a body came on it.  It may be closed for that, or others."""
        for first in self.unauthenticated.add_to_body(connection, count):
            self.refused(TOO_LONG)
            self._evict(first)

    def gone(self, connection: _Connection) -> None:
        self._connections.discard(connection)
        self.unauthenticated.remove(connection)

    # --- the door and the clock ---
    @property
    def _accepts_per_iteration(self) -> int:
        """At most half of the places for unauthenticated connections.

        So a new connection is not evicted before the loop has read what came with it: whoever sends
        its request at once is heard, however many others connect.
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
                self.refused("no descriptor is left")
                self._listener.watch(False)
                self.net.loop.call_later(ACCEPT_RETRY_S, self._accept_again)
                return
            if stream is None:
                return
            connection.begin(stream)
            self._admit(connection)

    def _admit(self, connection: _Connection) -> None:
        """Give it a place, if need be that of the oldest unauthenticated connection."""
        if len(self._connections) >= self._connections_max:
            self.refused(TOO_MANY)
            oldest = self.unauthenticated.oldest()
            if oldest is None:
                connection.abort()
                return
            self._evict(oldest)
        self._connections.add(connection)
        self.unauthenticated.add(connection)

    def _evict(self, connection: _Connection) -> None:
        self.gone(connection)
        connection.abort()

    def _accept_again(self) -> None:
        if not self._closed:
            self._listener.watch(True)

    def _sweep(self) -> None:
        self._sweeper = self.net.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.net.loop.time()
        for connection in [each for each in self._connections if each.deadline <= now]:
            connection.too_late()


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
        self._ticket = 0  # of the request that the handler has
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
        except KeyError:  # the key file has changed meanwhile
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
        """Answer with an error and close."""
        self._server.refused(reason)
        self._ticket = 0
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(status, [("Content-Length", "0"), ("Connection", "close")], b"")
        self._close()

    def too_late(self) -> None:
        """The time of what is under way is over."""
        if self._http.our_state is not h11.IDLE or self._body or self._http.trailing_data[0]:
            self._server.refused("half a request, or an answer that is not taken")
        self.abort()

    def abort(self) -> None:
        self._forget_body()
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
            self._server.refused("more was sent while a request is under way")
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
        self._forget_body()
        self._server.gone(self)
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
            self.refuse(error.error_status_hint, "a request that is no HTTP or too long")

    def _next_event(self) -> bool:
        """Whether to go on with what came."""
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
            self.refuse(400, NOT_UNDERSTOOD)
        elif signature is None:
            self.refuse(403, "a request without our signature")
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
        counted = max(0, len(self._body) - SHORT_BODY_BYTES)
        self._server.long_body_bytes += max(0, length - SHORT_BODY_BYTES) - counted
        self._body += data
        self._server.body_grew(self, len(data))
        if self._stream is None or self._stream.closing:
            return False  # that was too much
        if length > MESSAGE_BYTES:
            self.refuse(413, "a request that is no HTTP or too long")
        elif length > SHORT_BODY_BYTES and self._server.long_body_bytes > MAX_LONG_BODIES_BYTES:
            self.refuse(503, "too many long requests at one time")
        return not self._stream.closing

    def _complete(self) -> bool:
        body = bytes(self._body)
        self._forget_body()
        assert self._signature is not None
        if not verify_request(self._server.keys, self._signature, self._path, body):
            self.refuse(403, "a request without our signature")
            return False
        self._server.unauthenticated.remove(self)
        self._server.traffic.requests += 1
        self._ticket = self._server.new_ticket(self)
        self.deadline = NEVER
        self._server.handler.requested(self._ticket, self._path, body)
        if self._ticket and self._http.trailing_data[0]:
            self._server.refused("more was sent while a request is under way")
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
        self._forget_body()
        self.deadline = self._now() + ANSWER_TIMEOUT_S
        if self._stream is not None:
            self._stream.close()

    def _forget_body(self) -> None:
        self._server.long_body_bytes -= max(0, len(self._body) - SHORT_BODY_BYTES)
        self._server.unauthenticated.end_body(self)
        self._body.clear()

    def _now(self) -> float:
        return self._server.net.loop.time()


def _log_refusal(reason: str, _: str, count: int) -> None:
    logs.event("distribution.refused", reason=reason, count=count)
