"""Creates the fleet's runner, store and works from the operator's settings."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from violetroute.ledger.periods import Periods
from violetroute.ledger.table import LedgerTable
from violetroute.transport import Network, parse_address
from violetroute.transport.writer import ThreadWriter

from .folder import FolderStore, ThreadedFolderStore
from .job import BeatDecider, LogWork
from .lease import IncarnationId
from .ledger_files import BatchReader
from .runner import Fleet, Work
from .settlement import Settlement
from .store import Store
from .table import FleetTable

SETTLE_INTERVAL_S = 1.0  # s between two reads of the exported ledger files


def make_fleet(table: FleetTable, ledger: LedgerTable, name: str, net: Network) -> Fleet:
    """The runner for the works of `table`."""
    return Fleet(table, name, net, store_factory(table, net), work_factory(table, ledger, net))


def store_factory(table: FleetTable, net: Network) -> Callable[[IncarnationId], Store]:
    """A function that creates the store of an incarnation."""
    if table.store == "consul":
        from .kv import ConsulStore

        return lambda me: ConsulStore(table, net, me)

    def folder(me: IncarnationId) -> Store:
        return ThreadedFolderStore(
            FolderStore(Path(table.folder), me, net.wall),
            ThreadWriter(net.loop),
            ThreadWriter(net.loop),
        )

    return folder


def work_factory(table: FleetTable, ledger: LedgerTable, net: Network) -> Callable[[str], Work]:
    """A function that creates the work of a name in `works`."""
    endpoint = parse_address(table.endpoint) if table.endpoint else None

    def made(name: str) -> Work:
        if name == "settlement":
            periods = Periods(ledger.zone, ledger.period_min)
            settlement = Settlement(periods.end, table.wait_s, table.expect_s)
            gatherer = BatchReader(
                Path(ledger.export_folder), settlement, ThreadWriter(net.loop), net.wall
            )
            return LogWork(
                name,
                net,
                settlement,
                SETTLE_INTERVAL_S,
                endpoint,
                table.path,
                table.call_s,
                gatherer,
                gatherer.close,
            )
        return LogWork(name, net, BeatDecider(), table.beat_s, endpoint, table.path, table.call_s)

    return made
