"""The operator's fleet file: load, sites, kinds of machines, nodes and constraints.

Shares are shares of all keys, 0 to 1.  The name of a constraint is the path of its key in the file
(`sites.acireale.most`); reports of conflicts and violations use it.
"""

from __future__ import annotations

import math
from typing import Annotated, Any, Literal

import msgspec

from violetroute.config import ConfigError
from violetroute.config.tables import check_names, read_toml, to_struct

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
NonNegative = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Goal = Literal["cost", "busiest", "crossings", "moved"]
MAX_NODES = 2_000


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all tables: unknown keys are errors."""


class Load(Table, frozen=True):
    """`[load]`: the load that the fleet must carry."""

    requests_per_s: Positive  # requests a second of the whole fleet, at the peak to plan for
    work_ms: Positive  # mean work of a request on one core of speed 1
    headroom: Positive = 1.0  # factor by which the load is multiplied
    busiest: Positive = 0.8  # maximal utilization of a node


class Site(Table, frozen=True):
    """`[sites.NAME]`: the clients of a site, and limits on its nodes together."""

    clients: Share = 0.0  # share of the requests that come from here
    least: Share = 0.0  # minimal share of the keys that is served here
    most: Share = 1.0  # maximal share of the keys that is served here
    nodes_least: Count = 0  # minimal number of serving nodes
    nodes_most: Count = 100_000


class Kind(Table, frozen=True):
    """`[kinds.NAME]`: machines of the same hardware, and limits on them together."""

    cores: Positive
    speed: Positive = 1.0  # speed of a core, relative to the reference core of `work_ms`
    cost: NonNegative = 0.0  # cost of a serving node, in any unit and period
    least: Share = 0.0
    most: Share = 1.0


class Node(Table, frozen=True):
    """`[[nodes]]`: one node, or `count` nodes named NAME1, NAME2, ..."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    site: str
    kind: str
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_NODES)] | None = None
    speed: Positive | None = None  # None: the speed of its kind
    least: Share = 0.0  # applies only if the node serves
    most: Share = 1.0
    required: bool = False  # always serves, also with `choose`


class Limits(Table, frozen=True):
    """`[limits]`: limits on the whole fleet."""

    cost: NonNegative | None = None
    nodes: Count | None = None
    crossings: Share | None = None  # share of the requests that another site serves
    moved: Share | None = None  # share of the keys that a new plan may move


class Loss(Table, frozen=True):
    """`[[lost]]`: nodes that may fail together; the rest must then carry the load."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    site: str = ""
    kind: str = ""
    nodes: tuple[str, ...] = ()
    any: Literal["", "node", "site"] = ""  # each node or site, one at a time
    busiest: Positive = 1.0  # maximal utilization of a remaining node after the loss
    moved: Share = (
        0.9  # maximal share of the keys that must be fetched anew: that of the lost nodes
    )
    clients: Literal["stay", "leave"] = "stay"  # whether clients of a lost site still send requests


class Prefer(Table, frozen=True):
    """`[prefer]`: the goals that are minimized within the constraints, most important first."""

    order: tuple[Goal, ...] = ("cost", "busiest", "crossings", "moved")
    choose: bool = False  # whether nodes may be left without keys


class Fleet(Table, frozen=True):
    """The whole fleet file."""

    load: Load
    sites: dict[str, Site]
    kinds: dict[str, Kind]
    nodes: list[Node]
    limits: Limits = Limits()
    lost: list[Loss] = []
    prefer: Prefer = Prefer()

    def expanded_nodes(self) -> list[Node]:
        """All nodes, with each `count` expanded to single nodes."""
        return [
            each
            for node in self.nodes
            for each in (
                [node]
                if node.count is None
                else [
                    msgspec.structs.replace(node, name=f"{node.name}{number}", count=None)
                    for number in range(1, node.count + 1)
                ]
            )
        ]

    def capacity(self, node: Node) -> float:
        """The requests a second at which a node is fully utilized."""
        kind = self.kinds[node.kind]
        speed = kind.speed if node.speed is None else node.speed
        return kind.cores * speed * 1000.0 / self.load.work_ms

    def with_load(self, requests_per_s: float) -> Fleet:
        """The same fleet with another `requests_per_s`."""
        return msgspec.structs.replace(
            self, load=msgspec.structs.replace(self.load, requests_per_s=requests_per_s)
        )

    def without_site(self, site: str) -> Fleet:
        """The fleet after a permanent loss of a site; its clients stay.

        Losses that name the site or one of its nodes are removed as well.
        """
        removed = {node.name for node in self.expanded_nodes() if node.site == site}
        remaining = [node for node in self.expanded_nodes() if node.site != site]
        # The minima of the lost site cannot be met any more; all other constraints remain.
        sites = self.sites | {
            site: msgspec.structs.replace(self.sites[site], least=0.0, nodes_least=0)
        }
        lost = [loss for loss in self.lost if loss.site != site and not removed & set(loss.nodes)]
        return msgspec.structs.replace(self, nodes=remaining, sites=sites, lost=lost)


def load_fleet(path: str) -> Fleet:
    """Load the fleet file.  Raises ConfigError, one line with file, table and key."""
    return parse_fleet(read_toml(path), path)


def parse_fleet(raw: dict[str, Any], path: str) -> Fleet:
    """Convert and check `raw`, the output of tomllib; `path` is used in error messages."""
    fleet = to_struct(raw, Fleet, path)
    _check_references(fleet, path)
    _check_values(fleet, path)
    return fleet


def _check_references(fleet: Fleet, path: str) -> None:
    """Check that names are unique and that the names used in other tables exist."""
    if sum(node.count or 1 for node in fleet.nodes) > MAX_NODES:
        raise ConfigError(f"{path}: [nodes]: more than {MAX_NODES} nodes")
    expanded_nodes = fleet.expanded_nodes()
    if not expanded_nodes:
        raise ConfigError(f"{path}: [nodes]: at least one is needed")
    for position, node in enumerate(fleet.nodes, 1):
        check_names([node.site], fleet.sites, path, f"nodes[{position}] site", "site")
        check_names([node.kind], fleet.kinds, path, f"nodes[{position}] kind", "kind")
    node_names: set[str] = set()
    for node in expanded_nodes:
        if node.name in node_names:
            raise ConfigError(f"{path}: [nodes] name: {node.name} is defined twice")
        node_names.add(node.name)
    loss_names: set[str] = set()
    for position, loss in enumerate(fleet.lost, 1):
        table = f"lost[{position}]"
        if sum(map(bool, (loss.site, loss.kind, loss.nodes, loss.any))) != 1:
            raise ConfigError(
                f"{path}: [{table}]: exactly one of site, kind, nodes, any is required"
            )
        if loss.name in loss_names:
            raise ConfigError(f"{path}: [{table}] name: {loss.name} is defined twice")
        loss_names.add(loss.name)
        check_names(filter(None, [loss.site]), fleet.sites, path, f"{table} site", "site")
        check_names(filter(None, [loss.kind]), fleet.kinds, path, f"{table} kind", "kind")
        check_names(loss.nodes, node_names, path, f"{table} nodes", "node")


def _check_values(fleet: Fleet, path: str) -> None:
    """Check for values that contradict each other."""
    clients = sum(site.clients for site in fleet.sites.values())
    if clients and not math.isclose(clients, 1.0, abs_tol=1e-3):
        raise ConfigError(f"{path}: [sites] clients: they add up to {clients:g}, not to 1")
    if fleet.limits.crossings is not None and not clients:
        raise ConfigError(f"{path}: [limits] crossings: no site has clients")
    if len(set(fleet.prefer.order)) != len(fleet.prefer.order):
        raise ConfigError(f"{path}: [prefer] order: a goal is listed twice")
    tables: list[tuple[str, Site | Kind | Node]] = [
        *((f"sites.{name}", site) for name, site in fleet.sites.items()),
        *((f"kinds.{name}", kind) for name, kind in fleet.kinds.items()),
        *((f"nodes[{position}]", node) for position, node in enumerate(fleet.nodes, 1)),
    ]
    for table, each in tables:
        if each.least > each.most:
            raise ConfigError(
                f"{path}: [{table}] least: {each.least:g} is above most, {each.most:g}"
            )
        if isinstance(each, Site) and each.nodes_least > each.nodes_most:
            raise ConfigError(f"{path}: [{table}] nodes_least: is above nodes_most")
