"""What the commands of `limebridge faults` share: options, planted faults, progress, summaries."""

from __future__ import annotations

import json
import runpy
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

PatchFile = Annotated[
    Path | None,
    typer.Option(
        "--patch", metavar="FILE", help="A Python file whose plant() each process calls first."
    ),
]
Json = Annotated[bool, typer.Option("--json", help="One JSON object.")]
Jobs = Annotated[int, typer.Option(min=0, help="At once; 0 is one a core.")]
FirstSeed = Annotated[int, typer.Option("--from", min=0, help="The first seed.")]
PlanCount = Annotated[int, typer.Option(min=1, max=100_000, help="How many plans.")]
SeedCount = Annotated[int, typer.Option(min=1, max=1_000_000, help="How many.")]
MAX_REPORTED = 3  # broken plans that are made small and told


class Patch:
    """Calls plant() of a file; can be sent to another process."""

    def __init__(self, path: str) -> None:
        self.path = path

    def __call__(self) -> None:
        runpy.run_path(self.path)["plant"]()


def patch_path(patch: Path | None) -> str:
    """The whole path of a planted fault, "" for none.  Exit status 2 when there is no such file."""
    if patch is None:
        return ""
    if not patch.is_file():
        typer.echo(f"limebridge: no file {patch}", err=True)
        raise typer.Exit(2)
    return str(patch.resolve())


def worker_patch(patch: Path | None) -> Patch | None:
    """What a process calls before it plays a plan.  Exit status 2 when there is no such file."""
    return Patch(patch_path(patch)) if patch is not None else None


class SeedProgress:
    """A bar of the seeds that were played, and how many of them broke something."""

    def __init__(self, progress: Progress, what: str, total: int) -> None:
        self._progress = progress
        self._task = progress.add_task(what, total=total)

    def update(self, played: int, broken: int) -> None:
        """So many were played and broke something until now."""
        self._progress.update(self._task, completed=played, description=f"{broken} broken")


@contextmanager
def seed_progress(what: str, total: int, as_json: bool) -> Iterator[SeedProgress]:
    """A progress bar on standard error, none where the result is JSON."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=Console(stderr=True), disable=as_json) as progress:
        yield SeedProgress(progress, what, total)


def print_summary(summary: msgspec.Struct | Mapping[str, Any], as_json: bool) -> None:
    """One JSON object, or a line for each key."""
    values = summary_values(summary) if isinstance(summary, msgspec.Struct) else summary
    if as_json:
        print(json.dumps(values))
        return
    for key, value in values.items():
        print(f"{key}: {value}")


def summary_values(summary: msgspec.Struct) -> dict[str, Any]:
    """The values of a summary as JSON has them, by key."""
    values: dict[str, Any] = json.loads(msgspec.json.encode(summary))
    return values
