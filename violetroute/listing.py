"""Applies lists of cache nodes to the parts that keep state for each node, in short turns.

All requests wait for the turn of the event loop that takes a list.  So what a list takes out of
service (nodes that drain, are gone or are no longer named) is applied in the turn in which the list
is read, and costs little for each.  What it brings into service is applied in slices, one a turn,
which requests pass between.  A later list replaces what still waits of the ones before.  Where no
node served before, requests are held until the last slice: part of a list would lead keys astray.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

from snowstall import CacheState, Member

from . import logs
from .membership import Entry, Listing, Places, as_member, stable_hash
from .placement import Keeper, Like
from .upstream import Pool

SLICE = 16  # nodes that one turn brings into service: about 2 ms of CPU

LOGGED_FROM = 100  # nodes that one list takes in or out of service


@dataclass(slots=True)
class Step:
    """What of a list counts from now on."""

    members: list[Member] = field(default_factory=list)  # to decide with
    serving: list[tuple[int, Entry]] = field(default_factory=list)  # now or soon, and did not so
    left: list[str] = field(default_factory=list)  # names that serve no more


class ListApplier:
    """Owns what has been read of the list and is still to be applied.

    `tell`: called with the members of each slice.  `clock`: Unix milliseconds.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        places: Places,
        pool: Pool,
        clock: Callable[[], float],
        tell: Callable[[list[Member]], None],
    ) -> None:
        self._loop, self._places, self._pool = loop, places, pool
        self._clock, self._tell = clock, tell
        self._applied: dict[str, Entry] = {}  # by name, as it was applied last; none that is gone
        self._ids: dict[str, int] = {}  # of those
        self._waiting: dict[str, Entry] = {}  # ready nodes that are to be brought into service
        self._next: asyncio.Handle | None = None

    @property
    def waiting(self) -> int:
        """Nodes that are still to be brought into service."""
        return len(self._waiting)

    def apply(self, listing: Listing, whole: bool, at_once: bool = False) -> Step:
        """Take a list, or changes of it; returns what counts from now on.

        `whole`: nodes that it does not name are removed.  Nodes that come into service are told
        later, in slices, unless all is to be applied `at_once`.
        """
        latest = {entry.instance: entry for entry in listing.entries}
        step = Step()
        if whole:
            self._waiting.clear()
            self._remove_unnamed(latest, step)
        now, later = self._split(latest)
        step.members += self._take(now)
        step.left += [entry.instance for entry in now if entry.state is not CacheState.READY]
        if at_once:
            step.members += self._take(later)
        else:
            self._waiting |= {entry.instance: entry for entry in later}
            self._go_on()
        serving = [entry for entry in now if entry.state is CacheState.READY] + later
        step.serving = [(self._id(entry.instance), entry) for entry in serving]
        return step

    def close(self) -> None:
        """Apply no more."""
        if self._next is not None:
            self._next.cancel()
            self._next = None

    def _split(self, latest: dict[str, Entry]) -> tuple[list[Entry], list[Entry]]:
        """What has to count at once, and what may come into service later.

        At once: nodes that leave, and news of nodes that serve (another start makes a node cold).
        """
        now, later = [], []
        applied, ids, has_place = self._applied, self._ids, self._places.has
        for name, entry in latest.items():
            before = applied.get(name)
            # Of thousands few have changed, and one that has not is the same object.
            if before is entry and entry.state is CacheState.READY and has_place(ids[name]):
                continue
            if entry.state is not CacheState.READY:
                self._waiting.pop(name, None)
                now.append(entry)
            elif before is None or before.state is not CacheState.READY:
                later.append(entry)
            elif before != entry or not has_place(ids[name]):  # displaced at its address
                now.append(entry)
        return now, later

    def _id(self, name: str) -> int:
        known = self._ids.get(name)
        return stable_hash(name.encode()) if known is None else known

    def _remove_unnamed(self, latest: dict[str, Entry], step: Step) -> None:
        """Take nodes out of service that a whole list does not name."""
        kept = [cache_id for name, cache_id in self._ids.items() if name in latest]
        for cache_id in self._places.keep(kept):
            self._pool.remove(cache_id)
        step.left = [name for name in self._applied if name not in latest]
        for name in step.left:
            del self._applied[name]
            step.members.append(Member(self._ids.pop(name), CacheState.GONE))

    def _go_on(self) -> None:
        if self._waiting and self._next is None:
            self._next = self._loop.call_soon(self._next_slice)

    def _next_slice(self) -> None:
        self._next = None
        names = list(islice(self._waiting, SLICE))
        if names:  # else a later list has taken all of them back
            self._tell(self._take([self._waiting.pop(name) for name in names]))
            self._go_on()

    def _take(self, entries: Iterable[Entry]) -> list[Member]:
        """Record addresses, and open or close the pool's nodes."""
        now, members = self._clock(), list[Member]()
        for entry in entries:
            member = as_member(entry, now, self._ids.get(entry.instance))
            if entry.state is CacheState.GONE:
                self._applied.pop(entry.instance, None)
                self._ids.pop(entry.instance, None)
            else:
                self._applied[entry.instance] = entry
                self._ids[entry.instance] = member.id
            change = self._places.take(member, entry.address, entry.inferred)
            for cache_id in change.removed:
                self._pool.remove(cache_id)
            if change.placed and entry.address is not None:
                self._pool.place(member.id, entry.address)
            members += change.members
        return members


def log_step(step: Step, joining: int, serving: int) -> None:
    """Log a list that takes many nodes in or out of service at once."""
    if len(step.serving) + len(step.left) >= LOGGED_FROM:
        logs.event("membership.changed", left=len(step.left), joining=joining, serving=serving)


def notify_placement(step: Step, whole: bool, keeper: Keeper) -> None:
    """Tell the placement plan which nodes serve, and which do not any more.

    `whole`: it is the first list of all.
    """
    nodes = ((number, Like(e.instance, e.zone, e.kind)) for number, e in step.serving)
    keeper.listed(whole, nodes, step.left)
