"""An HTTP/1.1 client for single calls, each on a connection of its own.

Calls are rare, and a kept connection may have failed unnoticed, so each call opens a new one.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import h11

from .address import Address
from .interfaces import Network, Stream
from .tls import TlsKeys, TlsStream

MAX_BODY = 256 * 1024  # bytes of a response body
MAX_TOKEN = 4096  # bytes of a token file
READ_SIZE = 16 * 1024
_shared = memoryview(bytearray(READ_SIZE))

Done = Callable[[int, dict[str, str], bytes, str], None]  # status (0: failed), headers, body, error


def read_token(path: str) -> str:
    """Read a token file, at each call so that the token can rotate; "" for an empty path.

    Raises OSError if the file cannot be read.
    """
    if not path:
        return ""
    with open(path, encoding="ascii", errors="ignore") as file:
        text = file.read(MAX_TOKEN)
    return "".join(c for c in text.strip() if c.isprintable())


class HttpCall:
    """Calls `done` once, from the event loop, and never after `stop`.

    Connecting and the response must finish within `time_limit` seconds; the response body must not
    exceed `max_body` bytes.
    """

    def __init__(
        self,
        net: Network,
        address: Address,
        keys: TlsKeys | None,
        time_limit: float,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        done: Done,
        method: str = "POST",
        max_body: int = MAX_BODY,
    ) -> None:
        self._done: Done | None = done
        self._max_body = max_body
        self._http = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=method,
            target=path,
            headers=[
                ("Host", f"{address.host}:{address.port}"),
                ("Content-Length", str(len(body))),
                ("Connection", "close"),
                *headers.items(),
            ],
        )
        self._data = b"".join(
            part
            for part in (
                self._http.send(request),
                self._http.send(h11.Data(data=body)),
                self._http.send(h11.EndOfMessage()),
            )
            if part
        )
        self._status, self._headers = 0, dict[str, str]()
        self._body = bytearray()
        self._timer: Any = net.loop.call_later(time_limit, self._finish, "no response in time")
        self._stream: Stream = (
            TlsStream(net, address, self, time_limit, keys)
            if keys is not None
            else net.connect(address, self, time_limit)
        )

    def stop(self) -> None:
        """Abort without calling `done`; the server may have processed the request."""
        self._done = None
        self._timer.cancel()
        self._stream.abort()

    def _finish(self, reason: str, whole: bool = False) -> None:
        done = self._done
        if done is not None:
            self.stop()
            if whole:
                done(self._status, self._headers, bytes(self._body), "")
            else:
                done(0, {}, b"", reason)

    # --- Handler of the stream ---
    def opened(self) -> None:
        self._stream.write(self._data)

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        try:
            self._http.receive_data(bytes(_shared[:count]))
            self._read()
        except (h11.RemoteProtocolError, ValueError) as error:
            self._finish(f"invalid HTTP response: {error}")

    def ended(self) -> None:
        """Complete a response that the end of the connection delimits; fail any other."""
        try:
            self._http.receive_data(b"")
            self._read()
        except (h11.RemoteProtocolError, ValueError):
            pass
        self._finish("the response ended early")

    def lost(self, error: OSError | None) -> None:
        self._finish(str(error or "connection closed"))

    def drained(self) -> None:
        pass

    def _read(self) -> None:
        while self._done is not None:
            match self._http.next_event():
                case h11.Response(status_code=status, headers=headers):
                    self._status = status
                    self._headers = {
                        name.decode("ascii"): value.decode("latin-1") for name, value in headers
                    }
                case h11.Data(data=data):
                    self._body += data
                    if len(self._body) > self._max_body:
                        raise ValueError("the response body is too large")
                case h11.EndOfMessage():
                    self._finish("", whole=True)
                case h11.NEED_DATA | h11.PAUSED | h11.ConnectionClosed():
                    return
                case _:
                    pass
