"""`limebridge check | serve`: the daemon's files, and the daemon itself."""

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
        "--operator", metavar="FILE", help="The operator's file; wins over LIMEBRIDGE_OPERATOR."
    ),
]
PlatformFile = Annotated[
    Path | None,
    typer.Argument(
        metavar="[CONFIG.json]", help="The platform's file; else the one that PROXY_CONFIG names."
    ),
]


def _environment(config: Path | None) -> dict[str, str]:
    return os.environ | ({"PROXY_CONFIG": str(config)} if config is not None else {})


def check(
    config: PlatformFile = None,
    operator: OperatorFile = None,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
) -> None:
    """Say what the daemon would do with these files, and start nothing.

    With --operator and no platform's file, the operator's is checked alone. Exit status 2 when
    the daemon would refuse them.
    """
    environment = _environment(config)
    path = str(operator) if operator is not None else None
    try:
        if path is not None and not environment.get("PROXY_CONFIG"):
            ours, plan = load_operator_files(path)
            told = config_summary.of_operator(ours, path, None if plan is None else len(plan.nodes))
        else:
            told = config_summary.of_configuration(load(environment, path))
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if as_json:
        print(json.dumps(told))
        return
    table = Table("what", "value", show_header=False, box=None)
    for key, value in told.items():
        table.add_row(key, ", ".join(value) if isinstance(value, list) else str(value))
    Console().print(table)


def serve(config: PlatformFile = None, operator: OperatorFile = None) -> None:
    """Be the daemon: this process becomes it."""
    arguments = [sys.executable, "-m", "violetroute"]
    if operator is not None:
        arguments += ["--operator", str(operator)]
    os.execve(sys.executable, arguments, _environment(config))
