"""Arguments, options and endings that the commands of `limebridge experiment` share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from rich import box

from .store import DEFAULT, Store, StoreError

What = Annotated[str, typer.Argument(metavar="EXPERIMENT", help="A file, or one of `list`.")]
StoreFile = Annotated[Path, typer.Option("--store", metavar="FILE", help="Where results last.")]
AsJson = Annotated[bool, typer.Option("--json", help="JSON in place of a table.")]
Measures = Annotated[list[str] | None, typer.Option("--measure", help="In place of the file's.")]
HERE = Path(DEFAULT)
NARROW: dict[str, Any] = {"box": box.SIMPLE_HEAD, "padding": (0, 1, 0, 0)}  # 80 columns


def stop(text: object, status: int = 2) -> NoReturn:
    """One line, and this exit status."""
    typer.echo(f"limebridge: {' '.join(str(text).split())}", err=True)
    raise typer.Exit(status) from None


def opened(path: Path, must_be: bool = True) -> Store:
    """The store; a wrong path is one line."""
    if must_be and not path.exists():
        stop(f"{path}: no store; `limebridge experiment run` makes one")
    try:
        return Store(path)
    except StoreError as error:
        stop(error)
