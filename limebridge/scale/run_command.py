"""`limebridge scale run`: runs and measures a fleet of hollow and real proxies on this machine."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from violetroute.distribution.control_file import Timings
from violetroute.sharing.table import SharingTable

from .run_plan import PlanError, RunPlan, check_plan
from .run_process import ProcessError
from .time_dilation import dilated

if TYPE_CHECKING:  # loads numpy and hdrh, which the other commands do not need
    from .run import ScaleRun
    from .run_report import RunReport

EXIT_REFUSED = 2  # invalid arguments, or a run that is too large for this machine
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def run(
    as_json: Annotated[Path, typer.Option("--json", metavar="FILE", help="File for the report.")],
    proxies: Annotated[int, typer.Option(help="Hollow proxies.")] = 2600,
    sites: Annotated[int, typer.Option(help="Sites of the proxies.")] = 170,
    regions: Annotated[int, typer.Option(help="Regions of the sites.")] = 10,
    nodes: Annotated[int, typer.Option(help="Cache nodes that the proxies report on.")] = 1200,
    real: Annotated[int, typer.Option(help="Real daemons.")] = 8,
    controls: Annotated[int, typer.Option(help="Control machines.")] = 8,
    seconds: Annotated[float, typer.Option(help="Seconds of measurement.")] = 60.0,
    warm: Annotated[float, typer.Option(help="Seconds of warm-up before the measurement.")] = 10.0,
    purges: Annotated[float, typer.Option(help="Purges per second.")] = 71.0,
    changes: Annotated[float, typer.Option(help="Configuration changes per second.")] = 0.1,
    burst: Annotated[
        float, typer.Option(help="Factor of the purge rate for a tenth of the time.")
    ] = 1.0,
    loss: Annotated[float, typer.Option(help="Share of packets lost on each link.")] = 0.0,
    kill_control: Annotated[
        bool, typer.Option("--kill-control", help="Kill the leader after a third of the time.")
    ] = False,
    restart_within: Annotated[
        float,
        typer.Option(help="Restart all hollow proxies, spread over this many seconds; 0: never."),
    ] = 0.0,
    restart_killed: Annotated[
        bool,
        typer.Option("--restart-killed", help="Kill restarting proxies: sessions are not ended."),
    ] = False,
    gossip: Annotated[
        bool, typer.Option(help="Run gossip: membership, health reports and counts.")
    ] = True,
    probe: Annotated[
        float, typer.Option(help="Seconds between two probes of members by a proxy.")
    ] = SharingTable().probe_s,
    requests: Annotated[
        float, typer.Option(help="Synthetic requests per second of a hollow proxy.")
    ] = 8.0,
    failed: Annotated[float, typer.Option(help="Share of synthetic requests that fail.")] = 0.0,
    hosts: Annotated[int, typer.Option(help="Host processes; 0: as few as needed.")] = 0,
    slowdown: Annotated[
        float, typer.Option(help="Factor by which the clocks of the run are slowed.")
    ] = 1.0,
    distribution: Annotated[
        bool, typer.Option(help="Run control machines that distribute purges.")
    ] = True,
    batch: Annotated[
        float, typer.Option(help="Seconds for which the leader collects a batch.")
    ] = Timings().batch_s,
    spread: Annotated[
        float, typer.Option(help="Minimum seconds between two replies with batches to a proxy.")
    ] = Timings().spread_s,
    stale_after: Annotated[
        float, typer.Option(help="Seconds after which a proxy is stale.")
    ] = Timings().stale_after_s,
    seed: Annotated[int, typer.Option(help="Seed of link delays, losses and the load.")] = 1,
) -> None:
    """Run hollow and real proxies with their control machines, and report by role.

    Exit status 1 if a process failed, 2 for an invalid or too large run, 130 after Ctrl-C.
    """
    plan = RunPlan(
        proxies=proxies,
        sites=min(sites, proxies),
        regions=min(regions, sites, proxies),
        nodes=nodes,
        real=real,
        controls=controls,
        seconds=seconds,
        warm_seconds=warm,
        purges=purges,
        changes=changes,
        burst=burst,
        loss=loss,
        kill_control=kill_control,
        restart_within_s=restart_within,
        restart_killed=restart_killed,
        gossip=gossip,
        probe_s=probe,
        requests=requests,
        failed_share=failed,
        hosts=hosts,
        seed=seed,
        slowdown=slowdown,
        distribution=distribution,
        batch_s=batch,
        spread_s=spread,
        stale_after_s=stale_after,
    )
    console = Console(stderr=True)
    try:
        check_plan(plan)
        report = _run_plan(plan, console)
    except PlanError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(EXIT_REFUSED) from None
    except ProcessError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(EXIT_FAILED) from None
    except (KeyboardInterrupt, asyncio.CancelledError):
        typer.echo("limebridge: interrupted, all processes were stopped", err=True)
        raise typer.Exit(EXIT_INTERRUPTED) from None
    _write_report(report, as_json)


def _write_report(report: RunReport, path: Path) -> None:
    from .run_report import save
    from .run_tables import print_report

    save(report, path)
    print_report(report, Console())


def _run_plan(plan: RunPlan, console: Console) -> RunReport:
    from .run import ScaleRun

    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console) as bar:
        task = bar.add_task("starting", total=1.0)

        def progress(activity: str, share: float) -> None:
            bar.update(task, description=activity, completed=share)

        with dilated(plan.slowdown):
            return asyncio.run(_with_signals(ScaleRun(plan, progress)))


async def _with_signals(scale_run: ScaleRun) -> RunReport:
    """Run it; SIGTERM cancels the run, as Ctrl-C does."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await scale_run.run()
