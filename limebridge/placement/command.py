"""`limebridge placement solve | check | new | keep`: the command line of the placement planner."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, NoReturn

import typer
from rich.console import Console
from rich.table import Table

from violetroute.config import ConfigError
from violetroute.placement.plan import Plan, load_plan

from .fleet import Fleet, load_fleet
from .model import build
from .plan import make_plan, write_plan

if TYPE_CHECKING:  # the solver and jinja2 take 0.25 s to import: only commands that use them do
    from .conflict import Infeasibility
    from .solver import Solution

app = typer.Typer(
    no_args_is_help=True, help="Plan the share of the keys of each node, under constraints."
)
EXAMPLE = Path(__file__).with_name("example.toml")

FleetFile = Annotated[
    Path, typer.Argument(metavar="FLEET.toml", help="Load, sites, nodes, limits.")
]
AsJson = Annotated[bool, typer.Option("--json", help="One JSON object.")]
Html = Annotated[Path | None, typer.Option("--html", metavar="FILE", help="Write a report.")]


def _console() -> Console:
    """A console without markup, since names from the fleet file may look like markup."""
    return Console(markup=False, highlight=False)


def _fail(text: object, status: int = 2) -> NoReturn:
    typer.echo(f"limebridge: {text}", err=True)
    raise typer.Exit(status) from None


def _load_fleet_file(path: Path) -> Fleet:
    try:
        return load_fleet(str(path))
    except ConfigError as error:
        _fail(error)


def _load_plan_file(path: Path) -> Plan:
    try:
        return load_plan(str(path))
    except ValueError as error:
        _fail(error)


@app.command("solve")
def solve_command(
    fleet_file: FleetFile,
    out: Annotated[
        Path | None,
        typer.Option(
            "--out", "-o", metavar="PLAN.json", help="Write the plan that the daemon reads."
        ),
    ] = None,
    current: Annotated[
        Path | None,
        typer.Option(
            "--from",
            metavar="PLAN.json",
            help=("The plan in force; limits and goals on moved keys refer to it."),
        ),
    ] = None,
    lost: Annotated[
        list[str] | None,
        typer.Option(
            "--lost", metavar="SITE", help=("A site that is lost permanently; may be repeated.")
        ),
    ] = None,
    requests: Annotated[
        float | None, typer.Option(min=0.001, help=("Requests a second, instead of the file's."))
    ] = None,
    html: Html = None,
    as_json: AsJson = False,
) -> None:
    """Compute the best shares that meet all constraints.

    Exit status 1 if they cannot all be met: the output then names the constraints that contradict
    each other, and how far each alone would have to be relaxed.
    """
    from .conflict import explain
    from .solver import SolverError, solve

    fleet = _apply_options(_load_fleet_file(fleet_file), lost or [], requests, str(fleet_file))
    shares = None if current is None else _load_plan_file(current).nodes
    started = time.perf_counter()
    try:
        solution = solve(fleet, shares)
        infeasibility = explain(fleet, shares) if solution is None else None
    except SolverError as error:
        _fail(f"{fleet_file}: no answer: {error}", 1)
    seconds = time.perf_counter() - started
    if solution is None:
        if infeasibility is None:
            _fail(f"{fleet_file}: no answer: HiGHS finds no shares, but no conflict either", 1)
        output = _infeasibility_fields(infeasibility) | {"seconds": round(seconds, 3)}
        print(json.dumps(output)) if as_json else _print_infeasibility(infeasibility)
        raise typer.Exit(1)
    plan = make_plan(fleet, solution.shares, time.time(), f"from {fleet_file.name}")
    try:
        if out is not None:
            write_plan(plan, out)
        if html is not None:
            from . import report

            html.write_text(report.render_html(solution, fleet_file.name))
    except OSError as error:
        _fail(error)
    if as_json:
        print(json.dumps(_solution_fields(solution) | {"seconds": round(seconds, 3)}))
    else:
        _print_solution(solution)


def _apply_options(fleet: Fleet, lost: list[str], requests: float | None, path: str) -> Fleet:
    for site in lost:
        if site not in fleet.sites:
            _fail(f"{path}: --lost {site}: unknown site; there are {', '.join(fleet.sites)}")
        fleet = fleet.without_site(site)
    if not fleet.nodes:
        _fail(f"{path}: --lost: no node is left", 1)
    return fleet if requests is None else fleet.with_load(requests)


def _solution_fields(solution: Solution) -> dict[str, Any]:
    return {
        "feasible": True,
        "goals": {name: round(value, 6) for name, value in solution.goals.items()},
        "shares": {name: round(share, 6) for name, share in solution.shares.items()},
        "busy": {name: round(solution.load(name), 4) for name in solution.shares},
    }


def _infeasibility_fields(infeasibility: Infeasibility) -> dict[str, Any]:
    return {
        "feasible": False,
        "carries_requests_per_s": infeasibility.max_load,
        "conflicts": [
            [
                {
                    "constraint": constraint.name,
                    "is": constraint.value,
                    "would_do": conflict.relaxations[constraint.name],
                }
                for constraint in conflict.members
            ]
            for conflict in infeasibility.conflicts
        ],
    }


def _print_solution(solution: Solution) -> None:
    from . import report

    table = Table("node", "site", "kind", "share of keys", "busy", "busiest when lost")
    worst = report.worst_losses(solution)
    for node in solution.model.nodes:
        share = solution.shares[node.name]
        loss_name, utilization = worst[node.name]
        table.add_row(
            node.name,
            node.site,
            node.kind,
            f"{share:.4f}" if share else "-",
            f"{solution.load(node.name):.2f}" if share else "-",
            f"{utilization:.2f} ({loss_name})" if loss_name else "",
        )
    console = _console()
    console.print(table)
    console.print(", ".join(f"{name} {value:.4g}" for name, value in solution.goals.items()))


def _print_infeasibility(infeasibility: Infeasibility) -> None:
    console = _console()
    several = len(infeasibility.conflicts) > 1
    for number, conflict in enumerate(infeasibility.conflicts, 1):
        console.print(
            f"Conflict {number} of {len(infeasibility.conflicts)}, each of which must be resolved:"
            if several
            else "These constraints cannot all be met:"
        )
        table = Table("constraint", "is", "alone would do with")
        for constraint in conflict.members:
            value = conflict.relaxations[constraint.name]
            table.add_row(
                constraint.name,
                f"{constraint.value:g}",
                "no value" if value is None else f"{value:g}",
            )
        console.print(table)
    console.print(
        f"Without a change, all constraints can be met up to {infeasibility.max_load:g} requests/s."
    )


@app.command("check")
def check_command(
    fleet_file: FleetFile,
    plan_file: Annotated[
        Path, typer.Argument(metavar="PLAN.json", help="Made by `solve` or by hand.")
    ],
    as_json: AsJson = False,
) -> None:
    """Check a plan, also one made by hand, against the constraints of the fleet file.

    Exit status 1 if it violates one.
    """
    fleet, plan = _load_fleet_file(fleet_file), _load_plan_file(plan_file)
    names = {node.name for node in fleet.expanded_nodes()}
    unlisted = sorted(set(plan.nodes) - names)
    model = build(fleet, all_rows=True)
    violations = model.violations(plan.nodes)
    worst: dict[str, tuple[str, float]] = {}
    for row, by in violations:
        worst.setdefault(row.constraint or "all keys have a node", (row.subject, by))
    output = {
        "kept": not violations,
        "not_in_the_fleet": unlisted,
        "broken": [
            {"constraint": name, "about": subject, "by": round(by, 6)}
            for name, (subject, by) in worst.items()
        ],
    }
    if as_json:
        print(json.dumps(output))
    else:
        table = Table("constraint", "worst at", "missed by")
        for name, (subject, by) in worst.items():
            table.add_row(name, subject, f"{by:.4g}")
        _console().print(table if worst else "All constraints are met.")
        if unlisted:
            _console().print(f"Not in the fleet: {', '.join(unlisted)}")
    raise typer.Exit(1 if violations else 0)


@app.command("new")
def new_command(
    path: Annotated[Path, typer.Argument(metavar="FLEET.toml", help="Where to write it.")],
) -> None:
    """Write a commented fleet file to start from; an existing file is never overwritten."""
    try:
        with path.open("x") as file:
            file.write(EXAMPLE.read_text())
    except OSError as error:
        _fail(error)


@app.command("keep")
def keep_command(
    fleet_file: FleetFile,
    operator: Annotated[
        Path,
        typer.Option(
            "--operator",
            metavar="FILE",
            help="Its [fleet] table says where the lease and the log are.",
        ),
    ],
    out: Annotated[
        Path,
        typer.Option(
            "--out",
            "-o",
            metavar="PLAN.json",
            help="The plan file in the daemons' [placement] table.",
        ),
    ],
    name: Annotated[str, typer.Option(help="Name of this publisher, for display.")] = "keeper",
    drift: Annotated[
        float,
        typer.Option(
            min=0.0,
            max=1.0,
            help=("Minimal share of the keys that a new plan must move to be published."),
        ),
    ] = 0.02,
    every: Annotated[
        float, typer.Option(min=0.0, help="Minimal seconds between two plans.")
    ] = 600.0,
    look: Annotated[
        float, typer.Option(min=0.05, help=("Seconds between two checks of FLEET.toml."))
    ] = 5.0,
) -> None:
    """Publish plans until SIGTERM.  Several processes may run; one owns the lease and publishes."""
    import asyncio

    from violetroute.config.operator import load_operator

    from .publisher import run_publisher

    try:
        operator_settings = load_operator(str(operator))
    except ConfigError as error:
        _fail(error)
    if operator_settings.fleet.store == "off":
        _fail(f"{operator}: [fleet] store: off")
    _load_fleet_file(fleet_file)
    asyncio.run(
        run_publisher(
            operator_settings,
            name,
            fleet_file,
            out,
            drift,
            every,
            look,
            lambda reason: typer.echo(f"limebridge: {fleet_file}: {reason}", err=True),
        )
    )
