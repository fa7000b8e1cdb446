"""`limebridge control`: commands that set up and run control machines, show status and publish.

Exit codes: 0: success; 1: no reply, or refused; 2: invalid arguments or file; 3: uncertain, that is
the publication may or may not be in the log, or (with --wait) is committed but not yet in force.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NoReturn

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from limebridge.terminal_text import printable
from violetroute.distribution.configuration import (
    LOCAL_KEYS,
    TableRefusedError,
    check_name,
    parse_table,
)
from violetroute.distribution.messages import (
    MAX_KEY_CHARACTERS,
    RECORDS_PER_BATCH,
    Publish,
    PublishStatus,
    Record,
    StatusReply,
    StatusRequest,
    Topic,
)
from violetroute.distribution.storage import StorageError, init_folder
from violetroute.sharing.table import read_keys
from violetroute.transport import parse_address

from .control_client import Machines, NoAnswerError, leaders_status, publish, wait_in_force
from .status_json import status_object

app = typer.Typer(no_args_is_help=True, help="Control machines: purges and configuration.")

REFUSED, INVALID, UNCERTAIN = 1, 2, 3  # exit codes
LOG_ID_BYTES = 8  # bytes of a new log's random ID, printed in hex
MAX_NAME_CHARACTERS = 64  # characters of a machine's name and of a log's ID

MachineOption = Annotated[
    list[str],
    typer.Option("--machine", metavar="HOST:PORT", help="A control machine; several may be given."),
]
KeyFile = Annotated[
    Path, typer.Option("--key-file", metavar="FILE", help="The key file of the fleet.")
]
Seconds = Annotated[
    float,
    typer.Option(
        "--seconds", min=0.1, max=3600.0, help="Time limit of each publication, and of each wait."
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print one JSON line.")]


@dataclass(frozen=True, slots=True)
class _InForce:
    """A publication that is in force."""

    position: int  # position in the log
    status: StatusReply  # the leader's status, after it came into force


@app.command()
def init(
    folder: Annotated[Path, typer.Argument(help="Folder of the control machine's log.")],
    name: Annotated[str, typer.Option("--name", help="The control machine's name.")],
    log: Annotated[
        str, typer.Option("--log", metavar="ID", help="Identity of the existing log.")
    ] = "",
    new: Annotated[bool, typer.Option("--new", help="Start a new log; prints its ID.")] = False,
    replace: Annotated[
        bool,
        typer.Option(
            "--replace",
            help="The machine had this log and has lost it.  Required in that case: otherwise the "
            "machine forgets its earlier promises, and acknowledged records could be lost.",
        ),
    ] = False,
) -> None:
    """Create the folder of a control machine: an empty log, or the replacement of a lost one."""
    if new == bool(log) or (new and replace):
        _exit("give either --log ID (with or without --replace) or --new", INVALID)
    if not (0 < len(name) <= MAX_NAME_CHARACTERS and len(log) <= MAX_NAME_CHARACTERS):
        _exit(f"--name and --log must have 1 to {MAX_NAME_CHARACTERS} characters", INVALID)
    identity = log or secrets.token_hex(LOG_ID_BYTES)
    try:
        init_folder(folder, name, identity, recovering=replace)
    except (StorageError, OSError) as error:
        _exit(str(error), REFUSED)
    print(identity)


@app.command()
def serve(
    file: Annotated[Path, typer.Argument(help="The control machine's configuration file.")],
) -> None:
    """Run a control machine until SIGTERM, like `python -m violetroute.distribution`."""
    from violetroute.distribution.__main__ import main

    raise typer.Exit(main([str(file)]))


@app.command()
def status(machine: MachineOption, key_file: KeyFile, as_json: Json = False) -> None:
    """Show what is committed and in force, and which proxies lag and for how long.

    Only the leader has the complete status: the machines are queried in turn until one reports
    that it is the leader; if none does, the first reply is shown.
    """
    machines = _machines(machine, key_file)
    try:
        reply = asyncio.run(leaders_status(machines, StatusRequest()))
    except NoAnswerError as error:
        _exit(str(error), REFUSED)
    if as_json:
        # json.dumps escapes all non-ASCII characters.
        print(json.dumps(msgspec.to_builtins(status_object(reply))))
    else:
        _show(reply)


@app.command(name="publish")
def publish_file(
    machine: MachineOption,
    key_file: KeyFile,
    file: Annotated[Path, typer.Argument(help="A file with one key per line.")],
    wait: Annotated[bool, typer.Option("--wait", help="Wait until it is in force.")] = False,
    seconds: Seconds = 10.0,
) -> None:
    """Purge the keys of a file (one per line), up to 2,048 a publication; prints positions."""
    try:
        keys = [line for line in file.read_text().splitlines() if line]
    except (OSError, ValueError) as error:
        _exit(f"{file}: {error}", INVALID)
    machines = _machines(machine, key_file)
    for first in range(0, len(keys), RECORDS_PER_BATCH):
        _publish(machines, keys[first : first + RECORDS_PER_BATCH], wait, seconds)


@app.command()
def purge(
    key: Annotated[list[str], typer.Argument(help="Keys of the objects to invalidate.")],
    machine: MachineOption,
    key_file: KeyFile,
    wait: Annotated[bool, typer.Option("--wait", help="Wait until it is in force.")] = False,
    seconds: Seconds = 10.0,
) -> None:
    """Purge keys at every proxy; prints the log position once committed."""
    if len(key) > RECORDS_PER_BATCH:
        _exit(f"at most {RECORDS_PER_BATCH} keys; `publish` takes a file", INVALID)
    _publish(_machines(machine, key_file), key, wait, seconds)


@app.command()
def configure(
    table: Annotated[str, typer.Argument(help=f"One of {', '.join(LOCAL_KEYS)}.")],
    machine: MachineOption,
    key_file: KeyFile,
    file: Annotated[
        Path | None, typer.Argument(help="The table's keys as TOML, without its header.")
    ] = None,
    remove: Annotated[
        bool, typer.Option("--remove", help="Each proxy returns to the table of its own file.")
    ] = False,
    wait: Annotated[bool, typer.Option("--wait", help="Wait until it is in force.")] = False,
    seconds: Seconds = 10.0,
) -> None:
    """Publish a table of the operator's file; prints the log position once committed.

    With --wait, lists each proxy that refused it and exits with code 1 if there is one.
    """
    if remove == (file is not None):
        _exit("give either a file or --remove", INVALID)
    try:
        check_name(table)
        body = b"" if file is None else _table_body(table, file)
    except TableRefusedError as error:
        _exit(str(error), INVALID)
    record = Record(Topic.CONFIGURATION, table, body)
    status = _publish_records(_machines(machine, key_file), (record,), wait, seconds)
    if status is not None:
        _exit_if_refused(status)


def _table_body(table: str, file: Path) -> bytes:
    """Reads the file and checks that it is a valid table of this name.

    Raises TableRefusedError if it is not; exits the command if the file is empty or unreadable.
    """
    try:
        body = file.read_bytes()
    except OSError as error:
        _exit(f"{file}: {error.strerror}", INVALID)
    if not body:
        _exit(f"{file}: is empty; use --remove to withdraw a published table", INVALID)
    parse_table(table, body)
    return body


def _exit_if_refused(publication: _InForce) -> None:
    """Exits the command with the proxies' reasons if any of them refused the publication."""
    reasons = [
        f"{name}: {reason}"
        for name, position, reason in publication.status.refused
        if position == publication.position
    ]
    if reasons:
        _exit(f"position {publication.position} is refused by {'; '.join(reasons)}", REFUSED)


def _publish(machines: Machines, keys: list[str], wait: bool, seconds: float) -> None:
    if any(len(key) > MAX_KEY_CHARACTERS for key in keys):
        _exit(f"a key has at most {MAX_KEY_CHARACTERS} characters", INVALID)
    _publish_records(machines, tuple(Record(Topic.PURGE, key) for key in keys), wait, seconds)


def _publish_records(
    machines: Machines, records: tuple[Record, ...], wait: bool, seconds: float
) -> _InForce | None:
    """Publishes the records and prints their position; with `wait`, waits until they are in force.

    Exits the command unless the records are committed and, with `wait`, in force within `seconds`.
    Returns None without `wait`.
    """
    publication = Publish(secrets.token_hex(16), records)
    try:
        reply = asyncio.run(publish(machines, publication, seconds))
    except NoAnswerError as error:
        _exit(f"the publication may or may not be in the log: {error}", UNCERTAIN)
    if reply.status != PublishStatus.COMMITTED:
        code = UNCERTAIN if reply.status == PublishStatus.UNKNOWN else REFUSED
        _exit(f"not committed: {_status_name(reply.status)}", code)
    print(reply.position, flush=True)
    if not wait:
        return None
    status = asyncio.run(wait_in_force(machines, reply.position, seconds))
    if status is None:
        _exit(f"position {reply.position} is committed but not yet in force", UNCERTAIN)
    return _InForce(reply.position, status)


def _status_name(status: int) -> str:
    """Name of a publication's status; "status NUMBER" if the number is unknown."""
    try:
        return PublishStatus(status).name
    except ValueError:
        return f"status {status}"


def _machines(addresses: list[str], key_file: Path) -> Machines:
    try:
        keys = read_keys(str(key_file))
    except (OSError, ValueError) as error:
        _exit(f"--key-file: {error}", INVALID)
    try:
        return Machines([parse_address(address) for address in addresses], keys, 3.0)
    except ValueError as error:
        _exit(f"--machine: {error}", INVALID)


def _show(reply: StatusReply) -> None:
    """Prints a status as text; a machine that is not the leader reports only its own log."""
    console = Console(markup=False, emoji=False)  # no markup: names and reasons may have brackets
    role = "leads" if reply.leader == reply.replica else f"follows {reply.leader or 'nobody'}"
    recovery = ", replaces a lost disk and has not recovered yet" if reply.recovering else ""
    console.print(
        printable(f"{reply.replica} {role}, fence {reply.fence}, log {reply.log}{recovery}")
    )
    console.print(f"log to {reply.last.position}, committed to {reply.commit}")
    if reply.recovering:
        _show_recovery(console, reply)
    if reply.leader != reply.replica:
        return
    console.print(f"in force to {reply.in_force}, applied by every session to {reply.applied}")
    console.print(f"{reply.sessions} proxies, {reply.stale} of them stale")
    _print_table(
        console,
        ("replica", "position", "heard"),
        [(name, str(position), f"{heard:.1f} s") for name, position, heard in reply.replicas],
    )
    _print_table(
        console,
        ("lags", "region", "position", "behind", "stale"),
        [
            (
                proxy.name,
                proxy.region,
                str(proxy.position),
                f"{proxy.behind_s:.1f} s",
                "yes" if proxy.stale else "",
            )
            for proxy in reply.lagging
        ],
    )
    _print_table(
        console,
        ("refused by", "position", "reason"),
        [(name, str(position), reason) for name, position, reason in reply.refused],
    )


def _show_recovery(console: Console, reply: StatusReply) -> None:
    """Prints what a machine that replaces a lost disk waits for.

    The third field of `reply.replicas` is the time in s since that machine reported its promise; a
    negative value means that it has not yet.
    """
    promises = [(name, since_s) for name, _, since_s in reply.replicas if name != reply.replica]
    missing = [name for name, since_s in promises if since_s < 0]
    awaited = f"a promise of {', '.join(missing)}" if missing else "the leader's whole log"
    console.print(printable(f"recovery waits for {awaited}"))
    _print_table(
        console,
        ("replica", "promise told"),
        [
            (name, "not yet" if since_s < 0 else f"{since_s:.1f} s ago")
            for name, since_s in promises
        ],
    )


def _print_table(console: Console, columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Prints a table unless it has no rows; unprintable characters are escaped."""
    if rows:
        table = Table(*columns, box=None)
        for row in rows:
            table.add_row(*map(printable, row))
        console.print(table)


def _exit(text: str, code: int) -> NoReturn:
    typer.echo(f"limebridge: {printable(text)}", err=True)
    raise typer.Exit(code)
