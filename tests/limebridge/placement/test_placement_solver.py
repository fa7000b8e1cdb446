"""The placement solver compared with brute force, its conflict reports, and its command line."""

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
from limebridge.placement.plan import make_plan
from limebridge.placement.solver import BOUNDARY_TOLERANCE, _shortfall, feasible, solve
from violetroute.config import ConfigError

EXAMPLE = Path(report.__file__).with_name("example.toml")


def random_fleet(seed: int, nodes: int = 3) -> Fleet:
    """A random small fleet; for about a third of the seeds the constraints cannot be met."""
    rng = random.Random(seed)
    sites, kinds = ("a", "b"), ("fast", "old")
    split = rng.choice((0.3, 0.5, 0.8))
    raw: dict[str, Any] = {
        "load": {
            "requests_per_s": rng.uniform(40, 160),
            "work_ms": 50.0,
            "busiest": rng.choice((0.7, 0.9)),
        },
        "sites": {"a": {"clients": split}, "b": {"clients": 1 - split}},
        "kinds": {"fast": {"cores": 4, "cost": 3.0}, "old": {"cores": 2, "cost": 1.0}},
        "nodes": [
            {"name": f"n{number}", "site": rng.choice(sites), "kind": rng.choice(kinds)}
            for number in range(nodes)
        ],
        "prefer": {"choose": rng.random() < 0.6},
        "lost": [],
    }
    if rng.random() < 0.4:
        raw["sites"]["a"]["most"] = rng.choice((0.3, 0.6))
    if rng.random() < 0.3:
        raw["kinds"]["old"]["least"] = rng.choice((0.2, 0.5))
    if rng.random() < 0.3:
        raw["nodes"][0]["least"] = 0.2
    limits = raw["limits"] = {}
    if rng.random() < 0.3:
        limits["crossings"] = rng.choice((0.3, 0.5))
    if rng.random() < 0.3:
        limits["cost"] = rng.choice((3.0, 5.0))
    if rng.random() < 0.5:
        raw["lost"].append(
            {
                "name": "one",
                "busiest": 1.1,
                **rng.choice(({"any": "node"}, {"site": "a"}, {"any": "site", "clients": "leave"})),
            }
        )
    return parse_fleet(raw, "drawn")


def meets_constraints(fleet: Fleet, shares: dict[str, float], slack: float = 1e-6) -> bool:
    """Whether shares meet all constraints, by direct arithmetic without the rows of the model."""
    nodes, load = fleet.expanded_nodes(), fleet.load.requests_per_s
    may_skip = fleet.prefer.choose
    serving = [n for n in nodes if shares[n.name] > 0.0 or not may_skip]

    def share(site: str = "", kind: str = "") -> float:
        return sum(shares[n.name] for n in nodes if site in ("", n.site) and kind in ("", n.kind))

    def can_carry(lost: set[str], requests_per_s: float, busiest: float) -> bool:
        remaining = 1.0 - sum(shares[name] for name in lost)
        return all(
            shares[n.name] / remaining * requests_per_s
            <= busiest * fleet.capacity(n) * (1 + slack) + slack
            for n in nodes
            if n.name not in lost
        )

    if not can_carry(set(), load, fleet.load.busiest):
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
            lost_share = sum(shares[name] for name in lost)
            site = next(n.site for n in nodes if n.name in lost)
            remaining_load = 1.0 - fleet.sites[site].clients if loss.clients == "leave" else 1.0
            if lost_share > loss.moved + slack or not can_carry(
                lost, load * remaining_load, loss.busiest
            ):
                return False
    return True


def goal_values(fleet: Fleet, shares: dict[str, float]) -> tuple[float, float]:
    """The values of the first two goals: the cost, and the highest utilization."""
    nodes = fleet.expanded_nodes()
    cost = sum(
        fleet.kinds[n.kind].cost for n in nodes if shares[n.name] > 0.0 or not fleet.prefer.choose
    )
    return cost, max(shares[n.name] * fleet.load.requests_per_s / fleet.capacity(n) for n in nodes)


@pytest.mark.parametrize("block", range(8))
def test_no_point_of_a_grid_is_better_than_the_solution(block: int) -> None:
    steps, solved = 24, 0
    for seed in range(block * 10, block * 10 + 10):
        fleet = random_fleet(seed)
        names = [n.name for n in fleet.expanded_nodes()]
        solution = solve(fleet)
        if solution is not None:
            solved += 1
            assert meets_constraints(fleet, solution.shares), seed
            assert build(fleet, all_rows=True).violations(solution.shares) == []
            assert math.isclose(sum(solution.shares.values()), 1.0)
            best = goal_values(fleet, solution.shares)
        for parts in itertools.product(range(steps + 1), repeat=len(names) - 1):
            if sum(parts) <= steps:
                point = dict(
                    zip(names, (*(p / steps for p in parts), 1 - sum(parts) / steps), strict=True)
                )
                if meets_constraints(fleet, point, 0.0):
                    assert solution is not None, (seed, point)
                    cost, busiest = goal_values(fleet, point)
                    assert (best[0], best[1] - 1e-6) <= (cost + 1e-9, busiest), (seed, point)
    assert 2 <= solved <= 9  # the block has feasible and infeasible fleets


def lowest_peak(model: Model, binary_values: tuple[int, ...]) -> Fraction | None:
    """The lowest peak over all vertices, in exact fractions; None if no vertex satisfies the rows.

    `binary_values`: the values of the binary variables.
    """
    count = len(model.nodes)
    variables = [*range(count), model.peak]
    fixed = {
        binary: value for binary, value in zip(sorted(model.binary), binary_values, strict=True)
    }
    bounds: list[tuple[list[Fraction], Fraction]] = []  # factors * variables <= bound
    for row in model.rows:
        factors = [Fraction(row.terms.get(variable, 0.0)) for variable in variables]
        remaining = sum(
            Fraction(factor) * fixed[variable]
            for variable, factor in row.terms.items()
            if variable in fixed
        )
        if row.high < math.inf:
            bounds.append((factors, Fraction(row.high) - remaining))
        if row.low > -math.inf:
            bounds.append(([-f for f in factors], remaining - Fraction(row.low)))
    for variable in range(len(variables)):
        bounds.append(
            ([Fraction(-int(variable == each)) for each in range(len(variables))], Fraction(0))
        )
    tight = Fraction(1, 10**9)
    if any(not any(f) and bound < -tight for f, bound in bounds):
        return None
    bounds = [each for each in bounds if any(each[0])]
    equal = next(each for each in bounds if each == ([Fraction(1)] * count + [Fraction(0)], 1))
    best = None
    for chosen in itertools.combinations([b for b in bounds if b is not equal], count):
        point = _intersection([equal, *chosen])
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


def _intersection(rows: list[tuple[list[Fraction], Fraction]]) -> list[Fraction] | None:
    """The intersection of the rows (Gauss-Jordan elimination); None if it is not a single point."""
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
def test_the_solution_matches_brute_force_over_all_vertices(seed: int) -> None:
    fleet = random_fleet(seed, 2)
    model, best = build(fleet), None
    for binary_values in itertools.product((0, 1), repeat=len(model.binary)):
        peak = lowest_peak(model, binary_values)
        if peak is not None:
            point = [0.0] * model.variable_count
            for variable, value in zip(sorted(model.binary), binary_values, strict=True):
                point[variable] = value
            here = (model.goal("cost", point), float(peak))
            best = here if best is None else min(best, here)
    solution = solve(fleet)
    assert (solution is None) == (best is None)
    if solution is not None and best is not None:
        assert (solution.goals["cost"], solution.goals["busiest"]) == pytest.approx(best, abs=1e-5)


def test_a_conflict_is_irreducible_and_its_relaxations_are_minimal() -> None:
    checked = 0
    for seed in range(60):
        fleet = random_fleet(seed)
        infeasibility = explain(fleet)
        assert (infeasibility is None) == (solve(fleet) is not None)
        if infeasibility is None:
            continue
        model = build(fleet)
        conflicting = {f.name for conflict in infeasibility.conflicts for f in conflict.members}
        assert feasible(model, conflicting)
        if infeasibility.max_load:
            assert solve(fleet.with_load(infeasibility.max_load * 0.999)) is not None
            assert solve(fleet.with_load(infeasibility.max_load * 1.002)) is None
        for conflict in infeasibility.conflicts:
            members = {f.name for f in conflict.members}
            remaining = model.constraints.keys() - members
            assert not feasible(model, remaining)
            for constraint in conflict.members:
                checked += 1
                assert feasible(model, remaining | {constraint.name})
                relaxed = conflict.relaxations[constraint.name]
                if relaxed is not None and not constraint.integral:
                    back = constraint.value - relaxed
                    tighter = relaxed + math.copysign(
                        min(abs(back), max(0.01 * abs(back), 1e-3 * relaxed)), back
                    )
                    assert feasible(
                        build(fleet, None, {constraint.name: relaxed}), conflicting - members
                    )
                    assert not feasible(
                        build(fleet, None, {constraint.name: tighter}), conflicting - members
                    )
    assert checked > 10


@pytest.mark.parametrize("seed", range(0, 60, 3))
def test_the_shortfall_decides_feasibility_like_the_solver(seed: int) -> None:
    # HiGHS may fail to decide at the boundary of what is feasible; the shortfall is always found.
    model = build(random_fleet(seed))
    assert (_shortfall(model, model.rows) <= BOUNDARY_TOLERANCE) == feasible(model)


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


def test_conflicting_constraints_are_named_with_values_that_resolve_them() -> None:
    infeasibility = explain(two_sites())
    assert infeasibility is not None
    (conflict,) = infeasibility.conflicts
    assert conflict.relaxations == {"sites.a.most": 0.5, "sites.b.most": 0.7}
    assert infeasibility.max_load == 0.0  # not even the lowest load is feasible
    fleet = two_sites(
        sites={"a": {"nodes_least": 2}, "b": {"nodes_least": 3}},
        limits={"nodes": 4},
        prefer={"choose": True},
    )
    infeasibility = explain(fleet)
    assert infeasibility is not None
    (conflict,) = infeasibility.conflicts
    assert conflict.relaxations == {
        "sites.a.nodes_least": 1,
        "sites.b.nodes_least": 2,
        "limits.nodes": 5,
    }


def test_a_fleet_is_solved_after_the_permanent_loss_of_a_site() -> None:
    fleet = two_sites(
        sites={"a": {"clients": 0.5, "least": 0.4}, "b": {"clients": 0.5}},
        load={"requests_per_s": 190.0, "work_ms": 50.0, "busiest": 0.8},
    )
    assert solve(fleet) is not None
    lost_share = fleet.without_site("a")
    assert {node.site for node in lost_share.expanded_nodes()} == {"b"}
    assert solve(lost_share) is not None
    infeasibility = explain(lost_share.with_load(200.0))
    assert infeasibility is not None and infeasibility.max_load == pytest.approx(192.0, rel=1e-3)
    assert [f.name for c in infeasibility.conflicts for f in c.members] == ["load.busiest"]


def test_a_plan_moves_no_more_keys_than_allowed() -> None:
    fleet = two_sites(sites={"a": {}, "b": {}}, limits={"moved": 0.1})
    before = {"a-1": 0.3, "a-2": 0.3, "a-3": 0.2, "b-1": 0.1, "b-2": 0.05, "b-3": 0.05}
    solution = solve(fleet, before)
    assert solution is not None
    assert sum(abs(solution.shares[n] - before[n]) for n in before) / 2 <= 0.1 + 1e-6
    # The limit is used up: both shares of 0.3 lost 0.05, and a share of 0.25 loads a node by 25/80.
    assert solution.goals["busiest"] == pytest.approx(0.3125, abs=1e-5)
    # The keys of nodes that no longer exist move in any case, and count towards the limit.
    infeasibility = explain(fleet, {"a-1": 0.5, "old": 0.5})
    assert infeasibility is not None
    (conflict,) = infeasibility.conflicts
    assert conflict.relaxations == {"limits.moved": 0.5}


def test_interchangeable_nodes_get_equal_shares_and_solving_is_deterministic() -> None:
    one, two = (solve(load_fleet(str(EXAMPLE))) for _ in range(2))
    assert one is not None and two is not None
    assert make_plan(one.model.fleet, one.shares, 0.0) == make_plan(
        two.model.fleet, two.shares, 0.0
    )
    for like in ("pa-old-", "ac-fast-"):
        assert (
            len({share for name, share in one.shares.items() if name.startswith(like) and share})
            == 1
        )


def test_a_fleet_of_sixty_nodes_is_solved() -> None:
    fleet = load_fleet(str(EXAMPLE))
    fleet = msgspec.structs.replace(
        fleet,
        nodes=[
            msgspec.structs.replace(node, count=(node.count or 1) * 60 // 11 + 1)
            for node in fleet.nodes
        ],
        limits=msgspec.structs.replace(fleet.limits, cost=None),
    )
    fleet = fleet.with_load(1500.0)
    assert len(fleet.expanded_nodes()) >= 60
    solution = solve(fleet)
    assert solution is not None and build(fleet, all_rows=True).violations(solution.shares) == []


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
    "[[nodes]]\nname = 'n1'\nsite = 'a'\nkind = 'k'": "n1 is defined twice",
    "[[nodes]]\nname = 'x'\nsite = 'a'\nkind = 'k'\ncount = 5000": "[nodes[2]] count: ",
    "[[nodes]]\nname = 'x'\nsite = 'a'\nkind = 'k'\ncount = 2000": "[nodes]: more than 2000",
    "[[lost]]\nname = 'x'": "[lost[1]]: exactly one of site, kind, nodes, any is required",
    "[[lost]]\nname = 'x'\nsite = 'a'\nany = 'node'": "[lost[1]]: exactly one of",
    "[[lost]]\nname = 'x'\nnodes = ['n11']": "n11: unknown node; did you mean n1?",
    "[limits]\ncrossings = 0.2": "[limits] crossings: no site has clients",
    "[prefer]\norder = ['cost', 'cost']": "[prefer] order: a goal is listed twice",
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
def test_an_invalid_key_of_a_fleet_file_is_named(tmp_path: Path, text: str) -> None:
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
    assert run("new", fleet)[0] == 2  # an existing file is not overwritten
    page = tmp_path / "r.html"
    status, output = run("solve", fleet, "-o", plan, "--json", "--html", page)
    printed = json.loads(output)
    assert status == 0 and printed["feasible"] and printed["goals"]["cost"] < 30.0
    assert all(name in page.read_text() for name in printed["shares"])
    assert run("check", fleet, plan)[0] == 0
    status, output = run("solve", fleet, "--requests", 900, "--json")
    printed = json.loads(output)
    assert status == 1 and not printed["feasible"]
    assert "load.busiest" in {each["constraint"] for c in printed["conflicts"] for each in c}
    assert run("solve", fleet, "--requests", 900)[1].count("load.busiest") == 1
    raw = json.loads(plan.read_text())
    for name in raw["nodes"]:  # shares set by hand, which violate constraints
        raw["nodes"][name] = 1.0 if name == "pa-old-1" else 0.0
    raw["nodes"] |= {"stranger": 0.0}
    plan.write_text(json.dumps(raw))
    status, output = run("check", fleet, plan, "--json")
    printed = json.loads(output)
    assert status == 1 and printed["not_in_the_fleet"] == ["stranger"]
    assert {each["constraint"] for each in printed["broken"]} >= {
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
        status, output = run(*bad)
        assert status == 2 and output.startswith("limebridge: ") and output.count("\n") == 1


def test_names_that_look_like_markup_are_printed_literally(tmp_path: Path) -> None:
    fleet = tmp_path / "fleet.toml"
    fleet.write_text(GOOD.replace('name = "n"', 'name = "[red]x"'))
    status, output = run("solve", fleet)
    assert status == 0 and "[red]x1" in output


def test_a_report_escapes_html_in_names() -> None:
    fleet = parse_fleet(
        {
            "load": {"requests_per_s": 1, "work_ms": 1},
            "sites": {"<b>": {}},
            "kinds": {"k": {"cores": 1}},
            "nodes": [{"name": "<script>", "site": "<b>", "kind": "k"}],
        },
        "f",
    )
    solution = solve(fleet)
    assert solution is not None
    page = report.render_html(solution, "<title>")
    assert "<script>" not in page and "&lt;script&gt;" in page
