"""Discovery: the whole list, and a watch on its changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json

from .node_list import ListChange, NodeEntry


class Discovery:
    """Answers watches with what `tell` gives it; `refuse` makes it fail."""

    def __init__(self) -> None:
        self.changes: list[ListChange] = []
        self.requests: list[str] = []
        self.unavailable = False
        self.open: dict[asyncio.StreamWriter, None] = {}

    async def start(self) -> Discovery:
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
            while True:  # the daemon's patience with a silent watch is 3 s
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
        writer.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def publish(self, *entries: NodeEntry, reset: bool = False) -> None:
        self.changes.append(
            {"generation": 100 + len(self.changes), "reset": reset, "instances": list(entries)}
        )
        for writer in list(self.open):
            self.send(writer, json.dumps(self.changes[-1]).encode())

    async def stop(self) -> None:
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)
