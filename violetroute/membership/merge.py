"""Several sources of one list: who speaks, and what the others are heard on all the same.  Pure.

One source speaks at a time, the first by precedence that can be believed to be there. Mixing lists
entry by entry was rejected: each source is late in its own way, and a node that one has not yet
heard of would flicker. Two things cross the precedence:

- A **drain or a going** counts at once whoever tells of it, speaker or not (rule three), until that
  source takes it back or the speaker tells of a later start. Harm: a list that is being emptied by
  hand takes nodes out of service while another one speaks; so it is taken out of `sources` first.
- A speaker that falls silent goes on speaking for `patience_s`: its last list is better than a
  change of lists for each hiccup. A source of higher rank that is back waits `settle_s`, so that
  one which comes and goes does not drag the fleet along.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from snowstall import CacheState

from .entries import Entry, Listing
from .table import MembershipTable

MAX_REMOVALS = 4096  # drains and goings remembered of one source; the oldest make way
START_TOLERANCE_MS = 10_000.0  # ms by which two sources may differ on one start of a node


@dataclass(slots=True)
class _PlannedRemoval:
    """A drain or a going that a source has told of."""

    entry: Entry
    gone: bool
    wall: float  # Unix ms at which it was told


@dataclass(slots=True)
class _SourceState:
    """What one source has said."""

    entries: dict[str, Entry] = field(default_factory=dict)
    removals: dict[str, _PlannedRemoval] = field(default_factory=dict)
    unavailable_since: float | None = None  # None while it is there
    available_since: float = 0.0

    @property
    def is_available(self) -> bool:
        return self.unavailable_since is None

    @property
    def ready_entries(self) -> list[Entry]:
        return [entry for entry in self.entries.values() if entry.state is CacheState.READY]


class ListMerger:
    """The lists of all sources.  Times are the loop's, in s; `wall` is Unix ms.

    `order`: the names of the sources, the first by precedence first.
    """

    def __init__(self, order: Sequence[str], table: MembershipTable, now: float) -> None:
        self._order, self._table = tuple(order), table
        self._views = {name: _SourceState(unavailable_since=now) for name in order}
        self.current_source: str | None = None  # None: the list before holds
        self._initial_entries: dict[str, Entry] = {}
        self.dissimilar: tuple[str, float] | None = None  # who may not follow, and what it shares

    def set_initial_list(self, entries: Iterable[Entry]) -> None:
        """The list that holds until one speaks: handed over at the start, or another source's."""
        self._initial_entries = {entry.instance: entry for entry in entries}

    def carry_removals(self, before: ListMerger) -> None:
        """What the sources told the merge before this one of drains and goings.

        Of those that are still asked; what one told that is taken out is the operator's to forget.
        """
        for name, view in before._views.items():
            if name in self._views:
                self._views[name].removals.update(view.removals)

    # --- what is heard ---
    def apply(self, now: float, wall: float, source: str, listing: Listing) -> None:
        """A list or changes of one."""
        view = self._views[source]
        if view.unavailable_since is not None:
            view.unavailable_since, view.available_since = None, now
        before = view.entries
        here = {} if listing.whole else dict(before)
        for entry in listing.entries:
            if entry.state is CacheState.GONE:
                here.pop(entry.instance, None)
                if not entry.hint:
                    self._record_removal(view, wall, before.get(entry.instance, entry), gone=True)
            else:
                here[entry.instance] = entry
                if entry.state is CacheState.DRAINING:
                    self._record_removal(view, wall, entry, gone=False)
                else:
                    view.removals.pop(entry.instance, None)
        if listing.whole:
            vanished = [entry for name, entry in before.items() if name not in here]
            # A list that loses most of its nodes at once tells of no single one of them.
            if len(vanished) <= (1.0 - self._table.least_match) * len(before):
                for entry in vanished:
                    self._record_removal(view, wall, entry, gone=True)
        view.entries = here
        self._select_source(now)

    def _record_removal(self, view: _SourceState, wall: float, entry: Entry, gone: bool) -> None:
        # Told again it counts anew: it may be of another start.
        view.removals.pop(entry.instance, None)
        view.removals[entry.instance] = _PlannedRemoval(entry, gone, wall)
        if len(view.removals) > MAX_REMOVALS:
            del view.removals[next(iter(view.removals))]

    def source_failed(self, now: float, source: str) -> None:
        """A source has ended, or failed to answer."""
        view = self._views[source]
        if view.unavailable_since is None:
            view.unavailable_since = now
        self._select_source(now)

    # --- who speaks ---
    def tick(self, now: float) -> None:
        """Time has passed: see `due`."""
        self._select_source(now)

    def next_change_at(self, now: float) -> float | None:
        """When the speaker may change by itself."""
        times = []
        rank = self._rank()
        for place, (name, view) in enumerate(self._views.items()):
            if self.current_source is not None and place < rank and view.is_available:
                times.append(view.available_since + self._table.settle_s)
            if view.unavailable_since is not None and (
                name == self.current_source or self.current_source is None
            ):
                times.append(view.unavailable_since + self._table.patience_s)
        return min((at for at in times if at > now), default=None)

    def _rank(self) -> int:
        return (
            len(self._order)
            if self.current_source is None
            else self._order.index(self.current_source)
        )

    def _select_source(self, now: float) -> None:
        self.dissimilar = None
        rank, speaking = self._rank(), self._views.get(self.current_source or "")
        for place, name in enumerate(self._order):
            view = self._views[name]
            if name == self.current_source:
                if (
                    view.unavailable_since is None
                    or now < view.unavailable_since + self._table.patience_s
                ):
                    return  # it goes on
                continue
            if not view.is_available or not view.ready_entries:
                continue  # a list of nobody is nobody's
            if place < rank and (
                speaking is None
                or not speaking.is_available
                or now >= view.available_since + self._table.settle_s
            ):
                if speaking is None and not self._higher_ranks_timed_out(now, place):
                    continue
                self.current_source = name
                return
            if place > rank and speaking is not None:
                share = _shared(speaking.ready_entries, view.ready_entries)
                if share < self._table.least_match:
                    self.dissimilar = name, share
                    continue
                self.current_source = name
                return

    def _higher_ranks_timed_out(self, now: float, place: int) -> bool:
        """At the start: whether those before it have had their time."""
        for name in self._order[:place]:
            since = self._views[name].unavailable_since
            if since is not None and now < since + self._table.patience_s:
                return False
        return True

    # --- what is told on ---
    def entries(self, wall: float) -> dict[str, Entry]:
        """By the speaker's names: its list, less what any source says drains or is gone.

        Found by exploration: before anyone spoke, a drain that one had told of was not kept.
        """
        told = dict(
            self._initial_entries
            if self.current_source is None
            else self._views[self.current_source].entries
        )
        by_address: dict[object, str] | None = None
        for name, view in self._views.items():
            if name == self.current_source:
                continue
            for plan in view.removals.values():
                if by_address is None:
                    by_address = {entry.address: other for other, entry in told.items()}
                _apply_removal(plan, told, by_address, wall)
        return told


def _apply_removal(
    plan: _PlannedRemoval, told: dict[str, Entry], by_address: Mapping[object, str], wall: float
) -> None:
    for name in {plan.entry.instance, by_address.get(plan.entry.address)}:
        entry = told.get(name) if name is not None else None
        # Another start than the one that was told of; one that is yet to come is a wrong clock.
        # Found by exploration: a node that drained was registered anew, and being first seen
        # then passed for a start.
        if entry is None or (plan.wall < entry.started_at <= wall and not entry.inferred):
            continue
        if not plan.gone:
            if entry.state is CacheState.READY:
                told[entry.instance] = msgspec.structs.replace(entry, state=CacheState.DRAINING)
        # Who is gone may be told of after another one has started at its address.
        elif (
            entry.instance == plan.entry.instance
            or entry.started_at <= plan.entry.started_at + START_TOLERANCE_MS
        ):
            del told[entry.instance]


def _shared(before: Sequence[Entry], after: Iterable[Entry]) -> float:
    """The share of `before` that is in `after`, by name or address."""
    if not before:
        return 1.0
    names, places = set(), set()
    for entry in after:
        names.add(entry.instance)
        places.add(entry.address)
    return sum(entry.instance in names or entry.address in places for entry in before) / len(before)
