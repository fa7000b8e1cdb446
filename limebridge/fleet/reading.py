"""Leases and logs as they stand in the store; nothing in it is changed, and its proxies may run."""

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

NOBODY = IncarnationId("limebridge fleet", "looks-only")


class Unread(Exception):
    """The store can't be read; one line."""


@dataclass(frozen=True)
class Owned:
    """One work."""

    work: str
    owner: str
    fence: int
    state: str  # owned, free, its process has ended, or why it can't be read
    since: float = 0.0  # Unix s
    left_s: float | None = None  # of the term, as far as the store tells


def view(table: FleetTable) -> StoreView:
    """Unread where there is none."""
    if table.store == "folder":
        if not Path(table.folder).is_dir():
            raise Unread(f"{table.folder}: no such folder")
        return FolderStore(Path(table.folder), NOBODY, wall).read_view()
    found: StoreView = _asked(table, lambda store, told: store.poll(told))
    return found


def owned(table: FleetTable) -> list[Owned]:
    """All works that the store has a record of."""
    seen = view(table)
    rows = [Owned(work, "", 0, why) for work, why in seen.unreadable.items()]
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
    """The entries of a work's log that count, and the log as read."""
    found: list[tuple[int, Record]] = []
    log = FencedLog(work, lambda position, record: found.append((position, record)))

    def steps() -> Steps:
        yield from read_to_end(log)
        return Done(log.next_position)

    if table.store == "folder":
        FolderStore(Path(table.folder), NOBODY, wall).run(steps())
    else:
        _asked(table, lambda store, told: store.run(steps(), told))
    return found, log


def _asked(table: FleetTable, ask: Callable[[ConsulStore, Any], None]) -> Any:
    """What one call at a Consul comes to."""

    async def asked() -> Any:
        loop = asyncio.get_running_loop()
        store = ConsulStore(table, SocketNetwork(loop), NOBODY)
        done: asyncio.Future[tuple[Any, str]] = loop.create_future()
        ask(store, lambda answer, why: done.set_result((answer, why)))
        try:
            answer, why = await done
        finally:
            store.close()
        if answer is None:
            raise Unread(why)
        return answer

    return asyncio.run(asked())
