"""Options, injected bugs, progress bars and summaries of all `limebridge faults` commands."""

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
        "--patch",
        metavar="FILE",
        help="A Python file whose plant() each process calls first, to inject a bug.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Jobs = Annotated[int, typer.Option(min=0, help="Worker processes; 0: one per core.")]
FirstSeed = Annotated[int, typer.Option("--from", min=0, help="The first seed.")]
PlanCount = Annotated[int, typer.Option(min=1, max=100_000, help="Number of plans.")]
SeedCount = Annotated[int, typer.Option(min=1, max=1_000_000, help="Number of seeds.")]
MAX_REPORTED = 3  # failed plans that are shrunk and printed with their trace


class Patch:
    """Calling it runs plant() of a Python file.  It can be pickled for a worker process."""

    def __init__(self, path: str) -> None:
        self.path = path

    def __call__(self) -> None:
        runpy.run_path(self.path)["plant"]()


def patch_path(patch: Path | None) -> str:
    """The absolute path of a patch file, "" for none.  Exits with status 2 if it does not exist."""
    if patch is None:
        return ""
    if not patch.is_file():
        typer.echo(f"limebridge: no file {patch}", err=True)
        raise typer.Exit(2)
    return str(patch.resolve())


def worker_patch(patch: Path | None) -> Patch | None:
    """The patch that a worker calls before a plan.  Exits with status 2 if it does not exist."""
    return Patch(patch_path(patch)) if patch is not None else None


class SeedProgress:
    """A progress bar of the seeds that were run, with the number of failed ones."""

    def __init__(self, progress: Progress, label: str, total: int) -> None:
        self._progress = progress
        self._task = progress.add_task(label, total=total)

    def update(self, completed: int, failed: int) -> None:
        """Show how many seeds were run so far, and how many of them violated a rule."""
        self._progress.update(self._task, completed=completed, description=f"{failed} broken")


@contextmanager
def seed_progress(label: str, total: int, as_json: bool) -> Iterator[SeedProgress]:
    """A progress bar on standard error; hidden if the result is printed as JSON."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=Console(stderr=True), disable=as_json) as progress:
        yield SeedProgress(progress, label, total)


def print_summary(summary: msgspec.Struct | Mapping[str, Any], as_json: bool) -> None:
    """Print a summary as one JSON object, or one line for each key."""
    values = summary_values(summary) if isinstance(summary, msgspec.Struct) else summary
    if as_json:
        print(json.dumps(values))
        return
    for key, value in values.items():
        print(f"{key}: {value}")


def summary_values(summary: msgspec.Struct) -> dict[str, Any]:
    """The fields of a summary as in its JSON object, by name."""
    values: dict[str, Any] = json.loads(msgspec.json.encode(summary))
    return values
