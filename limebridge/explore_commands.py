"""`limebridge explore | replay`: run fault plans against the daemon's code in memory."""

from __future__ import annotations

import functools
import json
import runpy
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn
from rich.table import Table

from .virtual import coverage, runner, timeline
from .virtual import explore as explorer
from .virtual import plan as plans

PatchFile = Annotated[
    Path | None,
    typer.Option("--patch", metavar="FILE", help="A Python file whose plant() is called first."),
]


def explore(
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 1000,
    first: Annotated[int, typer.Option("--from", min=0, help="The first seed.")] = 0,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0: one per core.")] = 0,
    budget: Annotated[
        float, typer.Option(min=0.0, help="Seconds after which to stop; 0: no limit.")
    ] = 0,
    keep: Annotated[
        Path | None,
        typer.Option(metavar="DIR", help="Directory for the shrunk plans of failed seeds."),
    ] = None,
    patch: PatchFile = None,
    consul: Annotated[
        bool,
        typer.Option("--consul", help="Take the list of nodes from Consul, and add its faults."),
    ] = False,
    goes_on: Annotated[
        bool,
        typer.Option(
            "--next",
            help="Run seeds that were not run here before, biased towards the combinations met "
            "least by this build; --from is ignored.",
        ),
    ] = False,
    fleet: Annotated[
        bool,
        typer.Option(
            "--fleet",
            help="Run several processes and the works that they own (`limebridge faults`).",
        ),
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON as the last line.")] = False,
) -> None:
    """Run the daemon's own code in memory against faults generated from seeds.

    Exit status 1 when a rule or a bound was violated, 2 for unusable arguments.
    """
    prepare = _patch_function(patch)
    if fleet:
        from .faults.command import explore_fleet

        raise typer.Exit(explore_fleet(first, seeds, jobs, prepare, as_json))
    summary = explorer.Summary()
    pairs: explorer.Pairs = ()
    history = coverage.History() if goes_on else None
    if history is not None:
        try:
            first, pair_counts = history.reserve_seeds("consul" if consul else "plain", seeds)
        except (OSError, ValueError) as error:
            typer.echo(f"limebridge: {error}", err=True)
            raise typer.Exit(2) from None
        pairs = coverage.rarest_pairs(pair_counts, consul)
        keep = keep or Path("found")  # a biased plan cannot be regenerated from its seed alone
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=Console(stderr=True), disable=as_json) as progress:
        bar = progress.add_task("exploring", total=seeds)
        for summary in explorer.explore(first, seeds, jobs, budget, prepare, consul, pairs):
            progress.update(
                bar, completed=summary.seeds, description=f"{len(summary.failed)} broken"
            )
    summary.failed.sort(key=lambda found: found.seed)
    if prepare is not None:
        prepare()
    for found in summary.failed[:3]:
        smaller = explorer.shrink(found.plan, found.violations[0].rule)
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            path = keep / f"seed-{found.seed}.json"
            path.write_text(plans.dump(smaller))
            command = ["limebridge replay", str(path)]
        else:
            command = ["limebridge replay", str(found.seed), *(["--consul"] if consul else [])]
        typer.echo(" ".join([*command, *(["--patch", str(patch)] if patch else [])]), err=True)
        typer.echo(timeline.render_text(runner.run_plan(smaller)), err=True)
    if history is not None:
        history.add(summary.seeds, summary.pair_counts)
    result = {
        "first": first,
        "seeds": summary.seeds,
        "seconds": round(summary.seconds, 2),
        "requests": summary.requests,
        "broken": len(summary.failed),
        "broken_seeds": [found.seed for found in summary.failed],
        "met": dict(sorted(summary.pair_counts.items())),
        "digest": summary.digest,
    }
    if as_json:
        print(json.dumps(result))
    else:
        table = Table("fault", "while a request was", "times")
        for key, count in sorted(summary.pair_counts.items()):
            table.add_row(*key.split("/"), str(count))
        Console().print(table)
        print(
            f"{summary.seeds} seeds, {summary.requests} requests, {summary.seconds:.1f} s, "
            f"{len(summary.failed)} broken, digest {summary.digest}"
        )
    raise typer.Exit(1 if summary.failed else 0)


def replay(
    what: Annotated[str, typer.Argument(metavar="FILE_OR_SEED")],
    html: Annotated[
        Path | None, typer.Option(metavar="FILE", help="Write a timeline with the trace.")
    ] = None,
    patch: PatchFile = None,
    consul: Annotated[
        bool,
        typer.Option(
            "--consul", help="The seed is one of `explore --consul`; a file contains this itself."
        ),
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Run one plan again and print its trace.  Exit status 1 when it violates a rule or bound."""
    try:
        generate = plans.generate_consul if consul else plans.generate
        plan = generate(int(what)) if what.isdecimal() else plans.read(Path(what))
    except (OSError, ValueError) as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    prepare = _patch_function(patch)
    if prepare is not None:
        prepare()
    outcome = runner.run_plan(plan)
    if html is not None:
        html.write_text(timeline.render_html(outcome))
    print(
        json.dumps(
            {
                "digest": outcome.digest,
                "requests": outcome.requests,
                "broken": [[b.rule, round(b.at, 6), b.message] for b in outcome.violations],
            }
        )
        if as_json
        else timeline.render_text(outcome)
    )
    raise typer.Exit(1 if outcome.violations else 0)


def _patch_function(path: Path | None) -> Callable[[], None] | None:
    """A function that applies the patch in this or another process; None without a file."""
    if path is None:
        return None
    if not path.is_file():
        typer.echo(f"limebridge: no file {path}", err=True)
        raise typer.Exit(2)
    return functools.partial(_apply_patch, str(path))


def _apply_patch(path: str) -> None:
    runpy.run_path(path)["plant"]()
