"""`python -m limebridge.faults.distribution.recording FILE`: a proxy's side alone, which records.

It runs the daemon's own `DistributionService` without a proxy, prints one JSON line for whatever it
applies, and answers its status on a Unix socket.
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

from .judge import CONFIGURATION

if TYPE_CHECKING:  # earlier builds, which run this module too, have no such module
    from violetroute.distribution.status import ServiceStatus

SNAPSHOT_MS = 0  # `written_ms` of the batch that stands for the configuration of a snapshot


class RecordingFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the process is started with.  `controls`: "HOST:PORT REGION" of each machine.

    `drops_every`: a planted fault, the batches at every such position are acknowledged and not
    applied; 0: none.
    """

    name: str
    controls: tuple[str, ...]
    key: str
    socket: str
    stale_after_s: float
    region: str = ""
    drops_every: int = 0


class Recorded(msgspec.Struct, omit_defaults=True):
    """One line: a start, a batch, that everything was voided, or a snapshot's configuration.

    `keys`: the names of the records.  `base`: the position of the snapshot.
    """

    incarnation: str
    position: int = 0
    fence: int = 0
    keys: tuple[str, ...] = ()
    voided: bool = False
    base: int = 0


def record_name(record: Record) -> str:
    """A purge's key; a configuration record's key and body."""
    if record.topic == Topic.CONFIGURATION:
        return f"{record.key}{CONFIGURATION}{record.body.decode()}"
    return record.key


class RecordingService(DistributionService):
    """Prints what it applies before it acknowledges it."""

    __slots__ = ("drops_every",)
    drops_every: int

    def _apply(self, batch: Batch) -> None:
        drops = self.drops_every and batch.written_ms != SNAPSHOT_MS
        if drops and batch.position % self.drops_every == 0:
            return
        super()._apply(batch)
        names = tuple(record_name(record) for record in batch.records)
        if batch.written_ms == SNAPSHOT_MS:
            _print(Recorded(self.incarnation, keys=names, base=batch.position))
        else:
            _print(Recorded(self.incarnation, batch.position, batch.fence, names))

    def _invalidate_all(self, reason: str) -> None:
        super()._invalidate_all(reason)
        _print(Recorded(self.incarnation, voided=True))


def _print(line: Recorded) -> None:
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


async def serve(file: RecordingFile) -> None:
    """Until SIGTERM."""
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, ended.set_result, None)
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

    def answer(what: str) -> ServiceStatus:
        return service.status()

    door = IntrospectionSocket(file.socket, answer)
    await door.open()
    _print(Recorded(service.incarnation))
    await ended
    if hasattr(service, "leave"):  # an earlier build beside this kit has none
        await service.leave()
    service.close()
    door.close()


def main() -> None:
    """Read the file and serve."""
    logging.getLogger().addHandler(logging.NullHandler())
    file = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=RecordingFile)
    asyncio.run(serve(file))


if __name__ == "__main__":
    main()
