"""`limebridge rehearse`: runs a scenario with several seeds and prints a verdict for each."""

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

from .engine import run_scenario
from .real import run_real
from .report import render_html, render_junit, to_dict, verdict
from .result import Result
from .scenario import Scenario, load, shipped_scenarios
from .vary import apply_changes, named_scenario

TEMPLATE = """# A scenario for `limebridge rehearse THIS_FILE`.  Omitted tables have default values.
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
# A mean difference of more standard errors than this is a change; wrong about once in 20 times.
SIGNIFICANT_ERRORS = 2.0

RunDict = dict[str, Any]  # as made by report.to_dict
COMPARED_MEASURES: dict[str, Callable[[RunDict], Any]] = {  # from a report; None: missing
    **{name: operator.itemgetter(name) for name in ("service", "worst", "worst_class", "total")},
    "of attainable": lambda run: (run.get("share") or {}).get("whole"),
}


def _fail(text: object, status: int = 2) -> NoReturn:
    typer.echo(f"limebridge: {text}", err=True)
    raise typer.Exit(status) from None


def _run_one(job: tuple[Scenario, int, str | None]) -> Result:
    scenario, seed, patch = job
    if patch is not None:
        runpy.run_path(patch)["plant"]()
    return run_scenario(scenario, seed)


def rehearse(
    scenario: Annotated[str, typer.Argument(help="A file, or a name from --list.")] = "",
    seeds: Annotated[int, typer.Option(min=1, max=1000, help="Runs, one per seed.")] = 1,
    first: Annotated[
        int | None,
        typer.Option("--from", min=0, help="The first seed, instead of the scenario's."),
    ] = None,
    assignments: Annotated[
        list[str] | None,
        typer.Option(
            "--set",
            metavar="KEY=VALUE",
            help="Change a value, e.g. proxies.count=1 or load.scale=1.5.",
        ),
    ] = None,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0: one per core.")] = 0,
    baseline: Annotated[
        Path | None,
        typer.Option(
            metavar="REPORT.json", help="Earlier --json output of the same scenario and seeds."
        ),
    ] = None,
    patch: Annotated[
        Path | None,
        typer.Option(
            metavar="FILE", help="A Python file whose plant() injects a bug before the run."
        ),
    ] = None,
    report: Annotated[
        Path | None, typer.Option("--html", metavar="FILE", help="Write an HTML report.")
    ] = None,
    names: Annotated[bool, typer.Option("--list", help="List the shipped scenarios.")] = False,
    explain: Annotated[
        bool, typer.Option("--explain", help="Describe the scenario, don't run it.")
    ] = False,
    new: Annotated[
        Path | None, typer.Option("--new", metavar="FILE", help="Write a template of a scenario.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    real: Annotated[
        bool, typer.Option("--real", help="Real time, with daemon processes on loopback.")
    ] = False,
    run: Annotated[
        str, typer.Option(metavar="COMMAND", help="With --real: command line of the daemon.")
    ] = "",
    junit: Annotated[
        Path | None, typer.Option(metavar="FILE", help="Write the verdicts as JUnit XML.")
    ] = None,
) -> None:
    """Run a scenario on the virtual clock against the daemon's own code.

    Exit status 0: passed; 1: failed; 2: the scenario can't be used; 3: void, since the test kit
    itself was too late.
    """
    if names:
        for name in shipped_scenarios():
            print(f"{name:28}{load(name).run.about}")
        return
    if new is not None:
        if new.exists():
            _fail(f"{new}: the file exists already")
        new.write_text(TEMPLATE)
        return
    if not scenario:
        _fail("no scenario given; --list prints the shipped ones")
    try:
        chosen = apply_changes(named_scenario(scenario), _parse_changes(assignments))
    except ConfigError as error:
        _fail(error)
    if first is not None:
        chosen = msgspec.structs.replace(
            chosen, run=msgspec.structs.replace(chosen.run, seed=first)
        )
    if explain:
        _explain(chosen)
        return
    if real and patch is not None:
        _fail("--patch: only for virtual runs; with --real choose a build by --run")
    if run and not real:
        _fail("--run: only with --real; a virtual run uses this checkout")
    before = _baseline(baseline, chosen) if baseline is not None else []
    results = (
        _run_real(chosen, seeds, run) if real else _run_virtual(chosen, seeds, jobs, patch, as_json)
    )
    output: dict[str, Any] = {"runs": [to_dict(result) for result in results]}
    if before:
        output["changes"] = significant_changes(before, output["runs"])
    if report is not None:
        report.write_text(render_html(results))
    if junit is not None:
        junit.write_text(render_junit(results))
    if as_json:
        print(json.dumps(output))
    else:
        _show(results, output.get("changes", []))
    if any(result.void for result in results):
        raise typer.Exit(3)
    worse = any(change["worse"] for change in output.get("changes", []))
    raise typer.Exit(1 if worse or any(result.failed for result in results) else 0)


def _parse_changes(assignments: list[str] | None) -> dict[str, Any]:
    """Parse KEY=VALUE pairs; a value that is not TOML is taken as a string."""
    values: dict[str, Any] = {}
    for assignment in assignments or []:
        key, separator, value = assignment.partition("=")
        if not separator:
            raise ConfigError(f"--set {assignment}: not KEY=VALUE")
        try:
            values[key] = tomllib.loads(f"value = {value}")["value"]
        except tomllib.TOMLDecodeError:
            values[key] = value
    return values


def _run_virtual(
    scenario: Scenario, seeds: int, jobs: int, patch: Path | None, quiet: bool
) -> list[Result]:
    if patch is not None and not patch.is_file():
        _fail(f"--patch: {patch} is not a file")
    work = [
        (scenario, scenario.run.seed + number, None if patch is None else str(patch))
        for number in range(seeds)
    ]
    if seeds == 1 and patch is None:
        return [_run_one(work[0])]
    columns = (TextColumn("rehearsing"), BarColumn(), MofNCompleteColumn())
    results = []
    processes = min(seeds, jobs or len(os.sched_getaffinity(0)))
    with (
        multiprocessing.get_context("spawn").Pool(processes, _ignore_interrupts) as pool,
        Progress(*columns, console=Console(stderr=True), disable=quiet) as progress,
    ):
        bar = progress.add_task("", total=seeds)
        for result in until_interrupted(pool.imap(_run_one, work)):
            results.append(result)
            progress.update(bar, completed=len(results))
    if not results:
        _fail("interrupted before the first run ended", 1)
    if len(results) < seeds:
        results[-1].partial = True
    return results


def until_interrupted(runs: Iterator[Result]) -> Iterator[Result]:
    """Yield the results of the runs that end before a Ctrl-C."""
    try:
        yield from runs
    except KeyboardInterrupt:
        return


def _ignore_interrupts() -> None:
    """Ignore SIGINT: the terminal sends it to all processes, and the parent stops the others."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _run_real(scenario: Scenario, seeds: int, run: str) -> list[Result]:
    """Run the seeds one after another: concurrent runs would delay each other."""
    results = []
    try:
        for number in range(seeds):
            results.append(run_real(scenario, scenario.run.seed + number, run))
            if results[-1].partial:
                break
    except (DaemonStartError, OSError) as error:
        _fail(error)
    return results


def _baseline(path: Path, scenario: Scenario) -> list[dict[str, Any]]:
    try:
        runs: list[dict[str, Any]] = json.loads(path.read_bytes())["runs"]
        if any(run["scenario"] != scenario.name for run in runs):
            raise ValueError("it has runs of another scenario")
        return runs
    except (OSError, ValueError, KeyError, TypeError) as error:
        _fail(f"{path}: can't be used as a baseline: {error}")


def significant_changes(
    before: list[dict[str, Any]], after: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """The measures that differ between runs with the same seeds, by pairs of equal seeds.

    A mean difference counts if it exceeds SIGNIFICANT_ERRORS standard errors, which happens by
    chance about once in twenty measures.
    """
    pairs = [(old, new) for old in before for new in after if old["seed"] == new["seed"]]
    changes = []
    for name, measure in COMPARED_MEASURES.items():
        differences = [
            measure(new) - measure(old)
            for old, new in pairs
            if measure(old) is not None and measure(new) is not None
        ]
        if len(differences) < 2:
            continue
        mean = statistics.mean(differences)
        error = statistics.stdev(differences) / len(differences) ** 0.5
        if abs(mean) > SIGNIFICANT_ERRORS * error and abs(mean) > 1e-9:
            changes.append(
                {
                    "what": name,
                    "by": round(mean, 4),
                    "error": round(error, 4),
                    "seeds": len(differences),
                    "worse": mean < 0.0,
                }
            )
    return changes


def _explain(scenario: Scenario) -> None:
    print(f"{scenario.name}: {scenario.run.about}")
    print(
        f"{scenario.size} nodes at {len(scenario.site)} sites, "
        f"about {scenario.capacity:.0f} requests/s when warm; "
        f"{scenario.proxies.count} proxies; {scenario.run.seconds:g} s"
    )
    for point in scenario.load.curve:
        print(f"  {point.at:7.1f} s  {point.rate:g} requests/s")
    for event in sorted(scenario.event, key=lambda event: event.at):
        print(
            f"  {event.at:7.1f} s  {event.kind} for {event.lasts:g} s, share {event.share:g}"
            + (f", at {event.site}" if event.site else "")
        )
    bar = scenario.bar
    print(
        f"bar: service {bar.service:g}, worst ten seconds {bar.worst:g}, "
        f"worst class {bar.worst_class:g}, no rule violated"
    )
    requirements = [
        f"{name} {minimum:g}"
        for name, minimum in (
            ("whole run", bar.attainable),
            ("in the trouble", bar.trouble),
            ("after it", bar.after),
        )
        if minimum
    ]
    requirements += [f"back within {bar.back:g} s"] if bar.back else []
    requirements += [f"swing {bar.swing:g} at most"] if bar.swing else []
    if requirements:
        print(f"of what is attainable: {', '.join(requirements)}")


def _show(results: list[Result], changes: list[dict[str, Any]]) -> None:
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
        score = result.score
        share = result.share
        attained = (
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
            f"{score.service:.3f}",
            f"{score.worst:.3f}",
            f"{score.worst_class:.3f}",
            *attained,
            f"{score.p99_ms:.0f}",
            str(max(result.database, default=0)),
            verdict(result),
        )
    Console().print(table)
    for cause, share_lost in list(results[0].blame.items())[:4] if results else []:
        print(f"seed {results[0].seed} lost {share_lost:.4f}: {cause}")
    if results and results[0].costs:
        top = max(results[0].costs, key=lambda cost: cost.lost)
        print(f"  most in second {top.second}: {top.cause} ({top.cause_share:.0%} of it)")
    for result in results:
        for reason in result.failed:
            print(f"seed {result.seed}: {reason}")
        for v in result.violations[:3]:
            print(f"  rule {v.rule} at {v.at - 1000.0:.3f}: {v.message} {v.request}")
    for change in changes:
        print(
            f"{change['what']} {'worse' if change['worse'] else 'better'} by "
            f"{abs(change['by']):.4f} (standard error {change['error']:.4f}, "
            f"{change['seeds']} seeds)"
        )
