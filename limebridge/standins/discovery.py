"""Discovery: the full list of nodes and a watch for its changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json

from .node_list import ListChange, NodeEntry


class Discovery:
    """Sends published changes to all watches; answers 503 while `unavailable` is set."""

    def __init__(self) -> None:
        self.changes: list[ListChange] = []
        self.requests: list[str] = []
        self.unavailable = False
        self.open: dict[asyncio.StreamWriter, None] = {}

    async def start(self) -> Discovery:
        """Listen on a port that the kernel picks, given in `port`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(head.split()[1].decode())
            if self.unavailable:
                writer.write(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.open[writer] = None
            for line in self.changes:
                self.send(writer, json.dumps(line).encode())
            # The daemon ends a watch after 2.7 s without a line, so an empty one is sent every 2 s.
            while True:
                try:
                    async with asyncio.timeout(2.0):
                        await reader.read()
                    break
                except TimeoutError:
                    self.send(writer, b"")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    def send(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        """Send one line as an HTTP chunk."""
        writer.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def publish(self, *entries: NodeEntry, reset: bool = False) -> None:
        """Send entries to all open watches and to later ones; `reset`: they are the full list."""
        self.changes.append(
            {"generation": 100 + len(self.changes), "reset": reset, "instances": list(entries)}
        )
        for writer in list(self.open):
            self.send(writer, json.dumps(self.changes[-1]).encode())

    async def stop(self) -> None:
        """Stop listening and abort all watches."""
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)
