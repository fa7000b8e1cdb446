"""The rows of docs/CAPACITY.md for other programs: cache nodes, discovery, database."""

from __future__ import annotations

from .capacity import Figures, Kind, MissingFigureError, Role, Row

MEGABYTE = 1e6
NOT_OURS = "not measured: another program's"


def _not_ours(figures: Figures) -> float:
    raise MissingFigureError(NOT_OURS)


def _no_bound_on_misses(figures: Figures) -> float:
    raise MissingFigureError("not measured: nothing bounds the fleet's sum (issue 25)")


def _at_each_node(figures: Figures, each_proxy: float) -> float:
    """What a node has of something that each proxy spreads over all nodes."""
    return each_proxy * figures.target.proxies / figures.target.nodes


def _other_programs(identity: str, role: Role, kind: Kind, what: str) -> Row:
    """A need that only the other program's owner can state."""
    return Row(identity, role, kind, what, "", _not_ours, "none: another program")


OTHER_ROWS = (
    Row(
        "node-connections",
        Role.NODE,
        Kind.STATE,
        "open connections from all proxies",
        "connections",
        lambda figures: _at_each_node(
            figures, figures.at("connections.open", figures.target.nodes)
        ),
        "none: every proxy uses every node",
    ),
    Row(
        "discovery-change",
        Role.DISCOVERY,
        Kind.MESSAGES,
        "one changed node, told to all proxies as a whole list",
        "MB",
        lambda figures: (
            figures.at("list.bytes", figures.target.nodes) * figures.target.proxies / MEGABYTE
        ),
        "violetroute/membership/consul.py; changes alone: native.py",
    ),
    Row(
        "discovery-zone",
        Role.DISCOVERY,
        Kind.MESSAGES,
        "a lost zone, a change for each of its nodes",
        "MB",
        lambda figures: (
            figures.at("list.bytes", figures.target.nodes)
            * figures.target.proxies
            * figures.target.nodes
            / figures.target.zones
            / MEGABYTE
        ),
        "violetroute/membership/consul.py; changes alone: native.py",
    ),
    Row(
        "database-cold-zone",
        Role.DATABASE,
        Kind.MESSAGES,
        "misses while a zone's nodes come back cold, from all proxies",
        "/s",
        _no_bound_on_misses,
        "none for the fleet; each proxy's fetches limit: snowstall/gate.py",
    ),
    Row(
        "node-requests",
        Role.NODE,
        Kind.MESSAGES,
        "requests, spread evenly, with no retries",
        "/s",
        lambda figures: figures.target.requests_per_s / figures.target.nodes,
        "snowstall/choice.py",
    ),
    Row(
        "node-opens",
        Role.NODE,
        Kind.MESSAGES,
        "connections that all proxies open to it",
        "/s",
        lambda figures: _at_each_node(
            figures, figures.at("connections.opened_per_s", figures.target.nodes)
        ),
        "none: every proxy uses every node",
    ),
    _other_programs("node-cpu", Role.NODE, Kind.PROCESSOR_TIME, "its own work"),
    _other_programs("node-memory", Role.NODE, Kind.MEMORY, "100,000 objects"),
    Row(
        "discovery-entries",
        Role.DISCOVERY,
        Kind.STATE,
        "the list, one entry a node",
        "bytes",
        lambda figures: figures.at("list.bytes", figures.target.nodes),
        "violetroute/membership",
    ),
    Row(
        "discovery-watches",
        Role.DISCOVERY,
        Kind.STATE,
        "open watches, one a proxy",
        "watches",
        lambda figures: figures.target.proxies,
        "violetroute/membership/list_reader.py",
    ),
    _other_programs("discovery-cpu", Role.DISCOVERY, Kind.PROCESSOR_TIME, "its own work"),
    _other_programs("discovery-memory", Role.DISCOVERY, Kind.MEMORY, "its own"),
    _other_programs("database-state", Role.DATABASE, Kind.STATE, "the customers' data"),
    _other_programs("database-cpu", Role.DATABASE, Kind.PROCESSOR_TIME, "its own work"),
    _other_programs("database-memory", Role.DATABASE, Kind.MEMORY, "its own"),
)
