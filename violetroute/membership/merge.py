"""Merges the lists of several sources: selects one, and applies the removals of all.  Pure.

One source is current at a time: the available one of the highest precedence. Mixing the lists
entry by entry was rejected: each source lags in its own way, and a node that one of them doesn't
list yet would flicker. There are two exceptions to the precedence:

- A **drain or removal** applies at once, whichever source reports it (the guarantee on drains),
  until that source withdraws it or the current source reports a later start of the node. If most
  of a list vanishes at once, its nodes drain and are not removed: the report is doubted, and the
  guarantee has no exception for that. Drawback: a list that is emptied by hand takes nodes out of
  service while another source is current, so such a source must be removed from `sources` first.
- A current source that becomes unavailable stays current for `patience_s`: its last list is better
  than switching lists at each short outage. A source of higher rank that recovers waits `settle_s`,
  so that an unstable one doesn't make the fleet switch back and forth.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from snowstall import CacheState

from .entries import Entry, Listing
from .table import MembershipTable

MAX_REMOVALS = 4096  # remembered drains and removals of a source; the oldest are dropped
START_TOLERANCE_MS = 10_000.0  # ms by which two sources may differ on the same start


@dataclass(slots=True)
class _PlannedRemoval:
    """A drain or removal that a source has reported."""

    entry: Entry
    gone: bool
    wall: float  # Unix ms at which it was reported


@dataclass(slots=True)
class _SourceState:
    """The list and removals that one source has reported."""

    entries: dict[str, Entry] = field(default_factory=dict)
    removals: dict[str, _PlannedRemoval] = field(default_factory=dict)
    unavailable_since: float | None = None  # None while it is available
    available_since: float = 0.0

    @property
    def is_available(self) -> bool:
        return self.unavailable_since is None

    @property
    def ready_entries(self) -> list[Entry]:
        return [entry for entry in self.entries.values() if entry.state is CacheState.READY]


class ListMerger:
    """The merged list of all sources.  Times are the loop's, in s; `wall` is Unix ms.

    `order`: the names of the sources, highest precedence first.
    """

    def __init__(self, order: Sequence[str], table: MembershipTable, now: float) -> None:
        self._order, self._table = tuple(order), table
        self._sources = {name: _SourceState(unavailable_since=now) for name in order}
        self.current_source: str | None = None  # None: the initial list is in use
        self._initial_entries: dict[str, Entry] = {}
        # A source that was not selected because its list differs too much, with the fraction that
        # the lists have in common.
        self.dissimilar: tuple[str, float] | None = None

    def set_initial_list(self, entries: Iterable[Entry]) -> None:
        """Set the list to use until a source is current: the platform's, or one from before."""
        self._initial_entries = {entry.instance: entry for entry in entries}

    def carry_removals(self, before: ListMerger) -> None:
        """Copy the drains and removals that the sources reported to the previous merger.

        Sources that are no longer configured are skipped: removing one discards its reports.
        """
        for name, reports in before._sources.items():
            if name in self._sources:
                self._sources[name].removals.update(reports.removals)

    # --- input from sources ---
    def apply(self, now: float, wall: float, source: str, listing: Listing) -> None:
        """Apply a full list or changes from `source`, which is available if it has answered."""
        reports = self._sources[source]
        if listing.answered and reports.unavailable_since is not None:
            reports.unavailable_since, reports.available_since = None, now
        before = reports.entries
        latest = {} if listing.whole else dict(before)
        for entry in listing.entries:
            if entry.state is CacheState.GONE:
                latest.pop(entry.instance, None)
                if not entry.hint:
                    self._record_removal(
                        reports, wall, before.get(entry.instance, entry), gone=True
                    )
            else:
                latest[entry.instance] = entry
                if entry.state is CacheState.DRAINING:
                    self._record_removal(reports, wall, entry, gone=False)
                else:
                    reports.removals.pop(entry.instance, None)
        if listing.whole:
            vanished = [entry for name, entry in before.items() if name not in latest]
            # A list that loses most nodes at once is no reliable evidence about a single node: they
            # get no new requests, but are not removed.
            is_reliable = len(vanished) <= (1.0 - self._table.least_match) * len(before)
            for entry in vanished:
                self._record_removal(reports, wall, entry, gone=is_reliable)
        reports.entries = latest
        self._select_source(now)

    def _record_removal(self, reports: _SourceState, wall: float, entry: Entry, gone: bool) -> None:
        # A repeated report counts as new: it may refer to a later start of the node.
        reports.removals.pop(entry.instance, None)
        reports.removals[entry.instance] = _PlannedRemoval(entry, gone, wall)
        if len(reports.removals) > MAX_REMOVALS:
            del reports.removals[next(iter(reports.removals))]

    def source_failed(self, now: float, source: str) -> None:
        """Note that a source has ended or failed to answer."""
        reports = self._sources[source]
        if reports.unavailable_since is None:
            reports.unavailable_since = now
        self._select_source(now)

    # --- selection of the source ---
    def tick(self, now: float) -> None:
        """Select the source again, at the time from `next_change_at`."""
        self._select_source(now)

    def next_change_at(self, now: float) -> float | None:
        """When a timeout may change the current source; None if none is pending."""
        times = []
        rank = self._rank()
        for position, (name, reports) in enumerate(self._sources.items()):
            if self.current_source is not None and position < rank and reports.is_available:
                times.append(reports.available_since + self._table.settle_s)
            if reports.unavailable_since is not None and (
                name == self.current_source or self.current_source is None
            ):
                times.append(reports.unavailable_since + self._table.patience_s)
        return min((at for at in times if at > now), default=None)

    def _rank(self) -> int:
        return (
            len(self._order)
            if self.current_source is None
            else self._order.index(self.current_source)
        )

    def _select_source(self, now: float) -> None:
        self.dissimilar = None
        rank, current = self._rank(), self._sources.get(self.current_source or "")
        for position, name in enumerate(self._order):
            reports = self._sources[name]
            if name == self.current_source:
                if (
                    reports.unavailable_since is None
                    or now < reports.unavailable_since + self._table.patience_s
                ):
                    return  # the current source keeps its place
                continue
            if not reports.is_available or not reports.ready_entries:
                continue  # an empty list is never selected
            if position < rank and (
                current is None
                or not current.is_available
                or now >= reports.available_since + self._table.settle_s
            ):
                if current is None and not self._higher_ranks_timed_out(now, position):
                    continue
                self.current_source = name
                return
            if position > rank and current is not None:
                share = _overlap(current.ready_entries, reports.ready_entries)
                if share < self._table.least_match:
                    self.dissimilar = name, share
                    continue
                self.current_source = name
                return

    def _higher_ranks_timed_out(self, now: float, position: int) -> bool:
        """At the start: whether all sources of higher precedence are past `patience_s`."""
        for name in self._order[:position]:
            since = self._sources[name].unavailable_since
            if since is not None and now < since + self._table.patience_s:
                return False
        return True

    # --- the merged list ---
    def entries(self, wall: float) -> dict[str, Entry]:
        """The current source's list by node name, with the other sources' removals applied.

        They apply to the initial list too: exploration found that a drain was ignored while no
        source was current.
        """
        merged = dict(
            self._initial_entries
            if self.current_source is None
            else self._sources[self.current_source].entries
        )
        by_address: dict[object, str] | None = None
        for name, reports in self._sources.items():
            if name == self.current_source:
                continue
            for removal in reports.removals.values():
                if by_address is None:
                    by_address = {entry.address: other for other, entry in merged.items()}
                _apply_removal(removal, merged, by_address, wall)
        return merged


def _apply_removal(
    removal: _PlannedRemoval,
    merged: dict[str, Entry],
    by_address: Mapping[object, str],
    wall: float,
) -> None:
    for name in {removal.entry.instance, by_address.get(removal.entry.address)}:
        entry = merged.get(name) if name is not None else None
        # A later start of the node cancels the removal. A start in the future comes from a wrong
        # clock and doesn't. Neither does an inferred start: exploration found that a draining node
        # was registered again, and the time it was first seen then passed for a start.
        if entry is None or (removal.wall < entry.started_at <= wall and not entry.inferred):
            continue
        if not removal.gone:
            if entry.state is CacheState.READY:
                merged[entry.instance] = msgspec.structs.replace(entry, state=CacheState.DRAINING)
        # The removal may be reported after another node has started at the same address.
        elif (
            entry.instance == removal.entry.instance
            or entry.started_at <= removal.entry.started_at + START_TOLERANCE_MS
        ):
            del merged[entry.instance]


def _overlap(before: Sequence[Entry], after: Iterable[Entry]) -> float:
    """The fraction of `before` that is in `after`, by name or address."""
    if not before:
        return 1.0
    names, addresses = set(), set()
    for entry in after:
        names.add(entry.instance)
        addresses.add(entry.address)
    return sum(entry.instance in names or entry.address in addresses for entry in before) / len(
        before
    )
