"""An HTTP endpoint on a loopback port that answers one request per connection."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from typing import Self


class HttpEndpoint:
    """Base class; subclasses serve a connection in `_serve`.

    `fault` is called for each request and returns the name of a fault, or "".
    """

    def __init__(self) -> None:
        self.fault: Callable[[], str] = lambda: ""
        self.port = 0

    async def start(self, port: int = 0, tls: ssl.SSLContext | None = None) -> Self:
        """Listen; port 0 lets the kernel pick one, which is then in `port`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, ssl=tls)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening; connections that are open finish."""
        self._server.close()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError
