"""Watches several sources at once and reports one list, as `merge.py` merges them."""

from __future__ import annotations

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from violetroute import logs

from .entries import Entry, Listing
from .merge import ListMerger
from .native import ListObserver
from .table import MembershipTable
from .updates import diff_entries


class SourceWatch(Protocol):
    """A watch on one source, or on all of them."""

    def start(self, since: int) -> None:
        """Start watching, from generation `since` if the source has generations."""
        ...

    def stop(self) -> None:
        """Stop watching without a report."""
        ...


class MergedListObserver(ListObserver, Protocol):
    """Receives the merged list."""

    def expect_new_source(self) -> None:
        """Expect the first full list of another source."""


class _SourceObserver:
    """Passes the reports of one source on with its name."""

    def __init__(self, sources: MergedSources, name: str) -> None:
        self._sources, self.name = sources, name

    def list_changed(self, listing: Listing) -> None:
        self._sources.source_changed(self.name, listing)

    def list_failed(self, silent: bool = False) -> None:
        self._sources.source_failed(self.name, silent)


class MergedSources:
    """Like `DiscoveryWatch`, reports each end and leaves restarts to its owner.

    `start` starts the sources that are not running; the others continue. Bounds: one timer beside
    those of the sources.
    """

    def __init__(
        self,
        observer: MergedListObserver,
        loop: AbstractEventLoop,
        clock: Callable[[], float],
        factories: Mapping[str, Callable[[ListObserver], SourceWatch]],
        table: MembershipTable,
    ) -> None:
        self._observer, self._loop, self._clock = observer, loop, clock
        self._merger = ListMerger(list(factories), table, loop.time())
        self._watches = {
            name: create_watch(_SourceObserver(self, name))
            for name, create_watch in factories.items()
        }
        self._running: dict[str, None] = {}  # sources whose watch is running
        self._generations = dict.fromkeys(factories, 0)
        self._notified_entries: dict[str, Entry] = {}
        self._notified_source: str | None = None  # the current source of the last report
        self._timer: TimerHandle | None = None

    def set_initial_list(
        self, entries: Iterable[Entry], before: MergedSources | None = None
    ) -> None:
        """Set the list in use so far.  `before`: the previous instance, whose removals are kept."""
        self._merger.set_initial_list(entries)
        if before is not None:
            self._merger.carry_removals(before._merger)
        self._notified_entries = self._merger.entries(self._clock())

    def start(self, since: int) -> None:
        """Start sources that are not running.  Each resumes at its own generation, not `since`."""
        for name, watch in self._watches.items():
            if name not in self._running:
                self._running[name] = None
                watch.start(self._generations[name])
        self._schedule_tick()

    def stop(self) -> None:
        """Stop all sources and reporting."""
        self._running.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for watch in self._watches.values():
            watch.stop()

    # --- from the sources ---
    def source_changed(self, name: str, listing: Listing) -> None:
        """Merge a list or changes from a source, and report the result."""
        self._generations[name] = listing.generation
        self._merger.apply(self._loop.time(), self._clock(), name, listing)
        self._report_changes()

    def source_failed(self, name: str, silent: bool = False) -> None:
        """Report the end of a source's watch, and the list without it if that changes."""
        self._running.pop(name, None)
        self._merger.source_failed(self._loop.time(), name)
        self._report_changes()
        self._observer.list_failed(silent)

    def _tick(self) -> None:
        self._timer = None
        self._merger.tick(self._loop.time())
        self._report_changes()

    # --- reports ---
    def _report_changes(self) -> None:
        """Report what has changed, even if nothing: the balancer waits for a first answer."""
        merger = self._merger
        if merger.dissimilar is not None:
            source, share = merger.dissimilar
            logs.event("membership.unlike", source=source, share=round(share, 2))
        entries = merger.entries(self._clock())
        whole = merger.current_source != self._notified_source
        if whole:
            if self._notified_source is not None:
                self._observer.expect_new_source()
            logs.event("membership.speaks", source=merger.current_source, nodes=len(entries))
        changed = list(entries.values()) if whole else diff_entries(self._notified_entries, entries)
        self._notified_entries, self._notified_source = entries, merger.current_source
        self._observer.list_changed(Listing(0, whole, tuple(changed)))
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self._merger.next_change_at(self._loop.time()) if self._running else None
        if at is not None:
            self._timer = self._loop.call_at(at + 0.001, self._tick)
