"""The guarantee on drains over several sources, checked in every order of up to six events.

This is exhaustive, not sampled. Events of two sources and of this process, about one node of four,
are applied to the real merger, and the result is checked against the rule:

    A node that a source has reported as draining or gone is not used, until that source reports it
    as ready, or the current source reports a start of the node after that report.

Orders that lead to the same state continue alike, so each state is visited once.  A state is all
that the merger keeps, with times replaced by their order and by the limits they are compared with.
"""

from __future__ import annotations

import copy
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import pytest

from snowstall import CacheState
from violetroute.membership import Entry, Listing, MembershipTable
from violetroute.membership import merge as merge_module
from violetroute.membership.merge import ListMerger
from violetroute.transport import Address

READY, DRAINING, GONE = CacheState.READY, CacheState.DRAINING, CacheState.GONE
TABLE = MembershipTable(patience_s=10.0, settle_s=5.0, least_match=0.5)
SOURCES = ("a", "b")
REPORTS = (
    "ready",
    "drains",
    "gone",
    "starts",
    "whole",
    "whole drains",
    "whole without",
    "whole empty",
    "silent",
)
EVENTS = [(source, event) for source in SOURCES for event in REPORTS] + [
    ("", "time"),
    ("", "restart"),
    ("", "sighup"),
]
DEPTH = 6
OTHERS = ("o1", "o2", "o3")


def entry(name: str, state: CacheState = READY, started: float = 0.0) -> Entry:
    address = None if state is GONE else Address("10.0.0.1", 1000 + ord(name[-1]))
    return Entry(name, state, address, "", "", 0, 1.0, started)


@dataclass
class Play:
    """The merger, and the state from which the rule is checked."""

    merge: ListMerger = field(default_factory=lambda: ListMerger(SOURCES, TABLE, 0.0))
    now: float = 0.0
    wall: float = 1000.0  # Unix ms; increases with each event, so that starts are ordered
    started: float = 0.0  # start time of the node, as reported last
    restarted: bool = False
    # By source: when it reported a drain or removal that is in force (the model's own record).
    removed_at: dict[str, float] = field(default_factory=dict)
    drains_initially: bool = False  # whether the node drains in the initial list

    def step(self, source: str, event: str) -> None:
        self.wall += 1.0
        if event == "time":
            self.now += TABLE.patience_s + TABLE.settle_s
            self.merge.tick(self.now)
        elif event in ("restart", "sighup"):
            self._replace_merger(event == "sighup")
        elif event == "silent":
            self.merge.source_failed(self.now, source)
        else:
            self._report(source, event)

    def _replace_merger(self, is_sighup: bool) -> None:
        """Replace the merger: by a new process with the last list, or at a SIGHUP."""
        here, before = self.merge.entries(self.wall), self.merge
        self.merge = ListMerger(SOURCES, TABLE, self.now)
        self.merge.set_initial_list(here.values())
        if is_sighup:
            self.merge.carry_removals(before)
        else:
            self.restarted, self.removed_at = True, {}
        self.drains_initially = "n" in here and here["n"].state is DRAINING

    def _report(self, source: str, event: str) -> None:
        if event == "starts":
            self.started = self.wall
            self.wall += 1.0
        state = {"drains": DRAINING, "whole drains": DRAINING, "gone": GONE}.get(event, READY)
        is_without = event in ("whole without", "whole empty")
        listed = [] if is_without else [entry("n", state, self.started)]
        is_whole = event.startswith("whole")
        if event != "whole empty" and (is_whole or not self.merge._sources[source].entries):
            listed += [entry(name) for name in OTHERS]
            is_whole = True
        known = "n" in self.merge._sources[source].entries
        self.merge.apply(self.now, self.wall, source, Listing(1, is_whole, tuple(listed)))
        if is_without:
            if known:
                self.removed_at[source] = self.wall
        elif state is READY:
            self.removed_at.pop(source, None)
            self.drains_initially = self.drains_initially and self.merge.current_source is None
        else:
            self.removed_at[source] = self.wall

    def check(self) -> str:
        """The violation of the rule, or an empty string."""
        here = self.merge.entries(self.wall).get("n")
        used = here is not None and here.state is READY
        must_not_use = {
            name
            for name, since in self.removed_at.items()
            if here is None or since >= here.started_at
        }
        if used and (must_not_use or (self.drains_initially and self.merge.current_source is None)):
            return f"used, though removed by {sorted(must_not_use) or 'the initial list'}"
        current_source = self.merge.current_source
        if (
            not used
            and not self.removed_at
            and current_source is not None
            and "n" in self.merge._sources[current_source].entries
        ):
            return "not used, though no source reports a removal"
        return ""

    def key(self) -> Any:
        """All state that later steps depend on, with times replaced by their order."""
        order: list[float] = [self.started, *self.removed_at.values()]
        for reports in self.merge._sources.values():
            order += [each.started_at for each in reports.entries.values()]
            for plan in reports.removals.values():
                order += [plan.wall, plan.entry.started_at]
        order += [each.started_at for each in self.merge._initial_entries.values()]
        rank = {at: place for place, at in enumerate(sorted(set(order)))}

        def of(each: Entry | None) -> Any:
            return None if each is None else (each.state, rank[each.started_at])

        return (
            self.merge.current_source,
            of(self.merge._initial_entries.get("n")),
            len(self.merge._initial_entries),
            self.restarted,
            self.drains_initially,
            rank[self.started],
            tuple(sorted((name, rank[at]) for name, at in self.removed_at.items())),
            tuple(
                (
                    of(reports.entries.get("n")),
                    len(reports.entries),
                    None
                    if reports.unavailable_since is None
                    else self.now >= reports.unavailable_since + TABLE.patience_s,
                    reports.unavailable_since is None
                    and self.now >= reports.available_since + TABLE.settle_s,
                    tuple(
                        (name, plan.gone, rank[plan.wall], of(plan.entry))
                        for name, plan in reports.removals.items()
                    ),
                )
                for reports in self.merge._sources.values()
            ),
        )

    def copy(self) -> Play:
        """Entries and removals are never modified, so they are shared."""
        made = copy.copy(self)
        made.removed_at = dict(self.removed_at)
        made.merge = copy.copy(self.merge)
        made.merge._sources = {}
        for name, reports in self.merge._sources.items():
            other = made.merge._sources[name] = copy.copy(reports)
            other.entries, other.removals = dict(reports.entries), dict(reports.removals)
        return made


def enumerate_all(depth: int = DEPTH) -> tuple[int, int, list[tuple[str, list[tuple[str, str]]]]]:
    """Orders covered, states visited, and violations with the events that led to each."""
    frontier: dict[Any, tuple[Play, list[tuple[str, str]]]] = {}
    start = Play()
    frontier[start.key()] = start, []
    path_counts: Counter[Any] = Counter({start.key(): 1})
    orders, states, broken = 0, 1, []
    for _ in range(depth):
        after: dict[Any, tuple[Play, list[tuple[str, str]]]] = {}
        next_counts: Counter[Any] = Counter()
        for key, (run, path) in frontier.items():
            for event in EVENTS:
                if event[1] == "restart" and run.restarted:
                    continue
                orders += path_counts[key]
                made = run.copy()
                made.step(*event)
                if wrong := made.check():
                    broken.append((wrong, [*path, event]))
                    continue
                found = made.key()
                next_counts[found] += path_counts[key]
                if found not in after:
                    after[found] = made, [*path, event]
        frontier, path_counts = after, next_counts
        states += len(after)
    return orders, states, broken


@pytest.mark.long
def test_drains_hold_in_every_order_of_six_events() -> None:
    orders, states, broken = enumerate_all()
    assert broken == [], broken[:3]
    assert orders > 20_000_000 and states > 1_000


def lose_reports_at_sighup(made: ListMerger, before: ListMerger) -> None:
    """Reverted fix: what sources reported is lost at a SIGHUP."""


def apply_no_removal(plan: Any, removed_at: dict[str, Entry], by_address: Any, wall: float) -> None:
    """Reverted fix: only the current source's drains apply."""


def keep_first_report(
    self: ListMerger, reports: Any, wall: float, removed_at: Entry, gone: bool
) -> None:
    """Reverted fix: a repeated drain doesn't count as new."""
    reports.removals.setdefault(
        removed_at.instance, merge_module._PlannedRemoval(removed_at, gone, wall)
    )


@pytest.mark.parametrize(
    ("where", "name", "fault"),
    [
        (ListMerger, "carry_removals", lose_reports_at_sighup),
        (merge_module, "_apply_removal", apply_no_removal),
        (ListMerger, "_record_removal", keep_first_report),
    ],
)
def test_each_reverted_fix_is_detected(
    monkeypatch: pytest.MonkeyPatch, where: Any, name: str, fault: Any
) -> None:
    monkeypatch.setattr(where, name, fault)
    assert enumerate_all(5)[2]
