"""An endpoint that applies effects by idempotency key and rejects outdated fencing tokens.

It accepts the requests that `violetroute/fleet/job.py` describes.  `fault` names its faults.
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
    """An applied effect; `at` is the event loop's time, `nonce` identifies the fence's owner."""

    at: float
    key: str
    fence: int
    nonce: str
    body: Any


class EffectEndpoint(HttpEndpoint):
    """Collects effects in `applied`, in order; a repeat with the same key and body counts once."""

    def __init__(self) -> None:
        super().__init__()
        self.applied: list[Effect] = []
        self.highest_fence: dict[str, tuple[int, str]] = {}  # fence and nonce, by work
        self.bodies: dict[str, bytes] = {}  # bodies by key
        self.conflicts = 0  # requests with a known key and another body

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            _, headers, body = await read_request(reader)
            fault = self.fault()
            if fault == "lost before":
                writer.transport.abort()
                return
            status, answer = self._apply(headers, body)
            if fault == "twice":
                status, answer = self._apply(headers, body)
            if fault == "lost after":
                writer.transport.abort()
                return
            if fault == "500 after":
                status, answer = 500, b""
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(answer), answer)
            )
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
            pass
        finally:
            writer.close()

    def _apply(self, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        key = headers["idempotency-key"].strip('"')
        number, _, nonce = headers["fence"].partition(";")
        fence, work = int(number), key.partition("/")[0]
        highest, owner = self.highest_fence.get(work, (0, ""))
        if fence < highest or (fence == highest and nonce != owner):
            return 412, json.dumps({"fence": highest}).encode()
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
