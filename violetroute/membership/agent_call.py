"""One HTTP connection to a Consul agent, on the transport interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import h11

from violetroute.transport import Network, Stream, parse_address
from violetroute.transport.tls import TlsKeys, TlsStream

from .list_reader import WatchError
from .native import READ_SIZE

CALL_TIMEOUT = 3.0  # s to connect, and until the first byte of an answer that is not held back
BODY_IDLE_TIMEOUT = 3.0  # s between bytes of a body
BODY_TIMEOUT = 10.0  # s for a whole body

_shared = memoryview(bytearray(READ_SIZE))


@dataclass(frozen=True, slots=True)
class AgentAnswer:
    """A complete answer of an agent; the names of its headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytearray


class CallOwner(Protocol):
    """Receives the end of each request."""

    def call_answered(self, answer: AgentAnswer) -> None:
        """Handle a complete answer."""

    def call_failed(self, reason: str, silent: bool) -> None:
        """Handle the end of a call that got no answer; `silent`: no byte of one came in time."""


class AgentCall:
    """One HTTP connection to an agent, with one request at a time."""

    def __init__(
        self, owner: CallOwner, net: Network, agent: str, max_body: int, keys: TlsKeys | None
    ) -> None:
        self._owner, self._loop, self._agent, self._max_body = owner, net.loop, agent, max_body
        self._http = h11.Connection(h11.CLIENT)
        self._connected = self._closed = False
        self.reusable = True  # whether the next request can use the connection
        self._pending: bytes | None = None
        self._body, self._status = bytearray(), 0
        self._headers: dict[str, str] = {}
        self._timeout: Any = None
        self._body_started_at = 0.0
        address = parse_address(agent)
        self._stream: Stream = (
            TlsStream(net, address, self, CALL_TIMEOUT, keys)
            if keys is not None
            else net.connect(address, self, CALL_TIMEOUT, first=True)
        )

    def request(self, target: str, token: str, limit: float) -> None:
        """Send a request.  The answer has to begin within `limit` s."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        headers = [("Host", self._agent), ("Accept", "application/json")]
        if token:
            headers.append(("X-Consul-Token", token))
        data = (
            self._http.send(h11.Request(method="GET", target=target, headers=headers)) or b""
        ) + (self._http.send(h11.EndOfMessage()) or b"")
        self._body, self._status = bytearray(), 0
        self._set_timeout(limit)
        if self._connected:
            self._stream.write(data)
        else:
            self._pending = data

    def stop(self) -> None:
        """End the call without a report."""
        self._closed = True
        if self._timeout is not None:
            self._timeout.cancel()
        self._stream.abort()

    def _set_timeout(self, seconds: float) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = self._loop.call_later(seconds, self._expired)

    def _expired(self) -> None:
        self._fail("no answer in time", silent=not self._status)

    def _fail(self, reason: str, silent: bool = False) -> None:
        if not self._closed:
            self.stop()
            self._owner.call_failed(reason, silent)

    # --- stream ---
    def opened(self) -> None:
        self._connected = True
        if self._pending is not None:
            self._stream.write(self._pending)
            self._pending = None

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        try:
            self._http.receive_data(bytes(_shared[:count]))
            while not self._closed and self._event():
                pass
        except Exception as error:
            kind = "" if isinstance(error, WatchError) else f"{type(error).__name__}: "
            self._fail(f"{kind}{error}")

    def ended(self) -> None:
        self._fail("the agent closed")

    def lost(self, error: OSError | None) -> None:
        self._fail(str(error or "the connection is gone"))

    def drained(self) -> None:
        pass

    def _event(self) -> bool:
        match self._http.next_event():
            case h11.NEED_DATA | h11.PAUSED:
                return False
            case h11.Response(status_code=status, headers=headers):
                self._status, self._body_started_at = status, self._loop.time()
                self._headers = {
                    name.decode("ascii"): value.decode("latin-1") for name, value in headers
                }
                self._set_timeout(BODY_IDLE_TIMEOUT)
            case h11.Data(data=data):
                if len(self._body) + len(data) > self._max_body:
                    raise WatchError("the answer is too large")
                if self._loop.time() - self._body_started_at > BODY_TIMEOUT:
                    raise WatchError("the answer takes too long")
                self._body += data
                self._set_timeout(BODY_IDLE_TIMEOUT)
            case h11.EndOfMessage():
                self._done()
                return False
            case h11.ConnectionClosed():
                raise WatchError("the agent closed")
            case _:
                pass
        return True

    def _done(self) -> None:
        self._timeout.cancel()
        # Bytes after the answer would be parsed as the beginning of the next one.
        self.reusable = (
            self._http.their_state is h11.DONE
            and self._http.our_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        self._owner.call_answered(AgentAnswer(self._status, self._headers, self._body))
