"""Reads leases and logs from the store without changing it; the proxies may be running."""

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

READER = IncarnationId("limebridge fleet", "looks-only")


class UnreadableStoreError(Exception):
    """The store can't be read; the message is one line."""


@dataclass(frozen=True)
class Owned:
    """A work and its lease."""

    work: str
    owner: str
    fence: int
    state: str  # "owned", "free", "its process has ended", or why it can't be read
    since: float = 0.0  # Unix s
    # Remaining lease time.  None if no process owns the work, or if the store is Consul.
    left_s: float | None = None


def view(table: FleetTable) -> StoreView:
    """Reads all leases.  Raises UnreadableStoreError when the store does not exist or reply."""
    if table.store == "folder":
        if not Path(table.folder).is_dir():
            raise UnreadableStoreError(f"{table.folder}: no such folder")
        return FolderStore(Path(table.folder), READER, wall).read_view()
    found: StoreView = _call_consul(table, lambda store, callback: store.poll(callback))
    return found


def owned(table: FleetTable) -> list[Owned]:
    """All works with a lease record in the store, sorted by name.

    A folder's remaining lease time is counted from the newest modification of the lease files.
    """
    seen = view(table)
    rows = [Owned(work, "", 0, reason) for work, reason in seen.unreadable.items()]
    for work, lease in seen.leases.items():
        state = (
            "free"
            if lease.free
            else "its process has ended"
            if lease.nonce in seen.dead
            else "owned"
        )
        left = None
        if state == "owned" and table.store == "folder":
            at = max(
                (path.stat().st_mtime for path in Path(table.folder, "lease").glob(f"{work}@*")),
                default=0.0,
            )
            left = max(0.0, at + table.term_s - wall())
        rows.append(Owned(work, lease.name, lease.fence, state, lease.since, left))
    return sorted(rows, key=lambda row: row.work)


def entries(table: FleetTable, work: str) -> tuple[list[tuple[int, Record]], FencedLog]:
    """The valid entries of a work's log with their positions, and the log after reading them."""
    found: list[tuple[int, Record]] = []
    log = FencedLog(work, lambda position, record: found.append((position, record)))

    def steps() -> Steps:
        yield from read_to_end(log)
        return Done(log.next_position)

    if table.store == "folder":
        FolderStore(Path(table.folder), READER, wall).run(steps())
    else:
        _call_consul(table, lambda store, callback: store.run(steps(), callback))
    return found, log


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
