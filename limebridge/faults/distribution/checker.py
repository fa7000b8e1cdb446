"""Checks the guarantees of distribution against observations from outside the processes.

The input is the replies to publishers, the batches that proxies applied, whether proxies considered
themselves fresh, and the status of leaders.  Nothing depends on the internals of control machines
and proxies, so the simulated world and the rig of real processes share this module.  Times are
seconds of the observer's clock.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from limebridge.faults.violation import Violation

MAX_VIOLATIONS = 20
CONFIGURATION_SEPARATOR = "="  # stands between key and body in the name of a configuration record


class Rule(StrEnum):
    """An invariant of every run; the values appear in reports."""

    DURABLE = "durable"  # a publication whose reply was COMMITTED stays in the log and is applied
    ORDER = "order"  # a position has one entry; a proxy applies each once, in order, without gaps
    IN_FORCE = "in force"  # a fresh proxy has applied everything that was reported as in force
    BOUND = "bound"  # a proxy that lacks a committed batch is stale after `staleness_bound_s`
    AGE = "age"  # an earlier leader's `as_of` never exceeds the bound that a later leader assumes
    PROGRESS = "progress"  # after all faults are undone, publications are committed and applied
    BOUNDED = "bounded"  # no queue grows beyond its limit
    CRASH = "crash"  # no event raises an exception in a process


@dataclass(frozen=True)
class LogEntry:
    """One batch of the log: its position, its leader's fence and the names of its records."""

    position: int
    fence: int
    keys: tuple[str, ...]


@dataclass(frozen=True)
class Publication:
    """A publication whose reply was COMMITTED, received at time `at`."""

    at: float
    position: int
    fence: int
    keys: tuple[str, ...]


@dataclass(frozen=True)
class AppliedSnapshot:
    """The configuration that a proxy applied from a snapshot at position `base`.

    `names` are names of configuration records, as in `LogEntry.keys`.
    """

    at: float
    proxy: str
    base: int
    names: tuple[str, ...]


@dataclass
class ProxyLog:
    """Progress of one incarnation of a proxy through the log."""

    last_position: int = 0
    started: bool = False  # has invalidated everything or applied a batch at least once


@dataclass
class RuleChecker:
    """Records observations of one run and collects the violations that follow from them.

    `drift` is the maximum relative error of any clock.
    """

    stale_after_s: float
    drift: float
    violations: list[Violation] = field(default_factory=list)
    publications: list[Publication] = field(default_factory=list)
    entries: dict[int, LogEntry] = field(default_factory=dict)
    in_force: int = 0  # greatest position that a leader reported as in force
    applied_batches: int = 0
    invalidations: int = 0
    snapshots: list[AppliedSnapshot] = field(default_factory=list)
    _proxy_logs: dict[tuple[str, str], ProxyLog] = field(default_factory=dict)
    _commit_times: list[float] = field(default_factory=list)  # ascending, parallel to _commits
    _commits: list[int] = field(default_factory=list)
    # By leader and fence, the number of publications that were checked against it.
    _checked_leaders: dict[tuple[str, int], int] = field(default_factory=dict)

    @property
    def staleness_bound_s(self) -> float:
        """Maximum time in seconds after a commit for which a proxy may be fresh without it."""
        return self.stale_after_s * (1.0 + self.drift) / (1.0 - self.drift)

    def report_violation(self, rule: Rule, text: str) -> None:
        """Records a violation; violations beyond MAX_VIOLATIONS are dropped."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule.value, text))

    # --- observations of publishers and leaders ---
    def publication_committed(
        self, at: float, position: int, fence: int, keys: tuple[str, ...]
    ) -> None:
        """Records that a publisher received the reply COMMITTED."""
        self.publications.append(Publication(at, position, fence, keys))
        self.commit_observed(at, position)

    def commit_observed(self, at: float, position: int) -> None:
        """Records that everything up to `position` was committed at time `at` or before."""
        if not self._commits or position > self._commits[-1]:
            self._commit_times.append(at)
            self._commits.append(position)

    def entry_observed(self, entry: LogEntry, observer: str) -> None:
        """Checks a committed entry against the first one that was observed at its position.

        `observer` names the process that reported the entry, for the message.
        """
        first_entry = self.entries.setdefault(entry.position, entry)
        if first_entry != entry:
            self.report_violation(
                Rule.ORDER, f"{observer} has {entry}, but {first_entry} was observed before"
            )

    def leader_observed(
        self,
        at: float,
        name: str,
        fence: int,
        commit: int,
        entry_at: Callable[[int], LogEntry | None],
    ) -> None:
        """Checks that a leader's log holds every publication committed under an earlier fence.

        The leader must have committed a batch of its own fence.  `entry_at` returns None for a
        position that its log holds only as part of a snapshot.
        """
        first_unchecked = self._checked_leaders.get((name, fence), 0)
        for publication in self.publications[first_unchecked:]:
            if publication.fence < fence:
                self._check_publication(at, name, fence, commit, publication, entry_at)
        self._checked_leaders[name, fence] = len(self.publications)

    def _check_publication(
        self,
        at: float,
        name: str,
        fence: int,
        commit: int,
        publication: Publication,
        entry_at: Callable[[int], LogEntry | None],
    ) -> None:
        observer = f"at {at:.3f} leader {name} of fence {fence}"
        if commit < publication.position:
            self.report_violation(
                Rule.DURABLE, f"{observer} has committed up to {commit}, without {publication}"
            )
            return
        entry = entry_at(publication.position)
        if entry is None:
            return
        self.entry_observed(entry, observer)
        if not set(publication.keys) <= set(entry.keys):
            self.report_violation(Rule.DURABLE, f"{observer} has {entry} instead of {publication}")

    def in_force_reported(self, at: float, position: int) -> None:
        """Records a leader's report that every proxy has applied `position` or is stale."""
        self.in_force = max(self.in_force, position)
        if self.in_force > (self._commits[-1] if self._commits else 0):
            self.commit_observed(at, position)

    # --- observations of proxies ---
    def batch_applied(self, at: float, proxy: str, incarnation: str, entry: LogEntry) -> None:
        """Checks a batch that a proxy applied.

        It has to follow the last position of the proxy, and to equal what others have there.
        """
        log = self._proxy_log(proxy, incarnation)
        self.applied_batches += 1
        if entry.position != log.last_position + 1:
            self.report_violation(
                Rule.ORDER,
                f"at {at:.3f} {proxy} applies {entry.position} after {log.last_position}",
            )
        log.last_position, log.started = entry.position, True
        self.entry_observed(entry, f"at {at:.3f} {proxy}")

    def all_invalidated(self, at: float, proxy: str, incarnation: str, base: int) -> None:
        """Checks the position after which a proxy continues that has invalidated its whole cache.

        `base` is the position of the snapshot; it must not be before the last applied batch.
        """
        log = self._proxy_log(proxy, incarnation)
        self.invalidations += 1
        if base < log.last_position:
            self.report_violation(
                Rule.ORDER,
                f"at {at:.3f} {proxy} invalidates its cache and continues after {base}, "
                f"but had applied {log.last_position}",
            )
        log.last_position, log.started = base, True

    def snapshot_applied(self, at: float, proxy: str, base: int, names: tuple[str, ...]) -> None:
        """Records the configuration that a proxy applied from a snapshot; `finish` checks it."""
        self.snapshots.append(AppliedSnapshot(at, proxy, base, names))

    def proxy_observed(
        self, at: float, proxy: str, incarnation: str, fresh: bool, position: int | None = None
    ) -> None:
        """Checks that a fresh proxy has applied all batches in force, and those before the bound.

        `fresh` is whether the proxy considers itself fresh.  `position` is what it reports to have
        applied; None: the last batch that it was observed to apply counts.
        """
        if not fresh:
            return
        applied = (
            self._proxy_log(proxy, incarnation).last_position if position is None else position
        )
        if applied < self.in_force:
            self.report_violation(
                Rule.IN_FORCE,
                f"at {at:.3f} {proxy} is fresh at {applied}, but {self.in_force} is in force",
            )
        expected = self.committed_before(at - self.staleness_bound_s)
        if applied < expected:
            self.report_violation(
                Rule.BOUND,
                f"at {at:.3f} {proxy} is fresh at {applied}, but {expected} was committed "
                f"more than {self.staleness_bound_s:.3f} s before",
            )

    def _proxy_log(self, proxy: str, incarnation: str) -> ProxyLog:
        return self._proxy_logs.setdefault((proxy, incarnation), ProxyLog())

    def committed_before(self, at: float) -> int:
        """The greatest position whose commit was observed before time `at`; 0 if none."""
        index = bisect.bisect_left(self._commit_times, at)
        return self._commits[index - 1] if index else 0

    @property
    def committed(self) -> int:
        """The greatest position whose commit was observed; 0 if none."""
        return self._commits[-1] if self._commits else 0

    # --- end of the run ---
    def finish(self, last_position: int, fresh: Iterable[tuple[str, str]]) -> None:
        """Checks the state after all faults were undone.

        `last_position` is that of the publication made after that; `fresh` has the name and
        incarnation of each proxy that considers itself fresh.
        """
        for proxy, incarnation in fresh:
            applied = self._proxy_log(proxy, incarnation).last_position
            if applied < last_position:
                self.report_violation(
                    Rule.DURABLE,
                    f"{proxy} is fresh at the end at {applied}, but {last_position} is committed",
                )
        for publication in self.publications:
            entry = self.entries.get(publication.position)
            if entry is not None and not set(publication.keys) <= set(entry.keys):
                self.report_violation(Rule.DURABLE, f"{entry} was applied instead of {publication}")
        for snapshot in self.snapshots:
            self._check_snapshot(snapshot)

    def _check_snapshot(self, snapshot: AppliedSnapshot) -> None:
        """Checks that a snapshot has the last record of each key up to its position.

        A record without a known position, which no process was observed to have, is accepted.
        """
        positions = {
            name: entry.position
            for entry in self.entries.values()
            for name in entry.keys
            if CONFIGURATION_SEPARATOR in name
        }
        applied = {_record_key(name): name for name in snapshot.names}
        expected: dict[str, str] = {}  # by key, the name of the last record up to the snapshot
        for name in sorted(positions, key=positions.__getitem__):
            if positions[name] <= snapshot.base:
                expected[_record_key(name)] = name
        for key, name in applied.items():
            if positions.get(name, 0) > snapshot.base:
                expected[key] = ""  # newer than the snapshot: a violation, whatever was expected
        for key, name in expected.items():
            actual = applied.get(key, "")
            if actual != name and (not actual or actual in positions):
                self.report_violation(
                    Rule.ORDER,
                    f"at {snapshot.at:.3f} {snapshot.proxy} has {actual!r} from a snapshot "
                    f"at {snapshot.base}, but the last record of this key is {name!r}",
                )


def _record_key(name: str) -> str:
    """The key part of a configuration record's name."""
    return name.partition(CONFIGURATION_SEPARATOR)[0]


def format_trace(
    notes: Iterable[tuple[float, str]], violations: Iterable[Violation], until: float = math.inf
) -> str:
    """One line per note up to time `until`, in order, and one per violation."""
    lines = [f"{at:8.3f} {message}" for at, message in notes if at <= until]
    return "\n".join([*lines, *(f"BROKEN {rule}: {text}" for rule, text in violations)])
