"""The rows of docs/CAPACITY.md for cache nodes, discovery and the customer's database."""

from __future__ import annotations

from .capacity import Figures, MissingFigureError, ResourceKind, Role, Row

MEGABYTE = 1e6
OTHER_PROGRAM = "not measured: another program's"


def _other_program_need(figures: Figures) -> float:
    raise MissingFigureError(OTHER_PROGRAM)


def _unbounded_misses(figures: Figures) -> float:
    raise MissingFigureError("not measured: nothing bounds the fleet's sum (issue 25)")


def _per_node(figures: Figures, per_proxy: float) -> float:
    """The share of one node in a quantity that each proxy spreads evenly over all nodes."""
    return per_proxy * figures.target.proxies / figures.target.nodes


def _other_program_row(identity: str, role: Role, kind: ResourceKind, label: str) -> Row:
    """A row without a value: the resource use of a program that is not part of this project."""
    return Row(identity, role, kind, label, "", _other_program_need, "none: another program")


OTHER_ROWS = (
    Row(
        "node-connections",
        Role.NODE,
        ResourceKind.STATE,
        "open connections from all proxies",
        "connections",
        lambda figures: _per_node(figures, figures.cost("connections.open", figures.target.nodes)),
        "none: every proxy uses every node",
    ),
    Row(
        "discovery-change",
        Role.DISCOVERY,
        ResourceKind.MESSAGES,
        "one changed node, told to all proxies as a whole list",
        "MB",
        lambda figures: (
            figures.cost("list.bytes", figures.target.nodes) * figures.target.proxies / MEGABYTE
        ),
        "violetroute/membership/consul.py; changes alone: native.py",
    ),
    Row(
        "discovery-zone",
        Role.DISCOVERY,
        ResourceKind.MESSAGES,
        "a lost zone, a change for each of its nodes",
        "MB",
        lambda figures: (
            figures.cost("list.bytes", figures.target.nodes)
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
        ResourceKind.MESSAGES,
        "misses while a zone's nodes come back cold, from all proxies",
        "/s",
        _unbounded_misses,
        "none for the fleet; each proxy's fetches limit: snowstall/gate.py",
    ),
    Row(
        "node-requests",
        Role.NODE,
        ResourceKind.MESSAGES,
        "requests, spread evenly, with no retries",
        "/s",
        lambda figures: figures.target.requests_per_s / figures.target.nodes,
        "snowstall/choice.py",
    ),
    Row(
        "node-opens",
        Role.NODE,
        ResourceKind.MESSAGES,
        "connections that all proxies open to it",
        "/s",
        lambda figures: _per_node(
            figures, figures.cost("connections.opened_per_s", figures.target.nodes)
        ),
        "none: every proxy uses every node",
    ),
    _other_program_row("node-cpu", Role.NODE, ResourceKind.PROCESSOR_TIME, "its own work"),
    _other_program_row("node-memory", Role.NODE, ResourceKind.MEMORY, "100,000 objects"),
    Row(
        "discovery-entries",
        Role.DISCOVERY,
        ResourceKind.STATE,
        "the list, one entry a node",
        "bytes",
        lambda figures: figures.cost("list.bytes", figures.target.nodes),
        "violetroute/membership",
    ),
    Row(
        "discovery-watches",
        Role.DISCOVERY,
        ResourceKind.STATE,
        "open watches, one a proxy",
        "watches",
        lambda figures: figures.target.proxies,
        "violetroute/membership/list_reader.py",
    ),
    _other_program_row(
        "discovery-cpu", Role.DISCOVERY, ResourceKind.PROCESSOR_TIME, "its own work"
    ),
    _other_program_row("discovery-memory", Role.DISCOVERY, ResourceKind.MEMORY, "its own"),
    _other_program_row("database-state", Role.DATABASE, ResourceKind.STATE, "the customers' data"),
    _other_program_row("database-cpu", Role.DATABASE, ResourceKind.PROCESSOR_TIME, "its own work"),
    _other_program_row("database-memory", Role.DATABASE, ResourceKind.MEMORY, "its own"),
)
