"""A billing endpoint: POST of JSON lines with an idempotency key, and its troubles.

Takes what `violetroute/ledger/export.py` describes.  Troubles are plain attributes; `fault` is
asked for each post and answers with one of their names, or "".
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
    """`billed` has units by ledger and line; what comes twice under one key counts once."""

    def __init__(self) -> None:
        super().__init__()
        self.accepted: dict[str, bytes] = {}  # by key
        self.last: dict[str, str] = {}  # by ledger
        self.order: dict[str, list[tuple[str, int]]] = {}  # keys and periods, by ledger
        self.billed: Counter[tuple[str, int, str | None, str]] = Counter()
        self.posts = 0
        self.targets: list[str] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line, headers, body = await read_request(reader)
            self.posts += 1
            self.targets.append(line)
            fault = self.fault()
            if fault == "lost before":
                writer.transport.abort()
                return
            status, said = (
                self._take(headers, body)
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
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(said), said),
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

    def _take(self, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        key, after = headers["idempotency-key"].strip('"'), headers["ledger-after"].strip('"')
        if headers.get("content-encoding") == "zstd":
            body = zstandard.ZstdDecompressor().decompress(body)
        if key in self.accepted:
            return (200, b"") if self.accepted[key] == body else (422, b"")
        ledger = key.partition("/")[0]
        if after != self.last.get(ledger, ""):
            order = self.order[ledger]
            known = [place for place, (taken, _) in enumerate(order) if taken == after]
            behind = order[known[0] + 1 :] if known else order
            return 412, json.dumps(
                {"last": self.last[ledger], "periods": sorted({p for _, p in behind})}
            ).encode()
        batch, *lines = (json.loads(line) for line in body.splitlines())
        if batch["units"] != sum(line["units"] for line in lines):
            return 400, b""
        self.accepted[key], self.last[ledger] = body, key
        self.order.setdefault(ledger, []).append((key, batch["period"]))
        for line in lines:
            self.billed[ledger, batch["period"], line["tenant"], line["class"]] += line["units"]
        return 201, b""
