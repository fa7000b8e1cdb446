"""The command line: `limebridge demo | check | serve`."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.live import Live
from rich.table import Table

from violetroute.config import Config, ConfigError, load

from . import demo as demo_module

app = typer.Typer(add_completion=False, no_args_is_help=True,
                  help="The kit round the limebridge proxy.")


@app.callback()
def _main() -> None:
    """The kit round the limebridge proxy."""


@app.command()
def demo(
    nodes: Annotated[int, typer.Option(min=1, max=64, help="Cache nodes.")] = 4,
    rate: Annotated[float, typer.Option(min=0.1, max=5000.0, help="Questions a second.")] = 100.0,
    as_json: Annotated[bool, typer.Option(
        "--json", help="One line once all is ready; no clients; until SIGTERM.")] = False,
) -> None:
    """Start the daemon with cache nodes, a customer database and discovery on loopback."""
    try:
        if as_json:
            asyncio.run(demo_module.play(
                nodes, rate, lambda d: print(json.dumps(d.describe()), flush=True), None))
        else:
            _show(nodes, rate)
    except demo_module.DemoError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(1) from None


OperatorFile = Annotated[Path | None, typer.Option(
    "--operator", metavar="FILE", help="The operator's file; wins over LIMEBRIDGE_OPERATOR.")]
PlatformFile = Annotated[Path | None, typer.Argument(
    metavar="[CONFIG.json]", help="The platform's file; else the one that PROXY_CONFIG names.")]


def _environment(config: Path | None) -> dict[str, str]:
    return os.environ | ({"PROXY_CONFIG": str(config)} if config is not None else {})


@app.command()
def check(config: PlatformFile = None, operator: OperatorFile = None,
          as_json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
          ) -> None:
    """Say what the daemon would do with these files, and start nothing.

    Exit status 2 when it would refuse them.
    """
    try:
        found = load(_environment(config), str(operator) if operator is not None else None)
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    told = _effect(found)
    if as_json:
        print(json.dumps(told))
        return
    table = Table("what", "value", show_header=False, box=None)
    for key, value in told.items():
        table.add_row(key, ", ".join(value) if isinstance(value, list) else str(value))
    Console().print(table)


def _effect(config: Config) -> dict[str, object]:
    """What follows from a configuration, in the units of the files."""
    return {
        "name": config.name,
        "listen": f"{config.listen.host}:{config.listen.port}",
        "discovery": f"{config.discovery.host}:{config.discovery.port}",
        "client connections": config.client_sockets,
        "node connections": config.upstream_sockets,
        "room for values, KiB": config.value_room // 1024,
        "known nodes": len(config.known.entries),
        "classes": [f"{c.name} ({c.effect.value}, {c.deadline:g} ms)"
                    for c in config.settings.classes],
        "operator's file": config.operator_path or "none: defaults",
        "log": f"{config.operator.log.level}, {config.operator.log.format}",
        "unknown keys": list(config.unknown),
    }


@app.command()
def serve(config: PlatformFile = None, operator: OperatorFile = None) -> None:
    """Be the daemon: this process becomes it."""
    arguments = [sys.executable, "-m", "violetroute"]
    if operator is not None:
        arguments += ["--operator", str(operator)]
    os.execve(sys.executable, arguments, _environment(config))


def _show(nodes: int, rate: float) -> None:
    console = Console()
    total: Counter[str] = Counter()
    last: list[float] = []

    def table() -> Table:
        made = Table("requests", "served", "refused", "failed", "p50 ms", "p99 ms")
        figures = [last[int(part * len(last))] if last else 0.0 for part in (0.5, 0.99)]
        made.add_row(str(sum(total.values())), str(total["served"]), str(total["refused"]),
                     str(total["failed"] + total["expired"] + total["closed"]),
                     *(f"{figure:.1f}" for figure in figures))
        return made

    with Live(table(), console=console, auto_refresh=False) as live:
        def ready(running: demo_module.Demo) -> None:
            words = running.describe()
            live.console.print(f"proxy {words['proxy']}, discovery {words['discovery']}, "
                               f"nodes {', '.join(words['nodes'])}; Ctrl-C ends it")

        def told(kinds: Counter[str], times: list[float]) -> None:
            total.update(kinds)
            last[:] = times
            live.update(table(), refresh=True)

        asyncio.run(demo_module.play(nodes, rate, ready, told))


if __name__ == "__main__":
    app()
