"""`limebridge faults sharing`: commands that run budgets shared by several proxies under faults."""

from __future__ import annotations

import time
from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from limebridge.faults.budgets import Bounds, World
from limebridge.faults.interruption import interruptible
from limebridge.faults.options import (
    MAX_REPORTED,
    FirstSeed,
    Jobs,
    Json,
    Patch,
    PatchFile,
    PlanCount,
    SeedCount,
    patch_path,
    print_summary,
    worker_patch,
)
from limebridge.faults.pool import run_each
from limebridge.faults.reporting import collect_outcomes, explore_seeds, print_shrunk
from limebridge.faults.state_space import check
from violetroute.config import ConfigError

from . import checker, memory, pool_run, rig
from . import plan as plans
from .summary import SharingTotals, summary_of_run

app = typer.Typer(
    no_args_is_help=True, help="Check budgets shared by several proxies, under faults."
)


@app.command()
@interruptible
def run(
    seeds: PlanCount = 20,
    first: FirstSeed = 0,
    jobs: Jobs = 0,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Run plans generated from seeds on real processes.  Exit status 1 after a violation."""
    started = time.monotonic()
    selected = [plans.generate(seed) for seed in range(first, first + seeds)]
    run_one = partial(pool_run.run_in_worker, patch=patch_path(patch))
    played = collect_outcomes(run_each(run_one, selected, jobs), seeds, as_json)
    broken = sorted((each for each in played if each.violations), key=lambda each: each.plan.seed)
    for each in broken[:MAX_REPORTED]:
        typer.echo(
            f"limebridge faults sharing replay {each.plan.seed}\n"
            f"{plans.dump(each.plan)}{each.trace}",
            err=True,
        )
    print_summary(summary_of_run(played, broken, time.monotonic() - started), as_json)
    raise typer.Exit(1 if broken else 0)


@app.command()
@interruptible
def explore(
    seeds: SeedCount = 200,
    first: FirstSeed = 0,
    jobs: Jobs = 0,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Run plans in memory, deterministic by seed.  Exit status 1 after a violation."""
    started, totals = time.monotonic(), SharingTotals()
    prepare = worker_patch(patch)
    explore_seeds(memory.explore(first, seeds, jobs, prepare), seeds, as_json, totals.add)
    if prepare is not None:
        prepare()
    print_shrunk(totals.failed, memory.shrink, plans.dump)
    print_summary(totals.summary(first, time.monotonic() - started), as_json)
    raise typer.Exit(1 if totals.failed else 0)


@app.command()
@interruptible
def replay(
    file_or_seed: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    in_memory: Annotated[bool, typer.Option("--virtual", help="In memory: deterministic.")] = False,
    patch: PatchFile = None,
) -> None:
    """Run one plan and print its trace.  Exit status 1 after a violation."""
    try:
        plan = (
            plans.generate(int(file_or_seed))
            if file_or_seed.isdecimal()
            else plans.read(Path(file_or_seed))
        )
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if in_memory:
        if patch is not None:
            Patch(patch_path(patch))()
        outcome = memory.run_plan(plan, with_trace=True)
        print(outcome.trace)
        raise typer.Exit(1 if outcome.violations else 0)
    played = rig.run_plan(plan, patch_path(patch))
    print(checker.format_trace(played.observed, played.violations))
    raise typer.Exit(1 if played.violations else 0)


@app.command()
@interruptible
def whole(
    states: Annotated[int, typer.Option(min=1000, help="Maximal number of states.")] = 1_000_000,
    names: Annotated[int, typer.Option(min=2, max=3)] = 2,
) -> None:
    """Check the loans of the pure core in every order of events within bounds."""
    started = time.monotonic()
    result = check(World(Bounds(processes=names)), states)
    raise typer.Exit(result.report(time.monotonic() - started))
