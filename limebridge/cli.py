"""The command line: `limebridge demo | check | serve | explore | replay | rehearse | experiment |
placement | ledger | faults | fleet`."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import runpy
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.live import Live
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn
from rich.table import Table

from violetroute.config import Config, ConfigError, Operator, load, load_ours
from violetroute.membership import order

from . import demo as demo_module
from .experiments.command import app as experiment_app
from .faults.command import app as faults_app
from .faults.command import explore_fleet
from .fleet.command import app as fleet_app
from .ledger.command import app as ledger_app
from .placement.command import app as placement_app
from .rehearsal.command import rehearse
from .virtual import coverage, story, world
from .virtual import explore as explorer
from .virtual import plan as plans

app = typer.Typer(
    add_completion=False, no_args_is_help=True, help="The kit round the limebridge proxy."
)


app.add_typer(placement_app, name="placement")
app.add_typer(ledger_app, name="ledger")
app.add_typer(experiment_app, name="experiment")
app.add_typer(faults_app, name="faults")
app.add_typer(fleet_app, name="fleet")
app.command()(rehearse)


@app.callback()
def _main() -> None:
    """The kit round the limebridge proxy."""


@app.command()
def demo(
    nodes: Annotated[int, typer.Option(min=1, max=64, help="Cache nodes.")] = 4,
    rate: Annotated[float, typer.Option(min=0.1, max=5000.0, help="Questions a second.")] = 100.0,
    as_json: Annotated[
        bool, typer.Option("--json", help="One line once all is ready; no clients; until SIGTERM.")
    ] = False,
    consul: Annotated[
        bool,
        typer.Option(
            "--consul",
            help="The nodes are the service `cache` of a Consul that the proxy follows.",
        ),
    ] = False,
    cluster: Annotated[
        bool,
        typer.Option(
            "--cluster",
            help="Two proxies that share the slots of a cluster, for cluster clients.",
        ),
    ] = False,
) -> None:
    """Start the daemon with cache nodes, a customer database and discovery on loopback."""
    try:
        if as_json:
            asyncio.run(
                demo_module.play(
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
                "goes with --json: the table's clients speak no cluster", param_hint="--cluster"
            )
        else:
            _show(nodes, rate, consul)
    except demo_module.DemoError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(1) from None


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


def _source(name: str, operator: Operator) -> str:
    if name == "consul":
        return f"Consul's {operator.consul.service} at {', '.join(operator.consul.agents)}"
    return operator.membership.file if name == "file" else "the platform's list"


@app.command()
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
            ours, plan = load_ours(path)
            told = _ours(ours, path, None if plan is None else len(plan.nodes))
        else:
            told = _effect(load(environment, path))
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


def _ours(operator: Operator, path: str | None, planned: int | None) -> dict[str, object]:
    """What follows from the operator's file; `planned`: nodes of the placement's plan."""
    ledger, fleet = operator.ledger, operator.fleet
    return {
        "operator's file": path or "none: defaults",
        "log": f"{operator.log.level}, {operator.log.format}",
        "nodes from": ", else ".join(_source(name, operator) for name in order(operator)),
        "placement": "off" if planned is None else f"{operator.placement.file} ({planned} nodes)",
        "cluster": operator.cluster.appear,
        "ledger": "off"
        if not ledger.folder
        else f"{ledger.folder}, {ledger.period_min} min in {ledger.zone}, export {ledger.export}",
        "fleet": "off"
        if fleet.store == "off"
        else f"{fleet.folder or ', '.join(fleet.agents)}, works {', '.join(fleet.works) or 'none'}",
    }


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
        "classes": [
            f"{c.name} ({c.effect.value}, {c.deadline:g} ms)" for c in config.settings.classes
        ],
        **_ours(
            config.operator,
            config.operator_path,
            None if config.plan is None else len(config.plan.nodes),
        ),
        "unknown keys": list(config.unknown),
    }


@app.command()
def serve(config: PlatformFile = None, operator: OperatorFile = None) -> None:
    """Be the daemon: this process becomes it."""
    arguments = [sys.executable, "-m", "violetroute"]
    if operator is not None:
        arguments += ["--operator", str(operator)]
    os.execve(sys.executable, arguments, _environment(config))


PatchFile = Annotated[
    Path | None,
    typer.Option("--patch", metavar="FILE", help="A Python file whose plant() is called first."),
]


@app.command()
def explore(
    seeds: Annotated[int, typer.Option(min=1, help="How many seeds.")] = 1000,
    first: Annotated[int, typer.Option("--from", min=0, help="The first seed.")] = 0,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0 is one a core.")] = 0,
    budget: Annotated[float, typer.Option(min=0.0, help="Seconds after which to end.")] = 0,
    keep: Annotated[
        Path | None,
        typer.Option(metavar="DIR", help="Where shrunk plans of what broke are written."),
    ] = None,
    patch: PatchFile = None,
    consul: Annotated[
        bool, typer.Option("--consul", help="The list comes from Consul, whose faults come on top.")
    ] = False,
    goes_on: Annotated[
        bool,
        typer.Option(
            "--next",
            help="Seeds that no run here has played, leaning towards what this build has met "
            "least; --from is not looked at.",
        ),
    ] = False,
    fleet: Annotated[
        bool,
        typer.Option(
            "--fleet",
            help="Several processes and the works that they own (`limebridge faults`).",
        ),
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="JSON as the last line.")] = False,
) -> None:
    """Run the daemon's own code in memory against faults drawn from seeds.

    Exit status 1 when a rule or a bound was broken, 2 when the arguments can't be used.
    """
    prepare = _patched(patch)
    if fleet:
        raise typer.Exit(explore_fleet(first, seeds, jobs, prepare, as_json))
    summary = explorer.Summary()
    pairs: explorer.Pairs = ()
    history = coverage.History() if goes_on else None
    if history is not None:
        try:
            first, met = history.take("consul" if consul else "plain", seeds)
        except (OSError, ValueError) as error:
            typer.echo(f"limebridge: {error}", err=True)
            raise typer.Exit(2) from None
        pairs = coverage.rare(met, consul)
        keep = keep or Path("found")  # a plan that leans is more than its seed
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=Console(stderr=True), disable=as_json) as progress:
        bar = progress.add_task("exploring", total=seeds)
        for summary in explorer.explore(first, seeds, jobs, budget, prepare, consul, pairs):
            progress.update(
                bar, completed=summary.seeds, description=f"{len(summary.broken)} broken"
            )
    summary.broken.sort(key=lambda found: found.seed)
    if prepare is not None:
        prepare()
    for found in summary.broken[:3]:
        smaller = explorer.shrink(found.plan, found.broken[0].rule)
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            path = keep / f"seed-{found.seed}.json"
            path.write_text(plans.dump(smaller))
            line = ["limebridge replay", str(path)]
        else:
            line = ["limebridge replay", str(found.seed), *(["--consul"] if consul else [])]
        typer.echo(" ".join([*line, *(["--patch", str(patch)] if patch else [])]), err=True)
        typer.echo(story.tell(world.play(smaller)), err=True)
    if history is not None:
        history.add(summary.seeds, summary.met)
    told = {
        "first": first,
        "seeds": summary.seeds,
        "seconds": round(summary.seconds, 2),
        "requests": summary.requests,
        "broken": len(summary.broken),
        "broken_seeds": [found.seed for found in summary.broken],
        "met": dict(sorted(summary.met.items())),
        "digest": summary.digest,
    }
    if as_json:
        print(json.dumps(told))
    else:
        table = Table("fault", "while a request was", "times")
        for key, count in sorted(summary.met.items()):
            table.add_row(*key.split("/"), str(count))
        Console().print(table)
        print(
            f"{summary.seeds} seeds, {summary.requests} requests, {summary.seconds:.1f} s, "
            f"{len(summary.broken)} broken, digest {summary.digest}"
        )
    raise typer.Exit(1 if summary.broken else 0)


@app.command()
def replay(
    what: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    html: Annotated[
        Path | None, typer.Option(metavar="FILE", help="Write a picture with the story.")
    ] = None,
    patch: PatchFile = None,
    consul: Annotated[
        bool,
        typer.Option(
            "--consul", help="The seed is one of `explore --consul`; a file says so itself."
        ),
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
) -> None:
    """Play one plan again and tell its story.  Exit status 1 when it breaks something."""
    try:
        draw = plans.draw_consul if consul else plans.draw
        plan = draw(int(what)) if what.isdecimal() else plans.read(Path(what))
    except (OSError, ValueError) as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    prepare = _patched(patch)
    if prepare is not None:
        prepare()
    outcome = world.play(plan)
    if html is not None:
        html.write_text(story.picture(outcome))
    print(
        json.dumps(
            {
                "digest": outcome.digest,
                "requests": outcome.requests,
                "broken": [[b.rule, round(b.at, 6), b.what] for b in outcome.broken],
            }
        )
        if as_json
        else story.tell(outcome)
    )
    raise typer.Exit(1 if outcome.broken else 0)


def _patched(path: Path | None) -> Callable[[], None] | None:
    """What applies a patch, in this process or another."""
    if path is None:
        return None
    if not path.is_file():
        typer.echo(f"limebridge: no file {path}", err=True)
        raise typer.Exit(2)
    return functools.partial(_plant, str(path))


def _plant(path: str) -> None:
    runpy.run_path(path)["plant"]()


def _show(nodes: int, rate: float, consul: bool) -> None:
    console = Console()
    total: Counter[str] = Counter()
    last: list[float] = []

    def table() -> Table:
        made = Table("requests", "served", "refused", "failed", "p50 ms", "p99 ms")
        figures = [last[int(part * len(last))] if last else 0.0 for part in (0.5, 0.99)]
        made.add_row(
            str(sum(total.values())),
            str(total["served"]),
            str(total["refused"]),
            str(total["failed"] + total["expired"] + total["closed"]),
            *(f"{figure:.1f}" for figure in figures),
        )
        return made

    with Live(table(), console=console, auto_refresh=False) as live:

        def ready(running: demo_module.Demo) -> None:
            words = running.describe()
            live.console.print(
                f"proxy {words['proxy']}, discovery {words['discovery']}, "
                f"nodes {', '.join(words['nodes'])}; Ctrl-C ends it"
            )

        def told(kinds: Counter[str], times: list[float]) -> None:
            total.update(kinds)
            last[:] = times
            live.update(table(), refresh=True)

        asyncio.run(demo_module.play(nodes, rate, ready, told, consul))


if __name__ == "__main__":
    app()
