"""Observes the list updates that a process received, from the bytes on its sockets.

Earlier the updates were derived from what the stand-ins sent.  The proxy was then blamed for
updates that never reached it: a response on a closed connection, a refused watch, a list that was
replaced at once by the next.  So both directions of each connection to a source are parsed here
with a separate h11 parser.  An update counts from the time at which the process's kernel has
received its last byte.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Container

import h11

from limebridge.standins.node_list import ListChange

from .kernel import Kernel
from .sockets import VirtualSocket

BURST = 0.01  # s from a watch's first line to the last line of its initial state


class SourceObserver:
    """Follows the connections of the processes `owners` to the ports of list sources.

    Both callbacks receive the owner and the port first.  `line` is called for each line of a watch
    with its JSON object and whether it belongs to the initial burst, which repeats the current
    state.  `answer` is called for each other complete response with status 200, with its target,
    header fields (lower case) and body.
    """

    def __init__(
        self,
        kernel: Kernel,
        owners: Container[str],
        line: Callable[[str, int, ListChange, bool], None],
        answer: Callable[[str, int, str, dict[str, str], bytes], None],
    ) -> None:
        self._kernel, self._owners, self._line, self._answer = kernel, owners, line, answer
        self._ports: set[int] = set()
        self.last_received_at = kernel.now  # time of the last bytes from any source, in s
        self._connections: dict[VirtualSocket, _Connection] = {}
        kernel.on_sent, kernel.on_received = self._given, self._received

    def follow(self, port: int) -> None:
        """Follow connections to this port, at which a source listens."""
        self._ports.add(port)

    def _given(self, sock: VirtualSocket, data: bytes) -> None:
        port = self._port(sock)
        if port is not None:
            if sock not in self._connections:
                self._connections[sock] = _Connection(self._kernel)
            self._connections[sock].requests += data

    def _received(self, sock: VirtualSocket, data: bytes) -> None:
        port, connection = self._port(sock), self._connections.get(sock)
        if port is None or connection is None:
            return
        self.last_received_at = self._kernel.now
        for messages in connection.receive(data):
            if isinstance(messages, _Line):
                self._line(sock.owner, port, messages.value, messages.burst)
            else:
                self._answer(sock.owner, port, messages.target, messages.headers, messages.body)

    def _port(self, sock: VirtualSocket) -> int | None:
        if sock._peer_name is None or sock.owner not in self._owners:
            return None
        return sock._peer_name[1] if sock._peer_name[1] in self._ports else None


class _Line:
    def __init__(self, value: ListChange, burst: bool) -> None:
        self.value, self.burst = value, burst


class _Answer:
    def __init__(self, target: str, headers: dict[str, str], body: bytes) -> None:
        self.target, self.headers, self.body = target, headers, body


class _Connection:
    """Parses the requests and responses of one connection."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self.requests = bytearray()  # bytes of requests without a response
        self._http: h11.Connection | None = None
        self._target, self._status = "", 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._began: float | None = None  # time of the first line, in s
        self._not_http = False  # the received data is not HTTP

    def receive(self, data: bytes) -> list[_Line | _Answer]:
        messages: list[_Line | _Answer] = []
        try:
            while data and not self._not_http:
                if self._http is None and not self._begin_answer():
                    break  # no request is open, so this is no response
                assert self._http is not None
                self._http.receive_data(data)
                data = self._read_events(messages)
        except (h11.RemoteProtocolError, ValueError):
            self._not_http = True
        return messages

    def _begin_answer(self) -> bool:
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
                        self._take_lines(messages)
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

    def _take_lines(self, messages: list[_Line | _Answer]) -> None:
        *lines, rest = bytes(self._body).split(b"\n")
        self._body[:] = rest
        for line in lines:
            if line.strip():
                now = self._kernel.now
                self._began = now if self._began is None else self._began
                messages.append(_Line(json.loads(line), now - self._began <= BURST))
