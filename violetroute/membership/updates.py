"""The changes between two lists of nodes.  Pure."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from snowstall import CacheState

from .entries import Entry
from .staleness import CatalogueState


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
