"""Records of the requests that cache nodes served, to reconcile ledgers with."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from .wire import reply


class ServedLog:
    """Collects the records of all nodes whose behaviour is `serve`, for `read_served`.

    `wall` returns the Unix time in seconds.  Request ids must begin with the proxy's name and "-".
    """

    def __init__(self, wall: Callable[[], float]) -> None:
        self._wall = wall
        self.rows: list[str] = []  # JSON objects

    async def serve(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Behaviour of a cache node: record the request and answer it."""
        fields = dict(item.split("=") for item in words[3].decode().split(","))
        request_id = words[2].decode()
        record = {
            "proxy": request_id.partition("-")[0],
            "tenant": fields["t"],
            "class": fields["c"],
            "at": self._wall(),
            "id": request_id,
        }
        self.rows.append(json.dumps(record))
        writer.write(reply(b"value"))
