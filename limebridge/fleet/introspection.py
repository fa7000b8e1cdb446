"""`limebridge fleet members | beliefs | budgets`: queries to a proxy on this machine."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from limebridge.terminal_text import printable
from violetroute.config import ConfigError
from violetroute.config.operator import load_operator

TIMEOUT_S = 3.0
MAX_REPLY_BYTES = 16 * 1024 * 1024
OperatorFile = Annotated[
    Path,
    typer.Option("--operator", metavar="FILE", help="The operator's file of the proxy to query."),
]
Json = Annotated[bool, typer.Option("--json", help="Print the proxy's JSON reply.")]


def query_proxy(path: str, query: str) -> dict[str, Any]:
    """Sends a query to a proxy's introspection socket and returns the decoded JSON reply.

    Raises OSError when no proxy replies within TIMEOUT_S, ValueError for a reply that is too large,
    malformed or an error.
    """
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(TIMEOUT_S)
        sock.connect(path)
        sock.sendall(query.encode() + b"\n")
        data = bytearray()
        while chunk := sock.recv(65536):
            data += chunk
            if len(data) > MAX_REPLY_BYTES:
                raise ValueError("the reply is too large")
    reply = json.loads(data)
    if not isinstance(reply, dict) or "error" in reply:
        raise ValueError(f"unexpected reply: {reply}")
    return reply


def _query(operator: Path, query: str) -> dict[str, Any]:
    """Queries the proxy of this operator's file; exits with code 2 or 1 on an error."""
    try:
        table = load_operator(str(operator)).sharing
        if not table.socket:
            raise ConfigError(f"{operator}: [sharing] socket: not set")
    except ConfigError as error:
        typer.echo(f"limebridge: {printable(error)}", err=True)
        raise typer.Exit(2) from None
    try:
        return query_proxy(table.socket, query)
    except (OSError, ValueError) as error:
        typer.echo(f"limebridge: {table.socket}: {printable(error)}", err=True)
        raise typer.Exit(1) from None


def _show(rows: list[list[Any]], *columns: str) -> None:
    table = Table(*columns, box=None)
    for row in rows:
        table.add_row(*("" if cell is None else printable(cell) for cell in row))
    Console(markup=False, emoji=False).print(table)


def members(operator: OperatorFile, as_json: Json = False) -> None:
    """List the other proxies as this one sees them, and since when."""
    reply = _query(operator, "members")
    if as_json:
        print(json.dumps(reply))
        return
    _show(
        [
            [
                member["name"],
                member["state"],
                member["address"],
                member["zone"],
                f"{member['since_s']} s",
                None if member["heard_s"] is None else f"{member['heard_s']} s ago",
                member["life"],
            ]
            for member in reply["members"]
        ],
        "proxy",
        "state",
        "address",
        "zone",
        "since",
        "heard",
        "life",
    )
    print(
        f"{printable(reply['name'])}: own health {reply['health']} (0: healthy)"
        f"{', suspended since another proxy has its name' if reply['twin'] else ''}; "
        f"{reply['sent']} sent, {reply['received']} accepted, {reply['refused']} refused"
    )


def beliefs(operator: OperatorFile, as_json: Json = False) -> None:
    """Show the failures at cache nodes that other proxies report, and which nodes are avoided."""
    reply = _query(operator, "beliefs")
    if as_json:
        print(json.dumps(reply))
        return
    _show(
        [
            [
                node["node"],
                node["witnesses"],
                node["trouble"],
                node["own_trouble"],
                "left alone" if node["avoided"] else "",
            ]
            for node in reply["nodes"]
        ],
        "node",
        "witnesses",
        "trouble they met",
        "our own",
        "",
    )


def budgets(operator: OperatorFile, as_json: Json = False) -> None:
    """Show what this proxy may spend of each budget, and what it has borrowed and lent."""
    reply = _query(operator, "budgets")
    if as_json:
        print(json.dumps(reply))
        return
    _show(
        [
            [
                budget["name"],
                budget["may_spend"],
                budget["home"],
                budget["asked_per_s"],
                budget["let_in"],
                budget["turned_away"],
                " ".join(
                    f"{who}:{amount:g}({left:g} s)" for who, amount, left in budget["borrowed"]
                ),
                " ".join(
                    f"{who.partition('/')[0]}:{amount:g}({left:g} s)"
                    for who, amount, left in budget["lent"]
                ),
            ]
            for budget in reply["budgets"]
        ],
        "budget",
        "may spend/s",
        "its part/s",
        "asked/s",
        "let in",
        "turned away",
        "borrowed",
        "lent",
    )
