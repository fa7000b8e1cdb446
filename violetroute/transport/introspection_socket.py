"""A local Unix socket for introspection: a request line is answered with a JSON object.

Only the process's own user may connect (mode 600).  The number of clients, the length of a line
and the time for a request are bounded.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import stat
from collections.abc import Callable
from typing import Any

import msgspec

MAX_CLIENTS = 8
MAX_LINE = 200  # bytes
TIMEOUT = 2.0  # s for one request and its response


class IntrospectionSocket:
    """Serves requests with `answer`, which raises KeyError for an unknown request."""

    def __init__(self, path: str, answer: Callable[[str], Any]) -> None:
        self._path, self._answer = path, answer
        self._clients = 0
        self._server: asyncio.AbstractServer | None = None

    async def open(self) -> None:
        """Listen; replaces a socket file that an earlier process left.  Raises OSError."""
        with contextlib.suppress(FileNotFoundError):
            if stat.S_ISSOCK(os.stat(self._path).st_mode):
                os.unlink(self._path)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            # Before bind, so that the file never has another mode (Linux).
            os.fchmod(sock.fileno(), 0o600)
            sock.bind(self._path)
            self._server = await asyncio.start_unix_server(self._serve, sock=sock, limit=MAX_LINE)
        except OSError:
            sock.close()
            raise

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._clients >= MAX_CLIENTS:
            writer.close()
            return
        self._clients += 1
        try:
            async with asyncio.timeout(TIMEOUT):
                line = await reader.readline()
                try:
                    response = self._answer(line.decode("ascii", "replace").strip())
                except KeyError:
                    response = {"error": "nobody answers that"}
                writer.write(msgspec.json.encode(response) + b"\n")
                await writer.drain()
        except (TimeoutError, OSError, ValueError):
            pass
        finally:
            self._clients -= 1
            writer.close()

    def close(self) -> None:
        """Stop listening and remove the socket file."""
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(OSError):
                os.unlink(self._path)
