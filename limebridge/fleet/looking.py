"""`limebridge fleet members | beliefs | budgets`: asks a proxy on this machine what it knows."""

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

PATIENCE = 3.0  # s
MOST = 16 * 1024 * 1024  # bytes of an answer
OperatorFile = Annotated[
    Path,
    typer.Option(
        "--operator", metavar="FILE", help="The operator's file of the proxy that is asked."
    ),
]
Json = Annotated[bool, typer.Option("--json", help="What it said, as it said it.")]


def ask(path: str, what: str) -> dict[str, Any]:
    """OSError where nobody answers, ValueError for what is no answer."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(PATIENCE)
        sock.connect(path)
        sock.sendall(what.encode() + b"\n")
        data = bytearray()
        while chunk := sock.recv(65536):
            data += chunk
            if len(data) > MOST:
                raise ValueError("the answer is too large")
    told = json.loads(data)
    if not isinstance(told, dict) or "error" in told:
        raise ValueError(f"it says: {told}")
    return told


def _told(operator: Path, what: str) -> dict[str, Any]:
    try:
        table = load_operator(str(operator)).sharing
        if not table.socket:
            raise ConfigError(f"{operator}: [sharing] socket: names none")
    except ConfigError as error:
        typer.echo(f"limebridge: {printable(error)}", err=True)
        raise typer.Exit(2) from None
    try:
        return ask(table.socket, what)
    except (OSError, ValueError) as error:
        typer.echo(f"limebridge: {table.socket}: {printable(error)}", err=True)
        raise typer.Exit(1) from None


def _show(rows: list[list[Any]], *columns: str) -> None:
    table = Table(*columns, box=None)
    for row in rows:
        table.add_row(*("" if cell is None else printable(cell) for cell in row))
    Console(markup=False, emoji=False).print(table)


def members(operator: OperatorFile, as_json: Json = False) -> None:
    """The other proxies as this one sees them, and since when."""
    told = _told(operator, "members")
    if as_json:
        print(json.dumps(told))
        return
    _show(
        [
            [
                m["name"],
                m["state"],
                m["address"],
                m["zone"],
                f"{m['since_s']} s",
                None if m["heard_s"] is None else f"{m['heard_s']} s ago",
                m["life"],
            ]
            for m in told["members"]
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
        f"{printable(told['name'])}: own health {told['health']} (0 is well)"
        f"{', stands aside for another of its name' if told['twin'] else ''}; "
        f"{told['sent']} sent, {told['received']} taken, {told['refused']} refused"
    )


def beliefs(operator: OperatorFile, as_json: Json = False) -> None:
    """What others met at the cache nodes, and which of them are left alone for it."""
    told = _told(operator, "beliefs")
    if as_json:
        print(json.dumps(told))
        return
    _show(
        [
            [
                n["node"],
                n["witnesses"],
                n["trouble"],
                n["own_trouble"],
                "left alone" if n["avoided"] else "",
            ]
            for n in told["nodes"]
        ],
        "node",
        "witnesses",
        "trouble they met",
        "our own",
        "",
    )


def budgets(operator: OperatorFile, as_json: Json = False) -> None:
    """What this proxy may spend of each budget, what it has borrowed and lent."""
    told = _told(operator, "budgets")
    if as_json:
        print(json.dumps(told))
        return
    _show(
        [
            [
                b["name"],
                b["may_spend"],
                b["home"],
                b["asked_per_s"],
                b["let_in"],
                b["turned_away"],
                " ".join(f"{who}:{amount:g}({left:g} s)" for who, amount, left in b["borrowed"]),
                " ".join(
                    f"{who.partition('/')[0]}:{amount:g}({left:g} s)"
                    for who, amount, left in b["lent"]
                ),
            ]
            for b in told["budgets"]
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
