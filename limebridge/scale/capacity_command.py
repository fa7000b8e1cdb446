"""`limebridge scale capacity`: writes the tables of docs/CAPACITY.md, or checks them."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer

from violetroute.config import ConfigError
from violetroute.error_text import one_line

from .capacity import compute_needs
from .capacity_page import fill_tables, find_problems, has_table, render_tables
from .capacity_rows import ROWS
from .results import Slopes, combine_slopes, read_slopes
from .target import Target, load_target

PAGE = Path("docs/CAPACITY.md")
GROWTH_TABLE = "growth"  # of the page that has it
GROWTH_RUNS = tuple(Path(f"docs/capacity/run-{proxies}-all.json") for proxies in (200, 800, 2600))


def capacity(
    slopes: Annotated[
        list[Path],
        typer.Argument(
            help="Files of `limebridge scale slopes --json`; of a cost the last counts."
        ),
    ],
    run: Annotated[
        list[Path] | None,
        typer.Option(help="Runs for the table of growth, one a size; default: the committed ones."),
    ] = None,
    page: Annotated[Path, typer.Option(help="The page whose tables are written.")] = PAGE,
    target: Annotated[Path | None, typer.Option(help="A target file; default: ours.")] = None,
    check: Annotated[bool, typer.Option("--check", help="Write nothing: compare.")] = False,
) -> None:
    """Write the page's tables from measured slopes.

    With --check: exit status 1, and a line for each difference, when the page does not agree with
    the slopes and the target, or passes a budget without a line that says so.
    """
    try:
        measured = combine_slopes([read_slopes(path) for path in slopes])
        loaded_target = load_target(target)
        needs = compute_needs(ROWS, loaded_target, measured)
        rendered = render_tables(needs, measured)
        text = page.read_text(encoding="utf-8")
        if has_table(text, GROWTH_TABLE):
            rendered[GROWTH_TABLE] = _growth_table(run or GROWTH_RUNS, loaded_target, measured)
        if not check:
            text = fill_tables(text, rendered)
            page.write_text(text, encoding="utf-8")
    except (ConfigError, OSError, ValueError) as error:
        typer.echo(f"limebridge scale capacity: {one_line(error)}", err=True)
        raise typer.Exit(2) from None
    except KeyError as error:
        typer.echo(f"limebridge scale capacity: {page}: no such table: {error}", err=True)
        raise typer.Exit(2) from None
    differences = find_problems(text, needs, rendered)
    for line in differences:
        typer.echo(f"{page}: {line}", err=True)
    if differences and check:
        raise typer.Exit(1)


def _growth_table(paths: Sequence[Path], target: Target, slopes: Slopes) -> str:
    """OSError, ValueError where a run can't be read or two have the same size."""
    from .growth import growth_table  # numpy and histograms are nothing to the other commands
    from .run_report import read as read_run

    return growth_table([read_run(path) for path in paths], target, slopes)
