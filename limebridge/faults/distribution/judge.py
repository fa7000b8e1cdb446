"""The judge: what distribution promises, held against what was seen from outside.

It is told what callers were answered, what proxies applied and believed, and what leaders said.
It knows nothing of how control machines and proxies work, so the simulated world and the rig of
real processes use the same one.  Times are seconds of the observer's clock.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from limebridge.faults.violation import Violation

VIOLATIONS_KEPT = 20
CONFIGURATION = "="  # in the name of a configuration record, between its key and its body


class Rule(StrEnum):
    """A property that every run has to keep."""

    DURABLE = "durable"  # what was answered COMMITTED stays in the log and is applied
    ORDER = "order"  # one content a position; each applied once, in order, without a gap
    IN_FORCE = "in force"  # nobody is fresh without what was reported as in force
    BOUND = "bound"  # nobody is fresh for longer than the bound without what is committed
    AGE = "age"  # no earlier leader tells a younger age than a later one allows for
    PROGRESS = "progress"  # after the healing all goes on
    BOUNDED = "bounded"  # nothing grows without a bound
    CRASH = "crash"  # no event ends a process with an error


@dataclass(frozen=True)
class Content:
    """What stands at one position of the log."""

    position: int
    fence: int
    keys: tuple[str, ...]


@dataclass(frozen=True)
class Publication:
    """A publication that was answered COMMITTED."""

    at: float
    position: int
    fence: int
    keys: tuple[str, ...]


@dataclass(frozen=True)
class TakenSnapshot:
    """The configuration with which a proxy began: names of records, as in `Content.keys`."""

    at: float
    proxy: str
    base: int
    names: tuple[str, ...]


@dataclass
class ProxyRecord:
    """What one incarnation of a proxy has applied."""

    last: int = 0
    started: bool = False  # it has voided or applied something


@dataclass
class Judge:
    """Collects sightings and the violations that follow from them."""

    stale_after_s: float
    drift: float
    violations: list[Violation] = field(default_factory=list)
    publications: list[Publication] = field(default_factory=list)
    contents: dict[int, Content] = field(default_factory=dict)
    in_force: int = 0  # greatest position that a leader reported as in force
    applied_batches: int = 0
    voided: int = 0
    snapshots: list[TakenSnapshot] = field(default_factory=list)
    _proxies: dict[tuple[str, str], ProxyRecord] = field(default_factory=dict)
    _commit_times: list[float] = field(default_factory=list)  # rising, with _commits
    _commits: list[int] = field(default_factory=list)
    _checked_leaders: dict[tuple[str, int], int] = field(default_factory=dict)

    @property
    def bound_s(self) -> float:
        """For so long after a commit a proxy may be fresh without it."""
        return self.stale_after_s * (1.0 + self.drift) / (1.0 - self.drift)

    def complain(self, rule: Rule, text: str) -> None:
        """Record a violation; only the first few are kept."""
        if len(self.violations) < VIOLATIONS_KEPT:
            self.violations.append(Violation(rule.value, text))

    # --- what callers and leaders say ---
    def publication_committed(
        self, at: float, position: int, fence: int, keys: tuple[str, ...]
    ) -> None:
        """A caller was answered COMMITTED."""
        self.publications.append(Publication(at, position, fence, keys))
        self.commit_seen(at, position)

    def commit_seen(self, at: float, position: int) -> None:
        """Everything up to `position` is committed at this time at the latest."""
        if not self._commits or position > self._commits[-1]:
            self._commit_times.append(at)
            self._commits.append(position)

    def content_seen(self, content: Content, where: str) -> None:
        """`where` has this as committed; whoever has another content at this position is wrong."""
        known = self.contents.setdefault(content.position, content)
        if known != content:
            self.complain(Rule.ORDER, f"{where} has {content}, elsewhere it is {known}")

    def leader_seen(
        self,
        at: float,
        name: str,
        fence: int,
        commit: int,
        content_at: Callable[[int], Content | None],
    ) -> None:
        """A leader that has committed a batch of its own fence: what does its log have?

        `content_at` returns None for a position that its log has only in a snapshot.
        """
        first = self._checked_leaders.get((name, fence), 0)
        for publication in self.publications[first:]:
            if publication.fence < fence:
                self._check_leader(at, name, fence, commit, publication, content_at)
        self._checked_leaders[name, fence] = len(self.publications)

    def _check_leader(
        self,
        at: float,
        name: str,
        fence: int,
        commit: int,
        publication: Publication,
        content_at: Callable[[int], Content | None],
    ) -> None:
        where = f"at {at:.3f} leader {name} of fence {fence}"
        if commit < publication.position:
            self.complain(Rule.DURABLE, f"{where} has committed {commit}, not {publication}")
            return
        content = content_at(publication.position)
        if content is None:
            return
        self.content_seen(content, where)
        if not set(publication.keys) <= set(content.keys):
            self.complain(Rule.DURABLE, f"{where} has {content} in the place of {publication}")

    def in_force_reported(self, at: float, position: int) -> None:
        """A leader says that every proxy has applied this or knows that it is stale."""
        self.in_force = max(self.in_force, position)
        if self.in_force > (self._commits[-1] if self._commits else 0):
            self.commit_seen(at, position)

    # --- what proxies do and believe ---
    def batch_applied(self, at: float, proxy: str, incarnation: str, content: Content) -> None:
        """A proxy has applied a batch."""
        record = self._record(proxy, incarnation)
        self.applied_batches += 1
        if content.position != record.last + 1:
            self.complain(
                Rule.ORDER,
                f"at {at:.3f} {proxy} applies {content.position} after {record.last}",
            )
        record.last, record.started = content.position, True
        self.content_seen(content, f"at {at:.3f} {proxy}")

    def all_voided(self, at: float, proxy: str, incarnation: str, base: int) -> None:
        """A proxy has voided everything and goes on behind `base`."""
        record = self._record(proxy, incarnation)
        self.voided += 1
        if base < record.last:
            self.complain(
                Rule.ORDER, f"at {at:.3f} {proxy} voids to {base} and had applied {record.last}"
            )
        record.last, record.started = base, True

    def snapshot_taken(self, at: float, proxy: str, base: int, names: tuple[str, ...]) -> None:
        """A proxy has taken on the configuration of a snapshot."""
        self.snapshots.append(TakenSnapshot(at, proxy, base, names))

    def proxy_seen(
        self, at: float, proxy: str, incarnation: str, fresh: bool, position: int | None = None
    ) -> None:
        """What a proxy believes of itself.  `position`: its own, where it was told."""
        if not fresh:
            return
        applied = self._record(proxy, incarnation).last if position is None else position
        if applied < self.in_force:
            self.complain(
                Rule.IN_FORCE,
                f"at {at:.3f} {proxy} is fresh at {applied}, in force is {self.in_force}",
            )
        due = self.committed_before(at - self.bound_s)
        if applied < due:
            self.complain(
                Rule.BOUND,
                f"at {at:.3f} {proxy} is fresh at {applied}, and {due} was committed "
                f"more than {self.bound_s:.3f} s before",
            )

    def _record(self, proxy: str, incarnation: str) -> ProxyRecord:
        return self._proxies.setdefault((proxy, incarnation), ProxyRecord())

    def committed_before(self, at: float) -> int:
        """The greatest position that was seen as committed before this time."""
        place = bisect.bisect_left(self._commit_times, at)
        return self._commits[place - 1] if place else 0

    @property
    def committed(self) -> int:
        """The greatest position that was seen as committed."""
        return self._commits[-1] if self._commits else 0

    # --- the end ---
    def finish(self, last: int, fresh: Iterable[tuple[str, str]]) -> None:
        """After the healing: (proxy, incarnation) of those that believe themselves fresh.

        `last`: the position of the publication that was made after the healing.
        """
        for proxy, incarnation in fresh:
            applied = self._record(proxy, incarnation).last
            if applied < last:
                self.complain(
                    Rule.DURABLE, f"{proxy} is fresh in the end at {applied}, committed is {last}"
                )
        for publication in self.publications:
            content = self.contents.get(publication.position)
            if content is not None and not set(publication.keys) <= set(content.keys):
                self.complain(Rule.DURABLE, f"{content} was applied in place of {publication}")
        for snapshot in self.snapshots:
            self._check_snapshot(snapshot)

    def _check_snapshot(self, snapshot: TakenSnapshot) -> None:
        """It has what was committed last for each key, as far as the run has seen that."""
        places = {
            name: content.position
            for content in self.contents.values()
            for name in content.keys
            if CONFIGURATION in name
        }
        taken = {_key_of(name): name for name in snapshot.names}
        due: dict[str, str] = {}  # by key, the name of the last record up to the snapshot
        for name in sorted(places, key=places.__getitem__):
            if places[name] <= snapshot.base:
                due[_key_of(name)] = name
        for key, name in taken.items():
            if places.get(name, 0) > snapshot.base:
                due[key] = ""  # later than what the snapshot stands for
        for key, name in due.items():
            got = taken.get(key, "")
            if got != name and (not got or got in places):
                self.complain(
                    Rule.ORDER,
                    f"at {snapshot.at:.3f} {snapshot.proxy} has {got!r} from a snapshot "
                    f"at {snapshot.base}, the last of its key is {name!r}",
                )


def _key_of(name: str) -> str:
    """The key in the name of a configuration record."""
    return name.partition(CONFIGURATION)[0]


def story(
    notes: Iterable[tuple[float, str]], violations: Iterable[Violation], most: float = math.inf
) -> str:
    """What happened, in order, and what was broken."""
    lines = [f"{at:8.3f} {what}" for at, what in notes if at <= most]
    return "\n".join([*lines, *(f"BROKEN {rule}: {text}" for rule, text in violations)])
