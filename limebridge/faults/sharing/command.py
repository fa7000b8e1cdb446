"""`limebridge faults sharing`: budgets of several proxies under faults."""

from __future__ import annotations

import time
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import typer

from limebridge.faults.budgets import Bounds, World
from limebridge.faults.interruption import interruptible
from limebridge.faults.options import (
    SHOWN,
    FirstSeed,
    Jobs,
    Json,
    Patch,
    PatchFile,
    PlanCount,
    SeedCount,
    patch_path,
    planted,
    print_summary,
    seed_progress,
)
from limebridge.faults.pool import play_each
from limebridge.faults.state_space import check
from violetroute.config import ConfigError

from . import judge, many, memory, rig
from . import plan as plans

app = typer.Typer(no_args_is_help=True, help="Budgets that proxies share, under faults.")


@app.command()
@interruptible
def run(
    seeds: PlanCount = 20,
    first: FirstSeed = 0,
    jobs: Jobs = 0,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Play plans drawn from seeds on real processes.  Exit status 1 when something broke."""
    began, told = time.monotonic(), list[many.PlayedPlan]()
    chosen = [plans.draw(seed) for seed in range(first, first + seeds)]
    play = partial(many.play_plan, patch=patch_path(patch))
    with seed_progress("playing", seeds, as_json) as progress:
        for outcome in play_each(play, chosen, jobs):
            told.append(outcome)
            bad = sum(bool(each.broken) for each in told)
            progress.update(len(told), bad)
    broken = sorted((each for each in told if each.broken), key=lambda each: each.plan.seed)
    for each in broken[:SHOWN]:
        typer.echo(
            f"limebridge faults sharing replay {each.plan.seed}\n"
            f"{plans.dump(each.plan)}{each.story}",
            err=True,
        )
    again = sorted(each.again for each in told)
    seconds = time.monotonic() - began
    print_summary(
        {
            "plans": len(told),
            "seconds": round(seconds, 1),
            "plans_a_minute": round(60.0 * len(told) / seconds, 1),
            "asked": sum(each.asked for each in told),
            "let_in": sum(each.spent for each in told),
            "spent_in_the_end": {
                "least": round(again[0], 3),
                "middle": round(again[len(again) // 2], 3),
            },
            "rig_late_s": round(max(each.late for each in told), 3),
            "broken": [[each.plan.seed, *each.broken[0]] for each in broken],
        },
        as_json,
    )
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
    """Play plans in memory, exact from their seeds.  Exit status 1 when something broke."""
    began, spent, played = time.monotonic(), 0, 0
    prepare = planted(patch)
    bad: list[memory.Outcome] = []
    again: list[float] = []
    digest = blake2b(digest_size=8)
    with seed_progress("exploring", seeds, as_json) as progress:
        for outcomes in memory.explore(first, seeds, jobs, prepare):
            for each in outcomes:
                played, spent = played + 1, spent + each.spent
                again.append(each.again)
                digest.update(each.digest.encode())
                bad += [each] if each.broken else []
            progress.update(played, len(bad))
    if prepare is not None:
        prepare()
    for each in bad[:SHOWN]:
        small = memory.shrink(each)
        typer.echo(
            f"seed {each.plan.seed}, made small:\n{plans.dump(small.plan)}{small.story}", err=True
        )
    again.sort()
    print_summary(
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
@interruptible
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
            Patch(patch_path(patch))()
        outcome = memory.play(plan, tells=True)
        print(outcome.story)
        raise typer.Exit(1 if outcome.broken else 0)
    played = rig.play(plan, patch_path(patch))
    print(judge.tell(played.seen, played.broken))
    raise typer.Exit(1 if played.broken else 0)


@app.command()
@interruptible
def whole(
    states: Annotated[int, typer.Option(min=1000, help="How many at most.")] = 1_000_000,
    names: Annotated[int, typer.Option(min=2, max=3)] = 2,
) -> None:
    """Check budgets in every order of what may happen, on the pure core."""
    began = time.monotonic()
    found = check(World(Bounds(names=names)), states)
    raise typer.Exit(found.report(time.monotonic() - began))
