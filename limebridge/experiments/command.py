"""`limebridge experiment run | list | show | compare | chart | search | export | bench | watch`."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.markup import escape
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from violetroute.config import ConfigError

from . import runner
from .builds import NoBuild
from .options import HERE, NARROW, AsJson, Measures, StoreFile, What, opened, stop
from .plan import BUILD, MEASURES, Experiment, key, named, points, read
from .search_command import search
from .store import Run, Store, StoreError
from .tables import Cell, by_build, cells, compare, compare_pairs, newest

app = typer.Typer(no_args_is_help=True, help="Sweeps over rehearsals, kept as tables and charts.")


def known(what: str) -> Experiment:
    try:
        return read(what)
    except ConfigError as error:
        stop(error)


def _measures(made: Experiment, told: list[str] | None) -> list[str]:
    for name in told or []:
        if name not in MEASURES:
            stop(f"--measure {name}: there are {', '.join(MEASURES)}")
    return told or made.measures


@app.command()
def run(
    what: What,
    store: StoreFile = HERE,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0 is one a core.")] = 0,
    again: Annotated[
        bool, typer.Option(help="Play those that came to nothing (overtime, crashed) once more.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Play what is not there yet; Ctrl-C keeps what is done, and the next call goes on.

    Exit status 1 when a run came to nothing, 2 when the file or the store can't be used.
    """
    made, kept = known(what), opened(store, must_be=False)
    if again:
        kept.again(made.digest, ("overtime", "crashed"))
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
    )
    try:
        with Progress(*columns, console=Console(stderr=True), disable=as_json) as shown:
            bar = shown.add_task(escape(made.name), total=None)

            def told(found: runner.Progress) -> None:
                failed = f", {found.failed} came to nothing" if found.failed else ""
                shown.update(
                    bar,
                    total=found.total,
                    completed=found.before + found.played - found.busy,
                    description=escape(made.name) + failed,
                )

            found = asyncio.run(_run(made, kept, jobs, told))
    except (ConfigError, NoBuild, StoreError) as error:
        stop(error)
    except ExceptionGroup as group:
        wrong, others = group.split((StoreError, NoBuild))
        if wrong is None or others is not None:
            raise
        stop(wrong.exceptions[0])
    if as_json:
        print(
            json.dumps(
                {
                    "total": found.total,
                    "before": found.before,
                    "played": found.played,
                    "states": found.states,
                    "spent": round(found.spent, 3),
                    "ended": found.why or "whole",
                }
            )
        )
    else:
        print(
            f"{found.played} runs played, {found.before} were there, of {found.total}"
            + (f"; {found.why}" if found.why else "")
        )
        for state, count in sorted(found.states.items()):
            if state != "done":
                print(f"  {count} {state}: `limebridge experiment show` says why")
    raise typer.Exit(1 if found.failed else 0)


async def _run(made: Experiment, kept: Store, jobs: int, told: runner.Told) -> runner.Progress:
    """Until it is over or Ctrl-C, which gives back what is under way."""
    so_far = runner.Progress()
    task = asyncio.ensure_future(runner.run(made, kept, jobs, told, progress=so_far))
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        return await task
    so_far.why = "stopped; the next call goes on"
    return so_far


@app.command("list")
def list_(store: StoreFile = HERE, as_json: AsJson = False) -> None:
    """Experiments that are shipped, and what the store holds of any."""
    found = opened(store).experiments() if store.exists() else []
    if as_json:
        print(
            json.dumps(
                [
                    {
                        "id": id_,
                        "name": name,
                        "question": question,
                        "states": states,
                        "seconds": round(seconds, 1),
                    }
                    for id_, name, question, states, seconds in found
                ]
            )
        )
        return
    table = Table("experiment", "runs", "void", "CPU min", "question", **NARROW)
    for _, name, question, states, seconds in found:
        done = states.get("done", 0)
        table.add_row(
            escape(name),
            str(done),
            str(sum(states.values()) - done),
            f"{seconds / 60:.1f}",
            escape(question),
        )
    there = {name for _, name, *_ in found}
    for name, path in named().items():
        if name not in there:
            table.add_row(name, "0", "", "", escape(read(str(path)).question))
    Console().print(table)


def played(made: Experiment, store: Store) -> tuple[list[Cell], list[Run]]:
    """The newest cell of each point, and all rows."""
    wanted = {key(point) for point in points(made)}  # of levels that were taken out no word
    rows = [row for row in store.runs(made.digest) if row.point in wanted]
    if not rows:
        stop(f"{store.path}: holds no run of {made.name}", 1)
    return newest(cells(rows), rows), rows


@app.command()
def show(
    what: What, store: StoreFile = HERE, measure: Measures = None, as_json: AsJson = False
) -> None:
    """The mean of each measure by point, and why runs came to nothing."""
    made = known(what)
    found, rows = played(made, opened(store))
    names = _measures(made, measure)
    if as_json:
        print(
            json.dumps(
                [
                    {
                        "point": cell.point,
                        "commit": cell.commit,
                        "seeds": cell.seeds,
                        "failed": cell.failed,
                    }
                    | {n: cell.mean(n) for n in names}
                    for cell in found
                ]
            )
        )
        return
    table = Table("point", "seeds", *names, **NARROW)
    for cell in found:
        table.add_row(escape(cell.label), str(cell.seeds), *(_figure(cell, n) for n in names))
    Console().print(escape(made.question))
    Console().print(table)
    reasons = sorted({(row.state, row.why) for row in rows if row.state != "done"})
    for state, why in reasons[:10]:
        print(f"{state}: {why}")


def _figure(cell: Cell, name: str) -> str:
    value = cell.mean(name)
    if value is None:
        return "never in one" if cell.values.get(name) else "not known"
    return f"{value:.4f}" if abs(value) < 100 else f"{value:.0f}"


@app.command("compare")
def compare_(
    what: What,
    store: StoreFile = HERE,
    measure: Measures = None,
    against: Annotated[
        int,
        typer.Option(min=1, help="The point that the others are held against, as `show` lists."),
    ] = 1,
    builds: Annotated[
        bool, typer.Option(help="Each build against the first one, point by point.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Each point against one, in pairs of equal seeds; says "cannot tell" where it can't."""
    made = known(what)
    found, _ = played(made, opened(store))
    if against > len(found):
        stop(f"--against {against}: there are {len(found)} points")
    base = found[against - 1]
    names = _measures(made, measure)
    if builds:
        order = [str(name) for name in made.factors.get(BUILD, [])]
        if len(order) < 2:
            stop(f"{made.name}: --builds: it has no two builds")
        found.sort(key=lambda cell: order.index(str(cell.point[BUILD])))
        rows = compare_pairs(by_build(found), names)
    else:
        rows = compare(base, [cell for cell in found if cell is not base], names)
    if as_json:
        told: list[dict[str, Any]] = [
            {
                "point": row.after.point,
                "commit": row.after.commit,
                "measure": row.measure,
                "mean": row.difference.mean,
                "low": row.difference.low,
                "high": row.difference.high,
                "pairs": row.difference.pairs,
                "p": row.difference.p,
                "verdict": row.verdict,
                "more": row.difference.more,
            }
            for row in rows
        ]
        print(json.dumps(told).replace("-Infinity", "null").replace("Infinity", "null"))
        return
    table = Table("point", "measure", "by", "95% from", "to", "pairs", "", "more seeds", **NARROW)
    for row in rows:
        of = row.difference
        table.add_row(
            escape(row.after.label),
            row.measure,
            f"{of.mean:+.4f}",
            f"{of.low:+.4f}",
            f"{of.high:+.4f}",
            str(of.pairs),
            row.verdict,
            "" if of.more is None else f"about {of.more}",
        )
    of_whom = "the first build" if builds else base.label
    Console().print(
        f"against {escape(of_whom)}; all verdicts hold together, one time in twenty wrong at most"
    )
    Console().print(table)


@app.command()
def chart(
    what: What,
    out: Annotated[Path, typer.Option("--html", metavar="FILE")],
    store: StoreFile = HERE,
    measure: Measures = None,
) -> None:
    """One HTML file that needs nothing else: curves, grids, fronts, all points."""
    from .charts import page

    made = known(what)
    found, rows = played(made, opened(store))
    made = msgspec.structs.replace(made, measures=_measures(made, measure))
    out.write_text(page(made, found, rows))


@app.command()
def export(
    what: What,
    out: Annotated[Path, typer.Argument(metavar="FILE.csv|FILE.parquet")],
    store: StoreFile = HERE,
) -> None:
    """All rows, a column a factor, a measure and a percentile of the answers' times."""
    from .export import flat, write

    made = known(what)
    try:
        write(flat(opened(store).runs(made.digest, whole=True)), out)
    except (OSError, ValueError) as error:
        stop(f"{out}: {error}")


app.command()(search)


@app.command()
def bench(
    name: Annotated[str, typer.Argument(help="A program of benchmarks/, without .py.")],
    arguments: Annotated[list[str] | None, typer.Argument(help="Its own, behind --.")] = None,
    times: Annotated[int, typer.Option(min=1, max=1000)] = 1,
    limit: Annotated[float, typer.Option("--limit-s", min=1.0, help="Of one run.")] = 1800.0,
    store: StoreFile = HERE,
    as_json: AsJson = False,
) -> None:
    """Play a benchmark and keep its figures in the same store."""
    from .bench import Failed, play

    kept = opened(store, must_be=False)
    try:
        found = asyncio.run(play(name, arguments or [], times, kept, limit))
    except (Failed, StoreError) as error:
        stop(error, 1)
    if as_json:
        print(json.dumps(found))
        return
    for row in found:
        print(", ".join(f"{key} {value}" for key, value in row.items()))


@app.command()
def watch(store: StoreFile = HERE) -> None:
    """A terminal interface: experiments, points, runs, and a run's worst ten seconds."""
    from .watch import Watch

    if not store.exists():
        stop(f"{store}: no store; `limebridge experiment run` makes one")
    try:
        Watch(store).run()
    except StoreError as error:
        stop(error)
