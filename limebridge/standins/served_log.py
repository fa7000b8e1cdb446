"""What cache nodes write down of the requests that they serve, to reconcile ledgers with."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from .wire import reply


class ServedLog:
    """Records of all nodes that serve by it, as `limebridge.ledger.reconcile.read_served` reads.

    `wall`: Unix s.  A request's id begins with its proxy's name and "-".
    """

    def __init__(self, wall: Callable[[], float]) -> None:
        self._wall = wall
        self.rows: list[str] = []  # JSON objects

    async def serve(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """The behaviour of a cache node."""
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
