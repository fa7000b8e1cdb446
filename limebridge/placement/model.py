"""The fleet as rows of a mixed-integer linear program, each with the name of its constraint.

The unknowns are the share of the keys that each node is meant for, and where nodes may be left
out whether it serves.  What the daemon does with shares makes the losses linear: a consistent
hash ring gives the keys of a lost node to the others in proportion to their shares, so with W
the share that is lost a remaining node of share w carries w / (1 - W) of the load, and

    w / (1 - W) * load <= busiest * capacity    is    w * load <= busiest * capacity * (1 - W).

No plan has to be changed at the moment of the loss, and no unknown of its own is needed for it.

Pure: rows in, figures out; no solver is known here, so that the same rows judge a plan that was
made by hand, an optimum, and the brute force that the tests hold the solver against.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import pairwise

from .fleet import Fleet, Loss, Node

INF = math.inf
SLACK = 1e-6  # by which a row may be missed: shares are rounded to this in a plan
RESTING = 1e-9  # a share up to this is none


@dataclass(frozen=True, slots=True)
class Figure:
    """A number in the file that constrains, and how far it could give."""

    name: str  # the path of its key
    value: float
    loosest: float  # the value at which it no longer binds, or can no longer be meant
    whole: bool = False  # a count

    @property
    def rises(self) -> bool:
        """Whether it gives by becoming larger."""
        return self.loosest > self.value


@dataclass(frozen=True, slots=True)
class Row:
    """low <= sum of coefficient * unknown <= high; `figure` is empty where nothing can give."""

    figure: str
    terms: dict[int, float]
    low: float = -INF
    high: float = INF
    about: str = ""  # the node, or the loss, that it speaks of

    def value(self, point: list[float]) -> float:
        return sum(factor * point[place] for place, factor in self.terms.items())

    def missed(self, point: list[float]) -> float:
        """By how much the point misses it; 0 when it is kept."""
        value = self.value(point)
        return max(0.0, self.low - value, value - self.high)


@dataclass(slots=True)
class Model:
    """The rows of a fleet, and what its unknowns are."""

    fleet: Fleet
    nodes: list[Node]
    capacity: list[float]  # of each node, requests/s
    load: float  # requests/s with the headroom
    figures: dict[str, Figure]
    before: dict[str, float] | None = None  # the shares of the plan that is in force
    rows: list[Row] = field(default_factory=list)
    whole: set[int] = field(default_factory=set)  # unknowns that are 0 or 1
    goals: dict[str, dict[int, float]] = field(default_factory=dict)  # to be made small
    unknowns: int = 0
    peak: int = 0
    serving: list[int | None] = field(default_factory=list)  # None: it serves in any case
    moves: list[int] = field(default_factory=list)
    alike: list[list[int]] = field(default_factory=list)  # groups whose shares fall in order
    gone: float = 0.0  # share of the plan before whose nodes are no more

    def point(self, shares: Mapping[str, float]) -> list[float]:
        """All unknowns as they follow from shares by node."""
        point = [0.0] * self.unknowns
        for place, node in enumerate(self.nodes):
            share = point[place] = shares.get(node.name, 0.0)
            on = self.serving[place]
            if on is not None:
                point[on] = float(share > RESTING)
            if self.before is not None:
                point[self.moves[place]] = abs(share - self.before.get(node.name, 0.0))
            point[self.peak] = max(point[self.peak], share * self.load / self.capacity[place])
        return point

    def goal(self, name: str, point: list[float]) -> float:
        """What a goal comes to at a point, in the units of the file."""
        value = sum(factor * point[place] for place, factor in self.goals[name].items())
        if name == "cost":
            value += sum(
                self.fleet.kinds[node.kind].cost
                for place, node in enumerate(self.nodes)
                if self.serving[place] is None
            )
        return value + (self.gone / 2 if name == "moved" else 0.0)

    def broken(self, shares: Mapping[str, float]) -> list[tuple[Row, float]]:
        """The rows that shares do not keep, each by how much, the worst of a constraint first."""
        point = self.point(shares)
        missed = [(row, row.missed(point)) for row in self.rows]
        return sorted(
            ((row, by) for row, by in missed if by > SLACK * max(1.0, _size(row))),
            key=lambda item: (item[0].figure, -item[1], item[0].about),
        )


def _size(row: Row) -> float:
    return max((abs(factor) for factor in row.terms.values()), default=1.0)


def build(
    fleet: Fleet,
    before: Mapping[str, float] | None = None,
    given: Mapping[str, float] | None = None,
    whole: bool = False,
) -> Model:
    """The model of a fleet.  `given` replaces figures by name, to ask what if.

    Nodes that nothing tells apart have their shares in the order of their names, which costs no
    answer and spares a solver the same one under other names.  With it the loss of any one node
    needs rows for the first two of a group only: the others bind less.  `whole` has all rows and
    no such order, to judge shares that others have made.
    """
    nodes = fleet.machines()
    figures = {figure.name: figure for figure in _figures(fleet, nodes, before is not None)}
    said = {name: figure.value for name, figure in figures.items()} | dict(given or {})
    load = said.get("load.requests_per_s", fleet.load.requests_per_s) * fleet.load.headroom
    model = Model(
        fleet,
        nodes,
        [fleet.capacity(node) for node in nodes],
        load,
        figures,
        None if before is None else dict(before),
    )
    model.unknowns = len(nodes)
    for node in nodes:
        if fleet.prefer.choose and not node.required:
            model.serving.append(model.unknowns)
            model.whole.add(model.unknowns)
            model.unknowns += 1
        else:
            model.serving.append(None)
    model.peak = model.unknowns
    model.unknowns += 1
    if before is not None:
        model.moves = list(range(model.unknowns, model.unknowns + len(nodes)))
        model.unknowns += len(nodes)
        names = {node.name for node in nodes}
        model.gone = sum(share for name, share in before.items() if name not in names)
    _goals(model)
    model.alike = [[place] for place in range(len(nodes))] if whole else groups(model)
    model.rows += _structure(model)
    for rows in (_nodes, _groups, _whole, _losses):
        model.rows += rows(model, said.get)
    return model


Said = Callable[[str], float | None]


def _figures(fleet: Fleet, nodes: list[Node], moving: bool) -> Iterator[Figure]:
    """Every constraint of the file that can bind, by the path of its key."""
    total = float(len(nodes))
    yield Figure("load.busiest", fleet.load.busiest, 100.0)
    for kind, tables in (("sites", fleet.sites), ("kinds", fleet.kinds)):
        for name, table in tables.items():
            if table.least > 0.0:
                yield Figure(f"{kind}.{name}.least", table.least, 0.0)
            if table.most < 1.0:
                yield Figure(f"{kind}.{name}.most", table.most, 1.0)
    for name, site in fleet.sites.items():
        if site.nodes_least:
            yield Figure(f"sites.{name}.nodes_least", site.nodes_least, 0.0, True)
        if site.nodes_most < total:
            yield Figure(f"sites.{name}.nodes_most", site.nodes_most, total, True)
    for node in nodes:
        if node.least > 0.0:
            yield Figure(f"nodes.{node.name}.least", node.least, 0.0)
        if node.most < 1.0:
            yield Figure(f"nodes.{node.name}.most", node.most, 1.0)
    limits = fleet.limits
    if limits.cost is not None:
        cost = sum(fleet.kinds[node.kind].cost for node in nodes)
        yield Figure("limits.cost", limits.cost, max(cost, limits.cost + 1.0))
    if limits.nodes is not None and limits.nodes < total:
        yield Figure("limits.nodes", limits.nodes, total, True)
    if limits.crossings is not None:
        yield Figure("limits.crossings", limits.crossings, 1.0)
    if limits.moved is not None and moving:
        yield Figure("limits.moved", limits.moved, 1.0)
    for loss in fleet.lost:
        yield Figure(f"lost.{loss.name}.busiest", loss.busiest, 100.0)
        yield Figure(f"lost.{loss.name}.moved", loss.moved, 1.0)


def _goals(model: Model) -> None:
    fleet = model.fleet
    on = model.serving
    model.goals["cost"] = {
        place: fleet.kinds[node.kind].cost
        for node, place in zip(model.nodes, on, strict=True)
        if place is not None
    }
    model.goals["busiest"] = {model.peak: 1.0}
    model.goals["crossings"] = _crossings(model)
    model.goals["moved"] = dict.fromkeys(model.moves, 0.5)


def _crossings(model: Model) -> dict[int, float]:
    """Keys are hashed alike everywhere: a node is asked from each site in the same share."""
    sites = model.fleet.sites
    if not any(site.clients for site in sites.values()):
        return {}
    return {place: 1.0 - sites[node.site].clients for place, node in enumerate(model.nodes)}


def _structure(model: Model) -> Iterator[Row]:
    """What is true of any plan."""
    yield Row("", dict.fromkeys(range(len(model.nodes)), 1.0), 1.0, 1.0, "all keys have a node")
    for place, capacity in enumerate(model.capacity):
        yield Row("", {place: model.load / capacity, model.peak: -1.0}, high=0.0)
        if model.before is not None:
            old = model.before.get(model.nodes[place].name, 0.0)
            yield Row("", {place: 1.0, model.moves[place]: -1.0}, high=old)
            yield Row("", {place: 1.0, model.moves[place]: 1.0}, low=old)
    for group in model.alike:
        for first, second in pairwise(group):
            yield Row("", {first: 1.0, second: -1.0}, low=0.0)
            one, two = model.serving[first], model.serving[second]
            if one is not None and two is not None:
                yield Row("", {one: 1.0, two: -1.0}, low=0.0)


def groups(model: Model) -> list[list[int]]:
    """Nodes that no constraint tells apart."""
    found: dict[object, list[int]] = {}
    named = [set(loss.nodes) for loss in model.fleet.lost if loss.nodes]
    for place, node in enumerate(model.nodes):
        old = None if model.before is None else model.before.get(node.name, 0.0)
        mark = (
            node.site,
            node.kind,
            node.speed,
            node.least,
            node.most,
            node.required,
            old,
            tuple(node.name in names for names in named),
        )
        found.setdefault(mark, []).append(place)
    return list(found.values())


def _with(terms: dict[int, float], on: int | None, factor: float) -> tuple[dict[int, float], float]:
    """terms + factor * on, which is a constant where the node serves in any case."""
    if on is None:
        return terms, -factor
    return terms | {on: factor}, 0.0


def _nodes(model: Model, said: Said) -> Iterator[Row]:
    busiest = said("load.busiest")
    assert busiest is not None
    for place, node in enumerate(model.nodes):
        on = model.serving[place]
        terms, high = _with({place: model.load / model.capacity[place]}, on, -busiest)
        yield Row("load.busiest", terms, high=high, about=node.name)
        if on is not None:  # also where busiest is beyond 1: without a place there are no keys
            yield Row("", {place: 1.0, on: -1.0}, high=0.0)
        least, most = said(f"nodes.{node.name}.least"), said(f"nodes.{node.name}.most")
        if least is not None:
            terms, low = _with({place: 1.0}, on, -least)
            yield Row(f"nodes.{node.name}.least", terms, low=low, about=node.name)
        if most is not None:
            yield Row(f"nodes.{node.name}.most", {place: 1.0}, high=most, about=node.name)


def _count(model: Model, places: list[int]) -> tuple[dict[int, float], int]:
    """How many of them serve: unknowns, and those that do in any case."""
    on = [model.serving[place] for place in places]
    return {place: 1.0 for place in on if place is not None}, on.count(None)


def _groups(model: Model, said: Said) -> Iterator[Row]:
    for kind, tables in (("sites", model.fleet.sites), ("kinds", model.fleet.kinds)):
        for name in tables:
            places = [
                place
                for place, node in enumerate(model.nodes)
                if (node.site if kind == "sites" else node.kind) == name
            ]
            terms = dict.fromkeys(places, 1.0)
            least, most = said(f"{kind}.{name}.least"), said(f"{kind}.{name}.most")
            if least is not None:
                yield Row(f"{kind}.{name}.least", terms, low=least)
            if most is not None:
                yield Row(f"{kind}.{name}.most", terms, high=most)
            if kind == "sites":
                terms, fixed = _count(model, places)
                fewest, many = said(f"sites.{name}.nodes_least"), said(f"sites.{name}.nodes_most")
                if fewest is not None:
                    yield Row(f"sites.{name}.nodes_least", terms, low=fewest - fixed)
                if many is not None:
                    yield Row(f"sites.{name}.nodes_most", terms, high=many - fixed)


def _whole(model: Model, said: Said) -> Iterator[Row]:
    cost, number = said("limits.cost"), said("limits.nodes")
    if cost is not None:
        fixed = model.goal("cost", [0.0] * model.unknowns)
        yield Row("limits.cost", model.goals["cost"], high=cost - fixed)
    if number is not None:
        terms, always = _count(model, list(range(len(model.nodes))))
        yield Row("limits.nodes", terms, high=number - always)
    crossings, moved = said("limits.crossings"), said("limits.moved")
    if crossings is not None:
        yield Row("limits.crossings", model.goals["crossings"], high=crossings)
    if moved is not None and model.before is not None:
        yield Row("limits.moved", model.goals["moved"], high=moved - model.gone / 2)


def _losses(model: Model, said: Said) -> Iterator[Row]:
    for loss in model.fleet.lost:
        busiest, moved = said(f"lost.{loss.name}.busiest"), said(f"lost.{loss.name}.moved")
        assert busiest is not None and moved is not None
        largest = {place for group in model.alike for place in group[:2]}
        for about, lost, left in loss_cases(model, loss):
            if loss.any == "node" and not lost & largest:
                continue
            yield Row(f"lost.{loss.name}.moved", dict.fromkeys(lost, 1.0), high=moved, about=about)
            for place, capacity in enumerate(model.capacity):
                if place in lost or place not in largest:
                    continue
                # w * load <= busiest * capacity * (1 - W), divided by the capacity
                terms = dict.fromkeys(lost, busiest)
                terms[place] = model.load * left / capacity
                yield Row(
                    f"lost.{loss.name}.busiest",
                    terms,
                    high=busiest,
                    about=f"{model.nodes[place].name} without {about}",
                )


def loss_cases(model: Model, loss: Loss) -> Iterator[tuple[str, set[int], float]]:
    """What goes: its name, the places of its nodes, and the share of the load that is left."""
    nodes = model.nodes
    if loss.any == "node":
        for place, node in enumerate(nodes):
            yield node.name, {place}, 1.0
        return
    sites = list(model.fleet.sites) if loss.any == "site" else [loss.site] if loss.site else []
    for site in sites:
        lost = {place for place, node in enumerate(nodes) if node.site == site}
        left = 1.0 - model.fleet.sites[site].clients if loss.clients == "leave" else 1.0
        if lost:
            yield site, lost, left
    if loss.kind:
        lost = {place for place, node in enumerate(nodes) if node.kind == loss.kind}
        if lost:
            yield loss.kind, lost, 1.0
    if loss.nodes:
        lost = {place for place, node in enumerate(nodes) if node.name in loss.nodes}
        yield loss.name, lost, 1.0
