"""Several sources watched at once, as one watch: `merge.py` decides whose word counts."""

from __future__ import annotations

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from violetroute import logs

from .entries import Entry, Listing
from .merge import Merge
from .native import Follower
from .staleness import changes
from .table import MembershipTable


class Watching(Protocol):
    """What every source can do."""

    def start(self, since: int) -> None: ...
    def stop(self) -> None: ...


class Speaker(Follower, Protocol):
    """Who is told of the merged list."""

    def changes_source(self) -> None:
        """The next whole list is another source's first."""


class _Voice:
    """One source's way to tell."""

    def __init__(self, sources: Sources, name: str) -> None:
        self._sources, self.name = sources, name

    def list_changed(self, listing: Listing) -> None:
        self._sources.heard(self.name, listing)

    def list_failed(self, silent: bool = False) -> None:
        self._sources.lost(self.name, silent)


class Sources:
    """As `native.Watch`.  When those that are down are asked again is the module's to say.

    It hears of each end, and `start` begins what is not under way; what is goes on. Bounds: one
    timer beside those of the sources.
    """

    def __init__(
        self,
        follower: Speaker,
        loop: AbstractEventLoop,
        clock: Callable[[], float],
        make: Mapping[str, Callable[[Follower], Watching]],
        table: MembershipTable,
    ) -> None:
        self._follower, self._loop, self._clock = follower, loop, clock
        self._merge = Merge(list(make), table, loop.time())
        self._watches = {name: made(_Voice(self, name)) for name, made in make.items()}
        self._up: dict[str, None] = {}  # those under way
        self._generations = dict.fromkeys(make, 0)
        self._told: dict[str, Entry] = {}
        self._spoke: str | None = None  # who did when it was last told
        self._due: TimerHandle | None = None

    def begin(self, entries: Iterable[Entry], before: Sources | None = None) -> None:
        """The list that holds so far, and who told it, where several did."""
        self._merge.begin(entries)
        if before is not None:
            self._merge.carry(before._merge)
        self._told = self._merge.entries(self._clock())

    def start(self, since: int) -> None:
        """Begin what is not under way.  `since` is one source's alone, so each has its own."""
        for name, watch in self._watches.items():
            if name not in self._up:
                self._up[name] = None
                watch.start(self._generations[name])
        self._when_due()

    def stop(self) -> None:
        """Nothing more is told, nor asked."""
        self._up.clear()
        if self._due is not None:
            self._due.cancel()
            self._due = None
        for watch in self._watches.values():
            watch.stop()

    # --- from the sources ---
    def heard(self, name: str, listing: Listing) -> None:
        self._generations[name] = listing.generation
        self._merge.take(self._loop.time(), self._clock(), name, listing)
        self._tell()

    def lost(self, name: str, silent: bool = False) -> None:
        self._up.pop(name, None)
        self._merge.lost(self._loop.time(), name)
        self._tell()
        self._follower.list_failed(silent)

    def _tick(self) -> None:
        self._due = None
        self._merge.tick(self._loop.time())
        self._tell()

    # --- telling ---
    def _tell(self) -> None:
        """What has changed; an empty list too, since the module waits for a first answer."""
        merge = self._merge
        if merge.unlike is not None:
            source, share = merge.unlike
            logs.event("membership.unlike", source=source, share=round(share, 2))
        entries = merge.entries(self._clock())
        whole = merge.speaker != self._spoke
        if whole:
            if self._spoke is not None:
                self._follower.changes_source()
            logs.event("membership.speaks", source=merge.speaker, nodes=len(entries))
        told = list(entries.values()) if whole else changes(self._told, entries)
        self._told, self._spoke = entries, merge.speaker
        self._follower.list_changed(Listing(0, whole, tuple(told)))
        self._when_due()

    def _when_due(self) -> None:
        if self._due is not None:
            self._due.cancel()
            self._due = None
        at = self._merge.due(self._loop.time()) if self._up else None
        if at is not None:
            self._due = self._loop.call_at(at + 0.001, self._tick)
