"""`limebridge scale`: measures the resource costs of the system at its target size."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from violetroute.config import ConfigError

from .capacity_command import capacity
from .results import Cost, Slopes, save_slopes
from .return_command import region_return
from .run_command import run

if TYPE_CHECKING:
    from . import slopes as slopes_module

scale_app = typer.Typer(no_args_is_help=True, help="Costs at the target size: measured slopes.")

MAX_JOBS = 4
TABLE_WIDTH = 130  # minimum width in characters, also if the output is not a terminal
EXIT_INTERRUPTED = 130  # exit status after Ctrl-C, as in a shell: 128 + SIGINT


scale_app.command()(capacity)
scale_app.command(name="return")(region_return)


@scale_app.callback()
def _main() -> None:
    """Costs at the target size."""


@scale_app.command()
def slopes(
    path: Annotated[
        Path, typer.Option("--json", metavar="FILE", help="Where the measured slopes are written.")
    ],
    quick: Annotated[
        bool,
        typer.Option("--quick", help="Measure small sizes; no result for the target size."),
    ] = False,
    only: Annotated[
        str,
        typer.Option(metavar="NAME", help="Only this subject or cost, such as list or list.bytes."),
    ] = "",
    skip_largest: Annotated[
        bool, typer.Option("--skip-largest", help="Leave out the largest size of each subject.")
    ] = False,
    jobs: Annotated[int, typer.Option(min=1, max=MAX_JOBS, help="Concurrent measurements.")] = 1,
    time_limit: Annotated[
        float | None,
        typer.Option(
            min=0.1, max=3600.0, help="Seconds per measurement; default: the subject's limit."
        ),
    ] = None,
) -> None:
    """Measure each cost at several sizes, each in a new process, and fit a line to the results.

    Exit status 1 if a measurement failed, 2 for invalid arguments, 130 after Ctrl-C.
    """
    from . import slopes as slopes_module  # not at the top: numpy and scipy load in half a second

    options = slopes_module.Options(
        quick=quick, only=only, skip_largest=skip_largest, jobs=jobs, time_limit=time_limit
    )
    try:
        _check_writable(path)
        result = asyncio.run(_measure(options))
    except ConfigError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(2) from None
    except (KeyboardInterrupt, asyncio.CancelledError):
        typer.echo("limebridge: interrupted; nothing was written", err=True)
        raise typer.Exit(EXIT_INTERRUPTED) from None
    save_slopes(result.slopes, path)
    _show(result.slopes)
    raise typer.Exit(1 if result.failed else 0)


def _check_writable(path: Path) -> None:
    """Raise ConfigError if the file can't be written, before minutes are spent on measuring."""
    folder = path.parent
    while not folder.exists():
        folder = folder.parent
    if path.is_dir() or not folder.is_dir() or not os.access(folder, os.W_OK):
        raise ConfigError(f"--json {path}: can't be written")


async def _measure(options: slopes_module.Options) -> slopes_module.Result:
    """Run the measurements with a progress bar; SIGTERM cancels them, as Ctrl-C does."""
    from . import slopes as slopes_module

    total = len(slopes_module.plan_jobs(options))
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=Console(stderr=True)) as progress:
        bar = progress.add_task("measuring", total=total)

        def on_measured(description: str) -> None:
            progress.update(bar, advance=1, description=description)

        return await slopes_module.run(options, on_measured)


def _show(measured_slopes: Slopes) -> None:
    """Print a table of the measured costs, and a line for each size or cost without a result."""
    names = ("cost", "unit", "per", "constant", "slope", "95% interval", "residual", "form")
    table = Table(*names, box=None)
    for cost in measured_slopes.costs:
        table.add_row(
            cost.name,
            cost.unit,
            cost.per,
            f"{cost.constant:.4g}",
            f"{cost.slope:.4g}",
            f"{cost.slope_low:.4g} to {cost.slope_high:.4g}",
            f"{cost.residual:.1%}",
            _form(cost),
        )
    console = Console()
    console.width = max(console.width, TABLE_WIDTH)
    console.print(table)
    for line in measured_slopes.left_out:
        console.print(f"left out: {line}", markup=False)


def _form(cost: Cost) -> str:
    if cost.straight:
        return "straight"
    return "curve" if cost.exponent is None else f"curve, size^{cost.exponent:.2f}"


scale_app.command()(run)
