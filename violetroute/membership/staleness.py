"""Decides which reports of Consul's catalogue to accept.  Pure.

The catalogue learns with a delay whether a process answers its check, and can fail itself.
Three kinds of report are treated differently:

- **Planned removals** (maintenance mode, the drain tag, a deregistration) apply at once, whatever
  else is in doubt, by the guarantee on drains.
- **Health** is a hint. A node that turns critical is left out at once; one that flaps waits longer
  before each return. When more than the fraction `floor` is critical at once, the checks are more
  likely at fault than the nodes, and health is ignored for all (Envoy's panic threshold).
- If more than the fraction `floor` **disappears** in one answer, a consistent read from the leader
  has to confirm it. An empty answer is never accepted: it is no evidence about single nodes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from snowstall import CacheState

from .consul_health import Health, Instance
from .entries import Entry
from .table import ConsulTable

FLAP_HALF_LIFE = 60.0  # s; the weight of a past flap halves in it
TOLERATED_FLAPS = 1.5  # flaps, weighted by age, up to which a return is accepted at once


@dataclass(slots=True)
class _Node:
    instance: Instance
    started_at: float  # Unix ms
    critical_since: float | None = None
    returns_at: float = 0.0  # loop time before which a flapping node stays out
    flaps: float = 0.0
    flapped_at: float = 0.0
    entry: Entry | None = None  # cached result of `_entry`
    entry_instance: Instance | None = None  # the instance that `entry` was made from


class CatalogueState:
    """The accepted state of one service's nodes.  Times are the loop's, in s; `wall` is Unix ms."""

    def __init__(self, table: ConsulTable) -> None:
        self.table = table
        self._nodes: dict[str, _Node] = {}
        self._has_answer = False
        self.panic_mode = False  # more than the fraction `floor` is critical
        self.unconfirmed = 0  # nodes missing from the last answer, kept until a read confirms it
        self.answer_empty = False  # the last answer had no nodes

    def apply(
        self, now: float, wall: float, instances: Mapping[str, Instance], confirmed: bool = False
    ) -> bool:
        """Apply an answer.  Returns whether a consistent read from the leader has to confirm it."""
        missing = [name for name in self._nodes if name not in instances]
        self.unconfirmed, self.answer_empty = 0, bool(self._nodes) and not instances
        if missing and (
            self.answer_empty
            or (len(missing) > self.table.floor * len(self._nodes) and not confirmed)
        ):
            self.unconfirmed = len(missing)
        else:
            for name in missing:
                del self._nodes[name]
        for name, instance in instances.items():
            node = self._nodes.get(name)
            # Of thousands usually one has changed; the reader returns the same object for the rest.
            if node is None or node.instance is not instance:
                self._update_node(now, wall, name, instance)
        self._has_answer = True
        listed = [
            node
            for name, node in self._nodes.items()
            if name in instances and node.instance.health is not Health.DRAINS
        ]
        critical = sum(node.instance.health is Health.CRITICAL for node in listed)
        self.panic_mode = critical > self.table.floor * len(listed)
        return bool(self.unconfirmed) and not confirmed

    def apply_drains(self, instances: Mapping[str, Instance]) -> list[Entry]:
        """Apply only the drains of an answer that is otherwise not used.

        Returns the drains of unknown nodes, which another source may list: no answer was usable
        yet. Exploration found that a cluster without a leader kept answering, with a drain in the
        answer, and the frozen list missed it; and the same in the very first answers.
        Drawback: a drain that has already ended is applied again until a usable answer arrives.
        """
        others = []
        for name, instance in instances.items():
            if instance.health is not Health.DRAINS:
                continue
            if name in self._nodes:
                self._nodes[name].instance = instance
            else:
                node = _Node(instance, instance.started_at)
                others.append(_entry(name, node, CacheState.DRAINING))
        return others

    def _update_node(self, now: float, wall: float, name: str, instance: Instance) -> None:
        node = self._nodes.get(name)
        if node is None:
            # Nodes in the first answer may have been running for long.
            started = instance.started_at or (wall if self._has_answer else 0.0)
            node = self._nodes[name] = _Node(instance, started)
        elif instance.started_at > node.started_at:
            node.started_at = instance.started_at
        elif instance.address != node.instance.address or (
            instance.machine != node.instance.machine
        ):
            node.started_at = wall  # another process, even with the same id
        node.instance = instance
        is_critical = instance.health is Health.CRITICAL
        if is_critical and node.critical_since is None:
            node.critical_since = now
            node.flaps = self._decayed_flaps(node, now) + 1.0
            node.flapped_at = now
        elif not is_critical and node.critical_since is not None:
            critical_for = now - node.critical_since
            node.critical_since = None
            if critical_for >= self.table.cold_after_s and not instance.started_at:
                node.started_at = wall
            flaps = self._decayed_flaps(node, now)
            if flaps > TOLERATED_FLAPS:
                wait = self.table.return_s * 2.0 ** (flaps - 2.0)
                node.returns_at = now + min(self.table.return_most_s, wait)

    def _decayed_flaps(self, node: _Node, now: float) -> float:
        return node.flaps * float(2.0 ** ((node.flapped_at - now) / FLAP_HALF_LIFE))

    def is_registered(self, name: str) -> bool:
        """Whether a node is registered, healthy or not."""
        return name in self._nodes

    def next_change_at(self, now: float) -> float | None:
        """When `entries` changes without an answer: the next return of a flapping node."""
        times = [node.returns_at for node in self._nodes.values() if node.returns_at > now]
        return min(times, default=None)

    def entries(self, now: float) -> dict[str, Entry]:
        """The entries for the proxy, by name; a node without an entry is gone."""
        return {
            name: _entry(name, node, state)
            for name, node in self._nodes.items()
            if (state := self._state(node, now)) is not CacheState.GONE
        }

    def _state(self, node: _Node, now: float) -> CacheState:
        health = node.instance.health
        if health is Health.DRAINS:
            return CacheState.DRAINING
        if self.panic_mode:
            return CacheState.READY
        if health is Health.CRITICAL or node.returns_at > now:
            return CacheState.GONE
        return CacheState.READY


def _entry(name: str, node: _Node, state: CacheState) -> Entry:
    entry, instance = node.entry, node.instance
    if (
        entry is None
        or node.entry_instance is not instance
        or entry.state is not state
        or entry.started_at != node.started_at
    ):
        entry = node.entry = Entry(
            name,
            state,
            instance.address,
            instance.zone,
            instance.kind,
            instance.cell,
            instance.weight,
            node.started_at,
            node.started_at != instance.started_at,
        )
        node.entry_instance = instance
    return entry


class PendingUpdates:
    """The changes of a `CatalogueState` that are not reported yet."""

    def __init__(self) -> None:
        self._reported: dict[str, Entry] | None = None  # None: no full list was reported yet
        self._hints: dict[str, Entry] = {}  # reported gone for their health, but still registered

    @property
    def full_list_sent(self) -> bool:
        """Whether the first full list was reported."""
        return self._reported is not None

    def collect(
        self, catalogue: CatalogueState, now: float, repeat_drains: bool = False
    ) -> tuple[bool, list[Entry]]:
        """The entries to report, and before them whether they are the first (full) list.

        `repeat_drains`: report drains even if they are unchanged, since a new answer repeats them.
        In the meantime the node may have restarted, by another source's report, and been drained
        again.
        """
        entries = catalogue.entries(now)
        whole, before = self._reported is None, self._reported or {}
        updates = []
        changed = diff_entries(before, entries)
        if repeat_drains:
            changed += [
                entry
                for name, entry in entries.items()
                if entry.state is CacheState.DRAINING and before.get(name) == entry
            ]
        for entry in changed:
            if entry.state is CacheState.GONE and catalogue.is_registered(entry.instance):
                entry = self._hints[entry.instance] = msgspec.structs.replace(entry, hint=True)
            updates.append(entry)
        for name in list(self._hints):
            if name in entries:
                del self._hints[name]
            elif not catalogue.is_registered(name):  # deregistered while it was out for its health
                updates.append(msgspec.structs.replace(self._hints.pop(name), hint=False))
        self._reported = entries
        return whole, updates


def diff_entries(before: Mapping[str, Entry], after: Mapping[str, Entry]) -> list[Entry]:
    """The entries that turn list `before` into list `after`; removed nodes are GONE."""
    updates = [
        entry
        for name, entry in after.items()
        if (previous := before.get(name)) is not entry and previous != entry
    ]
    for name, entry in before.items():
        if name not in after:
            updates.append(
                Entry(
                    name,
                    CacheState.GONE,
                    None,
                    entry.zone,
                    entry.kind,
                    entry.cell,
                    entry.weight,
                    entry.started_at,
                )
            )
    return updates
