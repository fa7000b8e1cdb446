"""`limebridge faults sharing`: budgets of several proxies under faults."""

from __future__ import annotations

import json
import os
import runpy
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from hashlib import blake2b
from multiprocessing import get_context
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

from limebridge.faults.budgets import Bounds, World
from limebridge.faults.whole import check
from violetroute.config import ConfigError

from . import judge, memory, rig
from . import plan as plans

app = typer.Typer(no_args_is_help=True, help="Budgets that proxies share, under faults.")
PatchFile = Annotated[
    Path | None,
    typer.Option(
        "--patch", metavar="FILE", help="A Python file whose plant() each proxy calls first."
    ),
]
Json = Annotated[bool, typer.Option("--json", help="One JSON object.")]
Jobs = Annotated[int, typer.Option(min=0, help="At once; 0 is one a core.")]
SHOWN = 3  # broken plans that are told
COLUMNS = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())


class Patch:
    """Calls plant() of a file; can be sent to another process."""

    def __init__(self, path: str) -> None:
        self.path = path

    def __call__(self) -> None:
        runpy.run_path(self.path)["plant"]()


@app.command()
def run(
    seeds: Annotated[int, typer.Option(min=1, max=100_000, help="How many plans.")] = 20,
    first: Annotated[int, typer.Option("--from", min=0, help="The first seed.")] = 0,
    jobs: Jobs = 0,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Play plans drawn from seeds on real processes.  Exit status 1 when something broke."""
    began, told = time.monotonic(), list[dict[str, Any]]()
    with (
        ProcessPoolExecutor(jobs or os.cpu_count(), mp_context=get_context("spawn")) as pool,
        Progress(*COLUMNS, console=Console(stderr=True), disable=as_json) as progress,
    ):
        bar = progress.add_task("playing", total=seeds)
        waits = [
            pool.submit(rig.one, plans.draw(seed), _path(patch))
            for seed in range(first, first + seeds)
        ]
        for done in as_completed(waits):
            told.append(done.result())
            bad = sum(bool(each["broken"]) for each in told)
            progress.update(bar, completed=len(told), description=f"{bad} broken")
    broken = sorted((each for each in told if each["broken"]), key=lambda each: each["plan"].seed)
    for each in broken[:SHOWN]:
        typer.echo(
            f"limebridge faults sharing replay {each['plan'].seed}\n"
            f"{plans.dump(each['plan'])}{each['story']}",
            err=True,
        )
    again = sorted(each["again"] for each in told)
    seconds = time.monotonic() - began
    _say(
        {
            "plans": len(told),
            "seconds": round(seconds, 1),
            "plans_a_minute": round(60.0 * len(told) / seconds, 1),
            "asked": sum(each["asked"] for each in told),
            "let_in": sum(each["spent"] for each in told),
            "spent_in_the_end": {
                "least": round(again[0], 3),
                "middle": round(again[len(again) // 2], 3),
            },
            "rig_late_s": round(max(each["late"] for each in told), 3),
            "broken": [[each["plan"].seed, *each["broken"][0]] for each in broken],
        },
        as_json,
    )
    raise typer.Exit(1 if broken else 0)


@app.command()
def explore(
    seeds: Annotated[int, typer.Option(min=1, max=1_000_000, help="How many.")] = 200,
    first: Annotated[int, typer.Option("--from", min=0, help="The first seed.")] = 0,
    jobs: Jobs = 0,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Play plans in memory, exact from their seeds.  Exit status 1 when something broke."""
    began, spent, played = time.monotonic(), 0, 0
    prepare: Callable[[], None] | None = Patch(_path(patch)) if patch is not None else None
    bad: list[memory.Outcome] = []
    again: list[float] = []
    digest = blake2b(digest_size=8)
    with Progress(*COLUMNS, console=Console(stderr=True), disable=as_json) as progress:
        bar = progress.add_task("exploring", total=seeds)
        for outcomes in memory.explore(first, seeds, jobs, prepare):
            for each in outcomes:
                played, spent = played + 1, spent + each.spent
                again.append(each.again)
                digest.update(each.digest.encode())
                bad += [each] if each.broken else []
            progress.update(bar, completed=played, description=f"{len(bad)} broken")
    if prepare is not None:
        prepare()
    for each in bad[:SHOWN]:
        small = memory.shrink(each)
        typer.echo(
            f"seed {each.plan.seed}, made small:\n{plans.dump(small.plan)}{small.story}", err=True
        )
    again.sort()
    _say(
        {
            "first": first,
            "seeds": played,
            "seconds": round(time.monotonic() - began, 1),
            "let_in": spent,
            "spent_in_the_end": {
                "least": round(again[0], 3),
                "middle": round(again[len(again) // 2], 3),
            },
            "broken": [[each.plan.seed, *each.broken[0]] for each in bad],
            "digest": digest.hexdigest(),
        },
        as_json,
    )
    raise typer.Exit(1 if bad else 0)


@app.command()
def replay(
    what: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    in_memory: Annotated[bool, typer.Option("--virtual", help="In memory: exact.")] = False,
    patch: PatchFile = None,
) -> None:
    """Play one plan again and tell its story.  Exit status 1 when it breaks something."""
    try:
        plan = plans.draw(int(what)) if what.isdecimal() else plans.read(Path(what))
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if in_memory:
        if patch is not None:
            Patch(_path(patch))()
        outcome = memory.play(plan, tells=True)
        print(outcome.story)
        raise typer.Exit(1 if outcome.broken else 0)
    played = rig.play(plan, _path(patch))
    print(judge.tell(played.seen, played.broken))
    raise typer.Exit(1 if played.broken else 0)


@app.command()
def whole(
    states: Annotated[int, typer.Option(min=1000, help="How many at most.")] = 1_000_000,
    names: Annotated[int, typer.Option(min=2, max=3)] = 2,
) -> None:
    """Check budgets in every order of what may happen, on the pure core."""
    began = time.monotonic()
    found = check(World(Bounds(names=names)), states)
    raise typer.Exit(found.tell(time.monotonic() - began))


def _say(told: dict[str, Any], as_json: bool) -> None:
    print(
        json.dumps(told) if as_json else "\n".join(f"{key}: {value}" for key, value in told.items())
    )


def _path(patch: Path | None) -> str:
    if patch is None:
        return ""
    if not patch.is_file():
        typer.echo(f"limebridge: no file {patch}", err=True)
        raise typer.Exit(2)
    return str(patch.resolve())
