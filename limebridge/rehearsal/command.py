"""`limebridge rehearse`: a scenario, some seeds, a verdict."""

from __future__ import annotations

import json
import multiprocessing
import operator
import os
import runpy
import signal
import statistics
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Annotated, Any, NoReturn

import msgspec
import typer
from rich import box
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn
from rich.table import Table

from limebridge.child import DaemonStartError
from violetroute.config import ConfigError

from .engine import play
from .real import play_real
from .report import html, plain, verdict, xml
from .result import Result
from .scenario import Scenario, load, shipped
from .vary import named_scenario, varied

NEW = """# A rehearsal; `limebridge rehearse THIS_FILE`.  Tables left out have their defaults.
[run]
seconds = 30.0
about = "what it rehearses"

[load]
curve = [{at = 0.0, rate = 60.0}, {at = 10.0, rate = 120.0}]

[[event]]
at = 12.0
kind = "slow"        # slow, stalls, dies, drains, hot_key, scan, database_slow, discovery_down,
lasts = 8.0          # site_lost, joins, proxies_restart
share = 0.25
amount = 4.0

[bar]
service = 0.8
"""
SURE = 2.0  # standard errors by which a mean has to differ to be called a change (about 1 in 20)

Run = dict[str, Any]  # as `plain` has it
COMPARED: dict[str, Callable[[Run], Any]] = {  # None in reports that do not have the figure
    **{name: operator.itemgetter(name) for name in ("service", "worst", "worst_class", "total")},
    "of attainable": lambda run: (run.get("share") or {}).get("whole"),
}


def _stop(text: object, status: int = 2) -> NoReturn:
    typer.echo(f"limebridge: {text}", err=True)
    raise typer.Exit(status) from None


def _one(what: tuple[Scenario, int, str | None]) -> Result:
    scenario, seed, patch = what
    if patch is not None:
        runpy.run_path(patch)["plant"]()
    return play(scenario, seed)


def rehearse(
    scenario: Annotated[str, typer.Argument(help="A file, or one of --list.")] = "",
    seeds: Annotated[int, typer.Option(min=1, max=1000, help="Runs, one a seed.")] = 1,
    first: Annotated[
        int | None,
        typer.Option("--from", min=0, help="The first seed, in place of the scenario's."),
    ] = None,
    change: Annotated[
        list[str] | None,
        typer.Option(
            "--set",
            metavar="KEY=VALUE",
            help="Another figure, as proxies.count=1 or load.scale=1.5.",
        ),
    ] = None,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0 is one a core.")] = 0,
    baseline: Annotated[
        Path | None,
        typer.Option(
            metavar="REPORT.json", help="An earlier --json of the same scenario and seeds."
        ),
    ] = None,
    patch: Annotated[
        Path | None,
        typer.Option(
            metavar="FILE", help="A Python file whose plant() is called first: a bad build."
        ),
    ] = None,
    report: Annotated[
        Path | None, typer.Option("--html", metavar="FILE", help="Write a report.")
    ] = None,
    names: Annotated[bool, typer.Option("--list", help="The scenarios that are shipped.")] = False,
    explain: Annotated[bool, typer.Option("--explain", help="What it is, without a run.")] = False,
    new: Annotated[
        Path | None, typer.Option("--new", metavar="FILE", help="Write a scenario to begin with.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
    real: Annotated[
        bool, typer.Option("--real", help="In real time, with the daemon as processes on loopback.")
    ] = False,
    run: Annotated[
        str, typer.Option(metavar="COMMAND", help="With --real: how the daemon is started.")
    ] = "",
    junit: Annotated[
        Path | None, typer.Option(metavar="FILE", help="Write the verdicts as JUnit XML.")
    ] = None,
) -> None:
    """Play a scenario on the virtual clock against the daemon's own code.

    Exit status 0: passed; 1: failed; 2: the scenario can't be used; 3: void, the kit itself was
    too late.
    """
    if names:
        for name in shipped():
            print(f"{name:28}{load(name).run.about}")
        return
    if new is not None:
        if new.exists():
            _stop(f"{new}: is there already")
        new.write_text(NEW)
        return
    if not scenario:
        _stop("which scenario? --list names those that are shipped")
    try:
        made = varied(named_scenario(scenario), _changes(change))
    except ConfigError as error:
        _stop(error)
    if first is not None:
        made = msgspec.structs.replace(made, run=msgspec.structs.replace(made.run, seed=first))
    if explain:
        _explain(made)
        return
    if real and patch is not None:
        _stop("--patch: planted in virtual runs alone; with --real name a build by --run")
    if run and not real:
        _stop("--run: for --real; a virtual run plays this checkout")
    before = _baseline(baseline, made) if baseline is not None else []
    results = _real(made, seeds, run) if real else _runs(made, seeds, jobs, patch, as_json)
    told: dict[str, Any] = {"runs": [plain(result) for result in results]}
    if before:
        told["changes"] = changes(before, told["runs"])
    if report is not None:
        report.write_text(html(results))
    if junit is not None:
        junit.write_text(xml(results))
    if as_json:
        print(json.dumps(told))
    else:
        _show(results, told.get("changes", []))
    if any(result.void for result in results):
        raise typer.Exit(3)
    worse = any(change["worse"] for change in told.get("changes", []))
    raise typer.Exit(1 if worse or any(result.failed for result in results) else 0)


def _changes(told: list[str] | None) -> dict[str, Any]:
    """KEY=VALUE, the value as TOML has it; a bare word is text."""
    found: dict[str, Any] = {}
    for each in told or []:
        key, is_there, value = each.partition("=")
        if not is_there:
            raise ConfigError(f"--set {each}: not KEY=VALUE")
        try:
            found[key] = tomllib.loads(f"value = {value}")["value"]
        except tomllib.TOMLDecodeError:
            found[key] = value
    return found


def _runs(made: Scenario, seeds: int, jobs: int, patch: Path | None, quiet: bool) -> list[Result]:
    if patch is not None and not patch.is_file():
        _stop(f"no file {patch}")
    work = [
        (made, made.run.seed + number, None if patch is None else str(patch))
        for number in range(seeds)
    ]
    if seeds == 1 and patch is None:
        return [_one(work[0])]
    columns = (TextColumn("rehearsing"), BarColumn(), MofNCompleteColumn())
    results = []
    processes = min(seeds, jobs or len(os.sched_getaffinity(0)))
    with (
        multiprocessing.get_context("spawn").Pool(processes, _deaf) as pool,
        Progress(*columns, console=Console(stderr=True), disable=quiet) as progress,
    ):
        bar = progress.add_task("", total=seeds)
        for result in until_stopped(pool.imap(_one, work)):
            results.append(result)
            progress.update(bar, completed=len(results))
    if not results:
        _stop("stopped before the first run was over", 1)
    if len(results) < seeds:
        results[-1].partial = True
    return results


def until_stopped(runs: Iterator[Result]) -> Iterator[Result]:
    """Those that are over by the time of a Ctrl-C."""
    try:
        yield from runs
    except KeyboardInterrupt:
        return


def _deaf() -> None:
    """Ctrl-C goes to all of a terminal's processes; the one in front ends the others."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _real(made: Scenario, seeds: int, run: str) -> list[Result]:
    """One after the other: side by side they would make each other late."""
    results = []
    try:
        for number in range(seeds):
            results.append(play_real(made, made.run.seed + number, run))
            if results[-1].partial:
                break
    except (DaemonStartError, OSError) as error:
        _stop(error)
    return results


def _baseline(path: Path, made: Scenario) -> list[dict[str, Any]]:
    try:
        runs: list[dict[str, Any]] = json.loads(path.read_bytes())["runs"]
        if any(run["scenario"] != made.name for run in runs):
            raise ValueError("it is of another scenario")
        return runs
    except (OSError, ValueError, KeyError, TypeError) as error:
        _stop(f"{path}: no report to compare with: {error}")


def changes(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """What differs over the seeds that both have, by pairs; noise is not called a change.

    A change is a mean difference of SURE standard errors: wrong about once in twenty figures.
    """
    pairs = [(old, new) for old in before for new in after if old["seed"] == new["seed"]]
    found = []
    for name, of in COMPARED.items():
        differences = [
            of(new) - of(old) for old, new in pairs if of(old) is not None and of(new) is not None
        ]
        if len(differences) < 2:
            continue
        mean = statistics.mean(differences)
        error = statistics.stdev(differences) / len(differences) ** 0.5
        if abs(mean) > SURE * error and abs(mean) > 1e-9:
            found.append(
                {
                    "what": name,
                    "by": round(mean, 4),
                    "error": round(error, 4),
                    "seeds": len(differences),
                    "worse": mean < 0.0,
                }
            )
    return found


def _explain(made: Scenario) -> None:
    print(f"{made.name}: {made.run.about}")
    print(
        f"{made.size} nodes at {len(made.site)} sites, about {made.capacity:.0f} requests/s "
        f"when warm; {made.proxies.count} proxies; {made.run.seconds:g} s"
    )
    for point in made.load.curve:
        print(f"  {point.at:7.1f} s  {point.rate:g} requests a second")
    for event in sorted(made.event, key=lambda event: event.at):
        print(
            f"  {event.at:7.1f} s  {event.kind} for {event.lasts:g} s, share {event.share:g}"
            + (f", at {event.site}" if event.site else "")
        )
    bar = made.bar
    print(
        f"bar: service {bar.service:g}, worst ten seconds {bar.worst:g}, "
        f"worst class {bar.worst_class:g}, no rule broken"
    )
    wanted = [
        f"{name} {least:g}"
        for name, least in (
            ("whole run", bar.attainable),
            ("in the trouble", bar.trouble),
            ("after it", bar.after),
        )
        if least
    ]
    wanted += [f"back within {bar.back:g} s"] if bar.back else []
    wanted += [f"swing {bar.swing:g} at most"] if bar.swing else []
    if wanted:
        print(f"of what is attainable: {', '.join(wanted)}")


def _show(results: list[Result], changed: list[dict[str, Any]]) -> None:
    table = Table(
        "seed",
        "service",
        "worst",
        "class",
        "attainable",
        "trouble",
        "back s",
        "p99 ms",
        "db/s",
        "verdict",
        box=box.SIMPLE_HEAD,
        padding=(0, 1, 0, 0),
    )  # 80 columns
    for result in results:
        found = result.score
        share = result.share
        of = (
            ["", "", ""]
            if share is None
            else [
                f"{share.whole:.3f}",
                f"{share.trouble:.3f}",
                "never" if share.back is None else f"{share.back:.0f}",
            ]
        )
        table.add_row(
            str(result.seed),
            f"{found.service:.3f}",
            f"{found.worst:.3f}",
            f"{found.worst_class:.3f}",
            *of,
            f"{found.p99_ms:.0f}",
            str(max(result.database, default=0)),
            verdict(result),
        )
    Console().print(table)
    for what, part in list(results[0].blame.items())[:4] if results else []:
        print(f"seed {results[0].seed} lost {part:.4f}: {what}")
    if results and results[0].costs:
        dear = max(results[0].costs, key=lambda cost: cost.lost)
        print(f"  most in second {dear.second}: {dear.by} ({dear.part:.0%} of it)")
    for result in results:
        for why in result.failed:
            print(f"seed {result.seed}: {why}")
        for each in result.broken[:3]:
            print(f"  rule {each.rule} at {each.at - 1000.0:.3f}: {each.message} {each.request}")
    for change in changed:
        print(
            f"{change['what']} {'worse' if change['worse'] else 'better'} by "
            f"{abs(change['by']):.4f} (standard error {change['error']:.4f}, "
            f"{change['seeds']} seeds)"
        )
