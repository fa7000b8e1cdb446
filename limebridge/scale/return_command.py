"""`limebridge scale return`: a region that was cut off for long returns with all its proxies."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from .region_return import RegionReturn
from .target import load_target


def region_return(
    proxies: Annotated[
        int | None, typer.Option(min=1, max=2600, help="Of the region; else the target's.")
    ] = None,
    away: Annotated[
        float, typer.Option(min=1.0, max=14_400.0, help="Seconds for which it was cut off.")
    ] = 3600.0,
    seed: Annotated[int, typer.Option(help="Of all chance.")] = 1,
    path: Annotated[
        Path | None, typer.Option("--json", metavar="FILE", help="Where the report goes, too.")
    ] = None,
) -> None:
    """Play the return on virtual time: how long, how fast, and whether anything is lost.

    Exit status 1 when something was lost or applied out of order, or not all caught up.
    """
    target = load_target()
    count = proxies or round(target.proxies / target.regions)
    report = RegionReturn(count, away, target.purges_per_s, seed).run()
    text = msgspec.json.format(msgspec.json.encode(report), indent=1)
    typer.echo(text)
    if path is not None:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(text + b"\n")
    whole = report.lost == 0 and report.out_of_order == 0 and report.caught_up_s < float("inf")
    raise typer.Exit(0 if whole else 1)
