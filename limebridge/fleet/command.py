"""`limebridge fleet`: owners of works, entries of their logs, and queries to a proxy."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from limebridge.terminal_text import printable
from violetroute.config import ConfigError
from violetroute.config.operator import load_operator
from violetroute.fleet.table import FleetTable

from . import introspection
from .reading import UnreadableStoreError, read_log, work_leases

app = typer.Typer(no_args_is_help=True, help="Works on behalf of the fleet; its members.")
for view_command in (introspection.members, introspection.beliefs, introspection.budgets):
    app.command()(view_command)
OperatorFile = Annotated[
    Path,
    typer.Option(
        "--operator", metavar="FILE", help="The operator's file of any proxy in the fleet."
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print one JSON line per row.")]


def _table(path: Path) -> FleetTable:
    """The table [fleet] of the operator's file; exits with code 2 if it is invalid or off."""
    try:
        table = load_operator(str(path)).fleet
    except ConfigError as error:
        typer.echo(f"limebridge: {printable(error)}", err=True)
        raise typer.Exit(2) from None
    if table.store == "off":
        typer.echo(f"limebridge: {path}: [fleet] store: off", err=True)
        raise typer.Exit(2)
    return table


@app.command()
def owners(operator: OperatorFile, as_json: Json = False) -> None:
    """List each work with its owner, fence, state, start and remaining lease time."""
    try:
        rows = work_leases(_table(operator))
    except (UnreadableStoreError, OSError) as error:
        typer.echo(f"limebridge: {printable(error)}", err=True)
        raise typer.Exit(1) from None
    if as_json:
        for row in rows:
            print(json.dumps(row.__dict__))
        return
    table = Table("work", "owner", "fence", "state", "since", "left", box=None)
    for row in rows:
        since = (
            datetime.fromtimestamp(row.since, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
            if row.since
            else ""
        )
        table.add_row(
            printable(row.work),
            printable(row.owner),
            str(row.fence),
            printable(row.state),
            since,
            "" if row.left_s is None else f"{row.left_s:.1f} s",
        )
    Console(markup=False, emoji=False).print(table)


@app.command()
def log(work: str, operator: OperatorFile, as_json: Json = False) -> None:
    """Print the valid entries of a work's log: bills, beat counts, completed deliveries."""
    try:
        entries, fenced_log = read_log(_table(operator), work)
    except (UnreadableStoreError, OSError) as error:
        typer.echo(f"limebridge: {printable(error)}", err=True)
        raise typer.Exit(1) from None
    for position, record in entries:
        body = msgspec.json.encode(record.body).decode()
        if as_json:
            print(
                json.dumps(
                    {
                        "position": position,
                        "fence": record.fence,
                        "owner": record.name,
                        "body": record.body,
                    }
                )
            )
        else:
            print(printable(f"{position:8}  {record.fence:5}  {record.name:12}  {body[:200]}"))
    if not as_json:
        print(
            f"{fenced_log.entries} entries, {fenced_log.ignored} ignored positions, last fence "
            f"{fenced_log.guard.fence}"
        )
