"""`limebridge faults distribution`: fault tests of the distribution of versioned records."""

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

from limebridge.experiments.builds import BuildError
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
from .real_plan import generate_real
from .rig import RealOutcome
from .state_space import Bounds, World

app = typer.Typer(no_args_is_help=True, help="Test the distribution of records under faults.")
MaxCount = Annotated[int, typer.Option(min=0, max=10, help="Maximum count.")]
LIVENESS_EVERY = 1000  # one in so many new states is checked for recovery after its faults
MAX_LISTED = 20  # failed plans that a summary names
Older = Annotated[
    str,
    typer.Option(metavar="COMMIT", help="Run the build of this commit in some processes."),
]
Rolling = Annotated[
    bool,
    typer.Option(
        help="With --older: roll all processes to this build, one after another, and back."
    ),
]


class ExploreSummary(msgspec.Struct):
    """Totals of an exploration; `healed_after_s` has percentiles by name."""

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


class WalkSummary(msgspec.Struct):
    """Totals of random walks."""

    first: int
    walks: int = 0
    events: int = 0
    seconds: float = 0.0
    broken: list[tuple[int, str, str]] = []
    broken_count: int = 0


class RunSummary(msgspec.Struct):
    """Totals of plans on real processes; the durations are percentiles by name."""

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
    """Run plans in the simulated world, reproducible by seed.  Exit status 1 on a violation."""
    started_at, summary = time.monotonic(), ExploreSummary(first)
    prepare = worker_patch(patch)
    failed: list[exploration.Outcome] = []
    healed: list[float] = []
    digest = blake2b(digest_size=8)
    with seed_progress("exploring", seeds, as_json) as progress:
        for outcomes in exploration.explore(first, seeds, jobs, prepare):
            for outcome in outcomes:
                summary.seeds += 1
                summary.committed += outcome.committed
                summary.applied += outcome.applied
                summary.snapshots += outcome.invalidations
                healed.append(outcome.healed_after_s)
                digest.update(outcome.digest.encode())
                failed += [outcome] if outcome.violations else []
            progress.update(summary.seeds, len(failed))
    if prepare is not None:
        prepare()
    for outcome in failed[:MAX_REPORTED]:
        shrunk = exploration.shrink(outcome)
        typer.echo(
            f"seed {outcome.plan.seed}, shrunk:\n{plans.dump(shrunk.plan)}{shrunk.trace}", err=True
        )
    summary.seconds, summary.digest = round(time.monotonic() - started_at, 1), digest.hexdigest()
    summary.healed_after_s = _percentiles(healed)
    summary.broken = [
        (outcome.plan.seed, *outcome.violations[0]) for outcome in failed[:MAX_LISTED]
    ]
    summary.broken_count = len(failed)
    _print_summary(summary, as_json)
    raise typer.Exit(1 if failed else 0)


@app.command()
@interruptible
def run(
    seeds: PlanCount = 50,
    first: FirstSeed = 0,
    jobs: Annotated[int, typer.Option(min=1, max=64, help="Plans that run at the same time.")] = 2,
    older: Older = "",
    rolling: Rolling = False,
    as_json: Json = False,
) -> None:
    """Run plans on real processes.  Exit status 1 on a violation."""
    started_at, summary = time.monotonic(), RunSummary(first, older=older, rolling=rolling)
    failed: list[RealOutcome] = []
    seconds: list[float] = []
    healed: list[float] = []
    generated = [generate_real(seed, rolling) for seed in range(first, first + seeds)]
    with (
        _builds(older, rolling) as builds,
        seed_progress("running", seeds, as_json) as progress,
    ):
        for outcome in run_each(functools.partial(rig.run_plan, builds=builds), generated, jobs):
            summary.plans += 1
            summary.committed += outcome.committed
            summary.applied += outcome.applied
            summary.replaced += outcome.replaced
            summary.leaders_replaced += outcome.leaders_replaced
            seconds.append(outcome.seconds)
            healed.append(outcome.healed_after_s)
            failed += [outcome] if outcome.violations else []
            progress.update(summary.plans, len(failed))
    for outcome in failed[:MAX_REPORTED]:
        typer.echo(
            f"real seed {outcome.plan.seed}:\n{plans.dump(outcome.plan)}{outcome.trace}", err=True
        )
    summary.seconds = round(time.monotonic() - started_at, 1)
    summary.seconds_a_plan, summary.healed_after_s = _percentiles(seconds), _percentiles(healed)
    summary.broken = sorted(
        (outcome.plan.seed, *outcome.violations[0]) for outcome in failed[:MAX_LISTED]
    )
    summary.broken_count = len(failed)
    _print_summary(summary, as_json)
    raise typer.Exit(1 if failed else 0)


@app.command()
@interruptible
def replay(
    source: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    real: Annotated[bool, typer.Option("--real", help="On real processes.")] = False,
    older: Older = "",
    rolling: Rolling = False,
    patch: PatchFile = None,
) -> None:
    """Run one plan again and print its trace; or replay the events of a .story file, one per line.

    Exit status 1 on a violation.
    """
    if patch is not None:
        Patch(patch_path(patch))()
    if source.endswith(".story"):
        violation = walks.replay(Path(source).read_text().splitlines())
        print(f"BROKEN {violation}" if violation else "no violation")
        raise typer.Exit(1 if violation else 0)
    try:
        generate = functools.partial(generate_real, rolling=rolling) if real else plans.generate
        plan = generate(int(source)) if source.isdecimal() else plans.read(Path(source))
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if real:
        with _builds(older, rolling) as builds:
            real_outcome = rig.run_plan(plan, builds=builds)
        print(real_outcome.trace)
        raise typer.Exit(1 if real_outcome.violations else 0)
    outcome = exploration.run_plan(plan, with_trace=True)
    print(outcome.trace)
    print(f"digest {outcome.digest}, {len(outcome.violations)} violations")
    raise typer.Exit(1 if outcome.violations else 0)


@app.command()
@interruptible
def walk(
    seeds: Annotated[int, typer.Option(min=1, max=10_000_000, help="Number of walks.")] = 1000,
    first: FirstSeed = 0,
    jobs: Jobs = 0,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Run random walks through the orders of events.  Exit status 1 on a violation."""
    started_at, summary = time.monotonic(), WalkSummary(first)
    prepare = worker_patch(patch)
    failed: list[walks.Walk] = []
    with seed_progress("walking", seeds, as_json) as progress:
        for walked in walks.explore(first, seeds, jobs, prepare):
            summary.walks += len(walked)
            summary.events += sum(len(outcome.trace) for outcome in walked)
            failed += [outcome for outcome in walked if outcome.violation]
            progress.update(summary.walks, len(failed))
    if prepare is not None:
        prepare()
    for outcome in failed[:MAX_REPORTED]:
        shrunk = walks.shrink(outcome)
        trace = "\n".join(shrunk.trace)
        typer.echo(f"seed {outcome.seed}, shrunk:\n{trace}\nBROKEN {shrunk.violation}", err=True)
    summary.seconds = round(time.monotonic() - started_at, 1)
    summary.broken = [
        (outcome.seed, outcome.rule, outcome.violation[:200]) for outcome in failed[:MAX_LISTED]
    ]
    summary.broken_count = len(failed)
    _print_summary(summary, as_json)
    raise typer.Exit(1 if failed else 0)


@app.command()
@interruptible
def whole(
    states: Annotated[int, typer.Option(min=1000, help="Maximum number of states.")] = 100_000,
    leaders: MaxCount = 1,
    publications: MaxCount = 0,
    losses: MaxCount = 0,
    copies: MaxCount = 0,
    crashes: MaxCount = 0,
    torn: MaxCount = 0,
    disks: MaxCount = 0,
    times: MaxCount = 0,
    polls: MaxCount = 0,
    patch: PatchFile = None,
) -> None:
    """Explore every order of events of three control machines, within bounds."""
    started_at = time.monotonic()
    if patch is not None:
        Patch(patch_path(patch))()
    bounds = Bounds(times, publications, leaders, losses, copies, crashes, torn, disks, polls)
    result = check(World(bounds), states, liveness_every=LIVENESS_EVERY)
    raise typer.Exit(result.report(time.monotonic() - started_at))


@contextmanager
def _builds(older: str, rolling: bool) -> Iterator[Builds | None]:
    """Unpacks both builds into a temporary folder; yields None without an older one.

    Exits with status 2 if there is no such build, or if `rolling` is set without `older`.
    """
    if rolling and not older:
        typer.echo("limebridge: --rolling needs --older", err=True)
        raise typer.Exit(2)
    if not older:
        yield None
        return
    with tempfile.TemporaryDirectory(prefix="lb-builds-") as folder:
        try:
            builds = unpack(older, Path(folder), rolling)
        except BuildError as error:
            typer.echo(f"limebridge: {error}", err=True)
            raise typer.Exit(2) from None
        yield builds


def _percentiles(values: list[float]) -> dict[str, float]:
    values.sort()
    return {
        name: round(values[min(len(values) - 1, int(share * len(values)))], 3)
        for name, share in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0))
    }


def _print_summary(summary: msgspec.Struct, as_json: bool) -> None:
    print_summary(msgspec.to_builtins(summary), as_json)
