"""The operator's file: what is ours to set, in TOML, checked whole before anything starts.

Named by `--operator FILE` or LIMEBRIDGE_OPERATOR; without one the daemon is what the defaults
here say.  `deploy/operator.toml` has every key with its unit and when to change it.
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

Share = Annotated[float, msgspec.Meta(ge=0.05, le=0.95)]
Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=3600.0)]
PerSecond = Annotated[float, msgspec.Meta(ge=0.0, le=10_000.0)]


class LogTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: lines on standard error.  Changes with SIGHUP."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"
    per_second: PerSecond = 5.0  # lines of one event
    events: dict[str, PerSecond] = {}  # the same for single events; 0 is never


def check_log(table: LogTable, path: str) -> None:
    """ConfigError names the key of `[log]` that can't be meant."""
    check_names(table.events, EVENTS, path, "log.events", "event")


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[limits]`: bounds on peers, and how what the platform grants is divided."""

    # Clients hold a third for requests at most; each of these can have two attempts out,
    # while a client's connection that has no request can be closed.
    client_share: Share = 0.55  # of the descriptors; the rest goes to cache nodes
    value_share: Share = 0.4  # of the memory beyond the program; connections' buffers as much
    idle_share: Share = 0.25  # of the clients' slots may be idle: a client's own limit must
    #                           leave it some to ask with
    crowd_share: Share = 0.75  # of the slots: from here on idle connections end after idle_s
    depth: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 128  # commands of one connection
    #                           under way; beyond it reading pauses
    mistakes: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 8  # senseless commands in a row
    #                           after which a connection ends
    first_byte_s: Seconds = 2.2  # for a connection's first byte
    command_s: Seconds = 2.4  # over one command
    idle_s: Seconds = 2.0  # without a request after which a client reckons with a close
    reader_s: Seconds = 15.0  # without taking a byte of an answer
    reply_s: Seconds = 0.15  # from an answer's first byte to its last
    idle_per_node: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 32  # connections kept


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The whole file.  Written out it has no table that says nothing: an older build may read
    it.
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
    def platform_alone(self) -> bool:
        """Whether lists come from the platform's discovery and from nowhere else."""
        return self.membership.sources == ("platform",) or not (
            self.membership.sources or self.consul.agents
        )


NEEDS_RESTART = ("client_share", "value_share", "idle_share")  # of [limits]


# A table as tomllib gives it, the whole file being one: before it is checked it may hold any keys,
# and values of any type that TOML has.  `to_struct` makes a record of it.
TomlTable = dict[str, object]

# The file's tables in, the tables to check out.
MergeTables = Callable[[TomlTable], TomlTable]


def load_operator(path: str | None, merged: MergeTables | None = None) -> Operator:
    """The file at `path`, or the defaults.  ConfigError names file, table and key."""
    if not path:
        return Operator()
    raw = read_toml(path)
    return parse_operator(raw if merged is None else merged(raw), path)


def parse_operator(raw: TomlTable, path: str) -> Operator:
    """`raw` as tomllib gives it; `path` is for the error's text."""
    operator = to_struct(raw, Operator, path)
    check_log(operator.log, path)
    for agent in operator.consul.agents:
        try:
            parse_address(agent)
        except ValueError as error:
            raise ConfigError(f"{path}: [consul] agents: {error}") from None
    sources = operator.membership.sources
    for wrong, text in (
        (len(set(sources)) != len(sources), "a source stands there twice"),
        (
            "consul" in sources and not operator.consul.agents,
            "consul: [consul] agents names nobody",
        ),
        ("file" in sources and not operator.membership.file, "file: [membership] file names none"),
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
    """ConfigError names the key of `[ledger]` that can't be meant."""
    if not table.folder:
        if table != LedgerTable():
            raise ConfigError(f"{path}: [ledger] folder: missing, and other keys are set")
        return
    from violetroute.ledger.periods import Periods  # zones are nothing to a proxy without it

    if find_spec("zstandard") is None:
        raise ConfigError(
            f"{path}: [ledger] folder: needs the library zstandard, which is not "
            "there (pip install limebridge[ledger])"
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
            raise ConfigError(f"{path}: [ledger] path: {table.path!r} is no path")


def check_fleet(table: FleetTable, ledger: LedgerTable, path: str) -> None:
    """ConfigError names the key of `[fleet]` that can't be meant."""
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
            raise ConfigError(f"{path}: [fleet] {key}: {getattr(table, key)!r} is no path")
    for work in table.works:
        if work != "settlement" and not work.startswith("beat"):
            raise ConfigError(
                f"{path}: [fleet] works: there is no work {work!r}; there are "
                "settlement and beat-NAME"
            )
    if "settlement" in table.works and not (
        ledger.folder and ledger.export == "files" and "jsonl" in ledger.formats and ledger.closings
    ):
        raise ConfigError(
            f"{path}: [fleet] works: settlement needs [ledger] with export files "
            "as jsonl, and closings"
        )


def _check_sharing(table: SharingTable, path: str) -> None:
    """ConfigError names the key of `[sharing]` that can't be meant."""
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
                    raise ValueError("the others need an address to reach it at")
            except ValueError as error:
                raise ConfigError(f"{path}: [sharing] {key}: {error}") from None
    try:
        read_keys(table.key_file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: [sharing] key_file: {error}") from None
    names_ = [budget.name for budget in table.budget]
    if len(set(names_)) != len(names_):
        raise ConfigError(f"{path}: [sharing] budget: a name stands there twice")
    for budget in table.budget:
        if budget.per_s * 1000.0 < table.proxies:
            raise ConfigError(
                f"{path}: [sharing] budget: {budget.name}: too small to be divided "
                f"by {table.proxies} proxies"
            )


def restart_needed(before: Operator, now: Operator) -> list[str]:
    """Keys and tables that differ and are taken on at the next start only.

    `before` is what the process runs: see `effective_operator`.
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
    """What a process that runs `before` has in force of the file `now`.

    A table that `restart_needed` names stays whole as it was, even if the file has it no more; of
    `[limits]` the named keys do.
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
