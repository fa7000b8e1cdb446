"""`limebridge scale capacity`: writes the tables of docs/CAPACITY.md, or compares them."""

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
GROWTH_TABLE = "growth"  # optional: written only if the page has its markers
GROWTH_RUNS = tuple(Path(f"docs/capacity/run-{proxies}-all.json") for proxies in (200, 800, 2600))


def capacity(
    slopes: Annotated[
        list[Path],
        typer.Argument(
            help="Files of `limebridge scale slopes --json`; the last file with a cost counts."
        ),
    ],
    run: Annotated[
        list[Path] | None,
        typer.Option(help="Runs for the growth table, one per size; default: the committed ones."),
    ] = None,
    page: Annotated[Path, typer.Option(help="The page to update.")] = PAGE,
    target: Annotated[
        Path | None, typer.Option(help="A target file; default: the built-in one.")
    ] = None,
    check: Annotated[bool, typer.Option("--check", help="Compare; write nothing.")] = False,
) -> None:
    """Write the page's tables from measured slopes.

    With --check: exit status 1 and one line per problem if the page differs from the slopes and
    the target, or if its list of exceeded budgets is wrong.  Exit status 2 for invalid input.
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
    """The growth table of these runs.

    Raises OSError or ValueError if a run can't be read, or two runs have the same size.
    """
    # Not at the top: these load numpy and histograms, which the other commands do not need.
    from .growth import growth_table
    from .run_report import read as read_run

    return growth_table([read_run(path) for path in paths], target, slopes)
