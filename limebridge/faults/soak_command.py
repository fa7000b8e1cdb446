"""`limebridge faults soak`: runs soaks of real daemons, each generated from a seed."""

from __future__ import annotations

import json

import msgspec
import typer

from .launch import daemon_command
from .options import FirstSeed, Jobs, Json, PatchFile, SeedCount, patch_path
from .seed_runs import explore
from .soak import run_seed
from .soak_plan import SoakResult


class RunSeed:
    """Runs the plan of a seed.  It can be pickled for a worker process."""

    def __init__(self, patch: str) -> None:
        self._patch = patch

    def __call__(self, seed: int) -> SoakResult:
        return run_seed(seed, daemon_command(self._patch))


def soak(
    seeds: SeedCount = 50,
    first: FirstSeed = 0,
    jobs: Jobs = 4,
    patch: PatchFile = None,
    as_json: Json = False,
) -> None:
    """Run real daemons under list changes and signals, with clients until the daemon ends.

    Exit status 1 after a violation.
    """
    totals = {"seeds": 0, "asked": 0, "served": 0, "refused": 0, "crossed": 0, "broken": 0}
    for results in explore(RunSeed(patch_path(patch)), first, seeds, jobs):
        for result in results:
            _add(totals, result)
            if result.broken:
                _report(result)
    typer.echo(json.dumps(totals) if as_json else " ".join(f"{k}={v}" for k, v in totals.items()))
    raise typer.Exit(1 if totals["broken"] else 0)


def _add(totals: dict[str, int], result: SoakResult) -> None:
    totals["seeds"] += 1
    totals["broken"] += bool(result.broken)
    for name in ("asked", "served", "refused", "crossed"):
        totals[name] += getattr(result, name)


def _report(result: SoakResult) -> None:
    """Print the command line that replays a failed plan, the plan, and its violations."""
    seed = result.plan.seed
    typer.echo(f"limebridge faults soak --seeds 1 --from {seed}", err=True)
    typer.echo(msgspec.json.encode(result.plan).decode(), err=True)
    for violation in result.broken:
        typer.echo(violation.line(), err=True)
