"""Several sources watched at once, as one watch: `merge.py` decides whose word counts."""

from __future__ import annotations

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from violetroute import logs

from .entries import Entry, Listing
from .merge import ListMerger
from .native import ListObserver
from .staleness import changes
from .table import MembershipTable


class SourceWatch(Protocol):
    """What every source can do."""

    def start(self, since: int) -> None: ...
    def stop(self) -> None: ...


class MergedListObserver(ListObserver, Protocol):
    """Who is told of the merged list."""

    def expect_new_source(self) -> None:
        """The next whole list is another source's first."""


class _SourceObserver:
    """One source's way to tell."""

    def __init__(self, sources: MergedSources, name: str) -> None:
        self._sources, self.name = sources, name

    def list_changed(self, listing: Listing) -> None:
        self._sources.source_changed(self.name, listing)

    def list_failed(self, silent: bool = False) -> None:
        self._sources.source_failed(self.name, silent)


class MergedSources:
    """As `native.Watch`.  When those that are down are asked again is the module's to say.

    It hears of each end, and `start` begins what is not under way; what is goes on. Bounds: one
    timer beside those of the sources.
    """

    def __init__(
        self,
        observer: MergedListObserver,
        loop: AbstractEventLoop,
        clock: Callable[[], float],
        make: Mapping[str, Callable[[ListObserver], SourceWatch]],
        table: MembershipTable,
    ) -> None:
        self._observer, self._loop, self._clock = observer, loop, clock
        self._merger = ListMerger(list(make), table, loop.time())
        self._watches = {name: made(_SourceObserver(self, name)) for name, made in make.items()}
        self._running: dict[str, None] = {}  # those under way
        self._generations = dict.fromkeys(make, 0)
        self._notified_entries: dict[str, Entry] = {}
        self._notified_source: str | None = None  # who did when it was last told
        self._due: TimerHandle | None = None

    def set_initial_list(
        self, entries: Iterable[Entry], before: MergedSources | None = None
    ) -> None:
        """The list that holds so far, and who told it, where several did."""
        self._merger.set_initial_list(entries)
        if before is not None:
            self._merger.carry_removals(before._merger)
        self._notified_entries = self._merger.entries(self._clock())

    def start(self, since: int) -> None:
        """Begin what is not under way.  `since` is one source's alone, so each has its own."""
        for name, watch in self._watches.items():
            if name not in self._running:
                self._running[name] = None
                watch.start(self._generations[name])
        self._when_due()

    def stop(self) -> None:
        """Nothing more is told, nor asked."""
        self._running.clear()
        if self._due is not None:
            self._due.cancel()
            self._due = None
        for watch in self._watches.values():
            watch.stop()

    # --- from the sources ---
    def source_changed(self, name: str, listing: Listing) -> None:
        self._generations[name] = listing.generation
        self._merger.apply(self._loop.time(), self._clock(), name, listing)
        self._tell()

    def source_failed(self, name: str, silent: bool = False) -> None:
        self._running.pop(name, None)
        self._merger.source_failed(self._loop.time(), name)
        self._tell()
        self._observer.list_failed(silent)

    def _tick(self) -> None:
        self._due = None
        self._merger.tick(self._loop.time())
        self._tell()

    # --- telling ---
    def _tell(self) -> None:
        """What has changed; an empty list too, since the module waits for a first answer."""
        merge = self._merger
        if merge.dissimilar is not None:
            source, share = merge.dissimilar
            logs.event("membership.unlike", source=source, share=round(share, 2))
        entries = merge.entries(self._clock())
        whole = merge.current_source != self._notified_source
        if whole:
            if self._notified_source is not None:
                self._observer.expect_new_source()
            logs.event("membership.speaks", source=merge.current_source, nodes=len(entries))
        told = list(entries.values()) if whole else changes(self._notified_entries, entries)
        self._notified_entries, self._notified_source = entries, merge.current_source
        self._observer.list_changed(Listing(0, whole, tuple(told)))
        self._when_due()

    def _when_due(self) -> None:
        if self._due is not None:
            self._due.cancel()
            self._due = None
        at = self._merger.next_change_at(self._loop.time()) if self._running else None
        if at is not None:
            self._due = self._loop.call_at(at + 0.001, self._tick)
