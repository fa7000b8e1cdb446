"""`limebridge experiment search`: looks for the events that cause the largest losses."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn
from rich.table import Table

from limebridge.rehearsal.scenario import Scenario
from limebridge.rehearsal.vary import named_scenario
from violetroute.config import ConfigError

from .builds import BuildError
from .options import NARROW, AsJson, fail
from .parallel_search import ParallelSearch, write_scenarios
from .search import Archive


def search(
    scenario: Annotated[str, typer.Argument(help="A scenario of `rehearse`, to add events to.")],
    runs: Annotated[int, typer.Option(min=4, max=100_000, help="Number of plans to try.")] = 200,
    seed: Annotated[int, typer.Option(min=0, help="Seed of the search.")] = 1,
    finds: Annotated[int, typer.Option(min=1, max=100, help="Number of plans to keep.")] = 10,
    folder: Annotated[Path, typer.Option("--out", metavar="DIR")] = Path("found"),
    random: Annotated[
        bool, typer.Option("--random", help="Random plans only, to compare.")
    ] = False,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0: one per core.")] = 0,
    as_json: AsJson = False,
) -> None:
    """Search for the events that cause the largest losses for this checkout; write scenarios.

    Exit status 1 if a plan violated a rule.
    """
    try:
        base = named_scenario(scenario)
        output = asyncio.run(
            _search(
                base,
                runs,
                seed,
                finds,
                folder,
                not random,
                jobs or len(os.sched_getaffinity(0)),
                as_json,
            )
        )
    except (ConfigError, BuildError, OSError) as error:
        fail(error)
    if as_json:
        print(json.dumps(output))
    else:
        table = Table("lost", "other seeds", "kinds", "scenario", **NARROW)
        for row in output["finds"]:
            table.add_row(f"{row['loss']:.3f}", f"{row['others']:.3f}", row["kind"], row["file"])
        Console().print(table)
        for plan in output["broken"]:
            print(f"rule violated: {plan}")
    raise typer.Exit(1 if output["broken"] else 0)


async def _search(
    base: Scenario,
    runs: int,
    seed: int,
    finds: int,
    folder: Path,
    guided: bool,
    jobs: int,
    quiet: bool,
) -> dict[str, Any]:
    search_run = ParallelSearch(base, Path(".builds"), jobs)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    try:
        with Progress(*columns, console=Console(stderr=True), disable=quiet) as shown:
            bar = shown.add_task("searching", total=runs)

            def show_progress(archive: Archive) -> None:
                shown.update(
                    bar,
                    completed=len(archive.tried),
                    description=(
                        f"worst {archive.worst_so_far[-1]:.3f}, {len(archive.best)} kinds"
                    ),
                )

            archive = await search_run.run(runs, seed, guided, show_progress)
            shown.update(bar, description="shrinking")
            plans = await search_run.best_plans(archive, finds)
    finally:
        await search_run.stop()
    paths = write_scenarios(base, plans, folder)
    return {
        "scenario": base.name,
        "guided": guided,
        "seed": seed,
        "runs": search_run.runs,
        "worst": archive.worst_so_far[-1],
        "kinds": len(archive.best),
        "finds": [
            {
                "loss": rated.loss,
                "others": rated.other_seeds_loss,
                "kind": rated.kind,
                "file": str(path),
                "plan": msgspec.to_builtins(rated.plan),
            }
            for rated, path in zip(plans, paths, strict=True)
        ],
        "broken": [msgspec.to_builtins(plan) for plan, _ in search_run.violating_plans],
    }
