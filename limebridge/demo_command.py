"""`limebridge demo`: the daemon and all its peers on loopback."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Annotated

import typer
from rich.console import Console
from rich.live import Live
from rich.table import Table

from . import demo as demo_module


def demo(
    nodes: Annotated[int, typer.Option(min=1, max=64, help="Cache nodes.")] = 4,
    rate: Annotated[float, typer.Option(min=0.1, max=5000.0, help="Requests per second.")] = 100.0,
    as_json: Annotated[
        bool,
        typer.Option(
            "--json", help="Print one line when all is ready; run without clients until SIGTERM."
        ),
    ] = False,
    consul: Annotated[
        bool,
        typer.Option(
            "--consul",
            help="Register the nodes as the service `cache` in Consul, which the proxy follows.",
        ),
    ] = False,
    cluster: Annotated[
        bool,
        typer.Option(
            "--cluster",
            help="Run two proxies that share the slots of a cluster, for cluster clients.",
        ),
    ] = False,
) -> None:
    """Start the daemon with cache nodes, a customer database and discovery on loopback."""
    try:
        if as_json:
            asyncio.run(
                demo_module.run(
                    nodes,
                    rate,
                    lambda d: print(json.dumps(d.describe()), flush=True),
                    None,
                    consul,
                    cluster,
                )
            )
        elif cluster:
            raise typer.BadParameter(
                "requires --json: the clients behind the table do not support clusters",
                param_hint="--cluster",
            )
        else:
            _show(nodes, rate, consul)
    except demo_module.DemoError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(1) from None


def _show(nodes: int, rate: float, consul: bool) -> None:
    console = Console()
    total: Counter[str] = Counter()
    last: list[float] = []

    def table() -> Table:
        made = Table("requests", "served", "refused", "failed", "p50 ms", "p99 ms")
        percentiles = [last[int(fraction * len(last))] if last else 0.0 for fraction in (0.5, 0.99)]
        made.add_row(
            str(sum(total.values())),
            str(total["served"]),
            str(total["refused"]),
            str(total["failed"] + total["expired"] + total["closed"]),
            *(f"{value:.1f}" for value in percentiles),
        )
        return made

    with Live(table(), console=console, auto_refresh=False) as live:

        def ready(running: demo_module.Demo) -> None:
            addresses = running.describe()
            live.console.print(
                f"proxy {addresses['proxy']}, discovery {addresses['discovery']}, "
                f"nodes {', '.join(addresses['nodes'])}; stop with Ctrl-C"
            )

        def report(outcomes: Counter[str], latencies: list[float]) -> None:
            total.update(outcomes)
            last[:] = latencies
            live.update(table(), refresh=True)

        asyncio.run(demo_module.run(nodes, rate, ready, report, consul))
