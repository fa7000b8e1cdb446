"""`limebridge experiment search`: looks for the troubles that cost most."""

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

from .builds import NoBuild
from .options import NARROW, AsJson, stop
from .parallel_search import Hunt, written
from .search import Archive


def search(
    scenario: Annotated[str, typer.Argument(help="A scenario of `rehearse`, to put troubles on.")],
    runs: Annotated[int, typer.Option(min=4, max=100_000, help="The budget.")] = 200,
    seed: Annotated[int, typer.Option(min=0, help="Of the search.")] = 1,
    finds: Annotated[int, typer.Option(min=1, max=100, help="Plans to end with.")] = 10,
    folder: Annotated[Path, typer.Option("--out", metavar="DIR")] = Path("found"),
    random: Annotated[bool, typer.Option("--random", help="Drawn at random, to compare.")] = False,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0 is one a core.")] = 0,
    as_json: AsJson = False,
) -> None:
    """Look for the troubles that cost this checkout most, and write them as scenarios.

    Exit status 1 when a plan broke a rule.
    """
    try:
        base = named_scenario(scenario)
        told = asyncio.run(
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
    except (ConfigError, NoBuild, OSError) as error:
        stop(error)
    if as_json:
        print(json.dumps(told))
    else:
        table = Table("lost", "other seeds", "kinds", "scenario", **NARROW)
        for each in told["finds"]:
            table.add_row(
                f"{each['loss']:.3f}", f"{each['others']:.3f}", each["kind"], each["file"]
            )
        Console().print(table)
        for plan in told["broken"]:
            print(f"a rule broke: {plan}")
    raise typer.Exit(1 if told["broken"] else 0)


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
    hunt = Hunt(base, Path(".builds"), jobs)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    try:
        with Progress(*columns, console=Console(stderr=True), disable=quiet) as shown:
            bar = shown.add_task("searching", total=runs)

            def told(archive: Archive) -> None:
                shown.update(
                    bar,
                    completed=len(archive.tried),
                    description=(
                        f"worst {archive.worst_so_far[-1]:.3f}, {len(archive.best)} kinds"
                    ),
                )

            archive = await hunt.go(runs, seed, guided, told)
            shown.update(bar, description="shrinking")
            found = await hunt.finds(archive, finds)
    finally:
        await hunt.end()
    paths = written(base, found, folder)
    return {
        "scenario": base.name,
        "guided": guided,
        "seed": seed,
        "runs": hunt.runs,
        "worst": archive.worst_so_far[-1],
        "kinds": len(archive.best),
        "finds": [
            {
                "loss": f.loss,
                "others": f.others,
                "kind": f.kind,
                "file": str(path),
                "plan": msgspec.to_builtins(f.plan),
            }
            for f, path in zip(found, paths, strict=True)
        ],
        "broken": [msgspec.to_builtins(plan) for plan, _ in hunt.broken],
    }
