"""Decides which reports of Consul's catalogue to accept.  Pure.

The catalogue learns with a delay whether a process answers its check, and can fail itself.
Three kinds of report are treated differently:

- **Planned removals** (maintenance mode, the drain tag, a deregistration) apply at once, whatever
  else is in doubt, by the guarantee on drains.
- **Health** is a hint. A node that turns critical is left out at once; one that flaps waits longer
  before each return. When more than the fraction `floor` is critical at once, the checks are more
  likely at fault than the nodes, and health is ignored for all (Envoy's panic threshold).
- If more than the fraction `floor` **disappears** in one answer, a consistent read from the leader
  has to confirm it. Until then the missing nodes drain, from CONFIRMATION_GRACE after the first
  answer without them: they get no new requests, but keep their start, and return unchanged if the
  leader lists them. An empty answer is never accepted as a removal, not even the leader's: it is no
  evidence about single nodes. But it is a report, so the guarantee on drains holds: all nodes drain
  until an answer lists them again.

Agents lag, each by its own time, so an answer may be older than the last one. X-Consul-Index orders
them: an answer that is not newer can take a node out of service, but only a newer one or the leader
can bring it back.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from snowstall import CacheState

from .consul_health import Health, Instance
from .entries import Entry
from .table import ConsulTable

FLAP_HALF_LIFE = 60.0  # s; the weight of a past flap halves in it
TOLERATED_FLAPS = 1.5  # flaps, weighted by age, up to which a return is accepted at once
# s from the first answer without a node until it drains, unless the leader is heard before. The
# guarantee on drains allows 0.5 s, of which a paused process may need 0.15 s before it reads the
# answer, and 0.15 s before it writes a request.
CONFIRMATION_GRACE = 0.2


@dataclass(slots=True)
class _Node:
    instance: Instance
    started_at: float  # Unix ms
    critical_since: float | None = None
    returns_at: float = 0.0  # loop time before which a flapping node stays out
    flaps: float = 0.0
    flapped_at: float = 0.0
    missing_since: float | None = None  # loop time of the first answer without it
    entry: Entry | None = None  # cached result of `_entry`
    entry_instance: Instance | None = None  # the instance that `entry` was made from


class CatalogueState:
    """The accepted state of one service's nodes.  Times are the loop's, in s; `wall` is Unix ms."""

    def __init__(self, table: ConsulTable) -> None:
        self.table = table
        self._nodes: dict[str, _Node] = {}
        self._has_answer = False
        self._index = 0  # X-Consul-Index of the newest answer; 0 if unknown
        self._index_at = -math.inf  # loop time at which that answer was applied
        self.panic_mode = False  # more than the fraction `floor` is critical
        self.answer_empty = False  # the last answer had no nodes

    @property
    def missing(self) -> Collection[str]:
        """Nodes that the last answers lacked, kept until their removal is confirmed."""
        return [name for name, node in self._nodes.items() if node.missing_since is not None]

    @property
    def has_nodes(self) -> bool:
        """Whether any node is registered, or was and is kept."""
        return bool(self._nodes)

    # --- answers ---
    def apply(
        self,
        now: float,
        wall: float,
        instances: Mapping[str, Instance],
        index: int = 0,
        arrived_at: float | None = None,
    ) -> bool:
        """Apply an answer with its index.  Returns whether the leader has to confirm it.

        `arrived_at`: the earliest time at which it may have arrived, by default `now`.
        """
        arrived_at = now if arrived_at is None else arrived_at
        if 0 < index <= self._index:
            return self._apply_older(arrived_at, instances)
        missing = self._missing_from(instances)
        if instances and len(missing) <= self.table.floor * len(self._nodes):
            self._remove(missing)
        else:
            self._mark_missing(arrived_at, missing)
        self._accept(now, wall, instances, index)
        return self._is_in_doubt()

    def confirm(
        self,
        now: float,
        wall: float,
        instances: Mapping[str, Instance],
        index: int = 0,
        requested_at: float = math.inf,
    ) -> bool:
        """Apply a consistent read from the leader.  Returns whether another one is necessary.

        `requested_at`: the loop time at which it was sent.  An answer that was applied after that
        is newer than the read if its index is higher, or unknown; then the read settles nothing.
        """
        if (index < self._index or not index) and self._index_at > requested_at:
            return self._is_in_doubt()
        missing = self._missing_from(instances)
        if instances:
            self._remove(missing)
        else:
            self._mark_missing(now, missing)
        self._accept(now, wall, instances, index)
        return False

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
            node = self._nodes.get(name)
            if node is not None:
                _drain(node)
            else:
                node = _Node(instance, instance.started_at)
                others.append(_entry(name, node, CacheState.DRAINING))
        return others

    def doubt_missing(self, arrived_at: float, instances: Mapping[str, Instance]) -> bool:
        """Doubt the nodes that a complete but unusable answer lacks; returns whether any is new."""
        before = len(self.missing)
        self._mark_missing(arrived_at, self._missing_from(instances))
        return len(self.missing) > before

    def assume_removed(self) -> None:
        """Let the missing nodes drain now, because no more answers will be applied."""
        for node in self._nodes.values():
            if node.missing_since is not None:
                node.missing_since = -math.inf

    def _apply_older(self, arrived_at: float, instances: Mapping[str, Instance]) -> bool:
        """Apply an answer that is not newer than the last: it only takes nodes out of service.

        Returns whether it contradicts the accepted state, so that the leader has to be asked.
        """
        self._mark_missing(arrived_at, self._missing_from(instances))
        contradicts = False
        for name, instance in instances.items():
            node = self._nodes.get(name)
            if node is None:
                contradicts = True
            elif node.instance is not instance and node.instance != instance:
                contradicts = True
                if instance.health is Health.DRAINS:
                    _drain(node)
        return contradicts or self._is_in_doubt()

    def _missing_from(self, instances: Mapping[str, Instance]) -> list[str]:
        return [name for name in self._nodes if name not in instances]

    def _mark_missing(self, since: float, names: list[str]) -> None:
        for name in names:
            node = self._nodes[name]
            if node.missing_since is None:
                node.missing_since = since

    def _remove(self, names: list[str]) -> None:
        for name in names:
            del self._nodes[name]

    def _is_in_doubt(self) -> bool:
        return any(node.missing_since is not None for node in self._nodes.values())

    def _accept(
        self, now: float, wall: float, instances: Mapping[str, Instance], index: int
    ) -> None:
        """Apply the listed nodes of an answer that is the newest one."""
        self._index, self._index_at = index or self._index, now
        self.answer_empty = bool(self._nodes) and not instances
        for name, instance in instances.items():
            node = self._nodes.get(name)
            # Of thousands usually one has changed; the reader returns the same object for the rest.
            if node is None or node.instance is not instance:
                self._update_node(now, wall, name, instance)
            elif node.missing_since is not None:
                node.missing_since = None
        self._has_answer = self._has_answer or bool(instances)
        listed = [
            node
            for name, node in self._nodes.items()
            if name in instances and node.instance.health is not Health.DRAINS
        ]
        critical = sum(node.instance.health is Health.CRITICAL for node in listed)
        self.panic_mode = critical > self.table.floor * len(listed)

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
        node.instance, node.missing_since = instance, None
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
        """When `entries` changes without an answer: a node returns, or a missing one drains."""
        times = [node.returns_at for node in self._nodes.values()]
        times += [
            node.missing_since + CONFIRMATION_GRACE
            for node in self._nodes.values()
            if node.missing_since is not None
        ]
        return min((at for at in times if at > now), default=None)

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
        if node.missing_since is not None and now >= node.missing_since + CONFIRMATION_GRACE:
            return CacheState.DRAINING
        if self.panic_mode:
            return CacheState.READY
        if health is Health.CRITICAL or node.returns_at > now:
            return CacheState.GONE
        return CacheState.READY


def _drain(node: _Node) -> None:
    """Mark a node as draining, and keep all else that newer answers have said of it."""
    if node.instance.health is not Health.DRAINS:
        node.instance = replace(node.instance, health=Health.DRAINS)


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
