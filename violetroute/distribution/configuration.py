"""Published tables of the operator's file, as a proxy merges them with its own file.  Pure.

A published table replaces the file's table of the same name; the last position of the log wins.
Only tables that SIGHUP changes can be published, and of these only keys that mean the same on every
machine: keys that name files of one machine or need a restart stay the file's own.

The whole check is the caller's: `PublishedConfiguration` hands it the tables to merge and is told
why they cannot be used.  Tables that were refused are tried again with the next change and the next
SIGHUP, so that a mended file or a later record lets them in.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from violetroute.config import ConfigError
from violetroute.config.operator import Operator, TomlTable
from violetroute.config.tables import to_struct
from violetroute.error_text import one_line

from .configuration_change import ConfigurationChange
from .messages import MAX_BODY_BYTES, Record

# The tables that can be published, and those of their keys that stay each file's own.
LOCAL_KEYS: Mapping[str, frozenset[str]] = MappingProxyType(
    {
        "log": frozenset(),
        "limits": frozenset({"client_share", "value_share", "idle_share"}),
        "placement": frozenset({"file", "seen"}),
        "membership": frozenset({"file"}),
        "consul": frozenset({"token_file", "tls_ca_file", "tls_cert_file", "tls_key_file"}),
        "cluster": frozenset({"announce"}),
        "sharing": frozenset(
            {
                "listen",
                "key_file",
                "seeds",
                "ways",
                "proxies",
                "probe_s",
                "loan_s",
                "drift",
                "burst_s",
                "judge",
                "socket",
            }
        ),
    }
)


NAME_CHARACTERS = 64  # of an unknown table's name, in a reason


# By the table's name: the published table, or None to take it back.
TableChanges = dict[str, TomlTable | None]


class TableRefusedError(Exception):
    """A table cannot be published; one line."""


@dataclass(frozen=True, slots=True)
class PublishedTables:
    """Tables by name, and the position of the last batch that changed one of them."""

    values: Mapping[str, TomlTable] = field(default_factory=dict)
    position: int = 0

    def with_changes(self, changes: TableChanges, position: int) -> PublishedTables:
        """These tables with some replaced, and without those whose change is None."""
        values = {**self.values, **changes}
        kept = {name: table for name, table in values.items() if table is not None}
        return PublishedTables(kept, position)

    def merged(self, file: TomlTable) -> TomlTable:
        """The operator's file, as `tomllib` gives it, with these tables in place of its own."""
        merged = dict(file)
        for name, table in self.values.items():
            merged[name] = {**_local(name, file.get(name)), **table}
        return merged


# Reads the operator's file anew, checks it whole with these tables, and takes it on.  Answers with
# the reason for which it cannot be used, in one line, or with "".
ApplyTables = Callable[[PublishedTables], str]


class PublishedConfiguration:
    """What one proxy has in force of the published tables, and what it wants to have."""

    __slots__ = ("_accepted", "_take_on", "_wanted")

    def __init__(self, take_on: ApplyTables) -> None:
        self._take_on = take_on
        self._accepted = PublishedTables()
        self._wanted = PublishedTables()  # the log's, those that were refused among them

    @property
    def accepted(self) -> PublishedTables:
        """The tables that are in force."""
        return self._accepted

    def change(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Take on the records together; the reasons of what was refused."""
        reasons: list[str] = []
        changes = _changes(change.records, reasons)
        if not changes and not change.complete:
            return tuple(reasons)
        if change.complete:
            self._wanted = tables = PublishedTables().with_changes(changes, change.position)
        else:
            self._wanted = self._wanted.with_changes(changes, change.position)
            tables = self._accepted.with_changes(changes, change.position)
        if not self._wanted.values and not self._accepted.values:
            return tuple(reasons)  # nothing is published, as before
        reason = self._try(tables)
        if reason:
            reasons.append(_one_line(reason))
        return tuple(reasons)

    def reload(self) -> str:
        """SIGHUP: the file anew, with the published tables.  "" or why the old ones stay."""
        return self._try(self._accepted)

    def _try(self, tables: PublishedTables) -> str:
        """Try everything that is wanted, then `tables`."""
        reason = self._take(self._wanted)
        if reason and tables.values != self._wanted.values:
            reason = self._take(tables)
        return reason

    def _take(self, tables: PublishedTables) -> str:
        reason = self._take_on(tables)
        if not reason:
            self._accepted = tables
        return reason


def check_name(name: str) -> None:
    """TableRefusedError for a table that cannot be published."""
    if name not in LOCAL_KEYS:
        known = ", ".join(LOCAL_KEYS)
        shown = name[:NAME_CHARACTERS]
        raise TableRefusedError(f"[{shown}] cannot be published; these can: {known}")


def parse_table(name: str, body: bytes) -> TomlTable:
    """A table of the operator's file from its TOML text.  TableRefusedError."""
    check_name(name)
    if len(body) > MAX_BODY_BYTES:
        raise TableRefusedError(f"[{name}] has more than {MAX_BODY_BYTES} bytes")
    try:
        table = tomllib.loads(body.decode())
    except (ValueError, RecursionError) as error:
        raise TableRefusedError(f"[{name}] is no TOML: {one_line(error)}") from None
    local = sorted(LOCAL_KEYS[name] & table.keys())
    if local:
        raise TableRefusedError(f"[{name}] {local[0]}: is set by each machine's own file")
    try:
        to_struct({name: table}, Operator, "published")
    except ConfigError as error:
        raise TableRefusedError(str(error)) from None
    return table


def _changes(records: Iterable[Record], reasons: list[str]) -> TableChanges:
    """The last change of each table; None takes a table back.  Unusable records are left out."""
    changes: TableChanges = {}
    for record in records:
        if not record.body:
            changes[record.key] = None
            continue
        try:
            changes[record.key] = parse_table(record.key, record.body)
        except TableRefusedError as error:
            reasons.append(_one_line(str(error)))
    return changes


def _one_line(reason: str) -> str:
    """Names from a record may hold anything."""
    return " ".join(reason.split())


def _local(name: str, table: object) -> TomlTable:
    """The keys of the file's table that a published one does not replace."""
    if not isinstance(table, dict):
        return {}
    return {key: value for key, value in table.items() if key in LOCAL_KEYS[name]}
