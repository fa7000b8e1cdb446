"""The list of cache nodes: its JSON form, and the watch that follows its changes."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any
from typing import Protocol as Interface

import h11

from snowstall import CacheState

from .transport.address import Address, parse_address

log = logging.getLogger(__name__)

CALL_TIMEOUT = 3.0  # s until a call's first line; discovery itself lets a call wait 1 s
SILENCE = 3.0  # s without a byte; an empty line comes every 2 s
LINE_PATIENCE = 8.0  # s over one line, which may come in small pieces
LINE_LIMIT = 512 * 1024  # bytes of a line: some thousand entries
READ_SIZE = 16 * 1024

STATES = {"in_service": CacheState.READY, "terminating": CacheState.DRAINING,
          "terminated": CacheState.GONE}


@dataclass(frozen=True, slots=True)
class Entry:
    instance: str
    state: CacheState
    address: Address | None
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: float


@dataclass(frozen=True, slots=True)
class Listing:
    generation: int
    whole: bool
    entries: tuple[Entry, ...]


def parse_listing(raw: Any) -> Listing:
    """Raises ValueError on anything that is not a list of cache nodes.

    One entry that makes no sense is left out and the others hold: as an error it would end
    each watch anew, and a fleet that nobody hears of costs more than one node.
    """
    entries, senseless = [], 0
    try:
        for item in raw["instances"]:
            try:
                entries.append(_entry(item))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
                senseless += 1
        listing = Listing(int(raw.get("generation", 0)), bool(raw.get("reset", False)),
                          tuple(entries))
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a list of cache nodes: {error!r}") from error
    if senseless:
        log.warning("left out %d entries of the list that make no sense", senseless)
    return listing


def _entry(raw: dict[str, Any]) -> Entry:
    state = STATES[raw["lifecycle"]]
    gone = state is CacheState.GONE  # nobody will connect there
    weight, started_at = float(raw.get("weight", 1.0)), float(raw.get("startedAtMs", 0.0))
    if not (0.0 <= weight < math.inf and 0.0 <= started_at < math.inf):
        raise ValueError("weight or start is no number")
    return Entry(
        str(raw["instanceId"]), state, None if gone else parse_address(raw["hostPort"]),
        str(raw.get("zone", "")), str(raw.get("machineType", "")), int(raw.get("cell", 0)),
        weight, started_at)


class Follower(Interface):
    """What the watch knows of the proxy."""

    def list_changed(self, listing: Listing) -> None: ...
    def list_failed(self) -> None: ...


class Broken(Exception):
    """The watch has ended, or can no longer be believed."""


class Watch:
    """One watch at a time; its end is told once, and asking again is not decided here."""

    def __init__(self, follower: Follower, address: Address) -> None:
        self._follower, self._address = follower, address
        self._task: asyncio.Task[None] | None = None

    def move(self, address: Address) -> bool:
        """Where discovery is from now on; whether that is elsewhere."""
        if address == self._address:
            return False
        self._address = address
        self.stop()  # its end is not told: the module learns of the move instead
        return True

    def start(self, since: int) -> None:
        self.stop()
        self._task = asyncio.get_running_loop().create_task(self._run(since))

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self, since: int) -> None:
        try:
            await self._follow(since)
        except Exception as error:
            # Whatever discovery sends, and whatever taking it in does, ends one watch and is
            # told: an end that nobody hears of would leave the list as it is for good.  It
            # also hides our own faults, which is why they are logged with their kind.
            log.info("watch ended: %s: %.200s", type(error).__name__, error)
        self._follower.list_failed()

    async def _follow(self, since: int) -> None:
        loop = asyncio.get_running_loop()
        first, waits_until = True, loop.time() + CALL_TIMEOUT
        async with asyncio.timeout_at(waits_until):
            reader, writer = await asyncio.open_connection(
                self._address.host, self._address.port, limit=READ_SIZE)
        try:
            lines = self._lines(reader, writer, since)
            while True:
                async with asyncio.timeout_at(waits_until):
                    line = await anext(lines)
                waits_until = loop.time() + LINE_PATIENCE
                listing = parse_listing(json.loads(line)) if line.strip() else None
                # The first answer is told even when nothing changed: the module waits for it.
                if listing is not None or first:
                    self._follower.list_changed(listing or Listing(since, False, ()))
                first = False
        finally:
            writer.transport.abort()

    async def _lines(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                     since: int) -> AsyncIterator[bytes]:
        """Whole lines; one that is cut off by the end is dropped."""
        http = h11.Connection(h11.CLIENT)
        for event in (h11.Request(
                method="GET", target=f"/v1/servers?follow=1&since={since}",
                headers=[("Host", f"{self._address.host}:{self._address.port}")]),
                h11.EndOfMessage()):
            writer.write(http.send(event) or b"")
        buffer = bytearray()
        answered = False
        while True:
            match http.next_event():
                case h11.NEED_DATA:
                    async with asyncio.timeout(SILENCE if answered else CALL_TIMEOUT):
                        http.receive_data(await reader.read(READ_SIZE))
                case h11.Response(status_code=status):
                    if status != 200:
                        raise Broken(f"discovery answered {status}")
                    answered = True
                case h11.Data(data=data):
                    buffer += data
                    while (end := buffer.find(b"\n")) >= 0:
                        line = bytes(buffer[:end])
                        del buffer[: end + 1]
                        yield line
                    if len(buffer) > LINE_LIMIT:
                        raise Broken("line too long")
                case h11.EndOfMessage() | h11.ConnectionClosed() | h11.PAUSED:
                    raise Broken("discovery ended the watch")
                case _:
                    pass  # informational answers
