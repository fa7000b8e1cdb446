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
from .builds import BuildError
from .options import (
    DEFAULT_STORE,
    NARROW,
    AsJson,
    ExperimentArgument,
    Measures,
    StoreFile,
    fail,
    open_store,
)
from .plan import (
    BUILD,
    MEASURES,
    Experiment,
    load_experiment,
    point_key,
    points,
    shipped_experiments,
)
from .search_command import search
from .store import Run, Store, StoreError
from .tables import Cell, cells, compare, compare_pairs, newest_by_point, pair_with_first_build

app = typer.Typer(
    no_args_is_help=True, help="Parameter sweeps over rehearsals, with tables and charts."
)


def load_or_fail(name_or_path: str) -> Experiment:
    """Load an experiment; exit with a message of one line if it can't be used."""
    try:
        return load_experiment(name_or_path)
    except ConfigError as error:
        fail(error)


def _chosen_measures(experiment: Experiment, names: list[str] | None) -> list[str]:
    for name in names or []:
        if name not in MEASURES:
            fail(f"--measure {name}: there are {', '.join(MEASURES)}")
    return names or experiment.measures


@app.command()
def run(
    name_or_path: ExperimentArgument,
    store: StoreFile = DEFAULT_STORE,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0: one per core.")] = 0,
    again: Annotated[
        bool, typer.Option(help="Repeat the runs without a result (overtime, crashed).")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Execute the runs that have no result yet; after Ctrl-C the next call continues.

    Exit status 1 if a run gave no result, 2 if the file or the store can't be used.
    """
    experiment, results = load_or_fail(name_or_path), open_store(store, must_exist=False)
    if again:
        results.forget_runs(experiment.digest, ("overtime", "crashed"))
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
    )
    try:
        with Progress(*columns, console=Console(stderr=True), disable=as_json) as shown:
            bar = shown.add_task(escape(experiment.name), total=None)

            def show_progress(progress: runner.Progress) -> None:
                failed = f", {progress.failed} without a result" if progress.failed else ""
                shown.update(
                    bar,
                    total=progress.total,
                    completed=progress.already_stored + progress.executed - progress.running,
                    description=escape(experiment.name) + failed,
                )

            final = asyncio.run(_run(experiment, results, jobs, show_progress))
    except (ConfigError, BuildError, StoreError) as error:
        fail(error)
    except ExceptionGroup as group:
        expected, unexpected = group.split((StoreError, BuildError))
        if expected is None or unexpected is not None:
            raise
        fail(expected.exceptions[0])
    if as_json:
        print(
            json.dumps(
                {
                    "total": final.total,
                    "before": final.already_stored,
                    "played": final.executed,
                    "states": final.states,
                    "spent": round(final.run_seconds, 3),
                    "ended": final.stop_reason or "whole",
                }
            )
        )
    else:
        print(
            f"{final.executed} runs played, {final.already_stored} stored before, "
            f"of {final.total}" + (f"; {final.stop_reason}" if final.stop_reason else "")
        )
        for state, count in sorted(final.states.items()):
            if state != "done":
                print(f"  {count} {state}: see `limebridge experiment show`")
    raise typer.Exit(1 if final.failed else 0)


async def _run(
    experiment: Experiment, results: Store, jobs: int, on_progress: runner.OnProgress
) -> runner.Progress:
    """Execute the runs; on SIGINT or SIGTERM release the unfinished ones and return."""
    progress = runner.Progress()
    task = asyncio.ensure_future(
        runner.run(experiment, results, jobs, on_progress, progress=progress)
    )
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        return await task
    progress.stop_reason = "stopped; the next call goes on"
    return progress


@app.command("list")
def list_(store: StoreFile = DEFAULT_STORE, as_json: AsJson = False) -> None:
    """List the shipped experiments and those in the store, with their numbers of runs."""
    stored = open_store(store).experiments() if store.exists() else []
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
                    for id_, name, question, states, seconds in stored
                ]
            )
        )
        return
    table = Table("experiment", "runs", "void", "CPU min", "question", **NARROW)
    for _, name, question, states, seconds in stored:
        done = states.get("done", 0)
        table.add_row(
            escape(name),
            str(done),
            str(sum(states.values()) - done),
            f"{seconds / 60:.1f}",
            escape(question),
        )
    stored_names = {name for _, name, *_ in stored}
    for name, path in shipped_experiments().items():
        if name not in stored_names:
            table.add_row(name, "0", "", "", escape(load_experiment(str(path)).question))
    Console().print(table)


def newest_cells(experiment: Experiment, store: Store) -> tuple[list[Cell], list[Run]]:
    """The newest cell of each point, and all runs of these points; exits if there is none."""
    wanted = {point_key(p) for p in points(experiment)}  # leaves out points of removed levels
    rows = [row for row in store.runs(experiment.digest) if row.point in wanted]
    if not rows:
        fail(f"{store.path}: no runs of {experiment.name}", 1)
    return newest_by_point(cells(rows), rows), rows


@app.command()
def show(
    name_or_path: ExperimentArgument,
    store: StoreFile = DEFAULT_STORE,
    measure: Measures = None,
    as_json: AsJson = False,
) -> None:
    """Show the mean of each measure by point, and why runs have no result."""
    experiment = load_or_fail(name_or_path)
    cells_shown, rows = newest_cells(experiment, open_store(store))
    names = _chosen_measures(experiment, measure)
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
                    for cell in cells_shown
                ]
            )
        )
        return
    table = Table("point", "seeds", *names, **NARROW)
    for cell in cells_shown:
        table.add_row(escape(cell.label), str(cell.seeds), *(_format_mean(cell, n) for n in names))
    Console().print(escape(experiment.question))
    Console().print(table)
    reasons = sorted({(row.state, row.why) for row in rows if row.state != "done"})
    for state, reason in reasons[:10]:
        print(f"{state}: {reason}")


def _format_mean(cell: Cell, name: str) -> str:
    value = cell.mean(name)
    if value is None:
        return "never in one" if cell.values.get(name) else "not known"
    return f"{value:.4f}" if abs(value) < 100 else f"{value:.0f}"


@app.command("compare")
def compare_(
    name_or_path: ExperimentArgument,
    store: StoreFile = DEFAULT_STORE,
    measure: Measures = None,
    against: Annotated[
        int,
        typer.Option(min=1, help="The point to compare with, by its position in `show`."),
    ] = 1,
    builds: Annotated[
        bool, typer.Option(help="Compare each build with the first one, by point.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Compare each point with one, in pairs of equal seeds; "cannot tell" without significance."""
    experiment = load_or_fail(name_or_path)
    cells_compared, _ = newest_cells(experiment, open_store(store))
    if against > len(cells_compared):
        fail(f"--against {against}: there are {len(cells_compared)} points")
    base = cells_compared[against - 1]
    names = _chosen_measures(experiment, measure)
    if builds:
        order = [str(name) for name in experiment.factors.get(BUILD, [])]
        if len(order) < 2:
            fail(f"{experiment.name}: --builds: fewer than two builds")
        cells_compared.sort(key=lambda cell: order.index(str(cell.point[BUILD])))
        rows = compare_pairs(pair_with_first_build(cells_compared), names)
    else:
        rows = compare(base, [cell for cell in cells_compared if cell is not base], names)
    if as_json:
        output: list[dict[str, Any]] = [
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
                "more": row.difference.more_seeds,
            }
            for row in rows
        ]
        print(json.dumps(output).replace("-Infinity", "null").replace("Infinity", "null"))
        return
    table = Table("point", "measure", "by", "95% from", "to", "pairs", "", "more seeds", **NARROW)
    for row in rows:
        difference = row.difference
        table.add_row(
            escape(row.after.label),
            row.measure,
            f"{difference.mean:+.4f}",
            f"{difference.low:+.4f}",
            f"{difference.high:+.4f}",
            str(difference.pairs),
            row.verdict,
            "" if difference.more_seeds is None else f"about {difference.more_seeds}",
        )
    reference = "the first build" if builds else base.label
    Console().print(
        f"compared with {escape(reference)}; at most 5% risk of a wrong verdict in the whole table"
    )
    Console().print(table)


@app.command()
def chart(
    name_or_path: ExperimentArgument,
    path: Annotated[Path, typer.Option("--html", metavar="FILE")],
    store: StoreFile = DEFAULT_STORE,
    measure: Measures = None,
) -> None:
    """Write a self-contained HTML file with curves, grids, Pareto fronts and all points."""
    from .charts import render_page

    experiment = load_or_fail(name_or_path)
    cells_charted, rows = newest_cells(experiment, open_store(store))
    experiment = msgspec.structs.replace(experiment, measures=_chosen_measures(experiment, measure))
    path.write_text(render_page(experiment, cells_charted, rows))


@app.command()
def export(
    name_or_path: ExperimentArgument,
    path: Annotated[Path, typer.Argument(metavar="FILE.csv|FILE.parquet")],
    store: StoreFile = DEFAULT_STORE,
) -> None:
    """Export all runs, with a column per factor, measure and latency percentile."""
    from .export import flat, write

    experiment = load_or_fail(name_or_path)
    try:
        write(flat(open_store(store).runs(experiment.digest, with_details=True)), path)
    except (OSError, ValueError) as error:
        fail(f"{path}: {error}")


app.command()(search)


@app.command()
def bench(
    name: Annotated[str, typer.Argument(help="A file of benchmarks/, without .py.")],
    arguments: Annotated[
        list[str] | None, typer.Argument(help="Arguments of the benchmark, after --.")
    ] = None,
    times: Annotated[int, typer.Option(min=1, max=1000)] = 1,
    limit: Annotated[
        float, typer.Option("--limit-s", min=1.0, help="Time limit of a run.")
    ] = 1800.0,
    store: StoreFile = DEFAULT_STORE,
    as_json: AsJson = False,
) -> None:
    """Run a benchmark and keep its results in the store."""
    from .bench import BenchmarkError, run_benchmark

    results = open_store(store, must_exist=False)
    try:
        rows = asyncio.run(run_benchmark(name, arguments or [], times, results, limit))
    except (BenchmarkError, StoreError) as error:
        fail(error, 1)
    if as_json:
        print(json.dumps(rows))
        return
    for row in rows:
        print(", ".join(f"{key} {value}" for key, value in row.items()))


@app.command()
def watch(store: StoreFile = DEFAULT_STORE) -> None:
    """Open a terminal interface: experiments, points, runs, a run's worst ten seconds."""
    from .watch import WatchApp

    if not store.exists():
        fail(f"{store}: no store; `limebridge experiment run` makes one")
    try:
        WatchApp(store).run()
    except StoreError as error:
        fail(error)
