"""The fleet as a mixed-integer linear program, each row with the name of its constraint.  Pure.

The variables are the share of the keys of each node and, if nodes may be left without keys, one
binary variable a node that says whether it serves.  Losses are linear because of the way the daemon
uses shares: a consistent hash ring gives the keys of a lost node to the others in proportion to
their shares.  So if the lost nodes have a share of W, a remaining node with a share of w carries
w / (1 - W) of the load, and

    w / (1 - W) * load <= busiest * capacity   <=>   w * load <= busiest * capacity * (1 - W).

So a loss needs no change of the plan and no variables of its own.

The module does not depend on the solver.  The same rows check a plan made by hand, the solver's
optimum, and the brute force that the tests compare the solver with.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import pairwise

from .fleet import Fleet, Loss, Node

INF = math.inf
TOLERANCE = 1e-6  # tolerance of a row; shares in a plan are rounded to six digits
ZERO_SHARE = 1e-9  # a share up to this counts as 0


@dataclass(frozen=True, slots=True)
class Constraint:
    """A limit in the fleet file, and how far it can be relaxed."""

    name: str  # the path of its key
    value: float
    loosest: float  # value at which it does not bind any more, or beyond which none is sensible
    integral: bool = False  # the value is a count

    @property
    def relaxes_upwards(self) -> bool:
        """Whether a larger value relaxes it; otherwise a smaller one does."""
        return self.loosest > self.value


@dataclass(frozen=True, slots=True)
class Row:
    """low <= sum of coefficient * variable <= high.

    `constraint`: name of its constraint; empty for a row that cannot be relaxed.
    """

    constraint: str
    terms: dict[int, float]
    low: float = -INF
    high: float = INF
    subject: str = ""  # the node or the loss that the row is for

    def value(self, point: list[float]) -> float:
        """The sum at a point, which has the values of all variables."""
        return sum(factor * point[index] for index, factor in self.terms.items())

    def violation(self, point: list[float]) -> float:
        """By how much the sum is outside of the bounds; 0 if it is within them."""
        value = self.value(point)
        return max(0.0, self.low - value, value - self.high)


@dataclass(slots=True)
class Model:
    """The rows of a fleet.  Variables are indices; the first are the shares of `nodes`."""

    fleet: Fleet
    nodes: list[Node]
    capacity: list[float]  # requests a second of each node
    load: float  # requests/s, headroom included
    constraints: dict[str, Constraint]
    current: dict[str, float] | None = None  # shares of the plan in force, by node
    rows: list[Row] = field(default_factory=list)
    binary: set[int] = field(default_factory=set)  # variables that are 0 or 1
    goals: dict[str, dict[int, float]] = field(default_factory=dict)  # coefficients, by goal
    variable_count: int = 0
    peak: int = 0  # variable of the highest utilization
    serving: list[int | None] = field(default_factory=list)  # variable by node; None: always serves
    moved_share: list[int] = field(default_factory=list)  # variables of the nodes' absolute changes
    groups: list[list[int]] = field(default_factory=list)  # the shares of a group must not increase
    removed_share: float = 0.0  # share in the plan in force of nodes that do not exist any more

    def point(self, shares: Mapping[str, float]) -> list[float]:
        """The values of all variables for the given shares by node."""
        point = [0.0] * self.variable_count
        for index, node in enumerate(self.nodes):
            share = point[index] = shares.get(node.name, 0.0)
            serves = self.serving[index]
            if serves is not None:
                point[serves] = float(share > ZERO_SHARE)
            if self.current is not None:
                point[self.moved_share[index]] = abs(share - self.current.get(node.name, 0.0))
            point[self.peak] = max(point[self.peak], share * self.load / self.capacity[index])
        return point

    def goal(self, name: str, point: list[float]) -> float:
        """The value of a goal at a point, in the units of the file."""
        value = sum(factor * point[index] for index, factor in self.goals[name].items())
        if name == "cost":
            value += sum(
                self.fleet.kinds[node.kind].cost
                for index, node in enumerate(self.nodes)
                if self.serving[index] is None
            )
        return value + (self.removed_share / 2 if name == "moved" else 0.0)

    def violations(self, shares: Mapping[str, float]) -> list[tuple[Row, float]]:
        """The violated rows and by how much, by constraint and with the greatest first."""
        point = self.point(shares)
        amounts = [(row, row.violation(point)) for row in self.rows]
        return sorted(
            ((row, by) for row, by in amounts if by > TOLERANCE * max(1.0, _size(row))),
            key=lambda item: (item[0].constraint, -item[1], item[0].subject),
        )


def _size(row: Row) -> float:
    return max((abs(factor) for factor in row.terms.values()), default=1.0)


def build(
    fleet: Fleet,
    current: Mapping[str, float] | None = None,
    overrides: Mapping[str, float] | None = None,
    all_rows: bool = False,
) -> Model:
    """Build the model of a fleet.

    `current`: shares of the plan in force, by node.  `overrides`: values that replace those of
    constraints, by name.

    The shares of interchangeable nodes must not increase in the order of the file.  This excludes
    no optimum, and spares the solver equivalent solutions that only permute nodes.  It also means
    that the loss of any one node needs rows for the first two nodes of a group only, since the rows
    of the others are weaker.  With `all_rows` all rows are built, without that order, to check
    shares from elsewhere.
    """
    nodes = fleet.expanded_nodes()
    constraints = {each.name: each for each in _constraints(fleet, nodes, current is not None)}
    values = {name: each.value for name, each in constraints.items()} | dict(overrides or {})
    load = values.get("load.requests_per_s", fleet.load.requests_per_s) * fleet.load.headroom
    model = Model(
        fleet,
        nodes,
        [fleet.capacity(node) for node in nodes],
        load,
        constraints,
        None if current is None else dict(current),
    )
    model.variable_count = len(nodes)
    for node in nodes:
        if fleet.prefer.choose and not node.required:
            model.serving.append(model.variable_count)
            model.binary.add(model.variable_count)
            model.variable_count += 1
        else:
            model.serving.append(None)
    model.peak = model.variable_count
    model.variable_count += 1
    if current is not None:
        model.moved_share = list(range(model.variable_count, model.variable_count + len(nodes)))
        model.variable_count += len(nodes)
        names = {node.name for node in nodes}
        model.removed_share = sum(share for name, share in current.items() if name not in names)
    _set_goals(model)
    model.groups = [[index] for index in range(len(nodes))] if all_rows else interchangeable(model)
    model.rows += _structural_rows(model)
    for rows in (_node_rows, _group_rows, _fleet_rows, _loss_rows):
        model.rows += rows(model, values.get)
    return model


ValueOf = Callable[[str], float | None]  # value of a constraint by name; None: it cannot bind


def _constraints(fleet: Fleet, nodes: list[Node], has_current: bool) -> Iterator[Constraint]:
    """All constraints of the file that can bind."""
    total = float(len(nodes))
    yield Constraint("load.busiest", fleet.load.busiest, 100.0)
    for kind, tables in (("sites", fleet.sites), ("kinds", fleet.kinds)):
        for name, table in tables.items():
            if table.least > 0.0:
                yield Constraint(f"{kind}.{name}.least", table.least, 0.0)
            if table.most < 1.0:
                yield Constraint(f"{kind}.{name}.most", table.most, 1.0)
    for name, site in fleet.sites.items():
        if site.nodes_least:
            yield Constraint(f"sites.{name}.nodes_least", site.nodes_least, 0.0, True)
        if site.nodes_most < total:
            yield Constraint(f"sites.{name}.nodes_most", site.nodes_most, total, True)
    for node in nodes:
        if node.least > 0.0:
            yield Constraint(f"nodes.{node.name}.least", node.least, 0.0)
        if node.most < 1.0:
            yield Constraint(f"nodes.{node.name}.most", node.most, 1.0)
    limits = fleet.limits
    if limits.cost is not None:
        cost = sum(fleet.kinds[node.kind].cost for node in nodes)
        yield Constraint("limits.cost", limits.cost, max(cost, limits.cost + 1.0))
    if limits.nodes is not None and limits.nodes < total:
        yield Constraint("limits.nodes", limits.nodes, total, True)
    if limits.crossings is not None:
        yield Constraint("limits.crossings", limits.crossings, 1.0)
    if limits.moved is not None and has_current:
        yield Constraint("limits.moved", limits.moved, 1.0)
    for loss in fleet.lost:
        yield Constraint(f"lost.{loss.name}.busiest", loss.busiest, 100.0)
        yield Constraint(f"lost.{loss.name}.moved", loss.moved, 1.0)


def _set_goals(model: Model) -> None:
    fleet = model.fleet
    serves = model.serving
    model.goals["cost"] = {
        index: fleet.kinds[node.kind].cost
        for node, index in zip(model.nodes, serves, strict=True)
        if index is not None
    }
    model.goals["busiest"] = {model.peak: 1.0}
    model.goals["crossings"] = _crossing_coefficients(model)
    model.goals["moved"] = dict.fromkeys(model.moved_share, 0.5)


def _crossing_coefficients(model: Model) -> dict[int, float]:
    """Coefficients of the share of requests that another site serves; empty without clients.

    All sites hash keys alike, so each node gets the same share of the requests of every site.
    """
    sites = model.fleet.sites
    if not any(site.clients for site in sites.values()):
        return {}
    return {index: 1.0 - sites[node.site].clients for index, node in enumerate(model.nodes)}


def _structural_rows(model: Model) -> Iterator[Row]:
    """Rows that hold for any plan and cannot be relaxed."""
    yield Row("", dict.fromkeys(range(len(model.nodes)), 1.0), 1.0, 1.0, "all keys have a node")
    for index, capacity in enumerate(model.capacity):
        yield Row("", {index: model.load / capacity, model.peak: -1.0}, high=0.0)
        if model.current is not None:
            old_share = model.current.get(model.nodes[index].name, 0.0)
            yield Row("", {index: 1.0, model.moved_share[index]: -1.0}, high=old_share)
            yield Row("", {index: 1.0, model.moved_share[index]: 1.0}, low=old_share)
    for group in model.groups:
        for first, second in pairwise(group):
            yield Row("", {first: 1.0, second: -1.0}, low=0.0)
            first_serves, second_serves = model.serving[first], model.serving[second]
            if first_serves is not None and second_serves is not None:
                yield Row("", {first_serves: 1.0, second_serves: -1.0}, low=0.0)


def interchangeable(model: Model) -> list[list[int]]:
    """Groups of interchangeable nodes: no constraint and no loss distinguishes them."""
    by_signature: dict[object, list[int]] = {}
    lost_names = [set(loss.nodes) for loss in model.fleet.lost if loss.nodes]
    for index, node in enumerate(model.nodes):
        old_share = None if model.current is None else model.current.get(node.name, 0.0)
        signature = (
            node.site,
            node.kind,
            node.speed,
            node.least,
            node.most,
            node.required,
            old_share,
            tuple(node.name in names for names in lost_names),
        )
        by_signature.setdefault(signature, []).append(index)
    return list(by_signature.values())


def _with_serving(
    terms: dict[int, float], serves: int | None, factor: float
) -> tuple[dict[int, float], float]:
    """Add factor * `serves` to the terms; returns the terms and the bound on the other side.

    `serves`: variable of a node; None if it always serves, so that the product is a constant.
    """
    if serves is None:
        return terms, -factor
    return terms | {serves: factor}, 0.0


def _node_rows(model: Model, value_of: ValueOf) -> Iterator[Row]:
    busiest = value_of("load.busiest")
    assert busiest is not None
    for index, node in enumerate(model.nodes):
        serves = model.serving[index]
        terms, high = _with_serving({index: model.load / model.capacity[index]}, serves, -busiest)
        yield Row("load.busiest", terms, high=high, subject=node.name)
        if serves is not None:  # also for busiest above 1: a node that does not serve has no keys
            yield Row("", {index: 1.0, serves: -1.0}, high=0.0)
        least, most = value_of(f"nodes.{node.name}.least"), value_of(f"nodes.{node.name}.most")
        if least is not None:
            terms, low = _with_serving({index: 1.0}, serves, -least)
            yield Row(f"nodes.{node.name}.least", terms, low=low, subject=node.name)
        if most is not None:
            yield Row(f"nodes.{node.name}.most", {index: 1.0}, high=most, subject=node.name)


def _serving_count(model: Model, indices: list[int]) -> tuple[dict[int, float], int]:
    """The number of serving nodes among `indices`: as terms, and those that always serve."""
    serves = [model.serving[index] for index in indices]
    return {index: 1.0 for index in serves if index is not None}, serves.count(None)


def _group_rows(model: Model, value_of: ValueOf) -> Iterator[Row]:
    for kind, tables in (("sites", model.fleet.sites), ("kinds", model.fleet.kinds)):
        for name in tables:
            indices = [
                index
                for index, node in enumerate(model.nodes)
                if (node.site if kind == "sites" else node.kind) == name
            ]
            terms = dict.fromkeys(indices, 1.0)
            least, most = value_of(f"{kind}.{name}.least"), value_of(f"{kind}.{name}.most")
            if least is not None:
                yield Row(f"{kind}.{name}.least", terms, low=least)
            if most is not None:
                yield Row(f"{kind}.{name}.most", terms, high=most)
            if kind == "sites":
                terms, always = _serving_count(model, indices)
                nodes_least, nodes_most = (
                    value_of(f"sites.{name}.nodes_least"),
                    value_of(f"sites.{name}.nodes_most"),
                )
                if nodes_least is not None:
                    yield Row(f"sites.{name}.nodes_least", terms, low=nodes_least - always)
                if nodes_most is not None:
                    yield Row(f"sites.{name}.nodes_most", terms, high=nodes_most - always)


def _fleet_rows(model: Model, value_of: ValueOf) -> Iterator[Row]:
    cost, max_nodes = value_of("limits.cost"), value_of("limits.nodes")
    if cost is not None:
        fixed = model.goal("cost", [0.0] * model.variable_count)
        yield Row("limits.cost", model.goals["cost"], high=cost - fixed)
    if max_nodes is not None:
        terms, always = _serving_count(model, list(range(len(model.nodes))))
        yield Row("limits.nodes", terms, high=max_nodes - always)
    crossings, moved = value_of("limits.crossings"), value_of("limits.moved")
    if crossings is not None:
        yield Row("limits.crossings", model.goals["crossings"], high=crossings)
    if moved is not None and model.current is not None:
        yield Row("limits.moved", model.goals["moved"], high=moved - model.removed_share / 2)


def _loss_rows(model: Model, value_of: ValueOf) -> Iterator[Row]:
    for loss in model.fleet.lost:
        busiest, moved = value_of(f"lost.{loss.name}.busiest"), value_of(f"lost.{loss.name}.moved")
        assert busiest is not None and moved is not None
        largest = {index for group in model.groups for index in group[:2]}
        for subject, lost, remaining_load in loss_cases(model, loss):
            if loss.any == "node" and not lost & largest:
                continue
            yield Row(
                f"lost.{loss.name}.moved", dict.fromkeys(lost, 1.0), high=moved, subject=subject
            )
            for index, capacity in enumerate(model.capacity):
                if index in lost or index not in largest:
                    continue
                # w * load <= busiest * capacity * (1 - W), divided by the capacity
                terms = dict.fromkeys(lost, busiest)
                terms[index] = model.load * remaining_load / capacity
                yield Row(
                    f"lost.{loss.name}.busiest",
                    terms,
                    high=busiest,
                    subject=f"{model.nodes[index].name} without {subject}",
                )


def loss_cases(model: Model, loss: Loss) -> Iterator[tuple[str, set[int], float]]:
    """The cases of a loss: name, indices of the lost nodes, and remaining share of the load."""
    nodes = model.nodes
    if loss.any == "node":
        for index, node in enumerate(nodes):
            yield node.name, {index}, 1.0
        return
    sites = list(model.fleet.sites) if loss.any == "site" else [loss.site] if loss.site else []
    for site in sites:
        lost = {index for index, node in enumerate(nodes) if node.site == site}
        remaining_load = 1.0 - model.fleet.sites[site].clients if loss.clients == "leave" else 1.0
        if lost:
            yield site, lost, remaining_load
    if loss.kind:
        lost = {index for index, node in enumerate(nodes) if node.kind == loss.kind}
        if lost:
            yield loss.kind, lost, 1.0
    if loss.nodes:
        lost = {index for index, node in enumerate(nodes) if node.name in loss.nodes}
        yield loss.name, lost, 1.0
