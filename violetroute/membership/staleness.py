"""What is believed of what a catalogue says.  Pure.

A catalogue knows whether a process answers its check, late, and is itself a system that fails.
Three things are told apart:

- **Plans** (maintenance mode, the drain tag, a deregistration) are kept at once, whatever else is
  doubted: rule three.
- **Health** is a hint. A node that goes critical is left out at once; one that comes back again and
  again waits longer each time. When more than the floor is critical at once, the checks are more
  likely at fault than the nodes, and health is not believed of any (Envoy's panic threshold).
- **Vanishing** of more than the floor in one answer is asked about once more, of the leader; an
  answer that would leave nothing is not believed at all: it tells of no single node.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from snowstall import CacheState

from .consul_health import Health, Instance
from .entries import Entry
from .table import ConsulTable

FLAP_HALF_LIFE = 60.0  # s
TOLERATED_FLAPS = 1.5  # goings, weighed by age, up to which a return is believed at once


@dataclass(slots=True)
class _Known:
    instance: Instance
    started_at: float  # Unix ms
    critical_since: float | None = None
    back_at: float = 0.0  # not before, since it flaps
    flaps: float = 0.0
    flapped_at: float = 0.0
    entry: Entry | None = None  # as it was told last
    entry_of: Instance | None = None  # what it was made of


class CatalogueState:
    """The nodes of one service.  Times are the loop's, in s; `wall` is Unix ms."""

    def __init__(self, table: ConsulTable) -> None:
        self.table = table
        self._known: dict[str, _Known] = {}
        self._heard = False
        self.panic_mode = False  # more than the floor is critical
        self.unconfirmed = 0  # that vanished in the last answer and are kept until it is confirmed
        self.answer_empty = False  # the last answer had none

    def apply(
        self, now: float, wall: float, seen: Mapping[str, Instance], confirmed: bool = False
    ) -> bool:
        """One answer.  Whether it has to be confirmed: asked again, of the leader."""
        gone = [name for name in self._known if name not in seen]
        self.unconfirmed, self.answer_empty = 0, bool(self._known) and not seen
        if gone and (
            self.answer_empty or (len(gone) > self.table.floor * len(self._known) and not confirmed)
        ):
            self.unconfirmed = len(gone)
        else:
            for name in gone:
                del self._known[name]
        for name, instance in seen.items():
            known = self._known.get(name)
            # Of thousands one has changed: the reader hands out the same record for the others.
            if known is None or known.instance is not instance:
                self._update_node(now, wall, name, instance)
        self._heard = True
        here = [
            known
            for name, known in self._known.items()
            if name in seen and known.instance.health is not Health.DRAINS
        ]
        sick = sum(known.instance.health is Health.CRITICAL for known in here)
        self.panic_mode = sick > self.table.floor * len(here)
        return bool(self.unconfirmed) and not confirmed

    def apply_drains(self, seen: Mapping[str, Instance]) -> list[Entry]:
        """Keep the drains of an answer that is otherwise not believed.

        Returns those of nodes that are not known yet, since no answer counted so far: they are on
        another source's list. Found by exploration: a leaderless cluster went on answering, with a
        drain in it, and the list was frozen without; and once more in the first answers of all.
        Harm: a drain that was over before is begun again until a better answer comes.
        """
        others = []
        for name, instance in seen.items():
            if instance.health is not Health.DRAINS:
                continue
            if name in self._known:
                self._known[name].instance = instance
            else:
                known = _Known(instance, instance.started_at)
                others.append(_entry(name, known, CacheState.DRAINING))
        return others

    def _update_node(self, now: float, wall: float, name: str, instance: Instance) -> None:
        known = self._known.get(name)
        if known is None:
            # Those of the first answer may have been there for long, as far as it tells.
            started = instance.started_at or (wall if self._heard else 0.0)
            known = self._known[name] = _Known(instance, started)
        elif instance.started_at > known.started_at:
            known.started_at = instance.started_at
        elif instance.address != known.instance.address:
            known.started_at = wall  # another machine, whatever its id is
        known.instance = instance
        sick = instance.health is Health.CRITICAL
        if sick and known.critical_since is None:
            known.critical_since = now
            known.flaps = self._flaps(known, now) + 1.0
            known.flapped_at = now
        elif not sick and known.critical_since is not None:
            away = now - known.critical_since
            known.critical_since = None
            if away >= self.table.cold_after_s and not instance.started_at:
                known.started_at = wall
            flaps = self._flaps(known, now)
            if flaps > TOLERATED_FLAPS:
                wait = self.table.return_s * 2.0 ** (flaps - 2.0)
                known.back_at = now + min(self.table.return_most_s, wait)

    def _flaps(self, known: _Known, now: float) -> float:
        return known.flaps * float(2.0 ** ((known.flapped_at - now) / FLAP_HALF_LIFE))

    def is_registered(self, name: str) -> bool:
        """Whether it is registered, healthy or not."""
        return name in self._known

    def next_change_at(self, now: float) -> float | None:
        """When `entries` changes by itself: the next return that is waited for."""
        times = [known.back_at for known in self._known.values() if known.back_at > now]
        return min(times, default=None)

    def entries(self, now: float) -> dict[str, Entry]:
        """What the proxy should be told, by name; who is not there has gone."""
        return {
            name: _entry(name, known, state)
            for name, known in self._known.items()
            if (state := self._state(known, now)) is not CacheState.GONE
        }

    def _state(self, known: _Known, now: float) -> CacheState:
        health = known.instance.health
        if health is Health.DRAINS:
            return CacheState.DRAINING
        if self.panic_mode:
            return CacheState.READY
        if health is Health.CRITICAL or known.back_at > now:
            return CacheState.GONE
        return CacheState.READY


def _entry(name: str, known: _Known, state: CacheState) -> Entry:
    entry, instance = known.entry, known.instance
    if (
        entry is None
        or known.entry_of is not instance
        or entry.state is not state
        or entry.started_at != known.started_at
    ):
        entry = known.entry = Entry(
            name,
            state,
            instance.address,
            instance.zone,
            instance.kind,
            instance.cell,
            instance.weight,
            known.started_at,
            known.started_at != instance.started_at,
        )
        known.entry_of = instance
    return entry


class PendingUpdates:
    """What is still to be told of a belief."""

    def __init__(self) -> None:
        self._told: dict[str, Entry] | None = None  # None: a first whole list is owed
        self._hints: dict[str, Entry] = {}  # gone by their health, and still registered

    @property
    def full_list_sent(self) -> bool:
        """Whether a first whole list has been told."""
        return self._told is not None

    def collect(
        self, belief: CatalogueState, now: float, again: bool = False
    ) -> tuple[bool, list[Entry]]:
        """Whether it is the whole list, and what has to be told.

        `again`: a new answer says so, also where it says the same. A drain in it counts anew: in
        between the node may have started, as another source told, and been drained once more.
        """
        entries = belief.entries(now)
        whole, before = self._told is None, self._told or {}
        told = []
        found = changes(before, entries)
        if again:
            found += [
                entry
                for name, entry in entries.items()
                if entry.state is CacheState.DRAINING and before.get(name) == entry
            ]
        for entry in found:
            if entry.state is CacheState.GONE and belief.is_registered(entry.instance):
                entry = self._hints[entry.instance] = msgspec.structs.replace(entry, hint=True)
            told.append(entry)
        for name in list(self._hints):
            if name in entries:
                del self._hints[name]
            elif not belief.is_registered(name):  # deregistered while it was left out already
                told.append(msgspec.structs.replace(self._hints.pop(name), hint=False))
        self._told = entries
        return whole, told


def changes(before: Mapping[str, Entry], after: Mapping[str, Entry]) -> list[Entry]:
    """The entries that turn list `before` into list `after`; a node that left is GONE."""
    told = [
        entry
        for name, entry in after.items()
        if (was := before.get(name)) is not entry and was != entry
    ]
    for name, entry in before.items():
        if name not in after:
            told.append(
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
    return told
