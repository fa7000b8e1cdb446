"""The configured sources of the list, and stable node names across a change of source."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Protocol

import msgspec

from snowstall import CacheState
from violetroute.transport import Address, Network

from .consul import ConsulWatch
from .entries import Entry, Listing
from .file import FileWatch
from .native import DiscoveryWatch, ListObserver
from .sources import MergedSources, SourceWatch
from .table import ConsulTable, MembershipTable

MAX_UNMERGED_LISTS = 4  # reported lists that are kept before they are merged


class SourceSettings(Protocol):
    """The tables of the operator's settings that are read here."""

    @property
    def membership(self) -> MembershipTable:
        """The table `[membership]`: the sources and their precedence."""
        ...

    @property
    def consul(self) -> ConsulTable:
        """The table `[consul]`: Consul as a source."""
        ...


class NodeNames:
    """Keeps node names stable across a change of source.  Pure.

    Two sources may name one node differently. Under a new name it would count as a new, cold node
    without history, and if that happened to the whole fleet, no node could serve. So in the first
    full list of a new source, a node at a known address keeps its previous name. After that a new
    name at a known address is a new node, to which the address was reassigned.
    """

    def __init__(self) -> None:
        self._recorded: dict[str, Entry] = {}  # entries by reported name, without `_unmerged`
        self._unmerged: list[Listing] = []  # lists reported after those in `_recorded`
        self._name_map: dict[str, str] = {}  # the source's name: the reported name
        self._new_source = False

    def expect_new_source(self) -> None:
        """Treat the next full list as the first of another source."""
        self._new_source = True

    @property
    def current_entries(self) -> list[Entry]:
        """The list as reported last."""
        return list(self._entries_by_name().values())

    def _record(self, listing: Listing) -> None:
        """Keep a reported list; merging it is deferred, since it may have thousands of entries."""
        if listing.whole:
            self._recorded = {}
            self._unmerged.clear()
        self._unmerged.append(listing)
        if len(self._unmerged) > MAX_UNMERGED_LISTS:
            self._entries_by_name()

    def _entries_by_name(self) -> dict[str, Entry]:
        """The entries as reported last, by reported name."""
        for listing in self._unmerged:
            for entry in listing.entries:
                if entry.state is CacheState.GONE:
                    self._recorded.pop(entry.instance, None)
                else:
                    self._recorded[entry.instance] = entry
        self._unmerged.clear()
        return self._recorded

    def translate(self, listing: Listing) -> Listing:
        """The list with each node under the name to report."""
        if listing.whole and self._new_source:
            self._new_source = False
            known = self._entries_by_name()
            name_by_address = {entry.address: name for name, entry in known.items()}
            listed = {entry.instance for entry in listing.entries}
            self._name_map = {
                entry.instance: name_by_address[entry.address]
                for entry in listing.entries
                if entry.address in name_by_address
                and entry.instance not in known
                and name_by_address[entry.address] not in listed
            }
        elif self._new_source:  # before its first full list: drains, under names of any source
            known = self._entries_by_name()
            name_by_address = {entry.address: name for name, entry in known.items()}
            unknown = [
                entry.state is CacheState.DRAINING and entry.instance not in known
                for entry in listing.entries
            ]
            listing = replace(
                listing,
                entries=tuple(
                    msgspec.structs.replace(
                        entry, instance=name_by_address.get(entry.address, entry.instance)
                    )
                    if new
                    else entry
                    for entry, new in zip(listing.entries, unknown, strict=True)
                ),
            )
        if not self._name_map:  # no node keeps another name
            self._record(listing)
            return listing
        renamed = []
        if listing.whole:
            self._recorded, self._unmerged = {}, []
        entries = self._entries_by_name()
        for entry in listing.entries:
            name = self._name_map.get(entry.instance, entry.instance)
            named = (
                entry if name == entry.instance else msgspec.structs.replace(entry, instance=name)
            )
            renamed.append(named)
            if entry.state is CacheState.GONE:
                entries.pop(name, None)  # `_name_map` still has its name for its return
            else:
                entries[name] = named
        return replace(listing, entries=tuple(renamed))


def _renamed(entry: Entry, name: str) -> Entry:
    return entry if name == entry.instance else msgspec.structs.replace(entry, instance=name)


class Membership:
    """The configured source, or several merged.  The balancer decides when it starts and stops."""

    def __init__(
        self,
        observer: ListObserver,
        net: Network,
        discovery: Address,
        operator: SourceSettings,
        clock: Callable[[], float],
    ) -> None:
        self._observer, self._net, self._clock = observer, net, clock
        self._discovery, self._operator = discovery, operator
        self._names = NodeNames()
        self._consul: ConsulWatch | None = None  # also if it is one of several sources
        self._watch = self._create_watch()

    def _create_watch(self, before: SourceWatch | None = None) -> SourceWatch:
        names = source_order(self._operator)
        if len(names) == 1:
            return self._create_source(names[0], self)
        merged = MergedSources(
            self,
            self._net.loop,
            self._clock,
            {name: partial(self._create_source, name) for name in names},
            self._operator.membership,
        )
        merged.set_initial_list(
            self._names.current_entries, before if isinstance(before, MergedSources) else None
        )
        return merged

    def _create_source(self, name: str, observer: ListObserver) -> SourceWatch:
        if name == "consul":
            self._consul = ConsulWatch(observer, self._operator.consul, self._net, self._clock)
            return self._consul
        if name == "file":
            table = self._operator.membership
            return FileWatch(observer, table.file, table.file_every_s, self._net)
        return DiscoveryWatch(observer, self._discovery, self._net)

    @property
    def active_watch(self) -> object:
        """The watch in use; `reconfigure` replaces it."""
        return self._watch

    def reconfigure(self, discovery: Address, operator: SourceSettings) -> bool:
        """Apply new settings.  Returns whether the sources changed.

        The reported list stays in use until the new source has reported its first list. The end of
        the old watch is not reported: the caller notifies the balancer of the change instead.
        """
        before, now = source_order(self._operator), source_order(operator)
        same = (
            before == now
            and operator.membership == self._operator.membership
            and ("consul" not in now or operator.consul == self._operator.consul)
            and ("platform" not in now or discovery == self._discovery)
        )
        continues = "consul" in now and (
            operator.consul.service_key == self._operator.consul.service_key
        )
        self._discovery, self._operator = discovery, operator
        if same:
            return False
        consul_before, self._consul = self._consul, None
        if consul_before is not None and not continues:
            consul_before.assume_removed()
        self._watch.stop()
        if before != now:
            self.expect_new_source()
        self._watch = self._create_watch(self._watch)
        if continues and consul_before is not None and self._consul is not None:
            self._consul.continue_from(consul_before)
        return True

    def start(self, since: int) -> None:
        """Start the watch from generation `since` of the platform's list."""
        self._watch.start(since)

    def stop(self) -> None:
        """Stop the watch without a report."""
        self._watch.stop()

    def report_due(self) -> None:
        """Report changes that became due during a pause of the process, before other events."""
        if self._consul is not None:
            self._consul.report_due()

    # --- from the watch ---
    def expect_new_source(self) -> None:
        """Treat the next full list as the first of another source."""
        self._names.expect_new_source()

    def list_changed(self, listing: Listing) -> None:
        """Report a list or changes under the names that the proxy knows."""
        self._observer.list_changed(self._names.translate(listing))

    def list_failed(self, silent: bool = False) -> None:
        """Report the end of the watch."""
        self._observer.list_failed(silent)

    def adopt_initial_list(self, listing: Listing) -> Listing:
        """Take the list that the platform provided at the start, so that its names are kept."""
        known = self._names.translate(replace(listing, whole=True))
        if isinstance(self._watch, MergedSources):
            self._watch.set_initial_list(self._names.current_entries)
        if source_order(self._operator) != ("platform",):
            self.expect_new_source()
        return known


def source_order(operator: SourceSettings) -> tuple[str, ...]:
    """The configured sources, highest precedence first."""
    return operator.membership.sources or (("consul",) if operator.consul.agents else ("platform",))
