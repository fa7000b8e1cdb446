"""`limebridge faults`: commands that run plans of faults on several daemon processes."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from violetroute.config import ConfigError

from . import memory as virtual
from . import plan as plans
from . import real_runs
from .distribution.command import app as distribution
from .history import format_trace
from .interruption import interruptible
from .model import Bounds, World
from .options import (
    MAX_REPORTED,
    FirstSeed,
    Patch,
    PatchFile,
    PlanCount,
    patch_path,
    print_summary,
    summary_values,
)
from .reporting import collect_outcomes, explore_seeds, print_shrunk
from .runner import run_plan
from .sharing.command import app as sharing
from .soak_command import soak
from .state_space import check
from .summary import FleetTotals, RunSummary, summary_of_run

app = typer.Typer(no_args_is_help=True, help="Test several daemon processes under faults.")
app.add_typer(sharing, name="sharing")
app.add_typer(distribution, name="distribution")
app.command()(interruptible(soak))


@app.command()
@interruptible
def run(
    seeds: PlanCount = 20,
    first: FirstSeed = 0,
    jobs: Annotated[int, typer.Option(min=0, help="Plans in parallel; 0: one per core.")] = 0,
    store: Annotated[
        str, typer.Option(help="folder or consul; default: drawn from the seed.")
    ] = "",
    settles: Annotated[
        bool | None,
        typer.Option(
            "--settles/--beats",
            help="With ledgers and settlement, or without; default: drawn from the seed.",
        ),
    ] = None,
    keep: Annotated[
        Path | None,
        typer.Option(metavar="DIR", help="Folder for the shrunk plans that failed."),
    ] = None,
    patch: PatchFile = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Run plans generated from seeds on real processes.  Exit status 1 after a violation."""
    selected = [
        plans.generate(seed, _store(store), settles) for seed in range(first, first + seeds)
    ]
    started = time.monotonic()
    results = collect_outcomes(
        real_runs.run_plans(selected, jobs, patch_path(patch)), seeds, as_json
    )
    seconds = time.monotonic() - started
    failed = sorted((each for each in results if each.violations), key=lambda each: each.plan.seed)
    for result in failed[:MAX_REPORTED]:
        _report_shrunk(result, store, keep, patch_path(patch))
    summary = summary_of_run(results, failed, seconds)
    if as_json:
        print_summary(summary, as_json)
    else:
        _print_table(summary)
    raise typer.Exit(1 if failed else 0)


def _print_table(summary: RunSummary) -> None:
    table = Table("key", "value", show_header=False, box=None)
    for key, value in summary_values(summary).items():
        table.add_row(key, str(value))
    Console().print(table)


def _store(name: str) -> Literal["folder", "consul"] | None:
    """The value of --store; None leaves it to the seeds.  Exit status 2 for any other name."""
    match name:
        case "":
            return None
        case "folder" | "consul":
            return name
        case _:
            typer.echo(f"limebridge: --store {name}: folder or consul", err=True)
            raise typer.Exit(2)


def _report_shrunk(result: real_runs.PlanResult, store: str, keep: Path | None, patch: str) -> None:
    """Print the trace of the shrunk plan, and the command line that replays it."""
    small = real_runs.shrink(result, patch)
    seed = result.plan.seed
    line = f"limebridge faults replay {seed}" + (f" --store {store}" if store else "")
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        path = keep / f"faults-{seed}.toml"
        path.write_text(plans.dump(small.plan))
        line = f"limebridge faults replay {path}"
    typer.echo(f"{line}\n{small.trace}", err=True)


@app.command()
@interruptible
def replay(
    file_or_seed: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    store: Annotated[str, typer.Option(help="The value that `run` was given.")] = "",
    settles: Annotated[bool | None, typer.Option("--settles/--beats")] = None,
    in_memory: Annotated[
        bool,
        typer.Option("--virtual", help="In memory, as `explore --fleet` runs it: deterministic."),
    ] = False,
    tries: Annotated[
        int,
        typer.Option(
            min=1,
            max=10_000,
            help="Seeds to try, each with other delays and clocks, until one violates a rule.",
        ),
    ] = 1,
    patch: PatchFile = None,
) -> None:
    """Run one plan and print its trace.  Exit status 1 after a violation."""
    store_kind = _store(store)
    try:
        plan = (
            plans.generate(int(file_or_seed), store_kind, settles)
            if file_or_seed.isdecimal()
            else plans.read(Path(file_or_seed))
        )
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if in_memory:
        raise typer.Exit(_replay_in_memory(plan, tries, patch))
    outcome = run_plan(plan, patch_path(patch))
    print(format_trace(outcome.history, outcome.violations))
    print(f"{outcome.effects} effects, {outcome.seconds:.1f} s, {len(outcome.violations)} broken")
    raise typer.Exit(1 if outcome.violations else 0)


def _replay_in_memory(plan: plans.Plan, tries: int, patch: Path | None) -> int:
    """Run a plan under `tries` seeds, until one violates a rule; returns the exit status."""
    if patch is not None:
        Patch(patch_path(patch))()
    for seed in range(plan.seed, plan.seed + tries):
        outcome = virtual.run_plan(
            msgspec.structs.replace(plan, seed=seed, settles=False), with_trace=True
        )
        if outcome.violations:
            break
    print(f"seed {outcome.plan.seed}\n{outcome.trace}")
    return 1 if outcome.violations else 0


@app.command("list")
def list_(
    seed: Annotated[int | None, typer.Argument(help="Print the plan of this seed.")] = None,
) -> None:
    """List the kinds of faults, or print the plan of a seed."""
    if seed is not None:
        print(plans.dump(plans.generate(seed)))
        return
    table = Table("to", "kinds", box=None)
    for to, kinds in (
        ("a process", plans.PROCESS_FAULTS),
        ("a path", plans.PATH_FAULTS),
        ("a shared folder", plans.FOLDER_FAULTS),
        ("a Consul", plans.CONSUL_FAULTS),
    ):
        table.add_row(to, ", ".join(dict.fromkeys(kinds)))
    Console().print(table)


@app.command()
def whole(
    states: Annotated[int, typer.Option(min=1000, help="Maximal number of states.")] = 1_000_000,
    incarnations: Annotated[
        int,
        typer.Option("--incarnations", "--lives", min=2, max=3, help="Number of processes."),
    ] = 2,
) -> None:
    """Check the leases of the pure core in every order of events within bounds."""
    started = time.monotonic()
    found = check(World(Bounds(incarnations=incarnations)), states)
    raise typer.Exit(found.report(time.monotonic() - started))


@interruptible
def explore_fleet(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None, as_json: bool
) -> int:
    """`limebridge explore --fleet`: run the same plans in memory; returns the exit status."""
    started, totals = time.monotonic(), FleetTotals()
    explore_seeds(virtual.explore(first, seeds, jobs, 0, prepare), seeds, as_json, totals.add)
    if prepare is not None:
        prepare()
    print_shrunk(totals.failed, virtual.shrink, plans.dump)
    print_summary(totals.summary(first, time.monotonic() - started), as_json)
    return 1 if totals.failed else 0
