"""`limebridge scale run`: a fleet of hollow and real proxies on this machine, measured."""

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

from .run_plan import PlanError, RunPlan, check
from .run_process import ProcessError
from .time_dilation import dilated

if TYPE_CHECKING:  # numpy and histograms are nothing to the other commands
    from .run import ScaleRun
    from .run_report import RunReport

EXIT_REFUSED = 2  # exit status for arguments that can't be used
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def run(
    as_json: Annotated[Path, typer.Option("--json", metavar="FILE", help="Where the report goes.")],
    proxies: Annotated[int, typer.Option(help="Hollow proxies.")] = 2600,
    sites: Annotated[int, typer.Option(help="Sites that they are spread over.")] = 170,
    regions: Annotated[int, typer.Option(help="Regions that the sites are spread over.")] = 10,
    nodes: Annotated[int, typer.Option(help="Cache nodes that the proxies judge.")] = 1200,
    real: Annotated[int, typer.Option(help="Real daemons.")] = 8,
    controls: Annotated[int, typer.Option(help="Control machines.")] = 8,
    seconds: Annotated[float, typer.Option(help="Seconds that are measured.")] = 60.0,
    warm: Annotated[float, typer.Option(help="Seconds before the measurement.")] = 10.0,
    purges: Annotated[float, typer.Option(help="Purges a second.")] = 71.0,
    changes: Annotated[float, typer.Option(help="Changes of configuration a second.")] = 0.1,
    burst: Annotated[float, typer.Option(help="Times as many for a tenth of the time.")] = 1.0,
    loss: Annotated[float, typer.Option(help="Share of packets that links lose.")] = 0.0,
    kill_control: Annotated[
        bool, typer.Option("--kill-control", help="Kill the leader after a third of the time.")
    ] = False,
    restart_within: Annotated[
        float, typer.Option(help="Seconds in which all hollow proxies restart; 0: none does.")
    ] = 0.0,
    restart_killed: Annotated[
        bool, typer.Option("--restart-killed", help="They are killed, and tell no control machine.")
    ] = False,
    gossip: Annotated[bool, typer.Option(help="Membership, judgements and counts too.")] = True,
    probe: Annotated[
        float, typer.Option(help="Seconds between two members that a proxy asks.")
    ] = SharingTable().probe_s,
    requests: Annotated[
        float, typer.Option(help="Requests a second that a hollow proxy pretends.")
    ] = 8.0,
    failed: Annotated[float, typer.Option(help="Share of the pretended ones that fail.")] = 0.0,
    hosts: Annotated[int, typer.Option(help="Processes of hollow proxies; 0: as needed.")] = 0,
    slowdown: Annotated[
        float, typer.Option(help="Times more slowly than real time passes in the run.")
    ] = 1.0,
    distribution: Annotated[bool, typer.Option(help="Purges from control machines.")] = True,
    batch: Annotated[
        float, typer.Option(help="Seconds in which the leader gathers publications.")
    ] = Timings().batch_s,
    spread: Annotated[
        float, typer.Option(help="Seconds between two answers with batches to a proxy.")
    ] = Timings().spread_s,
    stale_after: Annotated[
        float, typer.Option(help="Seconds after which a proxy is stale.")
    ] = Timings().stale_after_s,
    seed: Annotated[int, typer.Option(help="Of link delays, losses and the load.")] = 1,
) -> None:
    """Run hollow and real proxies with their control machines, and report by role.

    Exit status 2 when the run is senseless or too large for this machine, 1 when a process failed.
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
        check(plan)
        report = _run_plan(plan, console)
    except PlanError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(EXIT_REFUSED) from None
    except ProcessError as error:
        typer.echo(f"limebridge: {error}", err=True)
        raise typer.Exit(EXIT_FAILED) from None
    except (KeyboardInterrupt, asyncio.CancelledError):
        typer.echo("limebridge: interrupted, all processes were ended", err=True)
        raise typer.Exit(EXIT_INTERRUPTED) from None
    _write_report(report, as_json)


def _write_report(report: RunReport, path: Path) -> None:
    from .run_report import save
    from .run_tables import show

    save(report, path)
    show(report, Console())


def _run_plan(plan: RunPlan, console: Console) -> RunReport:
    from .run import ScaleRun

    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console) as bar:
        task = bar.add_task("starting", total=1.0)

        def progress(what: str, share: float) -> None:
            bar.update(task, description=what, completed=share)

        with dilated(plan.slowdown):
            return asyncio.run(_with_signals(ScaleRun(plan, progress)))


async def _with_signals(scale_run: ScaleRun) -> RunReport:
    """SIGTERM ends the run as Ctrl-C does."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await scale_run.run()
