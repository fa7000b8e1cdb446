"""`limebridge faults distribution`: versioned records under faults."""

from __future__ import annotations

import functools
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from limebridge.experiments.builds import NoBuild
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
    seed_progress,
    worker_patch,
)
from limebridge.faults.pool import run_each
from limebridge.faults.state_space import check
from violetroute.config import ConfigError

from . import explore as exploration
from . import plan as plans
from . import rig
from . import walk as walks
from .mixed_builds import Builds, unpack
from .real_plan import draw_real
from .rig import RealOutcome
from .state_space import Bounds, World

app = typer.Typer(no_args_is_help=True, help="Distribution of records, under faults.")
Often = Annotated[int, typer.Option(min=0, max=10, help="How often at most.")]
HEAL_EVERY = 1000  # states, after which it is looked once whether all goes on
LISTED = 20  # broken plans that are named
Older = Annotated[
    str,
    typer.Option(metavar="COMMIT", help="Some processes run the build of this commit."),
]
Rolling = Annotated[
    bool,
    typer.Option(help="With --older: replace all by this build, one after another, and back."),
]


class Explored(msgspec.Struct):
    """What an exploration found."""

    first: int
    seeds: int = 0
    seconds: float = 0.0
    committed: int = 0
    applied: int = 0
    snapshots: int = 0
    healed_after_s: dict[str, float] = {}
    broken: list[tuple[int, str, str]] = []
    broken_count: int = 0
    digest: str = ""


class Walked(msgspec.Struct):
    """What came of walks."""

    first: int
    walks: int = 0
    events: int = 0
    seconds: float = 0.0
    broken: list[tuple[int, str, str]] = []
    broken_count: int = 0


class Run(msgspec.Struct):
    """What came of plans on real processes."""

    first: int
    plans: int = 0
    seconds: float = 0.0
    seconds_a_plan: dict[str, float] = {}
    committed: int = 0
    applied: int = 0
    healed_after_s: dict[str, float] = {}
    older: str = ""
    rolling: bool = False
    replaced: int = 0
    leaders_replaced: int = 0
    broken: list[tuple[int, str, str]] = []
    broken_count: int = 0


@app.command()
@interruptible
def explore(
    seeds: SeedCount = 200,
    first: FirstSeed = 0,
    jobs: Jobs = 0,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Play plans in the simulated world, exact from their seeds.  Status 1 if something broke."""
    began, told = time.monotonic(), Explored(first)
    prepare = worker_patch(patch)
    bad: list[exploration.Outcome] = []
    healed: list[float] = []
    digest = blake2b(digest_size=8)
    with seed_progress("exploring", seeds, as_json) as progress:
        for outcomes in exploration.explore(first, seeds, jobs, prepare):
            for each in outcomes:
                told.seeds += 1
                told.committed += each.committed
                told.applied += each.applied
                told.snapshots += each.voided
                healed.append(each.healed_after_s)
                digest.update(each.digest.encode())
                bad += [each] if each.violations else []
            progress.update(told.seeds, len(bad))
    if prepare is not None:
        prepare()
    for each in bad[:MAX_REPORTED]:
        small = exploration.shrink(each)
        typer.echo(
            f"seed {each.plan.seed}, made small:\n{plans.dump(small.plan)}{small.trace}", err=True
        )
    told.seconds, told.digest = round(time.monotonic() - began, 1), digest.hexdigest()
    told.healed_after_s = _percentiles(healed)
    told.broken = [(each.plan.seed, *each.violations[0]) for each in bad[:LISTED]]
    told.broken_count = len(bad)
    _say(told, as_json)
    raise typer.Exit(1 if bad else 0)


@app.command()
@interruptible
def run(
    seeds: PlanCount = 50,
    first: FirstSeed = 0,
    jobs: Annotated[int, typer.Option(min=1, max=64, help="Plans at once.")] = 2,
    older: Older = "",
    rolling: Rolling = False,
    as_json: Json = False,
) -> None:
    """Play plans on real processes.  Status 1 if something broke."""
    began, told = time.monotonic(), Run(first, older=older, rolling=rolling)
    bad: list[RealOutcome] = []
    seconds: list[float] = []
    healed: list[float] = []
    chosen = [draw_real(seed, rolling) for seed in range(first, first + seeds)]
    with (
        _builds(older, rolling) as builds,
        seed_progress("playing", seeds, as_json) as progress,
    ):
        for each in run_each(functools.partial(rig.play, builds=builds), chosen, jobs):
            told.plans += 1
            told.committed += each.committed
            told.applied += each.applied
            told.replaced += each.replaced
            told.leaders_replaced += each.leaders_replaced
            seconds.append(each.seconds)
            healed.append(each.healed_after_s)
            bad += [each] if each.violations else []
            progress.update(told.plans, len(bad))
    for each in bad[:MAX_REPORTED]:
        typer.echo(f"real seed {each.plan.seed}:\n{plans.dump(each.plan)}{each.trace}", err=True)
    told.seconds = round(time.monotonic() - began, 1)
    told.seconds_a_plan, told.healed_after_s = _percentiles(seconds), _percentiles(healed)
    told.broken = sorted((each.plan.seed, *each.violations[0]) for each in bad[:LISTED])
    told.broken_count = len(bad)
    _say(told, as_json)
    raise typer.Exit(1 if bad else 0)


@app.command()
@interruptible
def replay(
    what: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    real: Annotated[bool, typer.Option("--real", help="On real processes.")] = False,
    older: Older = "",
    rolling: Rolling = False,
    patch: PatchFile = None,
) -> None:
    """Play one plan again and tell its story; or the events of a .story file, one a line.

    Status 1 if something breaks.
    """
    if patch is not None:
        Patch(patch_path(patch))()
    if what.endswith(".story"):
        wrong = walks.replay(Path(what).read_text().splitlines())
        print(f"BROKEN {wrong}" if wrong else "nothing is broken")
        raise typer.Exit(1 if wrong else 0)
    try:
        draw = functools.partial(draw_real, rolling=rolling) if real else plans.draw
        plan = draw(int(what)) if what.isdecimal() else plans.read(Path(what))
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if real:
        with _builds(older, rolling) as builds:
            played = rig.play(plan, builds=builds)
        print(played.trace)
        raise typer.Exit(1 if played.violations else 0)
    outcome = exploration.play(plan, tells=True)
    print(outcome.trace)
    print(f"digest {outcome.digest}, {len(outcome.violations)} broken")
    raise typer.Exit(1 if outcome.violations else 0)


@app.command()
@interruptible
def walk(
    seeds: Annotated[int, typer.Option(min=1, max=10_000_000, help="How many.")] = 1000,
    first: FirstSeed = 0,
    jobs: Jobs = 0,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Walk at random through the orders of events.  Status 1 if something broke."""
    began, told = time.monotonic(), Walked(first)
    prepare = worker_patch(patch)
    bad: list[walks.Walk] = []
    with seed_progress("walking", seeds, as_json) as progress:
        for found in walks.explore(first, seeds, jobs, prepare):
            told.walks += len(found)
            told.events += sum(len(each.trace) for each in found)
            bad += [each for each in found if each.wrong]
            progress.update(told.walks, len(bad))
    if prepare is not None:
        prepare()
    for each in bad[:MAX_REPORTED]:
        small = walks.shrink(each)
        story = "\n".join(small.trace)
        typer.echo(f"seed {each.seed}, made small:\n{story}\nBROKEN {small.wrong}", err=True)
    told.seconds = round(time.monotonic() - began, 1)
    told.broken = [(each.seed, each.rule, each.wrong[:200]) for each in bad[:LISTED]]
    told.broken_count = len(bad)
    _say(told, as_json)
    raise typer.Exit(1 if bad else 0)


@app.command()
@interruptible
def whole(
    states: Annotated[int, typer.Option(min=1000, help="How many at most.")] = 100_000,
    leaders: Often = 1,
    publications: Often = 0,
    losses: Often = 0,
    copies: Often = 0,
    crashes: Often = 0,
    torn: Often = 0,
    disks: Often = 0,
    times: Often = 0,
    polls: Often = 0,
    patch: PatchFile = None,
) -> None:
    """Follow every order of what may happen to three control machines, within bounds."""
    began = time.monotonic()
    if patch is not None:
        Patch(patch_path(patch))()
    bounds = Bounds(times, publications, leaders, losses, copies, crashes, torn, disks, polls)
    found = check(World(bounds), states, liveness_every=HEAL_EVERY)
    raise typer.Exit(found.report(time.monotonic() - began))


@contextmanager
def _builds(older: str, rolling: bool) -> Iterator[Builds | None]:
    """The two builds, unpacked for as long as they run; None without an older one.  Exit status 2
    where there is no such build."""
    if rolling and not older:
        typer.echo("limebridge: --rolling needs --older", err=True)
        raise typer.Exit(2)
    if not older:
        yield None
        return
    with tempfile.TemporaryDirectory(prefix="lb-builds-") as folder:
        try:
            builds = unpack(older, Path(folder), rolling)
        except NoBuild as error:
            typer.echo(f"limebridge: {error}", err=True)
            raise typer.Exit(2) from None
        yield builds


def _percentiles(values: list[float]) -> dict[str, float]:
    values.sort()
    return {
        name: round(values[min(len(values) - 1, int(share * len(values)))], 3)
        for name, share in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0))
    }


def _say(told: msgspec.Struct, as_json: bool) -> None:
    print_summary(msgspec.to_builtins(told), as_json)
