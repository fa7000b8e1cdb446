"""Which sources tell the list, and one name for a node whoever tells of it."""

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


class SourceSettings(Protocol):
    """What is read of the operator's file."""

    @property
    def membership(self) -> MembershipTable: ...
    @property
    def consul(self) -> ConsulTable: ...


class NodeNames:
    """Names across a change of source.  Pure.

    Two sources may call one node differently. Told as another node it would be new, cold and
    without all that is known of it, and with a whole fleet so there would be nobody to serve. So in
    the first whole list of a new source a node that stands at an address which is known keeps the
    name that it had. Later a new name at a known address is a new node: the address was given on.
    """

    def __init__(self) -> None:
        self._entries_by_name: dict[str, Entry] = {}  # by the name that is told on
        self._name_map: dict[str, str] = {}  # what the source says: what is told on
        self._new_source = False

    def expect_new_source(self) -> None:
        """The next whole list is another source's first."""
        self._new_source = True

    @property
    def current_entries(self) -> list[Entry]:
        """The list as it was told on last."""
        return list(self._entries_by_name.values())

    def translate(self, listing: Listing) -> Listing:
        """The list under the names that are told on."""
        if listing.whole and self._new_source:
            self._new_source = False
            at = {entry.address: name for name, entry in self._entries_by_name.items()}
            taken = {entry.instance for entry in listing.entries}
            self._name_map = {
                entry.instance: at[entry.address]
                for entry in listing.entries
                if entry.address in at
                and entry.instance not in self._entries_by_name
                and at[entry.address] not in taken
            }
        elif self._new_source:  # drains ahead of its first whole list, of nodes by any name
            at = {entry.address: name for name, entry in self._entries_by_name.items()}
            unknown = [
                entry.state is CacheState.DRAINING and entry.instance not in self._entries_by_name
                for entry in listing.entries
            ]
            listing = replace(
                listing,
                entries=tuple(
                    msgspec.structs.replace(entry, instance=at.get(entry.address, entry.instance))
                    if new
                    else entry
                    for entry, new in zip(listing.entries, unknown, strict=True)
                ),
            )
        if not self._name_map:  # names are told on as they are
            if listing.whole:
                self._entries_by_name = {}
            for entry in listing.entries:
                if entry.state is CacheState.GONE:
                    self._entries_by_name.pop(entry.instance, None)
                else:
                    self._entries_by_name[entry.instance] = entry
            return listing
        told = []
        here = {} if listing.whole else self._entries_by_name
        for entry in listing.entries:
            name = self._name_map.get(entry.instance, entry.instance)
            named = (
                entry if name == entry.instance else msgspec.structs.replace(entry, instance=name)
            )
            told.append(named)
            if entry.state is CacheState.GONE:
                here.pop(name, None)  # it keeps its name for when it comes back
            else:
                here[name] = named
        self._entries_by_name = here
        return Listing(listing.generation, listing.whole, tuple(told))


def _renamed(entry: Entry, name: str) -> Entry:
    return entry if name == entry.instance else msgspec.structs.replace(entry, instance=name)


class Membership:
    """The source in use, or all of them as one.  `start` and `stop` as the module says."""

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
        self._watch = self._create_watch()

    def _create_watch(self, before: SourceWatch | None = None) -> SourceWatch:
        names = source_order(self._operator)
        if len(names) == 1:
            return self._create_source(names[0], self)
        several = MergedSources(
            self,
            self._net.loop,
            self._clock,
            {name: partial(self._create_source, name) for name in names},
            self._operator.membership,
        )
        several.set_initial_list(
            self._names.current_entries, before if isinstance(before, MergedSources) else None
        )
        return several

    def _create_source(self, name: str, observer: ListObserver) -> SourceWatch:
        if name == "consul":
            return ConsulWatch(observer, self._operator.consul, self._net, self._clock)
        if name == "file":
            table = self._operator.membership
            return FileWatch(observer, table.file, table.file_every_s, self._net)
        return DiscoveryWatch(observer, self._discovery, self._net)

    @property
    def active_watch(self) -> object:
        """The watch in use: another one after a move."""
        return self._watch

    def reconfigure(self, discovery: Address, operator: SourceSettings) -> bool:
        """Where lists come from from now on; whether that is elsewhere.

        What was told holds until the new source has told its first list. The old one's end is not
        told: the module learns of the move instead.
        """
        before, now = source_order(self._operator), source_order(operator)
        same = (
            before == now
            and operator.membership == self._operator.membership
            and ("consul" not in now or operator.consul == self._operator.consul)
            and ("platform" not in now or discovery == self._discovery)
        )
        self._discovery, self._operator = discovery, operator
        if same:
            return False
        self._watch.stop()
        if before != now:
            self.expect_new_source()
        self._watch = self._create_watch(self._watch)
        return True

    def start(self, since: int) -> None:
        self._watch.start(since)

    def stop(self) -> None:
        self._watch.stop()

    # --- from the watch ---
    def expect_new_source(self) -> None:
        self._names.expect_new_source()

    def list_changed(self, listing: Listing) -> None:
        self._observer.list_changed(self._names.translate(listing))

    def list_failed(self, silent: bool = False) -> None:
        self._observer.list_failed(silent)

    def adopt_initial_list(self, listing: Listing) -> Listing:
        """What the platform handed over at the start, so that its names last."""
        known = self._names.translate(replace(listing, whole=True))
        if isinstance(self._watch, MergedSources):
            self._watch.set_initial_list(self._names.current_entries)
        if source_order(self._operator) != ("platform",):
            self.expect_new_source()
        return known


def source_order(operator: SourceSettings) -> tuple[str, ...]:
    """The sources by precedence."""
    return operator.membership.sources or (("consul",) if operator.consul.agents else ("platform",))
