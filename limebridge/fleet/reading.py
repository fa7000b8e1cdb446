"""Reads the fleet's leases and logs from their store, without changes; proxies may be running."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from violetroute.fleet.folder import FolderStore
from violetroute.fleet.kv import ConsulStore
from violetroute.fleet.lease import IncarnationId
from violetroute.fleet.log import Done, FencedLog, Record, Steps, read_to_end
from violetroute.fleet.store import StoreView
from violetroute.fleet.table import FleetTable
from violetroute.transport.sockets import SocketNetwork, wall

# The identity with which the store is opened; it never acquires a lease.
READER = IncarnationId("limebridge fleet", "looks-only")


class UnreadableStoreError(Exception):
    """The store can't be read; the message is one line."""


@dataclass(frozen=True)
class WorkLease:
    """A work of the fleet and its lease; `limebridge fleet owners --json` prints these fields."""

    work: str
    owner: str  # name of the proxy
    fence: int
    state: str  # "owned", "free", "its process has ended", or why the lease can't be read
    since: float = 0.0  # start of the lease's term, Unix s
    # Remaining lease time.  None if no process owns the work, or if the store is Consul.
    left_s: float | None = None


def read_view(table: FleetTable) -> StoreView:
    """Reads all leases.

    Raises UnreadableStoreError when the store's folder does not exist or Consul gives no reply.
    """
    if table.store == "folder":
        if not Path(table.folder).is_dir():
            raise UnreadableStoreError(f"{table.folder}: no such folder")
        return FolderStore(Path(table.folder), READER, wall).read_view()
    view: StoreView = _call_consul(table, lambda store, callback: store.poll(callback))
    return view


def work_leases(table: FleetTable) -> list[WorkLease]:
    """Returns all works with a lease record in the store, sorted by name.

    The remaining time of a lease in a folder is counted from the newest modification time of the
    work's lease files.  Raises UnreadableStoreError as `read_view` does.
    """
    view = read_view(table)
    rows = [WorkLease(work, "", 0, reason) for work, reason in view.unreadable.items()]
    for work, lease in view.leases.items():
        state = (
            "free"
            if lease.free
            else "its process has ended"
            if lease.nonce in view.dead
            else "owned"
        )
        left_s = None
        if state == "owned" and table.store == "folder":
            renewed_at = max(
                (path.stat().st_mtime for path in Path(table.folder, "lease").glob(f"{work}@*")),
                default=0.0,
            )
            left_s = max(0.0, renewed_at + table.term_s - wall())
        rows.append(WorkLease(work, lease.name, lease.fence, state, lease.since, left_s))
    return sorted(rows, key=lambda row: row.work)


def read_log(table: FleetTable, work: str) -> tuple[list[tuple[int, Record]], FencedLog]:
    """Returns the valid entries of a work's log with their positions, and the log's final state.

    Raises UnreadableStoreError when Consul gives no reply.
    """
    entries: list[tuple[int, Record]] = []
    log = FencedLog(work, lambda position, record: entries.append((position, record)))

    def steps() -> Steps:
        yield from read_to_end(log)
        return Done(log.next_position)

    if table.store == "folder":
        FolderStore(Path(table.folder), READER, wall).run(steps())
    else:
        _call_consul(table, lambda store, callback: store.run(steps(), callback))
    return entries, log


def _call_consul(table: FleetTable, operation: Callable[[ConsulStore, Any], None]) -> Any:
    """Runs one operation on a Consul store and returns its result."""

    async def call() -> Any:
        loop = asyncio.get_running_loop()
        store = ConsulStore(table, SocketNetwork(loop), READER)
        done: asyncio.Future[tuple[Any, str]] = loop.create_future()
        operation(store, lambda answer, reason: done.set_result((answer, reason)))
        try:
            answer, reason = await done
        finally:
            store.close()
        if answer is None:
            raise UnreadableStoreError(reason)
        return answer

    return asyncio.run(call())
