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

PLANS_MOST = 4096  # drains and goings remembered of one source; the oldest make way
SAME_START = 10_000.0  # ms by which two sources may differ on one start of a node


@dataclass(slots=True)
class _Plan:
    """A drain or a going that a source has told of."""

    entry: Entry
    gone: bool
    wall: float  # Unix ms at which it was told


@dataclass(slots=True)
class _View:
    """What one source has said."""

    entries: dict[str, Entry] = field(default_factory=dict)
    plans: dict[str, _Plan] = field(default_factory=dict)
    away_since: float | None = None  # None while it is there
    back_since: float = 0.0

    @property
    def there(self) -> bool:
        return self.away_since is None

    @property
    def serving(self) -> list[Entry]:
        return [entry for entry in self.entries.values() if entry.state is CacheState.READY]


class Merge:
    """The lists of all sources.  Times are the loop's, in s; `wall` is Unix ms.

    `order`: the names of the sources, the first by precedence first.
    """

    def __init__(self, order: Sequence[str], table: MembershipTable, now: float) -> None:
        self._order, self._table = tuple(order), table
        self._views = {name: _View(away_since=now) for name in order}
        self.speaker: str | None = None  # None: the list before holds
        self._before: dict[str, Entry] = {}
        self.unlike: tuple[str, float] | None = None  # who may not follow, and what it shares

    def begin(self, entries: Iterable[Entry]) -> None:
        """The list that holds until one speaks: handed over at the start, or another source's."""
        self._before = {entry.instance: entry for entry in entries}

    def carry(self, before: Merge) -> None:
        """What the sources told the merge before this one of drains and goings.

        Of those that are still asked; what one told that is taken out is the operator's to forget.
        """
        for name, view in before._views.items():
            if name in self._views:
                self._views[name].plans.update(view.plans)

    # --- what is heard ---
    def take(self, now: float, wall: float, source: str, listing: Listing) -> None:
        """A list or changes of one."""
        view = self._views[source]
        if view.away_since is not None:
            view.away_since, view.back_since = None, now
        before = view.entries
        here = {} if listing.whole else dict(before)
        for entry in listing.entries:
            if entry.state is CacheState.GONE:
                here.pop(entry.instance, None)
                if not entry.hint:
                    self._plan(view, wall, before.get(entry.instance, entry), gone=True)
            else:
                here[entry.instance] = entry
                if entry.state is CacheState.DRAINING:
                    self._plan(view, wall, entry, gone=False)
                else:
                    view.plans.pop(entry.instance, None)
        if listing.whole:
            vanished = [entry for name, entry in before.items() if name not in here]
            # A list that loses most of its nodes at once tells of no single one of them.
            if len(vanished) <= (1.0 - self._table.least_match) * len(before):
                for entry in vanished:
                    self._plan(view, wall, entry, gone=True)
        view.entries = here
        self._choose(now)

    def _plan(self, view: _View, wall: float, entry: Entry, gone: bool) -> None:
        # Told again it counts anew: it may be of another start.
        view.plans.pop(entry.instance, None)
        view.plans[entry.instance] = _Plan(entry, gone, wall)
        if len(view.plans) > PLANS_MOST:
            del view.plans[next(iter(view.plans))]

    def lost(self, now: float, source: str) -> None:
        """A source has ended, or failed to answer."""
        view = self._views[source]
        if view.away_since is None:
            view.away_since = now
        self._choose(now)

    # --- who speaks ---
    def tick(self, now: float) -> None:
        """Time has passed: see `due`."""
        self._choose(now)

    def due(self, now: float) -> float | None:
        """When the speaker may change by itself."""
        times = []
        rank = self._rank()
        for place, (name, view) in enumerate(self._views.items()):
            if self.speaker is not None and place < rank and view.there:
                times.append(view.back_since + self._table.settle_s)
            if view.away_since is not None and (name == self.speaker or self.speaker is None):
                times.append(view.away_since + self._table.patience_s)
        return min((at for at in times if at > now), default=None)

    def _rank(self) -> int:
        return len(self._order) if self.speaker is None else self._order.index(self.speaker)

    def _choose(self, now: float) -> None:
        self.unlike = None
        rank, speaking = self._rank(), self._views.get(self.speaker or "")
        for place, name in enumerate(self._order):
            view = self._views[name]
            if name == self.speaker:
                if view.away_since is None or now < view.away_since + self._table.patience_s:
                    return  # it goes on
                continue
            if not view.there or not view.serving:
                continue  # a list of nobody is nobody's
            if place < rank and (
                speaking is None
                or not speaking.there
                or now >= view.back_since + self._table.settle_s
            ):
                if speaking is None and not self._waited(now, place):
                    continue
                self.speaker = name
                return
            if place > rank and speaking is not None:
                share = _shared(speaking.serving, view.serving)
                if share < self._table.least_match:
                    self.unlike = name, share
                    continue
                self.speaker = name
                return

    def _waited(self, now: float, place: int) -> bool:
        """At the start: whether those before it have had their time."""
        for name in self._order[:place]:
            since = self._views[name].away_since
            if since is not None and now < since + self._table.patience_s:
                return False
        return True

    # --- what is told on ---
    def entries(self, wall: float) -> dict[str, Entry]:
        """By the speaker's names: its list, less what any source says drains or is gone.

        Found by exploration: before anyone spoke, a drain that one had told of was not kept.
        """
        told = dict(self._before if self.speaker is None else self._views[self.speaker].entries)
        by_address: dict[object, str] | None = None
        for name, view in self._views.items():
            if name == self.speaker:
                continue
            for plan in view.plans.values():
                if by_address is None:
                    by_address = {entry.address: other for other, entry in told.items()}
                _apply(plan, told, by_address, wall)
        return told


def _apply(
    plan: _Plan, told: dict[str, Entry], by_address: Mapping[object, str], wall: float
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
            or entry.started_at <= plan.entry.started_at + SAME_START
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
