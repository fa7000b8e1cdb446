"""`python -m limebridge.faults.distribution.recording FILE`: records what a proxy would apply.

The process runs the daemon's own `DistributionService` without a proxy, prints a JSON line for
everything that it applies, and serves its status on a Unix socket.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from violetroute.distribution.messages import Batch, Record, Topic
from violetroute.distribution.service import CountingReceiver, DistributionService
from violetroute.distribution.table import DistributionTable
from violetroute.sharing.wire import Keys
from violetroute.transport.introspection_socket import IntrospectionSocket
from violetroute.transport.sockets import SocketNetwork

from .checker import CONFIGURATION_SEPARATOR

if TYPE_CHECKING:  # older builds run this module too, and do not have `status`
    from violetroute.distribution.status import ServiceStatus

SNAPSHOT_MS = 0  # `written_ms` of the batch that holds a snapshot's configuration


class RecordingFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of the process, as JSON.  `controls`: "HOST:PORT REGION" of each machine.

    `drops_every` is a planted fault: batches at positions that are multiples of it are acknowledged
    but not applied; 0: all are applied.
    """

    name: str
    controls: tuple[str, ...]
    key: str
    socket: str
    stale_after_s: float
    region: str = ""
    drops_every: int = 0


class RecordedEvent(msgspec.Struct, omit_defaults=True):
    """One output line: a start, an applied batch, an invalidation, or a snapshot's configuration.

    `keys` are the names of the records; `base` is the position of the snapshot.  `voided`: the
    whole cache was invalidated.
    """

    incarnation: str
    position: int = 0
    fence: int = 0
    keys: tuple[str, ...] = ()
    voided: bool = False
    base: int = 0


def record_name(record: Record) -> str:
    """The name of a record for the checker: a purge's key, or a configuration's key and body."""
    if record.topic == Topic.CONFIGURATION:
        return f"{record.key}{CONFIGURATION_SEPARATOR}{record.body.decode()}"
    return record.key


class RecordingService(DistributionService):
    """Prints what it applies, before it acknowledges it."""

    __slots__ = ("drops_every",)
    drops_every: int

    def _apply(self, batch: Batch) -> None:
        drops_some = self.drops_every and batch.written_ms != SNAPSHOT_MS
        if drops_some and batch.position % self.drops_every == 0:
            return
        super()._apply(batch)
        names = tuple(record_name(record) for record in batch.records)
        if batch.written_ms == SNAPSHOT_MS:
            _write_event(RecordedEvent(self.incarnation, keys=names, base=batch.position))
        else:
            _write_event(RecordedEvent(self.incarnation, batch.position, batch.fence, names))

    def _invalidate_all(self, reason: str) -> None:
        super()._invalidate_all(reason)
        _write_event(RecordedEvent(self.incarnation, voided=True))


def _write_event(event: RecordedEvent) -> None:
    sys.stdout.write(msgspec.json.encode(event).decode() + "\n")
    sys.stdout.flush()


async def serve(file: RecordingFile) -> None:
    """Runs the recording service until SIGTERM."""
    loop = asyncio.get_running_loop()
    stopped: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, stopped.set_result, None)
    table = DistributionTable(
        file.controls,
        region=file.region,
        stale_after_s=file.stale_after_s,
        socket=file.socket,
        configuration=True,
    )
    service = RecordingService(
        table,
        Keys([file.key.encode()]),
        file.name,
        file.region,
        SocketNetwork(loop),
        CountingReceiver(),
    )

    service.drops_every = file.drops_every

    def status_reply(request: str) -> ServiceStatus:
        return service.status()

    introspection = IntrospectionSocket(file.socket, status_reply)
    await introspection.open()
    _write_event(RecordedEvent(service.incarnation))
    await stopped
    if hasattr(service, "leave"):  # older builds have no such method
        await service.leave()
    service.close()
    introspection.close()


def main() -> None:
    """Reads the settings file named on the command line and serves."""
    logging.getLogger().addHandler(logging.NullHandler())
    file = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=RecordingFile)
    asyncio.run(serve(file))


if __name__ == "__main__":
    main()
