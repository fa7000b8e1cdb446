"""Observes which list updates a process received, by parsing the bytes on its sockets.

Updates are not derived from what the stand-ins sent: the rule checker would then report violations
for updates that never reached the proxy, such as a response on a closed connection, a refused
watch, or a list that the next one replaced at once.

Instead an h11 parser, separate from the daemon's, parses
both directions of each connection to a list source.  An update counts as received when the
process's kernel has received its last byte.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Container

import h11

from limebridge.standins.node_list import ListChange

from .kernel import Kernel
from .sockets import VirtualSocket

INITIAL_STATE_S = 0.01  # s from a watch's first line to the last line of its initial state


class SourceObserver:
    """Parses the connections of the processes `owners` to the ports of list sources.

    Both callbacks receive the owner and the port as their first arguments.  `on_line` is called for
    each line of a watch, with its JSON object and whether the line belongs to the initial burst,
    which repeats the current state.  `on_answer` is called for each other complete response with
    status 200, with the request target, the header fields (names in lower case) and the body.
    """

    def __init__(
        self,
        kernel: Kernel,
        owners: Container[str],
        on_line: Callable[[str, int, ListChange, bool], None],
        on_answer: Callable[[str, int, str, dict[str, str], bytes], None],
    ) -> None:
        self._kernel, self._owners, self._on_line, self._on_answer = (
            kernel,
            owners,
            on_line,
            on_answer,
        )
        self._ports: set[int] = set()
        self.last_received_at = kernel.now  # time of the last bytes from any source, in s
        self._connections: dict[VirtualSocket, _Connection] = {}
        kernel.on_sent, kernel.on_received = self._on_sent, self._on_received

    def follow(self, port: int) -> None:
        """Observe connections to this port as well, at which a list source listens."""
        self._ports.add(port)

    def _on_sent(self, sock: VirtualSocket, data: bytes) -> None:
        port = self._source_port(sock)
        if port is not None:
            if sock not in self._connections:
                self._connections[sock] = _Connection(self._kernel)
            self._connections[sock].requests += data

    def _on_received(self, sock: VirtualSocket, data: bytes) -> None:
        port, connection = self._source_port(sock), self._connections.get(sock)
        if port is None or connection is None:
            return
        self.last_received_at = self._kernel.now
        for message in connection.receive(data):
            if isinstance(message, _Line):
                self._on_line(sock.owner, port, message.change, message.in_burst)
            else:
                self._on_answer(sock.owner, port, message.target, message.headers, message.body)

    def _source_port(self, sock: VirtualSocket) -> int | None:
        """The list source's port to which the socket is connected; None for other sockets."""
        if sock._peer_name is None or sock.owner not in self._owners:
            return None
        return sock._peer_name[1] if sock._peer_name[1] in self._ports else None


class _Line:
    """One line of a watch; `in_burst`: it belongs to the initial burst."""

    def __init__(self, change: ListChange, in_burst: bool) -> None:
        self.change, self.in_burst = change, in_burst


class _Answer:
    """A complete response with status 200 that is not a watch."""

    def __init__(self, target: str, headers: dict[str, str], body: bytes) -> None:
        self.target, self.headers, self.body = target, headers, body


class _Connection:
    """Parses the requests and responses of one connection; requests may be pipelined."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self.requests = bytearray()  # bytes sent, without the requests whose response has begun
        self._http: h11.Connection | None = None  # parser of the response in progress
        self._target, self._status = "", 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._first_line_at: float | None = None  # time in s
        self._not_http = False  # the received data is not valid; all later data is ignored

    def receive(self, data: bytes) -> list[_Line | _Answer]:
        """Parse received bytes; return the lines and responses that they complete."""
        messages: list[_Line | _Answer] = []
        try:
            while data and not self._not_http:
                if self._http is None and not self._begin_answer():
                    break  # no complete request was sent, so this is not a response
                assert self._http is not None
                self._http.receive_data(data)
                data = self._read_events(messages)
        except (h11.RemoteProtocolError, ValueError):
            self._not_http = True
        return messages

    def _begin_answer(self) -> bool:
        """Create the parser of the response to the next request; False if there is no request."""
        head, found, rest = bytes(self.requests).partition(b"\r\n\r\n")
        if not found:
            return False
        self.requests = bytearray(rest)
        self._target = head.split(b" ", 2)[1].decode("ascii")
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(h11.Request(method="GET", target=self._target, headers=[("Host", "x")]))
        self._http.send(h11.EndOfMessage())
        self._body.clear()
        return True

    def _read_events(self, messages: list[_Line | _Answer]) -> bytes:
        """Handle the parser's events; return the bytes after the end of a response."""
        assert self._http is not None
        while True:
            match self._http.next_event():
                case h11.Response(status_code=status, headers=headers):
                    self._status = status
                    self._headers = {name.decode(): value.decode() for name, value in headers}
                case h11.Data(data=data):
                    self._body += data
                    if "follow=1" in self._target and self._status == 200:
                        self._parse_lines(messages)
                case h11.EndOfMessage():
                    if self._status == 200 and "follow=1" not in self._target:
                        messages.append(_Answer(self._target, self._headers, bytes(self._body)))
                    trailing = bytes(self._http.trailing_data[0])
                    self._http = None
                    return trailing
                case h11.NEED_DATA | h11.PAUSED | h11.ConnectionClosed():
                    return b""
                case _:
                    pass

    def _parse_lines(self, messages: list[_Line | _Answer]) -> None:
        """Append the complete lines of the watch to `messages`."""
        *lines, rest = bytes(self._body).split(b"\n")
        self._body[:] = rest
        for line in lines:
            if line.strip():
                now = self._kernel.now
                self._first_line_at = now if self._first_line_at is None else self._first_line_at
                messages.append(
                    _Line(json.loads(line), now - self._first_line_at <= INITIAL_STATE_S)
                )
