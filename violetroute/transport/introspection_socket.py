"""A Unix socket for whoever looks in from this machine: a line is asked, a JSON object answered.

Only the process's own user may connect (mode 600).  Bounds: callers at once, a line's length, the
time for it and for its answer.
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
TIMEOUT = 2.0  # s


class IntrospectionSocket:
    """`answer` gives what a word asks for; KeyError for one that it does not know."""

    def __init__(self, path: str, answer: Callable[[str], Any]) -> None:
        self._path, self._answer = path, answer
        self._callers = 0
        self._server: asyncio.AbstractServer | None = None

    async def open(self) -> None:
        """OSError when it cannot.  A socket that a dead process left is taken away."""
        with contextlib.suppress(FileNotFoundError):
            if stat.S_ISSOCK(os.stat(self._path).st_mode):
                os.unlink(self._path)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            os.fchmod(sock.fileno(), 0o600)  # its file has it from the first instant (Linux)
            sock.bind(self._path)
            self._server = await asyncio.start_unix_server(self._serve, sock=sock, limit=MAX_LINE)
        except OSError:
            sock.close()
            raise

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._callers >= MAX_CLIENTS:
            writer.close()
            return
        self._callers += 1
        try:
            async with asyncio.timeout(TIMEOUT):
                line = await reader.readline()
                try:
                    told = self._answer(line.decode("ascii", "replace").strip())
                except KeyError:
                    told = {"error": "nobody answers that"}
                writer.write(msgspec.json.encode(told) + b"\n")
                await writer.drain()
        except (TimeoutError, OSError, ValueError):
            pass
        finally:
            self._callers -= 1
            writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(OSError):
                os.unlink(self._path)
