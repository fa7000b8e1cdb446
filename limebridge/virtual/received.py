"""What the daemon's process was told of nodes: the bytes that its own sockets received.

Until they had been read off the wire here, the world reckoned what the proxy must have heard from
what the stand-ins meant to say, and blamed it for what never reached it: an answer to a connection
that was closed, a watch that was refused, a list that took back what was said a moment before.  So
both sides of each connection to a source are followed byte by byte with a reader of its own (h11,
which is not told of the daemon's use of it), and a telling counts from the instant at which the
process's kernel had its last byte.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Container

import h11

from limebridge.standins.node_list import ListChange

from .kernel import Kernel
from .sockets import VirtualSocket

BURST = 0.01  # s from a watch's first line to the last of what it says at its start


class SourceObserver:
    """Follows the connections that processes make to certain ports.

    `owners` is whom the kernel has the sockets for, and what is told first. `line` is told the
    port and the JSON object of each line of a watch, and whether it is of its first burst, in which
    a watch says once more what was said before; `answer` the port, target, header fields (small
    letters) and body of each whole answer that is no watch, with status 200.
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
        self.last_received_at = kernel.now  # the last bytes of any source, in s
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
    """One connection's asks and answers."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self.requests = bytearray()  # what was sent and has no answer yet
        self._http: h11.Connection | None = None
        self._target, self._status = "", 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._began: float | None = None  # s, of the first line
        self._not_http = False  # what comes is no HTTP

    def receive(self, data: bytes) -> list[_Line | _Answer]:
        messages: list[_Line | _Answer] = []
        try:
            while data and not self._not_http:
                if self._http is None and not self._begin_answer():
                    break  # nobody has asked: it is no answer
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
        """What is behind the end of an answer."""
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
