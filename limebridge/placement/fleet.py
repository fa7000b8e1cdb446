"""The fleet as an operator describes it: load, sites, kinds of machines, nodes, constraints.

Shares are shares of all keys, 0 to 1.  Each constraint has a name, the path of its key in the
file (`sites.acireale.most`), by which it is told when it breaks.
"""

from __future__ import annotations

import math
from typing import Annotated, Any, Literal

import msgspec

from violetroute.config import ConfigError
from violetroute.config.tables import check_names, read_toml, to_struct

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Above0 = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
Least0 = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Goal = Literal["cost", "busiest", "crossings", "moved"]
NODES_MOST = 2_000


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all tables have in common: keys that there are not are refused."""


class Load(Table, frozen=True):
    """`[load]`: what has to be carried."""

    requests_per_s: Above0  # of the whole fleet, at the peak that is planned for
    work_ms: Above0  # mean work of a request on one core of speed 1
    headroom: Above0 = 1.0  # times that load
    busiest: Above0 = 0.8  # of a node's capacity at most


class Site(Table, frozen=True):
    """`[sites.NAME]`."""

    clients: Share = 0.0  # share of the requests that are asked from here
    least: Share = 0.0  # share of the keys that is served here
    most: Share = 1.0
    nodes_least: Count = 0  # nodes that serve
    nodes_most: Count = 100_000


class Kind(Table, frozen=True):
    """`[kinds.NAME]`: machines of one build."""

    cores: Above0
    speed: Above0 = 1.0  # of a core, the yardstick being 1
    cost: Least0 = 0.0  # of one that serves, in any unit and time
    least: Share = 0.0
    most: Share = 1.0


class Node(Table, frozen=True):
    """`[[nodes]]`: one, or `count` of them called NAME1, NAME2, ..."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    site: str
    kind: str
    count: Annotated[int, msgspec.Meta(ge=1, le=NODES_MOST)] | None = None
    speed: Above0 | None = None  # where this one differs from its kind
    least: Share = 0.0  # while it serves
    most: Share = 1.0
    required: bool = False  # has to serve


class Limits(Table, frozen=True):
    """`[limits]` of the whole."""

    cost: Least0 | None = None
    nodes: Count | None = None
    crossings: Share | None = None  # share of the requests that are served at another site
    moved: Share | None = None  # share of the keys that a new plan may move


class Loss(Table, frozen=True):
    """`[[lost]]`: what may go away at once while the rest has to carry the load."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    site: str = ""
    kind: str = ""
    nodes: tuple[str, ...] = ()
    any: Literal["", "node", "site"] = ""  # each of them, one at a time
    busiest: Above0 = 1.0  # of a remaining node's capacity at most, then
    moved: Share = 0.9  # share of the keys that may have to be fetched anew at once
    clients: Literal["stay", "leave"] = "stay"  # those of a lost site


class Prefer(Table, frozen=True):
    """`[prefer]`: what is made small, in this order, where the constraints leave a choice."""

    order: tuple[Goal, ...] = ("cost", "busiest", "crossings", "moved")
    choose: bool = False  # whether nodes may be left without a share


class Fleet(Table, frozen=True):
    """The whole file."""

    load: Load
    sites: dict[str, Site]
    kinds: dict[str, Kind]
    nodes: list[Node]
    limits: Limits = Limits()
    lost: list[Loss] = []
    prefer: Prefer = Prefer()

    def machines(self) -> list[Node]:
        """Each node by its own name."""
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
        """Requests a second that a node can do."""
        kind = self.kinds[node.kind]
        speed = kind.speed if node.speed is None else node.speed
        return kind.cores * speed * 1000.0 / self.load.work_ms

    def asking(self, requests_per_s: float) -> Fleet:
        """The same fleet under another load."""
        return msgspec.structs.replace(
            self, load=msgspec.structs.replace(self.load, requests_per_s=requests_per_s)
        )

    def without(self, site: str) -> Fleet:
        """The fleet after a site has gone for good; its clients stay."""
        gone = {node.name for node in self.machines() if node.site == site}
        rest = [node for node in self.machines() if node.site != site]
        # What was demanded of the site itself went with it; what others must keep goes on.
        sites = self.sites | {
            site: msgspec.structs.replace(self.sites[site], least=0.0, nodes_least=0)
        }
        lost = [loss for loss in self.lost if loss.site != site and not gone & set(loss.nodes)]
        return msgspec.structs.replace(self, nodes=rest, sites=sites, lost=lost)


def load_fleet(path: str) -> Fleet:
    """The file at `path`.  ConfigError, one line with file, table and key."""
    return parse_fleet(read_toml(path), path)


def parse_fleet(raw: dict[str, Any], path: str) -> Fleet:
    """`raw` as tomllib gives it, checked whole; `path` is for the error's text."""
    fleet = to_struct(raw, Fleet, path)
    _refers(fleet, path)
    _bounds(fleet, path)
    return fleet


def _refers(fleet: Fleet, path: str) -> None:
    """Names that are used have to be there, and once."""
    if sum(node.count or 1 for node in fleet.nodes) > NODES_MOST:
        raise ConfigError(f"{path}: [nodes]: more than {NODES_MOST} nodes")
    machines = fleet.machines()
    if not machines:
        raise ConfigError(f"{path}: [nodes]: at least one is needed")
    for place, node in enumerate(fleet.nodes, 1):
        check_names([node.site], fleet.sites, path, f"nodes[{place}] site", "site")
        check_names([node.kind], fleet.kinds, path, f"nodes[{place}] kind", "kind")
    seen: set[str] = set()
    for node in machines:
        if node.name in seen:
            raise ConfigError(f"{path}: [nodes] name: {node.name} is there twice")
        seen.add(node.name)
    called: set[str] = set()
    for place, loss in enumerate(fleet.lost, 1):
        table = f"lost[{place}]"
        if sum(map(bool, (loss.site, loss.kind, loss.nodes, loss.any))) != 1:
            raise ConfigError(f"{path}: [{table}]: give one of site, kind, nodes, any")
        if loss.name in called:
            raise ConfigError(f"{path}: [{table}] name: {loss.name} is there twice")
        called.add(loss.name)
        check_names(filter(None, [loss.site]), fleet.sites, path, f"{table} site", "site")
        check_names(filter(None, [loss.kind]), fleet.kinds, path, f"{table} kind", "kind")
        check_names(loss.nodes, seen, path, f"{table} nodes", "node")


def _bounds(fleet: Fleet, path: str) -> None:
    """Figures that contradict each other within one table."""
    clients = sum(site.clients for site in fleet.sites.values())
    if clients and not math.isclose(clients, 1.0, abs_tol=1e-3):
        raise ConfigError(f"{path}: [sites] clients: they add up to {clients:g}, not to 1")
    if fleet.limits.crossings is not None and not clients:
        raise ConfigError(f"{path}: [limits] crossings: no site says how many clients it has")
    if len(set(fleet.prefer.order)) != len(fleet.prefer.order):
        raise ConfigError(f"{path}: [prefer] order: a goal is there twice")
    tables: list[tuple[str, Site | Kind | Node]] = [
        *((f"sites.{name}", site) for name, site in fleet.sites.items()),
        *((f"kinds.{name}", kind) for name, kind in fleet.kinds.items()),
        *((f"nodes[{place}]", node) for place, node in enumerate(fleet.nodes, 1)),
    ]
    for table, each in tables:
        if each.least > each.most:
            raise ConfigError(
                f"{path}: [{table}] least: {each.least:g} is above most, {each.most:g}"
            )
        if isinstance(each, Site) and each.nodes_least > each.nodes_most:
            raise ConfigError(f"{path}: [{table}] nodes_least: is above nodes_most")
