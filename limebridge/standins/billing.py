"""A billing endpoint that accepts JSON lines by POST with an idempotency key.

It accepts the requests that `violetroute/ledger/export.py` describes.  `fault` is called for each
post and returns the name of a fault, or "".
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter

import zstandard

from .endpoint import HttpEndpoint
from .wire import read_request

Unit = tuple[int, str | None, str]  # period, tenant, class


class BillingEndpoint(HttpEndpoint):
    """Counts units in `billed` by ledger and line; a repeat under the same key counts once."""

    def __init__(self) -> None:
        super().__init__()
        self.accepted: dict[str, bytes] = {}  # bodies by key
        self.last_key: dict[str, str] = {}  # key of the last batch, by ledger
        self.order: dict[str, list[tuple[str, int]]] = {}  # keys and periods, by ledger
        self.billed: Counter[tuple[str, int, str | None, str]] = Counter()
        self.posts = 0
        self.request_lines: list[str] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line, headers, body = await read_request(reader)
            self.posts += 1
            self.request_lines.append(line)
            fault = self.fault()
            if fault == "lost before":
                writer.transport.abort()
                return
            status, content = (
                self._accept(headers, body)
                if fault in ("", "lost after", "500 after", "cut after")
                else (0, b"")
            )
            answer = {
                "500 after": b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
                "503": b"HTTP/1.1 503 X\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
                "429": b"HTTP/1.1 429 X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
                "409": b"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n",
                "redirect": b"HTTP/1.1 307 X\r\nLocation: http://127.0.0.9:1/x\r\n"
                b"Content-Length: 0\r\n\r\n",
                "noise": b"\x00\xff\r\n\r\n",
            }.get(
                fault,
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(content), content),
            )
            if fault == "lost after":
                writer.transport.abort()
                return
            writer.write(answer[:20] if fault == "cut after" else answer)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
            pass
        finally:
            writer.close()

    def _accept(self, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        key, after = headers["idempotency-key"].strip('"'), headers["ledger-after"].strip('"')
        if headers.get("content-encoding") == "zstd":
            body = zstandard.ZstdDecompressor().decompress(body)
        if key in self.accepted:
            return (200, b"") if self.accepted[key] == body else (422, b"")
        ledger = key.partition("/")[0]
        if after != self.last_key.get(ledger, ""):
            order = self.order[ledger]
            known = [index for index, (accepted, _) in enumerate(order) if accepted == after]
            later = order[known[0] + 1 :] if known else order
            return 412, json.dumps(
                {"last": self.last_key[ledger], "periods": sorted({p for _, p in later})}
            ).encode()
        batch, *lines = (json.loads(line) for line in body.splitlines())
        if batch["units"] != sum(line["units"] for line in lines):
            return 400, b""
        self.accepted[key], self.last_key[ledger] = body, key
        self.order.setdefault(ledger, []).append((key, batch["period"]))
        for line in lines:
            self.billed[ledger, batch["period"], line["tenant"], line["class"]] += line["units"]
        return 201, b""
