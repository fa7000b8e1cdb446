"""Runs an unmodified daemon module with sockets that count traffic and delay or drop datagrams.

    python -m limebridge.scale.instrumented FILE MODULE [ARGUMENT...]

FILE is an `InstrumentFile` as JSON.  MODULE (`violetroute`, `violetroute.distribution`) runs as by
`python -m MODULE ARGUMENT...`, except that `SocketNetwork` creates `CountedSocket`s.  The process
sends itself SIGTERM when its standard input ends, so that it cannot outlive the run.
"""

from __future__ import annotations

import asyncio
import os
import runpy
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from violetroute.distribution.table import DistributionTable
from violetroute.transport import sockets

from .applied import StampingReceiver
from .links import LinkTable
from .traffic import CountedSocket, Counters, DatagramShaper


class InstrumentFile(msgspec.Struct, frozen=True):
    """The settings of an instrumented process."""

    counters: str  # path of the counters file, which the process creates
    links: str  # path of the link table
    regions: int
    region: int
    seed: int
    counted_ports: tuple[int, ...] | None  # only connections to these ports are counted; None: all
    stamps: str = ""  # path of the file for the times at which positions are applied; "": none


def instrument_sockets(file: InstrumentFile) -> None:
    """Make every `SocketNetwork` of this process create counting, shaping sockets by default."""
    links = LinkTable(Path(file.links), file.regions)
    counters = Counters(Path(file.counters), 1, create=True).block(0)
    shaper = DatagramShaper(links, file.region, f"{file.seed}/{file.counters}")
    ports = None if file.counted_ports is None else frozenset(file.counted_ports)
    socket_factory = CountedSocket.socket_factory(counters, shaper, ports)
    original: Callable[..., None] = sockets.SocketNetwork.__init__

    def initialize(self: sockets.SocketNetwork, *arguments: Any, **options: Any) -> None:
        original(self, *arguments, **({"make": socket_factory} | options))

    setattr(sockets.SocketNetwork, "__init__", initialize)  # noqa: B010


def instrument_distribution(path: Path) -> None:
    """Make the `DistributionService` of this process record when it applies which positions."""
    # Not at the top: a daemon without distribution does not load this module.
    from violetroute.distribution import service

    original: Callable[..., None] = service.DistributionService.__init__

    def initialize(self: service.DistributionService, *arguments: Any, **options: Any) -> None:
        original(self, *arguments, **options)
        table: DistributionTable = arguments[0]
        receiver = StampingReceiver(self.receiver, self, path, table.stale_after_s)
        self.receiver = receiver
        receiver.sample_staleness(asyncio.get_running_loop())

    setattr(service.DistributionService, "__init__", initialize)  # noqa: B010


def terminate_at_end_of_input() -> None:
    """Send SIGTERM to this process when its standard input ends.  Blocks; run in a thread."""
    while os.read(sys.stdin.fileno(), 4096):
        pass
    os.kill(os.getpid(), signal.SIGTERM)


def main() -> None:
    """Instrument this process, and run the module given on the command line in it."""
    file = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=InstrumentFile)
    instrument_sockets(file)
    if file.stamps:
        instrument_distribution(Path(file.stamps))
    threading.Thread(target=terminate_at_end_of_input, daemon=True).start()
    module = sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
