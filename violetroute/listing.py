"""Applies lists of cache nodes in short iterations of the event loop.

All requests wait for the loop iteration that reads a list.  Nodes that leave service (draining,
gone or no longer named) are therefore applied at once, which costs little for each.  Nodes that
enter service are applied in slices, one an iteration, and requests are served in between.  A later
list replaces the waiting nodes of earlier ones.  If no node was in service before, the balancer
holds requests until the last slice: a partial list would send keys to the wrong nodes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

from snowstall import CacheState, Member

from . import logs
from .membership import Entry, Listing, NodeAddresses, as_member, stable_hash
from .placement import ListedNode, PlanManager
from .upstream import Pool

NODES_PER_SLICE = 16  # nodes that enter service in one loop iteration: about 2 ms of CPU

MIN_LOGGED_CHANGES = 100  # a list that adds and removes at least this many nodes is logged


@dataclass(slots=True)
class ListChange:
    """The effect of one list."""

    members: list[Member] = field(default_factory=list)  # entries that the balancer applies at once
    # Ids and entries of nodes that enter service, now or in a later slice, and of nodes in service
    # that the placement plan has to know anew.
    joining: list[tuple[int, Entry]] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)  # names of nodes out of service


class ListApplier:
    """Holds the applied state of each node, and the nodes that still wait for a slice.

    `on_members`: called with the members of each slice.  `clock`: Unix milliseconds.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        places: NodeAddresses,
        pool: Pool,
        clock: Callable[[], float],
        on_members: Callable[[list[Member]], None],
    ) -> None:
        self._loop, self._places, self._pool = loop, places, pool
        self._clock, self._on_members = clock, on_members
        self._applied: dict[str, Entry] = {}  # applied entries by name, without nodes that are gone
        self._ids: dict[str, int] = {}  # ids of the nodes in `_applied`, by name
        self._waiting: dict[str, Entry] = {}  # ready nodes that wait for a slice, by name
        self._next: asyncio.Handle | None = None

    @property
    def waiting(self) -> int:
        """The number of nodes that still wait to enter service."""
        return len(self._waiting)

    def apply(self, listing: Listing, whole: bool, at_once: bool = False) -> ListChange:
        """Apply a list, or changes of it, and return the effect.

        `whole`: remove nodes that it does not name.  Nodes that enter service are reported later,
        in slices, unless `at_once` is set.
        """
        latest = {entry.instance: entry for entry in listing.entries}
        list_change = ListChange()
        if whole:
            self._waiting.clear()
            self._remove_unnamed(latest, list_change)
        now, updates, later = self._split(latest)
        list_change.members += self._apply_entries(now)
        of_other_kind = [
            entry for entry in updates if entry.kind != self._applied[entry.instance].kind
        ]
        list_change.members += self._update_entries(updates)
        list_change.removed += [
            entry.instance for entry in now if entry.state is not CacheState.READY
        ]
        if at_once:
            list_change.members += self._apply_entries(later)
        else:
            self._waiting |= {entry.instance: entry for entry in later}
            self._schedule_slice()
        moved = [entry for entry in now if entry.state is CacheState.READY]
        serving = moved + of_other_kind + later
        list_change.joining = [(self._id(entry.instance), entry) for entry in serving]
        return list_change

    def close(self) -> None:
        """Cancel the slices that are still to be applied."""
        if self._next is not None:
            self._next.cancel()
            self._next = None

    def _split(self, latest: dict[str, Entry]) -> tuple[list[Entry], list[Entry], list[Entry]]:
        """Split entries into changes to apply now, updates in place, and those that may wait.

        Applied now: nodes that leave service or their address.  Updates in place are applied now
        too, since a restart makes a node cold: these nodes stay in service at their address.
        """
        now, updates, later = [], [], []
        applied, ids, has_place = self._applied, self._ids, self._places.has_address
        none_displaced = len(self._places) == len(ids)
        for name, entry in latest.items():
            before = applied.get(name)
            # Few of thousands of entries change, and an unchanged entry is the same object.
            if (
                before is entry
                and entry.state is CacheState.READY
                and (none_displaced or has_place(ids[name]))
            ):
                continue
            if entry.state is not CacheState.READY:
                self._waiting.pop(name, None)
                now.append(entry)
            elif before is None or before.state is not CacheState.READY:
                later.append(entry)
            elif before.address != entry.address or not has_place(ids[name]):
                now.append(entry)  # it has moved, or another node took its address
            elif (before.zone, before.cell) != (entry.zone, entry.cell):
                later.append(entry)  # another machine, which the balancer adds anew
            elif before != entry:
                updates.append(entry)
        return now, updates, later

    def _id(self, name: str) -> int:
        known = self._ids.get(name)
        return stable_hash(name.encode()) if known is None else known

    def _remove_unnamed(self, latest: dict[str, Entry], list_change: ListChange) -> None:
        """Remove the nodes that a whole list does not name."""
        list_change.removed = [name for name in self._applied if name not in latest]
        ids = [self._ids.pop(name) for name in list_change.removed]
        self._places.remove(ids)
        for name, cache_id in zip(list_change.removed, ids, strict=True):
            del self._applied[name]
            self._pool.remove(cache_id)
            list_change.members.append(Member(cache_id, CacheState.GONE))

    def _schedule_slice(self) -> None:
        if self._waiting and self._next is None:
            self._next = self._loop.call_soon(self._next_slice)

    def _next_slice(self) -> None:
        self._next = None
        names = list(islice(self._waiting, NODES_PER_SLICE))
        if names:  # a later list may have removed all of them
            self._on_members(self._apply_entries([self._waiting.pop(name) for name in names]))
            self._schedule_slice()

    def _apply_entries(self, entries: Iterable[Entry]) -> list[Member]:
        """Record addresses, add and remove nodes of the pool; return members for the balancer."""
        now, members = self._clock(), list[Member]()
        for entry in entries:
            member = as_member(entry, now, self._ids.get(entry.instance))
            if entry.state is CacheState.GONE:
                self._applied.pop(entry.instance, None)
                self._ids.pop(entry.instance, None)
            else:
                self._applied[entry.instance] = entry
                self._ids[entry.instance] = member.id
            address = entry.address
            if address is not None and self._places.update_in_place(
                member, address, entry.inferred
            ):
                if member.state is CacheState.READY:
                    self._pool.add(member.id, address)
                else:
                    self._pool.remove(member.id)
                members.append(member)
                continue
            change = self._places.apply(member, address, entry.inferred)
            for cache_id in change.removed:
                self._pool.remove(cache_id)
            if change.placed and address is not None:
                self._pool.add(member.id, address)
            members += change.members
        return members

    def _update_entries(self, entries: Iterable[Entry]) -> list[Member]:
        """As `_apply_entries`, but faster, for nodes in service that keep their address."""
        now, members, displaced = self._clock(), list[Member](), list[Entry]()
        applied, ids, update_in_place = self._applied, self._ids, self._places.update_in_place
        for entry in entries:
            member = as_member(entry, now, ids[entry.instance])
            assert entry.address is not None
            if update_in_place(member, entry.address, entry.inferred):
                applied[entry.instance] = entry
                members.append(member)
            else:
                displaced.append(entry)  # an entry of this list has taken its address
        return members + self._apply_entries(displaced)


def log_step(list_change: ListChange, joining: int, serving: int) -> None:
    """Log a list that adds or removes at least MIN_LOGGED_CHANGES nodes."""
    if len(list_change.joining) + len(list_change.removed) >= MIN_LOGGED_CHANGES:
        logs.event(
            "membership.changed", left=len(list_change.removed), joining=joining, serving=serving
        )


def notify_placement(list_change: ListChange, whole: bool, plan_manager: PlanManager) -> None:
    """Notify the placement plan of nodes that entered or left service.

    `whole`: set for the first list of the process.
    """
    nodes = ((number, ListedNode(e.instance, e.zone, e.kind)) for number, e in list_change.joining)
    plan_manager.update_nodes(whole, nodes, list_change.removed)
