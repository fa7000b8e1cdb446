"""The operator's TOML file: settings beyond the platform's, checked completely before the start.

`--operator FILE` or LIMEBRIDGE_OPERATOR names the file; without one, the defaults here apply.
`deploy/operator.toml` lists every key with its unit and when to change it.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib.util import find_spec
from typing import Annotated, Literal

import msgspec

from violetroute.cluster.table import ClusterTable
from violetroute.distribution.table import (
    DistributionTable,
    check_distribution,
    restart_is_needed,
)
from violetroute.fleet.table import FleetTable
from violetroute.ledger.table import LedgerTable
from violetroute.logs import EVENTS
from violetroute.membership.table import ConsulTable, MembershipTable
from violetroute.placement.plan import PlacementTable
from violetroute.sharing.table import SharingTable, read_keys
from violetroute.transport import parse_address

from .errors import ConfigError
from .tables import check_names, read_toml, to_struct

Fraction = Annotated[float, msgspec.Meta(ge=0.05, le=0.95)]
Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=3600.0)]
PerSecond = Annotated[float, msgspec.Meta(ge=0.0, le=10_000.0)]


class LogTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: log lines on standard error.  Reloaded with SIGHUP."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"
    per_second: PerSecond = 5.0  # maximum rate of lines per event
    events: dict[str, PerSecond] = {}  # the same for named events; 0 disables an event


def check_log(table: LogTable, path: str) -> None:
    """Check `[log]`; ConfigError names the invalid key."""
    check_names(table.events, EVENTS, path, "log.events", "event")


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[limits]`: limits on peers, and the division of the resources that the platform grants."""

    # Client connections with a request need at most a third: each request can have two attempts at
    # once, and a client connection without a request can be closed.
    client_share: Fraction = 0.55  # fraction of the descriptors; the rest is for cache nodes
    # Fraction that is for values, of the memory beyond the program's own; buffers use as much.
    value_share: Fraction = 0.4
    # Fraction of the client slots that may be idle: a client with a limit on its connections needs
    # some of them for requests.
    idle_share: Fraction = 0.25
    # Fraction of the client slots in use above which idle connections are closed after `idle_s`.
    crowd_share: Fraction = 0.75
    # Open commands per connection; beyond it reading pauses.
    depth: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 128
    # Invalid commands in a row after which a connection is closed.
    mistakes: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 8
    first_byte_s: Seconds = 2.2  # timeout for a connection's first byte
    command_s: Seconds = 2.4  # timeout for receiving one command
    idle_s: Seconds = 2.0  # idle time after which clients expect a close
    reader_s: Seconds = 15.0  # timeout for a client that reads none of its answers
    reply_s: Seconds = 0.15  # timeout from the first byte of a node's reply to its last
    # Idle connections kept to each cache node.
    idle_per_node: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 32


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The whole file.

    Tables with default values are omitted on encoding, since an older build may not know them.
    """

    log: LogTable = LogTable()
    limits: Limits = Limits()
    placement: PlacementTable = PlacementTable()
    membership: MembershipTable = MembershipTable()
    consul: ConsulTable = ConsulTable()
    cluster: ClusterTable = ClusterTable()
    ledger: LedgerTable = LedgerTable()
    fleet: FleetTable = FleetTable()
    sharing: SharingTable = SharingTable()
    distribution: DistributionTable = DistributionTable()

    @property
    def only_platform_discovery(self) -> bool:
        """Whether the platform's discovery is the only source of node lists."""
        return self.membership.sources == ("platform",) or not (
            self.membership.sources or self.consul.agents
        )


NEEDS_RESTART = ("client_share", "value_share", "idle_share")  # keys of [limits]


# A table as returned by tomllib; the whole file is one.  It is unchecked: it may have any keys, and
# values of any TOML type.  `to_struct` converts it.
TomlTable = dict[str, object]

# Maps the tables of the file to the tables that are used.
MergeTables = Callable[[TomlTable], TomlTable]


def load_operator(path: str | None, merge_tables: MergeTables | None = None) -> Operator:
    """Load the file at `path`, or the defaults without one.

    `merge_tables` may replace the file's tables before they are checked.  ConfigError names the
    file, table and key.
    """
    if not path:
        return Operator()
    raw = read_toml(path)
    return parse_operator(raw if merge_tables is None else merge_tables(raw), path)


def parse_operator(raw: TomlTable, path: str) -> Operator:
    """Check the tables and convert them.  `path` is only used in the text of a ConfigError."""
    operator = to_struct(raw, Operator, path)
    check_log(operator.log, path)
    for agent in operator.consul.agents:
        try:
            parse_address(agent)
        except ValueError as error:
            raise ConfigError(f"{path}: [consul] agents: {error}") from None
    sources = operator.membership.sources
    for wrong, text in (
        (len(set(sources)) != len(sources), "duplicate source"),
        (
            "consul" in sources and not operator.consul.agents,
            "consul: [consul] agents is empty",
        ),
        ("file" in sources and not operator.membership.file, "file: [membership] file is empty"),
    ):
        if wrong:
            raise ConfigError(f"{path}: [membership] sources: {text}")
    _check_ledger(operator.ledger, path)
    check_fleet(operator.fleet, operator.ledger, path)
    _check_sharing(operator.sharing, path)
    try:
        check_distribution(operator.distribution)
    except ValueError as error:
        raise ConfigError(f"{path}: [distribution] {error}") from None
    return operator


def _check_ledger(table: LedgerTable, path: str) -> None:
    """Check `[ledger]`; ConfigError names the invalid key."""
    if not table.folder:
        if table != LedgerTable():
            raise ConfigError(f"{path}: [ledger] folder: missing, and other keys are set")
        return
    from violetroute.ledger.periods import Periods  # a proxy without a ledger needs no time zones

    if find_spec("zstandard") is None:
        raise ConfigError(
            f"{path}: [ledger] folder: needs the library zstandard, which is not "
            "installed (pip install limebridge[ledger])"
        )
    try:
        Periods(table.zone, table.period_min)
    except ValueError as error:
        raise ConfigError(f"{path}: [ledger] zone: {error}") from None
    if table.export == "files" and not table.export_folder:
        raise ConfigError(f"{path}: [ledger] export_folder: missing, and export is files")
    if table.export == "http":
        try:
            parse_address(table.endpoint)
        except ValueError as error:
            raise ConfigError(f"{path}: [ledger] endpoint: {error}") from None
        if not (
            table.path.startswith("/")
            and table.path.isascii()
            and table.path.isprintable()
            and " " not in table.path
        ):
            raise ConfigError(f"{path}: [ledger] path: {table.path!r} is not a valid path")


def check_fleet(table: FleetTable, ledger: LedgerTable, path: str) -> None:
    """Check `[fleet]`; ConfigError names the invalid key."""
    if table.store == "off":
        if table != FleetTable():
            raise ConfigError(f"{path}: [fleet] store: off, and other keys are set")
        return
    if table.store == "folder" and not table.folder:
        raise ConfigError(f"{path}: [fleet] folder: missing, and store is folder")
    if table.store == "consul" and not table.agents:
        raise ConfigError(f"{path}: [fleet] agents: missing, and store is consul")
    for key, addresses in (
        ("agents", table.agents),
        ("endpoint", (table.endpoint,) if table.endpoint else ()),
    ):
        for address in addresses:
            try:
                parse_address(address)
            except ValueError as error:
                raise ConfigError(f"{path}: [fleet] {key}: {error}") from None
    for key, text in (("path", table.path), ("prefix", f"/{table.prefix}")):
        if not (
            text.startswith("/")
            and text.isascii()
            and text.isprintable()
            and " " not in text
            and not text.endswith("/")
        ):
            raise ConfigError(f"{path}: [fleet] {key}: {getattr(table, key)!r} is not a valid path")
    for work in table.works:
        if work != "settlement" and not work.startswith("beat"):
            raise ConfigError(
                f"{path}: [fleet] works: unknown work {work!r}; known are settlement and beat-NAME"
            )
    if "settlement" in table.works and not (
        ledger.folder and ledger.export == "files" and "jsonl" in ledger.formats and ledger.closings
    ):
        raise ConfigError(
            f"{path}: [fleet] works: settlement needs [ledger] with export files "
            "as jsonl, and closings"
        )


def _check_sharing(table: SharingTable, path: str) -> None:
    """Check `[sharing]`; ConfigError names the invalid key."""
    if not table.listen:
        if table != SharingTable():
            raise ConfigError(f"{path}: [sharing] listen: missing, and other keys are set")
        return
    for key, addresses in (
        ("listen", (table.listen,)),
        ("seeds", table.seeds),
        ("ways", tuple(table.ways.values())),
    ):
        for address in addresses:
            try:
                parsed = parse_address(address)
                if key == "listen" and parsed.host in ("0.0.0.0", "::"):
                    raise ValueError("peers need an address that they can reach")
            except ValueError as error:
                raise ConfigError(f"{path}: [sharing] {key}: {error}") from None
    try:
        read_keys(table.key_file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: [sharing] key_file: {error}") from None
    budget_names = [budget.name for budget in table.budget]
    if len(set(budget_names)) != len(budget_names):
        raise ConfigError(f"{path}: [sharing] budget: duplicate name")
    for budget in table.budget:
        if budget.per_s * 1000.0 < table.proxies:
            raise ConfigError(
                f"{path}: [sharing] budget: {budget.name}: too small to be divided "
                f"by {table.proxies} proxies"
            )


def restart_needed(before: Operator, now: Operator) -> list[str]:
    """Keys and tables that differ and take effect only after a restart.

    `before`: the settings in force, see `effective_operator`.
    """
    keys = [
        f"limits.{key}"
        for key in NEEDS_RESTART
        if getattr(before.limits, key) != getattr(now.limits, key)
    ]
    fleet = msgspec.structs.replace(now.fleet, works=before.fleet.works)
    sharing = msgspec.structs.replace(now.sharing, budget=before.sharing.budget)
    return keys + [
        name
        for name, differs in (
            ("ledger", before.ledger != now.ledger),
            ("fleet", before.fleet != fleet),
            ("sharing", before.sharing != sharing),
            ("distribution", restart_is_needed(before.distribution, now.distribution)),
        )
        if differs
    ]


def effective_operator(before: Operator, now: Operator) -> Operator:
    """The settings that a process that runs `before` has in force after a reload of `now`.

    A table named by `restart_needed` keeps all its old values, even if the file no longer has it.
    Of `[limits]`, only the named keys do.
    """
    tables: dict[str, msgspec.Struct] = {}
    limits: dict[str, float] = {}
    for name in restart_needed(before, now):
        table, _, key = name.partition(".")
        if key:
            limits[key] = getattr(before.limits, key)
        else:
            tables[table] = getattr(before, table)
    return msgspec.structs.replace(
        now, limits=msgspec.structs.replace(now.limits, **limits), **tables
    )
