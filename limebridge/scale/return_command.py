"""`limebridge scale return`: simulates the return of a region that was cut off for long."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from .region_return import RegionReturn
from .target import load_target


def region_return(
    proxies: Annotated[
        int | None,
        typer.Option(
            min=1, max=2600, help="Proxies of the region; default: the target's mean per region."
        ),
    ] = None,
    away: Annotated[
        float, typer.Option(min=1.0, max=14_400.0, help="Seconds for which the region is cut off.")
    ] = 3600.0,
    seed: Annotated[int, typer.Option(help="Seed of the random generator.")] = 1,
    path: Annotated[
        Path | None, typer.Option("--json", metavar="FILE", help="Write the report to FILE, too.")
    ] = None,
) -> None:
    """Simulate the return of a region on virtual time, and print the report as JSON.

    Exit status 1 if a batch was lost or applied out of order, or a proxy did not catch up.
    """
    target = load_target()
    count = proxies or round(target.proxies / target.regions)
    report = RegionReturn(count, away, target.purges_per_s, seed).run()
    text = msgspec.json.format(msgspec.json.encode(report), indent=1)
    typer.echo(text)
    if path is not None:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(text + b"\n")
    complete = report.lost == 0 and report.out_of_order == 0 and report.caught_up_s < float("inf")
    raise typer.Exit(0 if complete else 1)
