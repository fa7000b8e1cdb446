"""The control machine's configuration file (TOML), validated completely before anything starts."""

from __future__ import annotations

from typing import Annotated

import msgspec

from violetroute.config import ConfigError, LogTable
from violetroute.config.operator import check_fleet, check_log
from violetroute.config.tables import read_toml, to_struct
from violetroute.fleet.table import FleetTable
from violetroute.ledger.table import LedgerTable
from violetroute.sharing.table import read_keys
from violetroute.transport import parse_address

from .messages import MESSAGE_BYTES
from .table import DRIFT, STALE_AFTER_S, Region, StaleAfter

MACHINES_MAX = 15

MachineName = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


Hold = Annotated[float, msgspec.Meta(ge=0.05, le=600.0)]


class MachineTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[machine]]`: one control machine and the address at which the others reach it."""

    name: MachineName
    address: str  # "HOST:PORT"
    region: Region = ""


class Timings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[timings]`: must be equal on all control machines.  Seconds, unless stated otherwise."""

    stale_after_s: StaleAfter = STALE_AFTER_S  # must equal the setting of all proxies, too
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = DRIFT  # max clock rate error
    # Window in which publications are combined into one batch.
    batch_s: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 0.1
    fetch_hold_s: Hold = 0.25  # hold time of a replica's fetch without new data
    hold_s: Hold = 0.8  # hold time of a proxy's poll without new data
    # Minimum time between two answers with batches to one proxy.
    spread_s: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 0.4
    # Minimum time between two reports to the leader.
    report_s: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 0.2
    heartbeat_s: Hold = 0.25  # maximum time between two reports to the leader
    # Retention time of committed batches.
    keep_s: Annotated[float, msgspec.Meta(ge=1.0, le=1e7)] = 3600.0
    # A proxy that lacks more bytes of batches gets a snapshot.
    delta_bytes: Annotated[int, msgspec.Meta(ge=1024, le=MESSAGE_BYTES)] = 128 * 1024
    # Bytes per second for a proxy that lacks batches committed more than `stale_after_s` ago.
    catch_up_bytes_per_s: Annotated[float, msgspec.Meta(ge=100.0, le=1e9)] = 4500.0


class ControlFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All tables and keys of the file."""

    name: MachineName  # must be one of the names of [[machine]]
    listen: str  # "HOST:PORT"; port 0: any free port
    folder: str  # the log's folder; `limebridge control init` creates it
    key_file: str  # key shared by proxies and control machines
    machine: Annotated[
        tuple[MachineTable, ...], msgspec.Meta(min_length=1, max_length=MACHINES_MAX)
    ]  # all control machines, including this one
    fleet: FleetTable  # store of the lease; the process sets `works`
    region: Region = ""
    timings: Timings = Timings()
    log: LogTable = LogTable()
    socket: Annotated[str, msgspec.Meta(max_length=100)] = ""  # Unix socket for introspection


def load_control_file(path: str) -> ControlFile:
    """Loads and validates the file.  Raises ConfigError, which names the file and the key."""
    file = to_struct(read_toml(path), ControlFile, path)
    try:
        _check(file)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    check_fleet(file.fleet, LedgerTable(), path)
    check_log(file.log, path)
    return file


def restart_needed(before: ControlFile, now: ControlFile) -> list[str]:
    """Returns changed keys and tables that need a restart: all but `[log]`."""
    return [
        name
        for name in ControlFile.__struct_fields__
        if name != "log" and getattr(before, name) != getattr(now, name)
    ]


def _check(file: ControlFile) -> None:
    """Validates across keys.  Raises ValueError with a message "key: reason"."""
    _check_address("listen", file.listen)
    for machine in file.machine:
        _check_address("machine", machine.address)
    names = [machine.name for machine in file.machine]
    addresses = [machine.address for machine in file.machine]
    if file.name not in names:
        raise ValueError(f"name: {file.name!r} is none of the names of [[machine]]")
    if len(set(names)) != len(names):
        raise ValueError("machine: a name occurs twice")
    if len(set(addresses)) != len(addresses):
        raise ValueError("machine: an address occurs twice")
    if not file.folder:
        raise ValueError("folder: missing")
    try:
        read_keys(file.key_file)
    except (OSError, ValueError) as error:
        raise ValueError(f"key_file: {error}") from None
    if file.fleet.store == "off":
        raise ValueError("[fleet] store: off, but the leader lease needs a store")
    if file.fleet.works:
        raise ValueError(
            "[fleet] works: must be empty, the control process only runs the work distribution"
        )
    if file.timings.hold_s * (1.0 + file.timings.drift) >= file.timings.stale_after_s:
        raise ValueError("[timings] hold_s: must be less than stale_after_s / (1 + drift)")


def _check_address(key: str, text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
