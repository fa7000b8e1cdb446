"""An endpoint that takes effects by key and fence, and tells a late owner so.

Takes what `violetroute/fleet/job.py` describes.  Troubles are named by `fault`.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from .endpoint import HttpEndpoint
from .wire import read_request


@dataclass(frozen=True)
class Effect:
    """One that was taken: when, its key, its fence and whose, and its body."""

    at: float
    key: str
    fence: int
    nonce: str
    body: Any


class EffectEndpoint(HttpEndpoint):
    """`taken` in their order; what comes twice under one key and body counts once."""

    def __init__(self) -> None:
        super().__init__()
        self.applied: list[Effect] = []
        self.highest_fence: dict[str, tuple[int, str]] = {}  # fence and whose, by work
        self.bodies: dict[str, bytes] = {}  # by key
        self.conflicts = 0  # of one key with two bodies

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            _, headers, body = await read_request(reader)
            fault = self.fault()
            if fault == "lost before":
                writer.transport.abort()
                return
            status, said = self._take(headers, body)
            if fault == "twice":
                status, said = self._take(headers, body)
            if fault == "lost after":
                writer.transport.abort()
                return
            if fault == "500 after":
                status, said = 500, b""
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(said), said)
            )
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
            pass
        finally:
            writer.close()

    def _take(self, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        key = headers["idempotency-key"].strip('"')
        number, _, nonce = headers["fence"].partition(";")
        fence, work = int(number), key.partition("/")[0]
        high, whose = self.highest_fence.get(work, (0, ""))
        if fence < high or (fence == high and nonce != whose):
            return 412, json.dumps({"fence": high}).encode()
        self.highest_fence[work] = fence, nonce
        if key in self.bodies:
            if self.bodies[key] != body:
                self.conflicts += 1
                return 422, b""
            return 200, b""
        self.bodies[key] = body
        self.applied.append(
            Effect(asyncio.get_running_loop().time(), key, fence, nonce, json.loads(body))
        )
        return 201, b""
