"""`limebridge ledger show | verify | export | reconcile | sign | sketch | differ`."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from rich.console import Console
from rich.table import Table

from violetroute.ledger.files import Folder
from violetroute.ledger.periods import Periods
from violetroute.ledger.store import SIGNED_PREFIX

from .reading import LedgerContents, dry_run, read_ledger
from .reading import verify as verify_contents
from .reconcile import Exported, corrections, read_served
from .reconcile import reconcile as reconcile_lines
from .report import OTHERS, html

app = typer.Typer(no_args_is_help=True, help="Ledgers: what was served, by tenant and class.")

LedgerFolder = Annotated[
    Path,
    typer.Argument(
        metavar="FOLDER", help="The ledger of one proxy: its folder within [ledger] folder."
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Zone = Annotated[str, typer.Option(help="As in [ledger].")]
Minutes = Annotated[int, typer.Option("--period-min", min=5, max=60, help="As in [ledger].")]


def _exit(message: object, status: int = 2) -> NoReturn:
    """Prints a line to standard error and exits the command."""
    typer.echo(f"limebridge: {message}", err=True)
    raise typer.Exit(status) from None


def _console() -> Console:
    """A console without markup, since tenants' names come from clients and may look like markup."""
    return Console(markup=False, highlight=False)


def _read(folder: Path, zone: str = "UTC", minutes: int = 15) -> LedgerContents:
    """Reads a ledger's folder; exits with status 2 if it can't be read."""
    try:
        return read_ledger(folder, Periods(zone, minutes))
    except (OSError, ValueError) as error:
        _exit(error)


def _printable_name(tenant: str | None) -> str:
    """The tenant's name for a terminal: unprintable characters are replaced by "?"."""
    return OTHERS if tenant is None else "".join(c if c.isprintable() else "?" for c in tenant)


@app.command()
def show(
    folder: LedgerFolder,
    as_json: AsJson = False,
    report: Annotated[
        Path | None, typer.Option("--html", metavar="FILE", help="Also write an HTML report.")
    ] = None,
) -> None:
    """Show the units by tenant, class and day, whether they are billed or not."""
    contents = _read(folder)
    units = contents.by_day()
    book = contents.book
    if report is not None:
        report.write_text(html(units, contents.name, verify_contents(contents, folder)))
    summary = {
        "ledger": contents.name,
        "incarnation": book.incarnation,
        "units": sum(units.values()),
        "confirmed": len(contents.exported.batches),
        "to_export": sum(batch.state != "held" for batch in book.batches.values()),
        "held": sum(batch.state == "held" for batch in book.batches.values()),
        "gaps": [list(gap) for gap in book.gaps],
    }
    if as_json:
        rows = [
            [day, tenant, cls, count]
            for (day, tenant, cls), count in sorted(
                units.items(), key=lambda item: (item[0][0], item[0][1] or "", item[0][2])
            )
        ]
        print(json.dumps(summary | {"totals": rows}, ensure_ascii=False))
        return
    table = Table("day", "tenant", "class", "units")
    for (day, tenant, cls), count in sorted(
        units.items(), key=lambda item: (item[0][0], item[0][1] or "", item[0][2])
    ):
        table.add_row(day, _printable_name(tenant), cls, str(count))
    _console().print(table)
    print(
        ", ".join(f"{key} {value}" for key, value in summary.items() if key != "gaps"),
        f"gaps {len(book.gaps)}",
        sep=", ",
    )


@app.command()
def verify(folder: LedgerFolder, as_json: AsJson = False) -> None:
    """List inconsistencies and times when the ledger is incomplete; exit status 1 if any."""
    problems = verify_contents(_read(folder), folder)
    print(json.dumps({"wrong": problems}) if as_json else "\n".join(problems) or "all adds up")
    raise typer.Exit(1 if problems else 0)


@app.command("export")
def export_command(
    folder: LedgerFolder,
    dry: Annotated[
        bool,
        typer.Option(
            "--dry-run", help="Print what the proxy would send; only the proxy itself sends."
        ),
    ] = False,
) -> None:
    """Print the batches that are to be exported, as JSON lines."""
    if not dry:
        _exit("only the proxy exports its batches; --dry-run shows them")
    typer.echo(dry_run(_read(folder)).decode(), nl=False)


def _exported(paths: list[Path]) -> Exported:
    """Reads files, and all *.jsonl files of folders; exits with status 2 if one can't be read."""
    found = Exported()
    for path in paths:
        for each in sorted(path.glob("*.jsonl")) if path.is_dir() else [path]:
            try:
                found.add(each.read_text(), str(each))
            except (OSError, ValueError) as error:
                _exit(error)
    return found


@app.command()
def reconcile(
    exported: Annotated[
        list[Path],
        typer.Argument(
            metavar="EXPORTS...", help="Exports of proxies: files or folders of JSON lines."
        ),
    ],
    served: Annotated[
        list[Path],
        typer.Option("--served", metavar="FILE", help="Records of cache nodes: JSON lines."),
    ],
    zone: Zone = "UTC",
    minutes: Minutes = 15,
    write: Annotated[
        Path | None,
        typer.Option(metavar="DIR", help="Write one file of corrections per proxy, to be signed."),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Show which proxies billed too little or too much, by tenant, class and period.

    Exit status 1 when something differs.
    """
    try:
        periods = Periods(zone, minutes)
    except ValueError as error:
        _exit(error)
    exports, served_units = _exported(exported), Counter[Any]()
    problems = list(exports.problems)
    for path in served:
        try:
            units, malformed = read_served(path.read_text().splitlines(), periods, str(path))
        except (OSError, ValueError) as error:
            _exit(error)
        served_units += units
        problems += malformed
    result = reconcile_lines(exports.units, served_units, periods)
    if write is not None:
        write.mkdir(parents=True, exist_ok=True)
        for number, proxy in enumerate(sorted({d.proxy for d in result.differences})):
            (write / f"corrections-{number}.json").write_bytes(corrections(result, proxy, ""))
    if as_json:
        print(
            json.dumps(
                {
                    "short": result.short,
                    "long": result.long,
                    "moved": result.moved,
                    "wrong": problems,
                    "differences": [
                        [d.proxy, d.period, d.tenant, d.cls, d.exported, d.served]
                        for d in result.differences
                    ],
                },
                ensure_ascii=False,
            )
        )
    else:
        table = Table("proxy", "period", "tenant", "class", "exported", "served", "")
        for d in result.differences:
            table.add_row(
                d.proxy,
                str(d.period),
                _printable_name(d.tenant),
                d.cls,
                str(d.exported),
                str(d.served),
                f"short of {d.units}" if d.units > 0 else f"long by {-d.units}",
            )
        _console().print(table)
        for problem in problems:
            typer.echo(problem, err=True)
        print(f"short of {result.short}, long by {result.long}; {result.moved} at a period's edge")
    raise typer.Exit(1 if result.differences or problems else 0)


@app.command()
def sign(
    folder: LedgerFolder,
    file: Annotated[Path, typer.Argument(metavar="CORRECTIONS.json")],
    by: Annotated[str, typer.Option(help="Name of the person who signs.")],
) -> None:
    """Sign corrections for a proxy, which exports each of them once, within seconds."""
    try:
        document = json.loads(file.read_bytes())
        lines = [
            (int(period), tenant if tenant is None else str(tenant), str(cls), int(units))
            for period, tenant, cls, units in document["lines"]
        ]
    except (OSError, ValueError, KeyError, TypeError) as error:
        _exit(f"{file}: not a file of corrections: {error}")
    if not by.strip() or not by.isprintable():
        _exit("--by: must be a printable name")
    body = json.dumps({"by": by.strip(), "lines": lines}, ensure_ascii=False).encode()
    name = f"{SIGNED_PREFIX}{hashlib.sha256(body).hexdigest()[:16]}.json"
    if not folder.is_dir():
        _exit(f"{folder}: no ledger")
    Folder(folder).put(name, body)
    print(f"{name}: {sum(line[3] for line in lines)} units in {len(lines)} lines, signed by {by}")


@app.command()
def sketch(
    ids: Annotated[list[Path], typer.Argument(metavar="IDS...", help="Files ids-* of a ledger.")],
    out: Annotated[Path, typer.Option("-o", "--out", metavar="FILE")],
    differ: Annotated[
        int,
        typer.Option(
            min=1, max=10_000_000, help="Number of differing ids that the sketch has room for."
        ),
    ] = 1000,
) -> None:
    """Write a sketch of ids, to be compared with another side's by `differ`."""
    import numpy as np

    from .sketch import Sketch, read_ids

    try:
        found = np.concatenate([read_ids(path.read_bytes()) for path in ids])
    except OSError as error:
        _exit(error)
    data = Sketch.of(found, differ).dump()
    out.write_bytes(data)
    print(f"{len(found)} ids in {len(data)} bytes, for {differ} differences")


@app.command("differ")
def differ_command(ours: Path, theirs: Path, as_json: AsJson = False) -> None:
    """List ids that are in only one of two sketches; exit status 1 if any, 3 if too small."""
    from .sketch import Sketch

    try:
        found = Sketch.load(ours.read_bytes()).compare(Sketch.load(theirs.read_bytes()))
    except (OSError, ValueError) as error:
        _exit(error)
    if isinstance(found, int):
        _exit(f"too many ids differ; sketch both sides again with --differ {found}", 3)
    only = [[f"{value:016x}" for value in sorted(side)] for side in found]
    if as_json:
        print(json.dumps({"ours": only[0], "theirs": only[1]}))
    else:
        for side, names in zip(("ours", "theirs"), only, strict=True):
            for name in names:
                print(side, name)
    raise typer.Exit(1 if any(only) else 0)
