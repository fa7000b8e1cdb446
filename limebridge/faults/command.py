"""`limebridge faults`: plans of faults on several processes of the daemon."""

from __future__ import annotations

import json
import runpy
import signal
import time
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn
from rich.table import Table

from violetroute.config import ConfigError

from . import explore
from . import memory as virtual
from . import plan as plans
from .history import tell
from .model import Bounds, World
from .rig import play
from .sharing.command import app as sharing
from .whole import check

app = typer.Typer(no_args_is_help=True, help="Several processes, and what breaks between them.")
app.add_typer(sharing, name="sharing")
PatchFile = Annotated[
    Path | None,
    typer.Option(
        "--patch", metavar="FILE", help="A Python file whose plant() each daemon calls first."
    ),
]
SHOWN = 3  # broken plans that are made small and told


@app.command()
def run(
    seeds: Annotated[int, typer.Option(min=1, max=100_000, help="How many plans.")] = 20,
    first: Annotated[int, typer.Option("--from", min=0, help="The first seed.")] = 0,
    jobs: Annotated[int, typer.Option(min=0, help="Plans at once; 0 is one a core.")] = 0,
    store: Annotated[str, typer.Option(help="folder or consul; else as the seeds say.")] = "",
    settles: Annotated[
        bool | None,
        typer.Option(
            "--settles/--beats", help="With ledgers and settlement, or without; else by seed."
        ),
    ] = None,
    keep: Annotated[
        Path | None,
        typer.Option(metavar="DIR", help="Where plans of what broke are written, made small."),
    ] = None,
    patch: PatchFile = None,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
) -> None:
    """Play plans drawn from seeds on real processes.  Exit status 1 when something broke."""
    if store not in ("", "folder", "consul"):
        typer.echo(f"limebridge: --store {store}: folder or consul", err=True)
        raise typer.Exit(2)
    where: Literal["folder", "consul"] | None = (
        "folder" if store == "folder" else "consul" if store == "consul" else None
    )
    signal.signal(signal.SIGTERM, _ends_with)
    chosen = [plans.draw(seed, where, settles) for seed in range(first, first + seeds)]
    began, told = time.monotonic(), list[explore.Told]()
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=Console(stderr=True), disable=as_json) as progress:
        bar = progress.add_task("playing", total=seeds)
        for each in explore.run(chosen, jobs, _path(patch)):
            told.append(each)
            broken = sum(bool(one.broken) for one in told)
            progress.update(bar, completed=len(told), description=f"{broken} broken")
    seconds = time.monotonic() - began
    bad = sorted((each for each in told if each.broken), key=lambda each: each.plan.seed)
    for each in bad[:SHOWN]:
        small = explore.shrink(each, _path(patch))
        line = f"limebridge faults replay {each.plan.seed}" + (f" --store {store}" if store else "")
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            path = keep / f"faults-{each.plan.seed}.toml"
            path.write_text(plans.dump(small.plan))
            line = f"limebridge faults replay {path}"
        typer.echo(f"{line}\n{small.story}", err=True)
    gaps = sorted(gap for each in told for kind, gap in each.gaps if kind != "end")
    summary = {
        "plans": len(told),
        "seconds": round(seconds, 1),
        "plans_a_minute": round(60.0 * len(told) / seconds, 1),
        "effects": sum(each.effects for each in told),
        "faults": dict(Counter(f.kind for each in told for f in each.plan.fault).most_common()),
        "changes_of_owner": len(gaps),
        "without_owner_s": {
            str(part): round(gaps[min(len(gaps) - 1, int(part * len(gaps)))], 3)
            for part in (0.5, 0.9, 0.99, 1.0)
        }
        if gaps
        else {},
        "broken": [[each.plan.seed, *each.broken[0]] for each in bad],
    }
    if as_json:
        print(json.dumps(summary))
    else:
        table = Table("what", "value", show_header=False, box=None)
        for key, value in summary.items():
            table.add_row(key, str(value))
        Console().print(table)
    raise typer.Exit(1 if bad else 0)


@app.command()
def replay(
    what: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    store: Annotated[str, typer.Option(help="As it was given to run.")] = "",
    settles: Annotated[bool | None, typer.Option("--settles/--beats")] = None,
    in_memory: Annotated[
        bool, typer.Option("--virtual", help="In memory, as `explore --fleet` plays it: exact.")
    ] = False,
    tries: Annotated[
        int,
        typer.Option(
            min=1,
            max=10_000,
            help=("Under so many seeds, until one breaks something: its waits and clocks differ."),
        ),
    ] = 1,
    patch: PatchFile = None,
) -> None:
    """Play one plan again and tell its story.  Exit status 1 when it breaks something."""
    where: Literal["folder", "consul"] | None = (
        "folder" if store == "folder" else "consul" if store == "consul" else None
    )
    try:
        plan = plans.draw(int(what), where, settles) if what.isdecimal() else plans.read(Path(what))
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    if in_memory:
        if patch is not None:
            runpy.run_path(_path(patch))["plant"]()
        for seed in range(plan.seed, plan.seed + tries):
            told = virtual.play(msgspec.structs.replace(plan, seed=seed, settles=False), tells=True)
            if told.broken:
                break
        print(f"seed {told.plan.seed}\n{told.story}")
        raise typer.Exit(1 if told.broken else 0)
    outcome = play(plan, _path(patch))
    print(tell(outcome.history, outcome.broken))
    print(f"{outcome.effects} effects, {outcome.seconds:.1f} s, {len(outcome.broken)} broken")
    raise typer.Exit(1 if outcome.broken else 0)


@app.command("list")
def list_(
    seed: Annotated[int | None, typer.Argument(help="The plan of this seed.")] = None,
) -> None:
    """The kinds of faults, or what a seed's plan is."""
    if seed is not None:
        print(plans.dump(plans.draw(seed)))
        return
    table = Table("to", "kinds", box=None)
    for to, kinds in (
        ("a process", plans.PROCESS),
        ("a way", plans.WAYS),
        ("a shared folder", plans.FOLDER),
        ("a Consul", plans.CONSUL),
    ):
        table.add_row(to, ", ".join(dict.fromkeys(kinds)))
    Console().print(table)


@app.command()
def whole(
    states: Annotated[int, typer.Option(min=1000, help="How many at most.")] = 1_000_000,
    lives: Annotated[int, typer.Option(min=2, max=3)] = 2,
) -> None:
    """Check ownership in every order of what may happen, on the pure core."""
    began = time.monotonic()
    found = check(World(Bounds(lives=lives)), states)
    raise typer.Exit(found.tell(time.monotonic() - began))


def explore_fleet(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None, as_json: bool
) -> int:
    """`limebridge explore --fleet`: the same plans in memory; the exit status."""
    began, played, effects = time.monotonic(), 0, 0
    bad: list[virtual.Outcome] = []
    gaps: list[float] = []
    digest = blake2b(digest_size=8)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=Console(stderr=True), disable=as_json) as progress:
        bar = progress.add_task("exploring", total=seeds)
        for outcomes in virtual.explore(first, seeds, jobs, 0, prepare):
            for each in outcomes:
                played, effects = played + 1, effects + each.effects
                gaps += each.gaps
                digest.update(each.digest.encode())
                bad += [each] if each.broken else []
            progress.update(bar, completed=played, description=f"{len(bad)} broken")
    if prepare is not None:
        prepare()
    for each in bad[:SHOWN]:
        small = virtual.shrink(each)
        typer.echo(
            f"seed {each.plan.seed}, made small:\n{plans.dump(small.plan)}{small.story}", err=True
        )
    gaps.sort()
    told = {
        "first": first,
        "seeds": played,
        "seconds": round(time.monotonic() - began, 1),
        "effects": effects,
        "changes_of_owner": len(gaps),
        "without_owner_s": {
            str(part): round(gaps[min(len(gaps) - 1, int(part * len(gaps)))], 3)
            for part in (0.5, 0.9, 0.99, 1.0)
        }
        if gaps
        else {},
        "broken": [[each.plan.seed, *each.broken[0]] for each in bad],
        "digest": digest.hexdigest(),
    }
    print(
        json.dumps(told) if as_json else "\n".join(f"{key}: {value}" for key, value in told.items())
    )
    return 1 if bad else 0


def _ends_with(number: int, frame: object) -> None:
    """SIGTERM as Ctrl-C: plans under way end their daemons, what waits is not begun."""
    raise KeyboardInterrupt


def _path(patch: Path | None) -> str:
    if patch is None:
        return ""
    if not patch.is_file():
        typer.echo(f"limebridge: no file {patch}", err=True)
        raise typer.Exit(2)
    return str(patch.resolve())
