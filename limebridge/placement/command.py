"""`limebridge placement solve | check | new | keep`."""

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
from .plan import made, write

if TYPE_CHECKING:  # the solver and the templates take a quarter of a second to import: only
    from .conflict import Trouble  # those commands that need them pay for it
    from .solver import Solution

app = typer.Typer(
    no_args_is_help=True, help="Shares of the keys for nodes, worked out ahead under constraints."
)
EXAMPLE = Path(__file__).with_name("example.toml")

FleetFile = Annotated[
    Path, typer.Argument(metavar="FLEET.toml", help="Load, sites, nodes, limits.")
]
AsJson = Annotated[bool, typer.Option("--json", help="One JSON object.")]
Html = Annotated[Path | None, typer.Option("--html", metavar="FILE", help="Write a report.")]


def _console() -> Console:
    """Names come from a file: what looks like markup in them is none."""
    return Console(markup=False, highlight=False)


def _stop(text: object, status: int = 2) -> NoReturn:
    typer.echo(f"limebridge: {text}", err=True)
    raise typer.Exit(status) from None


def _fleet(path: Path) -> Fleet:
    try:
        return load_fleet(str(path))
    except ConfigError as error:
        _stop(error)


def _plan(path: Path) -> Plan:
    try:
        return load_plan(str(path))
    except ValueError as error:
        _stop(error)


@app.command("solve")
def solve_command(
    fleet_file: FleetFile,
    out: Annotated[
        Path | None,
        typer.Option(
            "--out", "-o", metavar="PLAN.json", help="Write the plan that the daemon reads."
        ),
    ] = None,
    before: Annotated[
        Path | None,
        typer.Option(
            "--from", metavar="PLAN.json", help=("The plan in force: keys that move from it count.")
        ),
    ] = None,
    lost: Annotated[
        list[str] | None,
        typer.Option(
            "--lost", metavar="SITE", help=("A site that has gone for good; may be given again.")
        ),
    ] = None,
    requests: Annotated[
        float | None, typer.Option(min=0.001, help=("Requests a second, in place of the file's."))
    ] = None,
    html: Html = None,
    as_json: AsJson = False,
) -> None:
    """Work out the best shares that keep all constraints.

    Exit status 1 when they can't all be met: then it says which of them contradict each other, and
    how far each alone would have to give.
    """
    from .conflict import explain
    from .solver import Unsolved, solve

    fleet = _changed(_fleet(fleet_file), lost or [], requests, str(fleet_file))
    shares = None if before is None else _plan(before).nodes
    began = time.perf_counter()
    try:
        solution = solve(fleet, shares)
        trouble = explain(fleet, shares) if solution is None else None
    except Unsolved as error:
        _stop(f"{fleet_file}: no answer: {error}", 1)
    seconds = time.perf_counter() - began
    if solution is None:
        if trouble is None:
            _stop(f"{fleet_file}: no answer: HiGHS contradicts itself", 1)
        told = _trouble_words(trouble) | {"seconds": round(seconds, 3)}
        print(json.dumps(told)) if as_json else _show_trouble(trouble)
        raise typer.Exit(1)
    plan = made(fleet, solution.shares, time.time(), f"from {fleet_file.name}")
    try:
        if out is not None:
            write(plan, out)
        if html is not None:
            from . import report

            html.write_text(report.html(solution, fleet_file.name))
    except OSError as error:
        _stop(error)
    if as_json:
        print(json.dumps(_words(solution) | {"seconds": round(seconds, 3)}))
    else:
        _show(solution)


def _changed(fleet: Fleet, lost: list[str], requests: float | None, path: str) -> Fleet:
    for site in lost:
        if site not in fleet.sites:
            _stop(
                f"{path}: --lost {site}: there is no such site; there are {', '.join(fleet.sites)}"
            )
        fleet = fleet.without(site)
    if not fleet.nodes:
        _stop(f"{path}: --lost: no node is left", 1)
    return fleet if requests is None else fleet.asking(requests)


def _words(solution: Solution) -> dict[str, Any]:
    return {
        "feasible": True,
        "goals": {name: round(value, 6) for name, value in solution.goals.items()},
        "shares": {name: round(share, 6) for name, share in solution.shares.items()},
        "busy": {name: round(solution.load(name), 4) for name in solution.shares},
    }


def _trouble_words(trouble: Trouble) -> dict[str, Any]:
    return {
        "feasible": False,
        "carries_requests_per_s": trouble.carries,
        "conflicts": [
            [
                {
                    "constraint": figure.name,
                    "is": figure.value,
                    "would_do": conflict.relief[figure.name],
                }
                for figure in conflict.members
            ]
            for conflict in trouble.conflicts
        ],
    }


def _show(solution: Solution) -> None:
    from . import report

    table = Table("node", "site", "kind", "share of keys", "busy", "busiest when lost")
    worst = report.worst(solution)
    for node in solution.model.nodes:
        share = solution.shares[node.name]
        when, busy = worst[node.name]
        table.add_row(
            node.name,
            node.site,
            node.kind,
            f"{share:.4f}" if share else "-",
            f"{solution.load(node.name):.2f}" if share else "-",
            f"{busy:.2f} ({when})" if when else "",
        )
    console = _console()
    console.print(table)
    console.print(", ".join(f"{name} {value:.4g}" for name, value in solution.goals.items()))


def _show_trouble(trouble: Trouble) -> None:
    console = _console()
    several = len(trouble.conflicts) > 1
    for number, conflict in enumerate(trouble.conflicts, 1):
        console.print(
            f"Conflict {number} of {len(trouble.conflicts)}, each of which has to be mended:"
            if several
            else "These constraints cannot all be met:"
        )
        table = Table("constraint", "is", "alone would do with")
        for figure in conflict.members:
            relief = conflict.relief[figure.name]
            table.add_row(
                figure.name, f"{figure.value:g}", "no value" if relief is None else f"{relief:g}"
            )
        console.print(table)
    console.print(f"As they stand, the fleet keeps them all up to {trouble.carries:g} requests/s.")


@app.command("check")
def check_command(
    fleet_file: FleetFile,
    plan_file: Annotated[Path, typer.Argument(metavar="PLAN.json", help="Made here or by hand.")],
    as_json: AsJson = False,
) -> None:
    """Hold a plan, made by hand perhaps, against the constraints as they are now.

    Exit status 1 when it breaks one.
    """
    fleet, plan = _fleet(fleet_file), _plan(plan_file)
    names = {node.name for node in fleet.machines()}
    strangers = sorted(set(plan.nodes) - names)
    model = build(fleet, whole=True)
    broken = model.broken(plan.nodes)
    worst: dict[str, tuple[str, float]] = {}
    for row, by in broken:
        worst.setdefault(row.figure or "all keys have a node", (row.about, by))
    told = {
        "kept": not broken,
        "not_in_the_fleet": strangers,
        "broken": [
            {"constraint": name, "about": about, "by": round(by, 6)}
            for name, (about, by) in worst.items()
        ],
    }
    if as_json:
        print(json.dumps(told))
    else:
        table = Table("constraint", "worst at", "missed by")
        for name, (about, by) in worst.items():
            table.add_row(name, about, f"{by:.4g}")
        _console().print(table if worst else "All constraints are kept.")
        if strangers:
            _console().print(f"Not in the fleet: {', '.join(strangers)}")
    raise typer.Exit(1 if broken else 0)


@app.command("new")
def new_command(
    path: Annotated[Path, typer.Argument(metavar="FLEET.toml", help="Where to write it.")],
) -> None:
    """Write a commented fleet file to start from; never over one that is there."""
    try:
        with path.open("x") as file:
            file.write(EXAMPLE.read_text())
    except OSError as error:
        _stop(error)


@app.command("keep")
def keep_command(
    fleet_file: FleetFile,
    operator: Annotated[
        Path,
        typer.Option(
            "--operator", metavar="FILE", help="Its [fleet] says where the lease and the log live."
        ),
    ],
    out: Annotated[
        Path,
        typer.Option(
            "--out", "-o", metavar="PLAN.json", help="The plan that the daemons' [placement] names."
        ),
    ],
    name: Annotated[str, typer.Option(help="Of this keeper, for people.")] = "keeper",
    drift: Annotated[
        float,
        typer.Option(
            min=0.0,
            max=1.0,
            help=("Share of the keys that a new plan has to move to be published."),
        ),
    ] = 0.02,
    every: Annotated[float, typer.Option(min=0.0, help="Seconds between two plans.")] = 600.0,
    look: Annotated[
        float, typer.Option(min=0.05, help=("Seconds between two looks at FLEET.toml."))
    ] = 5.0,
) -> None:
    """Publish plans as a work of the fleet: several may run, one owns it.  Until SIGTERM."""
    import asyncio

    from violetroute.config.operator import load_operator

    from .keeping import keep

    try:
        ours = load_operator(str(operator))
    except ConfigError as error:
        _stop(error)
    if ours.fleet.store == "off":
        _stop(f"{operator}: [fleet] store: off")
    _fleet(fleet_file)
    asyncio.run(
        keep(
            ours,
            name,
            fleet_file,
            out,
            drift,
            every,
            look,
            lambda why: typer.echo(f"limebridge: {fleet_file}: {why}", err=True),
        )
    )
