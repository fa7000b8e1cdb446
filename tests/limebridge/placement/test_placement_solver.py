"""The solver against brute force, its conflicts, and the command line round it."""

from __future__ import annotations

import itertools
import json
import math
import random
from fractions import Fraction
from pathlib import Path
from typing import Any

import msgspec
import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.placement import report
from limebridge.placement.conflict import explain
from limebridge.placement.fleet import Fleet, load_fleet, parse_fleet
from limebridge.placement.model import Model, build
from limebridge.placement.plan import made
from limebridge.placement.solver import EDGE, _shortfall, feasible, solve
from violetroute.config import ConfigError

EXAMPLE = Path(report.__file__).with_name("example.toml")


def drawn(seed: int, nodes: int = 3) -> Fleet:
    """A small fleet whose constraints contradict each other in about a third of the draws."""
    draw = random.Random(seed)
    sites, kinds = ("a", "b"), ("fast", "old")
    split = draw.choice((0.3, 0.5, 0.8))
    raw: dict[str, Any] = {
        "load": {
            "requests_per_s": draw.uniform(40, 160),
            "work_ms": 50.0,
            "busiest": draw.choice((0.7, 0.9)),
        },
        "sites": {"a": {"clients": split}, "b": {"clients": 1 - split}},
        "kinds": {"fast": {"cores": 4, "cost": 3.0}, "old": {"cores": 2, "cost": 1.0}},
        "nodes": [
            {"name": f"n{number}", "site": draw.choice(sites), "kind": draw.choice(kinds)}
            for number in range(nodes)
        ],
        "prefer": {"choose": draw.random() < 0.6},
        "lost": [],
    }
    if draw.random() < 0.4:
        raw["sites"]["a"]["most"] = draw.choice((0.3, 0.6))
    if draw.random() < 0.3:
        raw["kinds"]["old"]["least"] = draw.choice((0.2, 0.5))
    if draw.random() < 0.3:
        raw["nodes"][0]["least"] = 0.2
    limits = raw["limits"] = {}
    if draw.random() < 0.3:
        limits["crossings"] = draw.choice((0.3, 0.5))
    if draw.random() < 0.3:
        limits["cost"] = draw.choice((3.0, 5.0))
    if draw.random() < 0.5:
        raw["lost"].append(
            {
                "name": "one",
                "busiest": 1.1,
                **draw.choice(
                    ({"any": "node"}, {"site": "a"}, {"any": "site", "clients": "leave"})
                ),
            }
        )
    return parse_fleet(raw, "drawn")


def keeps(fleet: Fleet, shares: dict[str, float], slack: float = 1e-6) -> bool:
    """The constraints in plain arithmetic, without rows: what the ring does with these shares."""
    nodes, load = fleet.machines(), fleet.load.requests_per_s
    free = fleet.prefer.choose
    serving = [n for n in nodes if shares[n.name] > 0.0 or not free]

    def share(site: str = "", kind: str = "") -> float:
        return sum(shares[n.name] for n in nodes if site in ("", n.site) and kind in ("", n.kind))

    def carried(lost: set[str], asked: float, busiest: float) -> bool:
        rest = 1.0 - sum(shares[name] for name in lost)
        return all(
            shares[n.name] / rest * asked <= busiest * fleet.capacity(n) * (1 + slack) + slack
            for n in nodes
            if n.name not in lost
        )

    if not carried(set(), load, fleet.load.busiest):
        return False
    for name, site in fleet.sites.items():
        if not site.least - slack <= share(site=name) <= site.most + slack:
            return False
    for name, kind in fleet.kinds.items():
        if not kind.least - slack <= share(kind=name) <= kind.most + slack:
            return False
    if any(n in serving and shares[n.name] < n.least - slack for n in nodes):
        return False
    limits = fleet.limits
    if limits.cost is not None and sum(fleet.kinds[n.kind].cost for n in serving) > limits.cost:
        return False
    crossings = sum(s.clients * (1.0 - share(site=name)) for name, s in fleet.sites.items())
    if limits.crossings is not None and crossings > limits.crossings + slack:
        return False
    for loss in fleet.lost:
        cases = (
            [{n.name} for n in nodes]
            if loss.any == "node"
            else [
                {n.name for n in nodes if n.site == site}
                for site in (fleet.sites if loss.any == "site" else [loss.site])
            ]
        )
        for lost in filter(None, cases):
            gone = sum(shares[name] for name in lost)
            site = next(n.site for n in nodes if n.name in lost)
            left = 1.0 - fleet.sites[site].clients if loss.clients == "leave" else 1.0
            if gone > loss.moved + slack or not carried(lost, load * left, loss.busiest):
                return False
    return True


def worth(fleet: Fleet, shares: dict[str, float]) -> tuple[float, float]:
    """The first two goals: cost, and how busy the busiest is."""
    nodes = fleet.machines()
    cost = sum(
        fleet.kinds[n.kind].cost for n in nodes if shares[n.name] > 0.0 or not fleet.prefer.choose
    )
    return cost, max(shares[n.name] * fleet.load.requests_per_s / fleet.capacity(n) for n in nodes)


@pytest.mark.parametrize("block", range(8))
def test_no_point_of_a_grid_is_better(block: int) -> None:
    steps, solved = 24, 0
    for seed in range(block * 10, block * 10 + 10):
        fleet = drawn(seed)
        names = [n.name for n in fleet.machines()]
        found = solve(fleet)
        if found is not None:
            solved += 1
            assert keeps(fleet, found.shares), seed
            assert build(fleet, whole=True).broken(found.shares) == []
            assert math.isclose(sum(found.shares.values()), 1.0)
            best = worth(fleet, found.shares)
        for parts in itertools.product(range(steps + 1), repeat=len(names) - 1):
            if sum(parts) <= steps:
                point = dict(
                    zip(names, (*(p / steps for p in parts), 1 - sum(parts) / steps), strict=True)
                )
                if keeps(fleet, point, 0.0):
                    assert found is not None, (seed, point)
                    cost, busiest = worth(fleet, point)
                    assert (best[0], best[1] - 1e-6) <= (cost + 1e-9, busiest), (seed, point)
    assert 2 <= solved <= 9  # both answers are tried


def exact(model: Model, on: tuple[int, ...]) -> Fraction | None:
    """The least peak over all vertices, in fractions; None when no vertex keeps the rows."""
    count = len(model.nodes)
    places = [*range(count), model.peak]
    fixed = {unknown: value for unknown, value in zip(sorted(model.whole), on, strict=True)}
    bounds: list[tuple[list[Fraction], Fraction]] = []  # factors * unknowns <= bound
    for row in model.rows:
        factors = [Fraction(row.terms.get(place, 0.0)) for place in places]
        rest = sum(
            Fraction(factor) * fixed[place] for place, factor in row.terms.items() if place in fixed
        )
        if row.high < math.inf:
            bounds.append((factors, Fraction(row.high) - rest))
        if row.low > -math.inf:
            bounds.append(([-f for f in factors], rest - Fraction(row.low)))
    for place in range(len(places)):
        bounds.append(([Fraction(-int(place == each)) for each in range(len(places))], Fraction(0)))
    tight = Fraction(1, 10**9)
    if any(not any(f) and bound < -tight for f, bound in bounds):
        return None
    bounds = [each for each in bounds if any(each[0])]
    equal = next(each for each in bounds if each == ([Fraction(1)] * count + [Fraction(0)], 1))
    best = None
    for chosen in itertools.combinations([b for b in bounds if b is not equal], count):
        point = _crossing([equal, *chosen])
        if (
            point is not None
            and all(
                sum(f * x for f, x in zip(factors, point, strict=True)) <= bound + tight
                for factors, bound in bounds
            )
            and (best is None or point[-1] < best)
        ):
            best = point[-1]
    return best


def _crossing(rows: list[tuple[list[Fraction], Fraction]]) -> list[Fraction] | None:
    """Where these meet (Gauss and Jordan); None when that is no single point."""
    table = [[*factors, bound] for factors, bound in rows]
    for column in range(len(table)):
        pivot = next((r for r in range(column, len(table)) if table[r][column]), None)
        if pivot is None:
            return None
        table[column], table[pivot] = table[pivot], table[column]
        table[column] = [x / table[column][column] for x in table[column]]
        for r, line in enumerate(table):
            if r != column and line[column]:
                table[r] = [x - line[column] * y for x, y in zip(line, table[column], strict=True)]
    return [line[-1] for line in table]


@pytest.mark.parametrize("seed", range(100, 124))
def test_it_matches_brute_force_over_all_vertices(seed: int) -> None:
    fleet = drawn(seed, 2)
    model, best = build(fleet), None
    for on in itertools.product((0, 1), repeat=len(model.whole)):
        peak = exact(model, on)
        if peak is not None:
            point = [0.0] * model.unknowns
            for unknown, value in zip(sorted(model.whole), on, strict=True):
                point[unknown] = value
            here = (model.goal("cost", point), float(peak))
            best = here if best is None else min(best, here)
    found = solve(fleet)
    assert (found is None) == (best is None)
    if found is not None and best is not None:
        assert (found.goals["cost"], found.goals["busiest"]) == pytest.approx(best, abs=1e-5)


def test_a_conflict_is_irreducible_and_its_reliefs_are_the_least() -> None:
    seen = 0
    for seed in range(60):
        fleet = drawn(seed)
        trouble = explain(fleet)
        assert (trouble is None) == (solve(fleet) is not None)
        if trouble is None:
            continue
        model = build(fleet)
        taken = {f.name for conflict in trouble.conflicts for f in conflict.members}
        assert feasible(model, taken)
        if trouble.carries:
            assert solve(fleet.asking(trouble.carries * 0.999)) is not None
            assert solve(fleet.asking(trouble.carries * 1.002)) is None
        for conflict in trouble.conflicts:
            members = {f.name for f in conflict.members}
            rest = model.figures.keys() - members
            assert not feasible(model, rest)
            for figure in conflict.members:
                seen += 1
                assert feasible(model, rest | {figure.name})
                relief = conflict.relief[figure.name]
                if relief is not None and not figure.whole:
                    back = figure.value - relief
                    tighter = relief + math.copysign(
                        min(abs(back), max(0.01 * abs(back), 1e-3 * relief)), back
                    )
                    assert feasible(build(fleet, None, {figure.name: relief}), taken - members)
                    assert not feasible(build(fleet, None, {figure.name: tighter}), taken - members)
    assert seen > 10


@pytest.mark.parametrize("seed", range(0, 60, 3))
def test_the_shortfall_decides_as_well_what_can_be_met(seed: int) -> None:
    # HiGHS may not decide on the edge of what is feasible; the shortfall always has an answer.
    model = build(drawn(seed))
    assert (_shortfall(model, model.rows) <= EDGE) == feasible(model)


def two_sites(**more: Any) -> Fleet:
    raw: dict[str, Any] = {
        "load": {"requests_per_s": 100.0, "work_ms": 50.0},
        "sites": {"a": {"clients": 0.5, "most": 0.3}, "b": {"clients": 0.5, "most": 0.5}},
        "kinds": {"k": {"cores": 4, "cost": 1.0}},
        "nodes": [
            {"name": "a-", "site": "a", "kind": "k", "count": 3},
            {"name": "b-", "site": "b", "kind": "k", "count": 3},
        ],
    }
    return parse_fleet(raw | more, "two")


def test_the_constraints_that_contradict_each_other_are_named_with_what_would_do() -> None:
    trouble = explain(two_sites())
    assert trouble is not None
    (conflict,) = trouble.conflicts
    assert conflict.relief == {"sites.a.most": 0.5, "sites.b.most": 0.7}
    assert trouble.carries == 0.0  # no load is small enough
    fleet = two_sites(
        sites={"a": {"nodes_least": 2}, "b": {"nodes_least": 3}},
        limits={"nodes": 4},
        prefer={"choose": True},
    )
    trouble = explain(fleet)
    assert trouble is not None
    (conflict,) = trouble.conflicts
    assert conflict.relief == {
        "sites.a.nodes_least": 1,
        "sites.b.nodes_least": 2,
        "limits.nodes": 5,
    }


def test_a_site_that_has_gone_for_good() -> None:
    fleet = two_sites(
        sites={"a": {"clients": 0.5, "least": 0.4}, "b": {"clients": 0.5}},
        load={"requests_per_s": 190.0, "work_ms": 50.0, "busiest": 0.8},
    )
    assert solve(fleet) is not None
    gone = fleet.without("a")
    assert {node.site for node in gone.machines()} == {"b"}
    assert solve(gone) is not None
    trouble = explain(gone.asking(200.0))
    assert trouble is not None and trouble.carries == pytest.approx(192.0, rel=1e-3)
    assert [f.name for c in trouble.conflicts for f in c.members] == ["load.busiest"]


def test_a_plan_moves_no_more_keys_than_it_may() -> None:
    fleet = two_sites(sites={"a": {}, "b": {}}, limits={"moved": 0.1})
    before = {"a-1": 0.3, "a-2": 0.3, "a-3": 0.2, "b-1": 0.1, "b-2": 0.05, "b-3": 0.05}
    found = solve(fleet, before)
    assert found is not None
    assert sum(abs(found.shares[n] - before[n]) for n in before) / 2 <= 0.1 + 1e-6
    # It went as far as it may: both of 0.3 gave 0.05, and a share of 0.25 is 25/80 of a node.
    assert found.goals["busiest"] == pytest.approx(0.3125, abs=1e-5)
    # What nodes had that are no more moves in any case, and that counts.
    trouble = explain(fleet, {"a-1": 0.5, "old": 0.5})
    assert trouble is not None
    (conflict,) = trouble.conflicts
    assert conflict.relief == {"limits.moved": 0.5}


def test_like_nodes_have_like_shares_and_the_same_file_gives_the_same_plan() -> None:
    one, two = (solve(load_fleet(str(EXAMPLE))) for _ in range(2))
    assert one is not None and two is not None
    assert made(one.model.fleet, one.shares, 0.0) == made(two.model.fleet, two.shares, 0.0)
    for like in ("pa-old-", "ac-fast-"):
        assert (
            len({share for name, share in one.shares.items() if name.startswith(like) and share})
            == 1
        )


def test_sixty_nodes_have_an_answer() -> None:
    fleet = load_fleet(str(EXAMPLE))
    fleet = msgspec.structs.replace(
        fleet,
        nodes=[
            msgspec.structs.replace(node, count=(node.count or 1) * 60 // 11 + 1)
            for node in fleet.nodes
        ],
        limits=msgspec.structs.replace(fleet.limits, cost=None),
    )
    fleet = fleet.asking(1500.0)
    assert len(fleet.machines()) >= 60
    found = solve(fleet)
    assert found is not None and build(fleet, whole=True).broken(found.shares) == []


BAD = {
    "[load]\nrequests_per_s = 0": "[load] requests_per_s: ",
    "[load]\nrequest_per_s = 5": "[load] request_per_s: unknown key; did you mean requests_per_s?",
    "[sites.a]\nmost = 2": "[sites.a] most: ",
    "[sites.a]\nmst = 2": "[sites.a] mst: unknown key; did you mean most?",
    "[sites.a]\nleast = 0.5\nmost = 0.2": "[sites.a] least: 0.5 is above most, 0.2",
    "[sites.a]\nclients = 0.4": "clients: they add up to 0.4, not to 1",
    "[[nodes]]\nname = 'x'\nsite = 'c'\nkind = 'k'": "[nodes[2] site] c: unknown site; there",
    "[[nodes]]\nname = 'x'\nsite = 'a'\nkind = 'kk'": "kk: unknown kind; did you mean k?",
    "[[nodes]]\nname = 'x'\nsite = 'a'": "[nodes[2]] kind: missing",
    "[[nodes]]\nname = 'n1'\nsite = 'a'\nkind = 'k'": "n1 is there twice",
    "[[nodes]]\nname = 'x'\nsite = 'a'\nkind = 'k'\ncount = 5000": "[nodes[2]] count: ",
    "[[nodes]]\nname = 'x'\nsite = 'a'\nkind = 'k'\ncount = 2000": "[nodes]: more than 2000",
    "[[lost]]\nname = 'x'": "[lost[1]]: give one of site, kind, nodes, any",
    "[[lost]]\nname = 'x'\nsite = 'a'\nany = 'node'": "[lost[1]]: give one of",
    "[[lost]]\nname = 'x'\nnodes = ['n11']": "n11: unknown node; did you mean n1?",
    "[limits]\ncrossings = 0.2": "[limits] crossings: no site says",
    "[prefer]\norder = ['cost', 'cost']": "[prefer] order: a goal is there twice",
    "[prefer]\norder = ['price']": "[prefer] order: ",
    "x = [": "",
}
GOOD = """[load]
requests_per_s = 10
work_ms = 50
[sites.a]
[kinds.k]
cores = 2
[[nodes]]
name = "n"
count = 1
site = "a"
kind = "k"
"""


@pytest.mark.parametrize("text", BAD)
def test_a_wrong_key_of_a_fleet_is_named(tmp_path: Path, text: str) -> None:
    table = text.partition("\n")[0]
    path = tmp_path / "fleet.toml"
    good = GOOD
    if table in GOOD and not table.startswith("[["):
        good = GOOD.replace(table + "\n", text + "\n")
        if "requests_per_s = 0" in text:
            good = good.replace("requests_per_s = 10\n", "")
        path.write_text(good)
    else:
        path.write_text(GOOD + text)
    with pytest.raises(ConfigError) as raised:
        load_fleet(str(path))
    assert BAD[text] in str(raised.value)
    assert "\n" not in str(raised.value) and str(path) in str(raised.value)


def run(*arguments: object) -> tuple[int, str]:
    result = CliRunner().invoke(app, ["placement", *map(str, arguments)])
    return result.exit_code, result.output


def test_the_command_line_solves_checks_and_explains(tmp_path: Path) -> None:
    plan, fleet = tmp_path / "plan.json", tmp_path / "fleet.toml"
    assert run("new", fleet)[0] == 0
    assert run("new", fleet)[0] == 2  # never over one that is there
    page = tmp_path / "r.html"
    status, said = run("solve", fleet, "-o", plan, "--json", "--html", page)
    told = json.loads(said)
    assert status == 0 and told["feasible"] and told["goals"]["cost"] < 30.0
    assert all(name in page.read_text() for name in told["shares"])
    assert run("check", fleet, plan)[0] == 0
    status, said = run("solve", fleet, "--requests", 900, "--json")
    told = json.loads(said)
    assert status == 1 and not told["feasible"]
    assert "load.busiest" in {each["constraint"] for c in told["conflicts"] for each in c}
    assert run("solve", fleet, "--requests", 900)[1].count("load.busiest") == 1
    raw = json.loads(plan.read_text())
    for name in raw["nodes"]:  # weights set by hand that have drifted
        raw["nodes"][name] = 1.0 if name == "pa-old-1" else 0.0
    raw["nodes"] |= {"stranger": 0.0}
    plan.write_text(json.dumps(raw))
    status, said = run("check", fleet, plan, "--json")
    told = json.loads(said)
    assert status == 1 and told["not_in_the_fleet"] == ["stranger"]
    assert {each["constraint"] for each in told["broken"]} >= {
        "load.busiest",
        "kinds.old.most",
        "sites.catania-nord.least",
    }
    for bad in (
        ("solve", tmp_path / "none.toml"),
        ("check", fleet, fleet),
        ("solve", fleet, "--lost", "nowhere"),
        ("solve", fleet, "-o", tmp_path / "a/b"),
    ):
        status, said = run(*bad)
        assert status == 2 and said.startswith("limebridge: ") and said.count("\n") == 1


def test_names_that_look_like_markup_are_shown_as_they_are(tmp_path: Path) -> None:
    fleet = tmp_path / "fleet.toml"
    fleet.write_text(GOOD.replace('name = "n"', 'name = "[red]x"'))
    status, said = run("solve", fleet)
    assert status == 0 and "[red]x1" in said


def test_a_report_escapes_names_that_are_markup() -> None:
    fleet = parse_fleet(
        {
            "load": {"requests_per_s": 1, "work_ms": 1},
            "sites": {"<b>": {}},
            "kinds": {"k": {"cores": 1}},
            "nodes": [{"name": "<script>", "site": "<b>", "kind": "k"}],
        },
        "f",
    )
    found = solve(fleet)
    assert found is not None
    page = report.html(found, "<title>")
    assert "<script>" not in page and "&lt;script&gt;" in page
