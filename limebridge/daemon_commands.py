"""`limebridge check | serve`: check the daemon's files, or run the daemon."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from violetroute.config import ConfigError, load, load_operator_files

from . import config_summary

OperatorFile = Annotated[
    Path | None,
    typer.Option(
        "--operator", metavar="FILE", help="The operator's file; overrides LIMEBRIDGE_OPERATOR."
    ),
]
PlatformFile = Annotated[
    Path | None,
    typer.Argument(
        metavar="[CONFIG.json]",
        help="The platform's file; by default the one named by PROXY_CONFIG.",
    ),
]


def _environment(config: Path | None) -> dict[str, str]:
    return os.environ | ({"PROXY_CONFIG": str(config)} if config is not None else {})


def check(
    config: PlatformFile = None,
    operator: OperatorFile = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Check the files and show the resulting configuration, without starting the daemon.

    With --operator and no platform's file, only the operator's file is checked. Exit status 2
    when the daemon would reject the files.
    """
    environment = _environment(config)
    path = str(operator) if operator is not None else None
    try:
        if path is not None and not environment.get("PROXY_CONFIG"):
            settings, plan = load_operator_files(path)
            summary = config_summary.of_operator(
                settings, path, None if plan is None else len(plan.nodes)
            )
        else:
            summary = config_summary.of_configuration(load(environment, path))
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if as_json:
        print(json.dumps(summary))
        return
    table = Table("what", "value", show_header=False, box=None)
    for key, value in summary.items():
        table.add_row(key, ", ".join(value) if isinstance(value, list) else str(value))
    Console().print(table)


def serve(config: PlatformFile = None, operator: OperatorFile = None) -> None:
    """Run the daemon in place of this process."""
    arguments = [sys.executable, "-m", "violetroute"]
    if operator is not None:
        arguments += ["--operator", str(operator)]
    os.execve(sys.executable, arguments, _environment(config))
