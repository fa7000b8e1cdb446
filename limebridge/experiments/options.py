"""Arguments, options and error handling shared by the commands of `limebridge experiment`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from rich import box

from .store import DEFAULT, Store, StoreError

ExperimentArgument = Annotated[
    str, typer.Argument(metavar="EXPERIMENT", help="A file, or a name from `list`.")
]
StoreFile = Annotated[Path, typer.Option("--store", metavar="FILE", help="File with the results.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON instead of a table.")]
Measures = Annotated[
    list[str] | None, typer.Option("--measure", help="Instead of those in the file.")
]
DEFAULT_STORE = Path(DEFAULT)
NARROW: dict[str, Any] = {"box": box.SIMPLE_HEAD, "padding": (0, 1, 0, 0)}  # to fit into 80 columns


def fail(message: object, status: int = 2) -> NoReturn:
    """Print the message as one line on standard error and exit with this status."""
    typer.echo(f"limebridge: {' '.join(str(message).split())}", err=True)
    raise typer.Exit(status) from None


def open_store(path: Path, must_exist: bool = True) -> Store:
    """Open the store; exit with a message of one line if it is missing or unusable."""
    if must_exist and not path.exists():
        fail(f"{path}: no store; `limebridge experiment run` makes one")
    try:
        return Store(path)
    except StoreError as error:
        fail(error)
