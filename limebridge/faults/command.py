"""`limebridge faults`: plans of faults on several processes of the daemon."""

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

from . import explore
from . import memory as virtual
from . import plan as plans
from .distribution.command import app as distribution
from .exploring import collect_outcomes, explore_seeds, print_shrunk
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
from .runner import play
from .sharing.command import app as sharing
from .soak_command import soak
from .state_space import check
from .summary import FleetTotals, RunSummary, summary_of_run

app = typer.Typer(no_args_is_help=True, help="Several processes, and what breaks between them.")
app.add_typer(sharing, name="sharing")
app.add_typer(distribution, name="distribution")
app.command()(interruptible(soak))


@app.command()
@interruptible
def run(
    seeds: PlanCount = 20,
    first: FirstSeed = 0,
    jobs: Annotated[int, typer.Option(min=0, help="Plans at once; 0 is one a core.")] = 0,
    store: Annotated[str, typer.Option(help="folder or consul; else as the seeds say.")] = "",
    settles: Annotated[
        bool | None,
        typer.Option(
            "--settles/--beats", help="With ledgers and settlement, or without; else by seed."
        ),
    ] = None,
    keep: Annotated[
        Path | None,
        typer.Option(metavar="DIR", help="Where plans of what broke are written, made small."),
    ] = None,
    patch: PatchFile = None,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
) -> None:
    """Play plans drawn from seeds on real processes.  Exit status 1 when something broke."""
    chosen = [plans.draw(seed, _store(store), settles) for seed in range(first, first + seeds)]
    began = time.monotonic()
    played = collect_outcomes(explore.play_plans(chosen, jobs, patch_path(patch)), seeds, as_json)
    seconds = time.monotonic() - began
    broken = sorted((each for each in played if each.violations), key=lambda each: each.plan.seed)
    for outcome in broken[:MAX_REPORTED]:
        _report_shrunk(outcome, store, keep, patch_path(patch))
    summary = summary_of_run(played, broken, seconds)
    if as_json:
        print_summary(summary, as_json)
    else:
        _print_table(summary)
    raise typer.Exit(1 if broken else 0)


def _print_table(summary: RunSummary) -> None:
    table = Table("what", "value", show_header=False, box=None)
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


def _report_shrunk(outcome: explore.PlayedPlan, store: str, keep: Path | None, patch: str) -> None:
    """Print the story of the smallest plan that breaks the rule, and the line that replays it."""
    small = explore.shrink(outcome, patch)
    seed = outcome.plan.seed
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
    what: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    store: Annotated[str, typer.Option(help="As it was given to run.")] = "",
    settles: Annotated[bool | None, typer.Option("--settles/--beats")] = None,
    in_memory: Annotated[
        bool, typer.Option("--virtual", help="In memory, as `explore --fleet` plays it: exact.")
    ] = False,
    tries: Annotated[
        int,
        typer.Option(
            min=1,
            max=10_000,
            help=("Under so many seeds, until one breaks something: its waits and clocks differ."),
        ),
    ] = 1,
    patch: PatchFile = None,
) -> None:
    """Play one plan again and tell its story.  Exit status 1 when it breaks something."""
    where = _store(store)
    try:
        plan = plans.draw(int(what), where, settles) if what.isdecimal() else plans.read(Path(what))
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if in_memory:
        raise typer.Exit(_replay_in_memory(plan, tries, patch))
    outcome = play(plan, patch_path(patch))
    print(format_trace(outcome.history, outcome.violations))
    print(f"{outcome.effects} effects, {outcome.seconds:.1f} s, {len(outcome.violations)} broken")
    raise typer.Exit(1 if outcome.violations else 0)


def _replay_in_memory(plan: plans.Plan, tries: int, patch: Path | None) -> int:
    """Play a plan under some seeds, until one breaks something; the exit status."""
    if patch is not None:
        Patch(patch_path(patch))()
    for seed in range(plan.seed, plan.seed + tries):
        outcome = virtual.play(msgspec.structs.replace(plan, seed=seed, settles=False), tells=True)
        if outcome.violations:
            break
    print(f"seed {outcome.plan.seed}\n{outcome.trace}")
    return 1 if outcome.violations else 0


@app.command("list")
def list_(
    seed: Annotated[int | None, typer.Argument(help="The plan of this seed.")] = None,
) -> None:
    """The kinds of faults, or what a seed's plan is."""
    if seed is not None:
        print(plans.dump(plans.draw(seed)))
        return
    table = Table("to", "kinds", box=None)
    for to, kinds in (
        ("a process", plans.PROCESS),
        ("a way", plans.WAYS),
        ("a shared folder", plans.FOLDER),
        ("a Consul", plans.CONSUL),
    ):
        table.add_row(to, ", ".join(dict.fromkeys(kinds)))
    Console().print(table)


@app.command()
def whole(
    states: Annotated[int, typer.Option(min=1000, help="How many at most.")] = 1_000_000,
    incarnations: Annotated[
        int,
        typer.Option("--incarnations", "--lives", min=2, max=3, help="Processes at a time."),
    ] = 2,
) -> None:
    """Check ownership in every order of what may happen, on the pure core."""
    began = time.monotonic()
    found = check(World(Bounds(incarnations=incarnations)), states)
    raise typer.Exit(found.report(time.monotonic() - began))


@interruptible
def explore_fleet(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None, as_json: bool
) -> int:
    """`limebridge explore --fleet`: the same plans in memory; the exit status."""
    began, totals = time.monotonic(), FleetTotals()
    explore_seeds(virtual.explore(first, seeds, jobs, 0, prepare), seeds, as_json, totals.add)
    if prepare is not None:
        prepare()
    print_shrunk(totals.failed, virtual.shrink, plans.dump)
    print_summary(totals.summary(first, time.monotonic() - began), as_json)
    return 1 if totals.failed else 0
