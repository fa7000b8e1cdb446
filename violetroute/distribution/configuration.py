"""Published tables of the operator's file, which a proxy merges with its own file.  Pure.

A published table replaces the file's table of the same name; the latest position in the log wins.
Only tables that SIGHUP can change may be published, and only those keys that mean the same on every
machine.  Keys that name local files or need a restart always come from the local file.

The caller validates: `PublishedConfiguration` passes it the tables to merge and gets back the
reason why they cannot be used.  Refused tables are tried again with the next change and the next
SIGHUP, so that they are accepted once the file is fixed or a later record makes them valid.
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

# The tables that can be published, and their keys that only the local file can set.
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


MAX_NAME_CHARACTERS = 64  # characters of an unknown table's name in an error


# The published table by its name, or None to remove it.
TableChanges = dict[str, TomlTable | None]


class TableRefusedError(Exception):
    """A table cannot be published.  The text is one line."""


@dataclass(frozen=True, slots=True)
class PublishedTables:
    """Published tables by name, and the position of the last batch that changed one of them."""

    values: Mapping[str, TomlTable] = field(default_factory=dict)
    position: int = 0

    def with_changes(self, changes: TableChanges, position: int) -> PublishedTables:
        """A copy with the changed tables, without those whose change is None."""
        values = {**self.values, **changes}
        kept = {name: table for name, table in values.items() if table is not None}
        return PublishedTables(kept, position)

    def merged(self, file: TomlTable) -> TomlTable:
        """The operator's file as parsed by `tomllib`, with its tables replaced by these."""
        merged = dict(file)
        for name, table in self.values.items():
            merged[name] = {**_local_keys(name, file.get(name)), **table}
        return merged


# Reads the operator's file again, validates it merged with these tables, and applies it.  Returns
# "", or one line with the reason why it cannot be used.
ApplyTables = Callable[[PublishedTables], str]


class PublishedConfiguration:
    """The published tables that one proxy has in force, and all that are published."""

    __slots__ = ("_accepted", "_apply_tables", "_published")

    def __init__(self, apply_tables: ApplyTables) -> None:
        self._apply_tables = apply_tables
        self._accepted = PublishedTables()
        self._published = PublishedTables()  # the tables of the log, also the refused ones

    @property
    def accepted(self) -> PublishedTables:
        """The tables that are in force."""
        return self._accepted

    def apply_change(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Apply the records together.  Returns one reason for each part that was refused."""
        reasons: list[str] = []
        changes = _parse_changes(change.records, reasons)
        if not changes and not change.complete:
            return tuple(reasons)
        if change.complete:
            self._published = tables = PublishedTables().with_changes(changes, change.position)
        else:
            self._published = self._published.with_changes(changes, change.position)
            tables = self._accepted.with_changes(changes, change.position)
        if not self._published.values and not self._accepted.values:
            return tuple(reasons)  # nothing is published now, and nothing was before
        reason = self._apply_published(tables)
        if reason:
            reasons.append(_one_line(reason))
        return tuple(reasons)

    def reload(self) -> str:
        """Read the file again (SIGHUP), merged with the published tables.

        Returns "", or the reason why the old configuration stays in force.
        """
        return self._apply_published(self._accepted)

    def _apply_published(self, tables: PublishedTables) -> str:
        """Try to apply all published tables; if that fails, `tables`.  Returns "" or a reason."""
        reason = self._apply(self._published)
        if reason and tables.values != self._published.values:
            reason = self._apply(tables)
        return reason

    def _apply(self, tables: PublishedTables) -> str:
        reason = self._apply_tables(tables)
        if not reason:
            self._accepted = tables
        return reason


def check_name(name: str) -> None:
    """Raise TableRefusedError for a table that cannot be published."""
    if name not in LOCAL_KEYS:
        known = ", ".join(LOCAL_KEYS)
        shown = name[:MAX_NAME_CHARACTERS]
        raise TableRefusedError(f"[{shown}] cannot be published; these can: {known}")


def parse_table(name: str, body: bytes) -> TomlTable:
    """Parse a table of the operator's file from its TOML text.

    Raises TableRefusedError for a table that cannot be published, is too large or invalid, or sets
    a key that only the local file can set.
    """
    check_name(name)
    if len(body) > MAX_BODY_BYTES:
        raise TableRefusedError(f"[{name}] has more than {MAX_BODY_BYTES} bytes")
    try:
        table = tomllib.loads(body.decode())
    except (ValueError, RecursionError) as error:
        raise TableRefusedError(f"[{name}] is not valid TOML: {one_line(error)}") from None
    local = sorted(LOCAL_KEYS[name] & table.keys())
    if local:
        raise TableRefusedError(f"[{name}] {local[0]}: can only be set in each machine's own file")
    try:
        to_struct({name: table}, Operator, "published")
    except ConfigError as error:
        raise TableRefusedError(str(error)) from None
    return table


def _parse_changes(records: Iterable[Record], reasons: list[str]) -> TableChanges:
    """The last change of each table; None removes it.  Appends to `reasons` for invalid records."""
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
    """Collapse whitespace: table names in a record may contain line breaks."""
    return " ".join(reason.split())


def _local_keys(name: str, table: object) -> TomlTable:
    """The keys of the file's table that a published table does not replace."""
    if not isinstance(table, dict):
        return {}
    return {key: value for key, value in table.items() if key in LOCAL_KEYS[name]}
